import pytest

from limpetlanding.agent.tests.fakes import FakeNet


@pytest.fixture
async def net():
    """Yield a fake network; afterwards check its starts and answers.

    No task may have started twice, and no job that was answered ``not_run``
    may have started a task.
    """
    net = FakeNet()
    yield net
    await net.close()
    assert all(starts <= 1 for starts in net.starts.values()), net.starts
    started = {key.rpartition('/')[0] for key in net.starts}
    for core in net.cores:
        for ledger in core.coordinator.ledgers.values():
            for record in ledger.ended.values():
                if record.answer.outcome == 'not_run':
                    assert record.answer.job_id not in started
