import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from limpetlanding.policy import ShareLedger
from limpetlanding.wire.job_messages import (
    ShareGrant,
    ShareRequest,
    ShareReturn,
)

NODES = ('e1', 'e2', 'e3')
LIMIT = 20
LEASE_S = 5.0

nodes = st.sampled_from(NODES)


fates = st.sampled_from(['arrives', 'lost', 'late', 'repeated'])


class ShareMachine(RuleBasedStateMachine):
    """Three entries that crash and lose, delay and repeat messages.

    A late message is delivered at any later step, as if its receiver had been
    suspended. Shares are read at any moment, also after a long time without a
    step. Answers reach only the incarnation that sent the request.
    """

    @initialize()
    def start(self):
        self.now = 100.0
        self.starts = 0
        self.ledgers = {}
        self.in_use = {}
        self.late = []
        for node in NODES:
            self._start(node)
        # Skips the lease for which entries wait after a start, as no share
        # was lent before the first start.
        self.now += LEASE_S * 1.1

    @rule(seconds=st.sampled_from([0.01, 1, 2.5, 4.5]))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(node=nodes, tasks=st.integers(0, LIMIT))
    def use(self, node, tasks):
        share = self.ledgers[node].share('c', self.now)
        self.in_use[node] = min(tasks, share)

    @rule(node=nodes, missing=st.integers(1, LIMIT), fate=fates)
    def borrow(self, node, missing, fate):
        ledger, asked_at = self.ledgers[node], self.now
        wanted = ledger.share('c', self.now) + missing
        peer, message = ledger.request('c', wanted, self.now)
        grant = self.ledgers[peer].on_request(
            node, message, self.in_use[peer], self.now
        )

        def answer():
            if self.ledgers[node] is ledger:
                ledger.on_grant(peer, grant, asked_at)

        self._send(answer, fate)

    @rule(node=nodes, fate=fates)
    def give_back(self, node, fate):
        returns = self.ledgers[node].return_unused(
            'c', self.in_use[node], self.now
        )
        for peer, message in returns:
            self._send(
                lambda peer=peer, message=message: self.ledgers[peer].on_return(
                    node, message
                ),
                fate,
            )

    @rule(node=nodes, fate=fates)
    def crash(self, node, fate):
        ledger = self._start(node)
        for peer in NODES:
            if peer != node:
                self._send(
                    lambda peer=peer: self._greet(node, ledger, peer), fate
                )

    @rule(pick=st.integers(0, 20))
    def deliver_late(self, pick):
        if self.late:
            self.late.pop(pick % len(self.late))()

    @invariant()
    def shares_add_up_to_the_limit_at_most(self):
        if hasattr(self, 'ledgers'):
            shares = [x.share('c', self.now) for x in self.ledgers.values()]
            assert sum(shares) <= LIMIT

    def _start(self, node):
        self.starts += 1
        ledger = ShareLedger(
            node, f'{node}-{self.starts}', self.now, await_peers=True
        )
        ledger.set_members(NODES, self.now)
        ledger.set_limit('c', LIMIT, self.now)
        self.ledgers[node] = ledger
        self.in_use[node] = 0
        return ledger

    def _greet(self, node, ledger, peer):
        if self.ledgers[node] is ledger:
            self.ledgers[peer].peer_started(node, ledger.incarnation)
            ledger.peer_answered(peer, self.now)

    def _send(self, receive, fate):
        if fate in {'arrives', 'repeated'}:
            receive()
        if fate in {'late', 'repeated'}:
            self.late.append(receive)


TestShareMachine = ShareMachine.TestCase
TestShareMachine.settings = settings(
    derandomize=True,
    max_examples=400,
    stateful_step_count=30,
    deadline=None,
)


def make_ledgers(limit=LIMIT, now=0.0):
    ledgers = [ShareLedger(node, f'{node}-1', now) for node in NODES]
    for ledger in ledgers:
        ledger.set_members(NODES, now)
        ledger.set_limit('c', limit, now)
    return ledgers


class TestShareLedger:
    @pytest.mark.parametrize('limit', [0, 1, 2, 3, 20, 100])
    def test_base_shares_add_up_to_the_limit(self, limit):
        # Guards against rounding: a limit below the number of entries could
        # become 0 or 1 at each of them.
        ledgers = make_ledgers(limit)
        assert sum(x.share('c', 0) for x in ledgers) == limit

    def test_one_entry_can_borrow_the_whole_limit(self):
        first, second, third = make_ledgers()
        lenders = {'e2': second, 'e3': third}
        while wish := first.request('c', LIMIT, 0):
            peer, message = wish
            grant = lenders[peer].on_request('e1', message, 0, 0)
            first.on_grant(peer, grant, 0)
        assert first.share('c', 0) == LIMIT
        assert second.share('c', 0) == third.share('c', 0) == 0

    def test_lender_keeps_what_it_uses(self):
        _, second, _ = make_ledgers()
        grant = second.on_request('e1', ShareRequest('c', 20), 5, 0)
        assert second.share('c', 0) == 5
        assert grant.amount == 2

    def test_borrowed_share_is_not_lent_on(self):
        # Guards against a lease that ends after the lease of the borrowed
        # share from which it was granted.
        first, _, _ = make_ledgers()
        base = first.share('c', 0)
        first.on_grant('e2', ShareGrant('c', 7, 5000, 'e2-1.1'), 0)
        grant = first.on_request('e3', ShareRequest('c', 20), 0, 0)
        assert grant.amount == base

    def test_borrower_stops_before_the_lender_resumes(self):
        first, second, _ = make_ledgers()
        grant = second.on_request('e1', ShareRequest('c', 7), 0, 1.0)
        first.on_grant('e2', grant, 0.9)
        assert first.share('c', 4.8) == 14
        assert first.share('c', 4.95) == 7
        assert second.share('c', 5.9) == 0
        assert second.share('c', 6.1) == 7

    def test_repeated_grant_does_not_restore_a_returned_share(self):
        first, second, _ = make_ledgers()
        grant = second.on_request('e1', ShareRequest('c', 7), 0, 0)
        first.on_grant('e2', grant, 0)
        [(peer, returned)] = first.return_unused('c', 3, 0.5)
        assert peer == 'e2'
        second.on_return('e1', returned)
        first.on_grant('e2', grant, 0)
        assert first.share('c', 0.5) == second.share('c', 0.5) == 7

    def test_share_in_use_is_not_returned(self):
        first, _, _ = make_ledgers()
        first.on_grant('e2', ShareGrant('c', 7, 5000, 'e2-1.1'), 0)
        assert first.return_unused('c', 8, 0.5) == []

    def test_restarted_entry_waits_for_all_peers_or_a_lease(self):
        # Guards against a restarted lender that uses shares which its former
        # incarnation has lent.
        ledger = ShareLedger('e1', 'e1-2', 10, await_peers=True)
        ledger.set_members(NODES, 10)
        ledger.set_limit('c', LIMIT, 10)
        ledger.peer_answered('e2', 10.1)
        assert ledger.share('c', 10.1) == 0
        assert ledger.share('c', 15.1) == 7
        ledger.peer_answered('e3', 10.2)
        assert ledger.share('c', 10.2) == 7

    def test_grants_of_a_former_incarnation_are_void(self):
        first, _, _ = make_ledgers()
        first.on_grant('e2', ShareGrant('c', 7, 5000, 'e2-1.1'), 0)
        first.peer_started('e2', 'e2-2')
        first.on_grant('e2', ShareGrant('c', 6, 5000, 'e2-1.2'), 0)
        assert first.share('c', 0) == 7

    def test_unknown_or_repeated_return_changes_nothing(self):
        _, second, _ = make_ledgers()
        for _ in range(2):
            second.on_return('e1', ShareReturn('c', 'e2-1.9'))
        assert second.share('c', 0) == 7

    def test_join_exceeds_the_limit_by_lent_shares_above_the_new_base(self):
        # Checks the bound stated in the docstring of ShareLedger.
        first, second, third = make_ledgers()
        grant = second.on_request('e1', ShareRequest('c', 7), 0, 0)
        first.on_grant('e2', grant, 0)
        joined = ShareLedger('e4', 'e4-1', 1)
        joined.set_limit('c', LIMIT, 1)
        ledgers = [first, second, third, joined]
        for ledger in ledgers:
            ledger.set_members((*NODES, 'e4'), 1)
        new_base = LIMIT // 4
        total = sum(x.share('c', 1) for x in ledgers)
        assert total == LIMIT + 7 - new_base
        assert sum(x.share('c', 5.2) for x in ledgers) == LIMIT
