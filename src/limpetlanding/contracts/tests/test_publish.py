import asyncio
from dataclasses import replace
from random import Random

import pytest

from limpetlanding.contracts import (
    Contract,
    Ledger,
    Publication,
    PublicationResult,
    VersionUnknown,
    hash_key,
    read_to_end,
)
from limpetlanding.logservice import LogClient, LogUnavailable

URL = 'http://127.0.0.1:7400'


def contract(at_once=8, customer='apples', key='k'):
    return Contract.model_validate(
        {
            'customer': customer,
            'keys': [hash_key(key)],
            'limits': {'tasks_at_once': at_once, 'tasks_per_second': 100},
            'answer_within_ms': 500,
            'may_refuse': ['overload'],
            'kinds': ['*'],
            'peak_share': 0.5,
            'max_task_size': 10,
        }
    )


@pytest.fixture
async def log():
    async with LogClient(URL, 'contracts', 500, Random(1)) as client:
        yield client


@pytest.fixture
def publish(log):
    async def run(content, author='ana', base=None, timeout_s=60, **options):
        publication = Publication(
            log, content, author, base, wall_clock=lambda: 1.0, **options
        )
        return await publication.run(timeout_s)

    return run


def set_log_faults(log, **faults):
    log.faults = replace(log.faults, **faults)


async def versions(log):
    ledger = Ledger()
    async for _ in read_to_end(log, ledger):
        pass
    return {name: s.version for name, s in ledger.customers.items()}


class TestPublication:
    async def test_publication_is_accepted(self, standin_log, publish):
        first = await publish(contract())
        second = await publish(contract(9), base=1)
        assert (first.result, first.version) == (PublicationResult.ACCEPTED, 1)
        assert (second.result, second.version) == (
            PublicationResult.ACCEPTED,
            2,
        )

    async def test_unchanged_contract_is_not_appended(
        self, standin_log, publish
    ):
        await publish(contract())
        again = await publish(contract())
        assert (again.result, again.version) == (PublicationResult.ACCEPTED, 1)
        assert standin_log.streams['contracts'].next == 1

    async def test_one_of_two_concurrent_publications_is_lost(
        self, standin_log, publish
    ):
        set_log_faults(standin_log, slow_ms=50)
        one, two = await asyncio.gather(
            publish(contract(9), 'ana'), publish(contract(7), 'ben')
        )
        results = {one.result: one, two.result: two}
        assert set(results) == {
            PublicationResult.ACCEPTED,
            PublicationResult.LOST,
        }
        lost = results[PublicationResult.LOST]
        assert {lost.winner} == {'ana', 'ben'} - {
            'ana' if one is lost else 'ben'
        }
        assert [c.field for c in lost.changes] == ['limits.tasks_at_once']

    async def test_outdated_base_is_lost_without_an_append(
        self, standin_log, publish
    ):
        # Guards against an edit that reverts another one made meanwhile.
        await publish(contract(1))
        await publish(contract(2), 'ben')
        lost = await publish(contract(3), base=1)
        assert (lost.result, lost.winner) == (PublicationResult.LOST, 'ben')
        assert standin_log.streams['contracts'].next == 2

    async def test_lost_answer_does_not_publish_twice(
        self, standin_log, publish, log
    ):
        # Guards against a second version for one publication.
        set_log_faults(standin_log, lose_answers=True)
        published = await publish(contract())
        assert (published.result, published.version) == (
            PublicationResult.ACCEPTED,
            1,
        )
        assert await versions(log) == {'apples': 1}

    async def test_write_that_takes_effect_after_the_read_back(
        self, standin_log, publish, log
    ):
        # The append times out before it is written; both copies are written.
        set_log_faults(standin_log, slow_ms=450)
        publishing = asyncio.create_task(publish(contract()))
        await asyncio.sleep(0.46)
        set_log_faults(standin_log, slow_ms=700)
        await asyncio.sleep(1.5)
        set_log_faults(standin_log, slow_ms=0)
        assert (await publishing).version == 1
        await asyncio.sleep(5)
        assert await versions(log) == {'apples': 1}

    async def test_publication_continues_after_a_long_outage(
        self, standin_log, publish, log
    ):
        set_log_faults(standin_log, outage=True)
        with pytest.raises(LogUnavailable):
            await publish(contract())
        publishing = asyncio.create_task(publish(contract(), timeout_s=7200))
        await asyncio.sleep(3600)
        set_log_faults(standin_log, outage=False)
        assert (await publishing).result is PublicationResult.ACCEPTED
        assert await versions(log) == {'apples': 1}

    async def test_unknown_publication_can_be_resumed_after_an_outage(
        self, standin_log, publish, log
    ):
        def break_log_after_append(step):
            set_log_faults(standin_log, outage=step == 'reading back')

        unknown = await publish(contract(), progress=break_log_after_append)
        assert unknown.result is PublicationResult.UNKNOWN
        set_log_faults(standin_log, outage=False)
        resumed = await publish(contract(), record_id=unknown.record_id)
        assert (resumed.result, resumed.version) == (
            PublicationResult.ACCEPTED,
            1,
        )
        assert standin_log.streams['contracts'].next == 1

    async def test_throttled_append_is_repeated(self, standin_log, publish):
        standin_log.appends_per_second = 1
        await publish(contract())
        assert (await publish(contract(2))).result is PublicationResult.ACCEPTED

    async def test_key_of_another_customer_is_refused(
        self, standin_log, publish
    ):
        await publish(contract())
        other = await publish(contract(customer='beans'))
        assert other.result is PublicationResult.INVALID
        assert 'apples' in other.detail

    async def test_uncertain_version_requires_a_base(
        self, standin_log, publish
    ):
        # An outage prevented the restatement. Retention has removed version 1,
        # and the record of version 2 does not state that its author read it.
        await publish(contract(1))
        await publish(contract(2))
        stream = standin_log.streams['contracts']
        when, text = stream.records.pop()
        stream.records.append(
            (when, text.replace(b'"as_of": 0', b'"as_of": -1'))
        )
        stream.records.popleft()
        stream.first = 1
        with pytest.raises(VersionUnknown):
            await publish(contract(3))
        stated = await publish(contract(3), base=2)
        assert (stated.result, stated.version) == (
            PublicationResult.ACCEPTED,
            3,
        )
