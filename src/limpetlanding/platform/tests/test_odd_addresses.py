"""Odd addresses that processes pass on to each other."""

import asyncio

import pytest

from limpetlanding.platform.tests.odd_entries import ADDRESSES
from limpetlanding.platform.tests.rig import LINK_PORT, System, new_node
from limpetlanding.wire import is_ipv4_address
from limpetlanding.wire.run_messages import KnownWorkers

JOB = '5c0e7a21d94b36f8'
GOOD = f'127.0.0.1:{LINK_PORT}'
FRONT = f'127.0.0.1:{LINK_PORT + 50}'


class TestAddresses:
    """Guards against dialers that end, and workers hidden by odd addresses."""

    @pytest.mark.parametrize('address', [*ADDRESSES, '\ud800:7100'])
    def test_odd_address_is_none(self, address):
        assert not is_ipv4_address(address)

    async def test_odd_addresses_hide_no_other_worker(self):
        async with System(worker_count=1, front_count=2).run() as system:
            later = '127.0.0.1:9'
            known = KnownWorkers([*ADDRESSES, later], ['z1'])
            front, other = system.fronts
            for channel in front.node.connected('front'):
                channel.notify(known)
            await system.settle()
            assert set(other.subset.candidates) == {GOOD, later}
            assert set(other.node.all_dialers) <= {GOOD, FRONT, later}
            assert (await system.submit(JOB, front=1))[0] == 200

    @pytest.mark.parametrize('address', ADDRESSES[1:])
    async def test_peer_that_names_an_odd_address(self, address):
        async with System(worker_count=1).run() as system:
            failures = []
            asyncio.get_running_loop().set_exception_handler(
                lambda _, context: failures.append(context)
            )
            peer = new_node('worker', 'odd', 90)
            peer.hello.address = address
            peer.options.listen = GOOD.replace('7100', '7199')
            peer.keep_dialing(FRONT)
            await asyncio.sleep(1)
            front = system.fronts[0]
            assert [
                x
                for x in front.node.connected('worker')
                if x.peer.address == address
            ]
            await peer.stop(drain=False)
            # The front dials the address while it waits for the peer.
            await asyncio.sleep(0.5)
            await system.settle(8)
            assert set(front.subset.candidates) == {GOOD}
            assert (await system.submit(JOB))[0] == 200
            assert not failures
