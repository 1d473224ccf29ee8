"""Measures the cost of version vectors and of sending all records.

Run ``python -m limpetlanding.config.tests.measure_spread``. Replicas run in
one process over in-memory streams without delay, in virtual time. The figures
therefore count messages and bytes of the protocol; they do not depend on the
speed of the machine.
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
MAX_WAIT_S = 60
ENTRIES = ('e1', 'e2')


def put_version(fleet, customer, version):
    """Store a version in the entries, as their log readers do."""
    item = record(customer, version, contract(customer, version))
    for name in ENTRIES:
        fleet.members[name].store.put(version, item)
    mark_entries_current(fleet)


def mark_entries_current(fleet):
    """Mark the entries as current, as their log readers do."""
    now = asyncio.get_running_loop().time()
    for name in ENTRIES:
        fleet.members[name].store.mark_current(now)


def sent(fleet):
    """Return the messages and bytes sent so far to exchange configuration."""
    traffic = [m.node.counters.sent for m in fleet.members.values()]
    return (
        sum(t.messages[tag] for t in traffic for tag in TAGS),
        sum(t.byte_counts[tag] for t in traffic for tag in TAGS),
    )


async def wait_until_equal(fleet):
    """Wait until all digests are equal, and return the time in seconds.

    After `MAX_WAIT_S` it returns although they differ.
    """
    loop = asyncio.get_running_loop()
    start = loop.time()
    digests = {m.store.digest for m in fleet.members.values()}
    while len(digests) > 1 and loop.time() < start + MAX_WAIT_S:
        await asyncio.sleep(0.01)
        digests = {m.store.digest for m in fleet.members.values()}
    return loop.time() - start


async def measure_step(fleet, label, replicas, vectors, act):
    """Run `act`, wait until all replicas agree, and print the cost."""
    messages, size = sent(fleet)
    await act()
    in_force_s = await wait_until_equal(fleet)
    # Requests in progress count as well.
    await asyncio.sleep(5)
    more_messages, more_size = sent(fleet)
    print(
        f'{label:12} {replicas:4} replicas, '
        f'{"vector" if vectors else "full":6}: '
        f'{more_messages - messages:5} messages '
        f'{more_size - size:10,} bytes, '
        f'in force after {in_force_s:.2f} s'
    )


async def measure(replicas, vectors):
    """Measure one number of replicas, with version vectors or without."""
    fleet = Fleet()
    for name in ENTRIES:
        await fleet.entry(name, reads=False, vectors=vectors)
    for number in range(CUSTOMERS):
        put_version(fleet, f'customer-{number:03}', 1)
    for number in range(replicas):
        await fleet.agent(f'a{number + 1}', vectors=vectors)
    await wait_until_equal(fleet)
    await asyncio.sleep(5)

    async def change_one():
        put_version(fleet, 'customer-007', 2)

    async def add_one():
        mark_entries_current(fleet)
        await fleet.agent(f'a{replicas + 1}', vectors=vectors)

    async def burst():
        for version in range(3, 303):
            put_version(fleet, f'customer-{version % CUSTOMERS:03}', version)
            await asyncio.sleep(1 / 300)

    await measure_step(fleet, '1 change', replicas, vectors, change_one)
    await measure_step(fleet, '300 changes', replicas, vectors, burst)
    await measure_step(fleet, 'new replica', replicas, vectors, add_one)
    await fleet.stop()


def main():
    """Print the cost for each number of replicas and both methods."""
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
