"""Several entries that exchange shares and can crash and restart."""

import asyncio
from random import Random

from limpetlanding.entry.admission import AdmittedJob
from limpetlanding.entry.api import Submission, SubmittedTask
from limpetlanding.entry.tests.fakes import FakeAgent
from limpetlanding.entry.tests.rig import connect, default_contracts, make_core
from limpetlanding.errors import PeerLost
from limpetlanding.wire import Hello
from limpetlanding.wire.job_messages import Members

DELAY_S = 0.0015
DOWN_S = 4
LEASE_S = 5


class EntryLink:
    """Channel from one entry to another one."""

    def __init__(self, fleet, own, other):
        self.fleet = fleet
        self.own = own
        self.other = other
        incarnation = fleet.incarnation(other)
        self.peer = Hello(1, 'entry', other, incarnation, 'sialkot', other, '')
        self.closed = asyncio.Event()
        self.suspect = False

    async def request(self, message, timeout_s):
        await asyncio.sleep(DELAY_S)
        target = self._target('request')
        back = EntryLink(self.fleet, self.other, self.own)
        target.quota.message_received(back)
        reply = await target.handle(back, message)
        await asyncio.sleep(DELAY_S)
        return reply

    def notify(self, message):
        task = asyncio.ensure_future(self.request(message, 1))
        task.add_done_callback(lambda x: x.exception())

    def _target(self, step):
        core = self.fleet.cores.get(self.other)
        if core is None:
            raise PeerLost('gone', step=step, peer=self.other)
        return core


class Fleet:
    """Entries with a common customer, and the tasks admitted by them.

    Tasks continue after a crash of the entry that admitted them, as in the
    real system.
    """

    def __init__(self, count=3, limit=90, seed=1):
        self.loop = asyncio.get_running_loop()
        self.rng = Random(seed)
        self.names = [f'entry-{number}' for number in range(1, count + 1)]
        self.limit = limit
        self.cores = {}
        self.starts = {}
        self.down_at = {}
        self.running = 0
        self.peak_running = 0
        self.loops = {}
        for name in self.names:
            self.start(name)

    def contracts(self):
        contracts = default_contracts()
        contract = contracts.by_customer['offcut']
        contract.limits.tasks_at_once = self.limit
        contract.limits.tasks_per_second = 1e6
        return contracts

    def start(self, name):
        self.starts[name] = self.starts.get(name, 0) + 1
        core = make_core(
            self.contracts(), name, 'sialkot', True, self.incarnation(name)
        )
        connect(core, *[FakeAgent(x) for x in range(1, 30)])
        self.cores[name] = core
        self.down_at.pop(name, None)
        for other in self.names:
            if other in self.cores and other != name:
                core.add_entry(EntryLink(self, name, other))
                self.cores[other].add_entry(EntryLink(self, other, name))
        for other in core.quota.entries:
            # Entries exchange their members as soon as they are connected.
            core.quota.entries[other].notify(Members([]))
            self.cores[other].quota.entries[name].notify(Members([]))
        self.loops[name] = asyncio.ensure_future(core.quota.run())
        self.set_members()

    def incarnation(self, name):
        return f'{name}-{self.starts.get(name, 0)}'

    def crash(self, name):
        self.cores.pop(name)
        self.loops.pop(name).cancel()
        self.down_at[name] = self.loop.time()

    def set_members(self):
        """Set the share holders, by the rule of `MemberTable.share_holders`."""
        now = self.loop.time()
        sharing = [
            name
            for name in self.names
            if name in self.cores
            or now - self.down_at.get(name, now) <= LEASE_S
        ]
        for core in self.cores.values():
            core.quota.ledger.set_members(sharing, now)

    async def offer(self, name, run_s=0.5, count=1):
        """Submit one job to an entry; return whether it is admitted."""
        core = self.cores.get(name)
        if core is None:
            return False
        contract = core.contracts.contract('offcut')
        tasks = [SubmittedTask('cut', b'1', 1, 100)] * count
        submission = Submission('id', tasks)
        admitted = core.admission.admit(contract, submission)
        if not isinstance(admitted, AdmittedJob):
            wanted = core.admission.in_use('offcut') + count
            if await core.quota.borrow(contract, wanted):
                admitted = core.admission.admit(contract, submission)
        if not isinstance(admitted, AdmittedJob):
            return False
        self.running += count
        self.peak_running = max(self.peak_running, self.running)
        self.loop.call_later(run_s, self._ended, core, admitted, count)
        return True

    def shares(self):
        return {
            name: core.quota.share(core.contracts.contract('offcut'))
            for name, core in self.cores.items()
        }

    def stop(self):
        for task in self.loops.values():
            task.cancel()

    def _ended(self, core, admitted, count):
        self.running -= count
        core.admission.job_ended(admitted, None)
