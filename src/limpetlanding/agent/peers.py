"""Links of an agent to entries and other agents."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

from limpetlanding.errors import LimpetlandingError, PeerLost, ProtocolError
from limpetlanding.wire import Channel, Node
from limpetlanding.wire.job_messages import (
    Members,
    PlaceAgain,
    Placement,
    Placements,
    TaskSpec,
)

# Agents reconnect within a second; a longer wait delays the placement at
# another agent.
_DIAL_TIMEOUT_S = 1
_PLACE_TIMEOUT_S = 1
# An executor that has not been used for this long is no longer dialed.
_UNUSED_LINK_S = 60


@dataclass(slots=True)
class Peers:
    """Links of one agent.

    `member_entries` holds the addresses of entries that another entry named,
    `last_used_at` the time of the last use by address of the executor.

    Parameters
    ----------
    node : Node
        The node of the process.
    entries : frozenset of str
        Addresses of entries from the settings, which are always dialed.
    """

    node: Node
    entries: frozenset[str]
    member_entries: set[str] = field(default_factory=set)
    last_used_at: dict[str, float] = field(default_factory=dict)

    def start(self) -> None:
        """Start dialing the entries of the settings."""
        for address in self.entries:
            self.node.keep_dialing(address)

    def responsive(self, role: str) -> list[Channel]:
        """Return the channels to peers of a role that are not suspect."""
        return [x for x in self.node.connected(role) if not x.suspect]

    def update_members(self, message: Members) -> None:
        """Dial the entries of this region that an entry named."""
        region = self.node.hello.region
        named = {x.address for x in message.entries if x.region == region}
        for address in named - self.member_entries:
            self.node.keep_dialing(address)
        for address in self.member_entries - named - self.entries:
            channel = self.node.newest_by_address.get(address)
            # Another entry may still name it, so an existing link is kept.
            if channel is None or not channel.links:
                self.node.stop_dialing(address)
                self.member_entries.discard(address)
        self.member_entries |= named

    async def connect(self, placement: Placement) -> Channel:
        """Return a channel to an executor, linked or newly dialed.

        Raises
        ------
        PeerLost, RequestTimeout
            If the executor cannot be reached; nothing has been sent.
        """
        self.last_used_at[placement.address] = asyncio.get_running_loop().time()
        channel = self.node.channel(placement.agent, placement.incarnation)
        if channel is not None and channel.links:
            return channel
        return await self.node.dial(
            placement.address, placement.incarnation, _DIAL_TIMEOUT_S
        )

    async def place(
        self, message: PlaceAgain, preferred: Any = None
    ) -> Placements:
        """Ask the entries in turn for placements, the preferred one first.

        Raises
        ------
        LimpetlandingError
            If no entry sends placements.
        """
        entries = self.responsive('entry')
        entries.sort(key=lambda channel: channel is not preferred)
        error: LimpetlandingError = PeerLost(
            'no entry is connected', step='place'
        )
        for channel in entries:
            try:
                reply = await channel.request(message, _PLACE_TIMEOUT_S)
            except LimpetlandingError as failure:
                error = failure
                continue
            if isinstance(reply, Placements):
                return reply
            error = ProtocolError(
                f'unexpected reply {type(reply).__name__}',
                step='place',
                peer=channel.peer.node,
            )
        raise error

    async def successors(self, kinds: set[str]) -> list[Channel]:
        """Return possible successors, those of this failure domain first."""
        agents = self.responsive('agent')
        if not agents and kinds:
            agents = await self._agents_from_entries(kinds)
        domain = self.node.hello.failure_domain
        agents.sort(key=lambda x: x.peer.failure_domain != domain)
        return agents

    def stop_dialing_unused(self, now: float) -> None:
        """Stop dialing executors that have not been used for 60 s."""
        unused = [
            x
            for x, at in self.last_used_at.items()
            if now > at + _UNUSED_LINK_S
        ]
        for address in unused:
            channel = self.node.newest_by_address.get(address)
            if channel is not None and channel.pending:
                continue
            del self.last_used_at[address]
            if address not in self.entries | self.member_entries:
                self.node.stop_dialing(address)

    async def _agents_from_entries(self, kinds: set[str]) -> list[Channel]:
        # An agent that has placed no task elsewhere has no link to another
        # agent, so it asks an entry for one.
        specs = [
            TaskSpec(index, kind, b'null', 0, 0)
            for index, kind in enumerate(sorted(kinds)[:10])
        ]
        own = [self.node.hello.node]
        try:
            reply = await self.place(PlaceAgain('', '', specs, own, 0))
        except LimpetlandingError:
            return []
        found = {}
        for placement in reply.placements:
            if placement.agent not in own:
                found[placement.agent] = placement
        connecting = [self.connect(placement) for placement in found.values()]
        channels = await asyncio.gather(*connecting, return_exceptions=True)
        return [x for x in channels if isinstance(x, Channel)]
