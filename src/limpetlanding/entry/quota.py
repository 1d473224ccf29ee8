"""Exchange of shares of the customers' limits between entries."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from itertools import repeat

from limpetlanding.entry.auth import Contract, Contracts
from limpetlanding.entry.router import Peer, RequestCoalescer
from limpetlanding.errors import LimpetlandingError
from limpetlanding.policy import ShareLedger
from limpetlanding.wire.job_messages import (
    ShareGrant,
    ShareRequest,
    ShareReturn,
)

REQUEST_TIMEOUT_S = 0.2
"""Far above a round trip between regions, and short enough for the caller
that waits for the answer."""

REFUSED_PAUSE_S = 0.1
"""Pause after no entry could lend. Without it every refusal under overload
would send requests to the other entries."""

MAX_REQUESTS_PER_EXCHANGE = 16
"""A lender grants only a part of its share per request."""

RETURN_INTERVAL_S = 1


class Quota:
    """Shares of this entry in the customers' limits, and their exchange.

    Parameters
    ----------
    ledger : ShareLedger
        State of the shares.
    in_use : callable
        Returns how many tasks of a customer run through this entry.
    clock : callable
        Returns monotonic seconds.
    contracts : Contracts
        Contracts in force.
    """

    def __init__(
        self,
        ledger: ShareLedger,
        in_use: Callable[[str], int],
        clock: Callable[[], float],
        contracts: Contracts,
    ) -> None:
        self.ledger = ledger
        self.contracts = contracts
        self.in_use = in_use
        self.clock = clock
        self.entries: dict[str, Peer] = {}
        self.coalescer = RequestCoalescer()
        self.refused_until: dict[str, float] = {}

    def share(self, contract: Contract) -> int:
        """Return the part of ``tasks_at_once`` that this entry may use."""
        now = self.clock()
        limit = contract.limits.tasks_at_once
        self.ledger.set_limit(contract.customer, limit, now)
        return self.ledger.share(contract.customer, now)

    async def borrow(self, contract: Contract, wanted: int) -> bool:
        """Borrow until `wanted` tasks fit; tell whether the share grew.

        Concurrent calls for the same customer share one exchange.
        """
        customer = contract.customer
        if self.refused_until.get(customer, 0) > self.clock():
            return False
        share_before = self.share(contract)
        await self.coalescer.run(
            customer, lambda: self._borrow(customer, wanted)
        )
        return self.share(contract) > share_before

    def add_entry(self, channel: Peer) -> None:
        """Start to exchange shares with an entry.

        This is called before any message is sent to the entry.
        """
        hello = channel.peer
        self.ledger.peer_started(hello.node, hello.incarnation)
        self.entries[hello.node] = channel

    def remove_entry(self, channel: Peer) -> None:
        """Stop requesting shares from another entry."""
        if self.entries.get(channel.peer.node) is channel:
            self.entries.pop(channel.peer.node)

    def message_received(self, channel: Peer) -> None:
        """Record that another entry has sent a message.

        The other entry knew this incarnation before it sent the message, and
        so had already dropped the shares that a former incarnation of this
        entry had lent to it.
        """
        self.ledger.peer_answered(channel.peer.node, self.clock())

    def lend(self, channel: Peer, message: ShareRequest) -> ShareGrant:
        """Lend the part of the share that this entry does not need.

        The limit is looked up first, because this entry may not have used it
        yet.
        """
        contract = self.contracts.contract(message.customer)
        if contract is not None:
            self.share(contract)
        return self.ledger.on_request(
            channel.peer.node,
            message,
            self.in_use(message.customer),
            self.clock(),
        )

    def take_back(self, channel: Peer, message: ShareReturn) -> None:
        """Take back a share that was lent."""
        self.ledger.on_return(channel.peer.node, message)

    async def run(self) -> None:
        """Return unused shares every `RETURN_INTERVAL_S`."""
        while True:
            await asyncio.sleep(RETURN_INTERVAL_S)
            self.give_back()

    def give_back(self) -> None:
        """Return the borrowed shares that this entry does not use."""
        now = self.clock()
        self.refused_until = {
            k: t for k, t in self.refused_until.items() if t > now
        }
        for customer in list(self.ledger.borrowed):
            returns = self.ledger.return_unused(
                customer, self.in_use(customer), now
            )
            for node, message in returns:
                channel = self.entries.get(node)
                if channel is not None:
                    channel.notify(message)

    async def _borrow(self, customer: str, wanted: int) -> None:
        refusals = 0
        for _ in repeat(None, MAX_REQUESTS_PER_EXCHANGE):
            asked_at = self.clock()
            request = self.ledger.request(customer, wanted, asked_at)
            if request is None:
                return
            grant = await self._request_share(*request)
            if grant is not None and grant.amount > 0:
                refusals = 0
                self.ledger.on_grant(request[0], grant, asked_at)
                continue
            refusals += 1
            if refusals >= len(self.ledger.members) - 1:
                break
        self.refused_until[customer] = self.clock() + REFUSED_PAUSE_S

    async def _request_share(
        self, node: str, message: ShareRequest
    ) -> ShareGrant | None:
        channel = self.entries.get(node)
        if channel is None:
            return None
        with suppress(LimpetlandingError):
            reply = await channel.request(message, REQUEST_TIMEOUT_S)
            if isinstance(reply, ShareGrant):
                return reply
        return None
