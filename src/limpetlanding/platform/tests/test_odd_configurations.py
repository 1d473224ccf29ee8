"""Configurations that another writer may leave in the store."""

import asyncio

import orjson
import pytest

from limpetlanding.platform.decode import (
    MAX_NUMBER,
    Malformed,
    decode_catalog,
)
from limpetlanding.platform.store import CONFIG_TOPIC
from limpetlanding.platform.tests.odd_entries import (
    NUMBERS,
    OTHER_TYPES,
    UNREADABLE,
    with_field,
)
from limpetlanding.platform.tests.rig import System, config, store_client
from limpetlanding.standin.platform_store import StandinStore


class TestConfigurations:
    """Guards against a configuration that hides all later ones."""

    @pytest.mark.parametrize(
        'value',
        [
            *UNREADABLE,
            *(
                with_field(orjson.dumps(config(9)), name, x)
                for name in ('version', 'routes', 'services', 'limits')
                for x in (*NUMBERS, *OTHER_TYPES)
                if (name, x)
                not in {
                    ('routes', b'[]'),
                    ('services', b'[]'),
                    ('limits', b'{}'),
                }
            ),
        ],
    )
    async def test_odd_configuration_is_ignored_and_a_later_one_used(
        self, value
    ):
        store = StandinStore()
        store.topics[CONFIG_TOPIC].append(('config', value))
        async with store_client(store) as client:
            async with asyncio.timeout(30):
                stream = client.catalogs()
                store.put(CONFIG_TOPIC, 'config', config(2))
                store.topics[CONFIG_TOPIC].append(('config', value))
                store.put(CONFIG_TOPIC, 'config', config(3))
                assert (await anext(stream)).version == 3
                store.topics[CONFIG_TOPIC].append(('config', value))
                store.put(CONFIG_TOPIC, 'config', config(4))
                assert (await anext(stream)).version == 4

    @pytest.mark.parametrize(
        'name', ['priority', 'maxAttempts', 'stretch', 'targetLatencyMs']
    )
    @pytest.mark.parametrize('value', [-1, 2**53 + 2, 2**64 - 1, 1e308, True])
    def test_number_out_of_range_is_named(self, name, value):
        with pytest.raises(Malformed, match=name):
            decode_catalog(orjson.dumps(config(2, **{name: value})))

    async def test_largest_version_reaches_all_processes(self):
        # Guards against a version that is in force at one front only.
        async with System(worker_count=1, front_count=2).run() as system:
            system.store.faults.status = 503
            front = system.fronts[0]
            catalog = decode_catalog(orjson.dumps(config(MAX_NUMBER)))
            front.catalogs.replace_if_newer(catalog, 'test')
            await system.settle()
            holders = [*system.fronts, *system.workers]
            assert {x.catalogs.version for x in holders} == {MAX_NUMBER}
