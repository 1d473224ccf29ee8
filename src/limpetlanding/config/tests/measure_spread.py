"""Measures version vectors against sending the full state.

Run ``python -m limpetlanding.config.tests.measure_spread``. Replicas run in
one process over in-memory streams without delay, on virtual time, so the
figures are bytes and messages of the protocol and not speeds of a machine.
"""

import asyncio
import sys
from itertools import product

import async_solipsism
from loguru import logger

from limpetlanding.config.tests.fleet import Fleet
from limpetlanding.config.tests.samples import contract, record

CUSTOMERS = 120
SIZES = (10, 50, 200)
TAGS = ('want', 'records')
LIMIT_S = 60
ENTRIES = ('e1', 'e2')


def change(fleet, customer, version):
    """Put a version into the entries, as their log readers do."""
    item = record(customer, version, contract(customer, version))
    for name in ENTRIES:
        fleet.members[name].store.put(version, item)
    confirm(fleet)


def confirm(fleet):
    """Let the entries know that they are current, as log readers do."""
    now = asyncio.get_running_loop().time()
    for name in ENTRIES:
        fleet.members[name].store.mark_current(now)


def sent(fleet):
    """Return messages and bytes of the configuration exchange so far."""
    traffic = [m.node.counters.sent for m in fleet.members.values()]
    return (
        sum(t.messages[tag] for t in traffic for tag in TAGS),
        sum(t.byte_counts[tag] for t in traffic for tag in TAGS),
    )


async def until_equal(fleet):
    """Return the time until all digests are equal, in seconds."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    digests = {m.store.digest for m in fleet.members.values()}
    while len(digests) > 1 and loop.time() < start + LIMIT_S:
        await asyncio.sleep(0.01)
        digests = {m.store.digest for m in fleet.members.values()}
    return loop.time() - start


async def step(fleet, what, replicas, vectors, act):
    """Do one thing, wait until it has spread, and print the figures."""
    messages, size = sent(fleet)
    await act()
    in_force_s = await until_equal(fleet)
    # Requests that were on their way belong to the cost.
    await asyncio.sleep(5)
    more_messages, more_size = sent(fleet)
    print(
        f'{what:12} {replicas:4} replicas, '
        f'{"vector" if vectors else "full":6}: '
        f'{more_messages - messages:5} messages '
        f'{more_size - size:10,} bytes, '
        f'in force after {in_force_s:.2f} s'
    )


async def measure(replicas, vectors):
    """Measure one size of system with one way of asking."""
    fleet = Fleet()
    for name in ENTRIES:
        await fleet.entry(name, reads=False, vectors=vectors)
    for number in range(CUSTOMERS):
        change(fleet, f'customer-{number:03}', 1)
    for number in range(replicas):
        await fleet.agent(f'a{number + 1}', vectors=vectors)
    await until_equal(fleet)
    await asyncio.sleep(5)

    async def change_one():
        change(fleet, 'customer-007', 2)

    async def add_one():
        confirm(fleet)
        await fleet.agent(f'a{replicas + 1}', vectors=vectors)

    async def burst():
        for version in range(3, 303):
            change(fleet, f'customer-{version % CUSTOMERS:03}', version)
            await asyncio.sleep(1 / 300)

    await step(fleet, '1 change', replicas, vectors, change_one)
    await step(fleet, '300 changes', replicas, vectors, burst)
    await step(fleet, 'new replica', replicas, vectors, add_one)
    await fleet.stop()


def main():
    """Print all figures."""
    logger.remove()
    logger.add(sys.stderr, level='WARNING')
    size = len(record('customer-007', 1).model_dump_json())
    print(f'{CUSTOMERS} customers, {size} bytes per record as JSON')
    for replicas, vectors in product(SIZES, (True, False)):
        loop = async_solipsism.EventLoop()
        loop.run_until_complete(measure(replicas, vectors))
        loop.close()


if __name__ == '__main__':
    main()
