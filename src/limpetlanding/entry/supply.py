"""Requests of id blocks from the agents."""

import asyncio
from collections.abc import Callable

from loguru import logger

from limpetlanding.entry.minting import BLOCK_IDS, IdPool
from limpetlanding.entry.router import Peer
from limpetlanding.errors import LimpetlandingError
from limpetlanding.wire.job_messages import AllocateIds, IdBlock

REQUEST_TIMEOUT_S = 1
CHECK_INTERVAL_S = 0.25
"""At 2,000 ids/s, 500 ids are used between two checks: less than the half block
below which a new block is requested."""


class IdSupply:
    """Requests id blocks from every usable agent before its ids run out.

    Parameters
    ----------
    mint : IdPool
        Receives the blocks.
    agents : dict
        Channels by incarnation; the router adds and removes them.
    usable : callable
        Takes an incarnation and tells whether the agent may coordinate new
        jobs.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        mint: IdPool,
        agents: dict[str, Peer],
        usable: Callable[[str], bool],
        clock: Callable[[], float],
    ) -> None:
        self.id_pool = mint
        self.agents = agents
        self.usable = usable
        self.clock = clock
        self.requests: dict[str, asyncio.Task[None]] = {}
        self.block_arrived = asyncio.Event()

    def request_blocks(self) -> None:
        """Request a block from each usable agent with few ids left."""
        now = self.clock()
        for incarnation, channel in self.agents.items():
            requested = incarnation in self.requests
            if requested or not self.usable(incarnation):
                continue
            if self.id_pool.remaining_ids(incarnation, now) < BLOCK_IDS / 2:
                task = asyncio.create_task(self._request(channel))
                self.requests[incarnation] = task

    async def wait_for_block(self, timeout_s: float) -> None:
        """Request blocks and wait until one arrives.

        The wait ends after `timeout_s` or `CHECK_INTERVAL_S`, whichever is
        shorter.
        """
        self.block_arrived.clear()
        self.request_blocks()
        try:
            async with asyncio.timeout(min(timeout_s, CHECK_INTERVAL_S)):
                await self.block_arrived.wait()
        except TimeoutError:
            return

    async def run(self) -> None:
        """Request blocks as needed, every `CHECK_INTERVAL_S`."""
        while True:
            self.request_blocks()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _request(self, channel: Peer) -> None:
        incarnation = channel.peer.incarnation
        try:
            block = await channel.request(
                AllocateIds(BLOCK_IDS), REQUEST_TIMEOUT_S
            )
        except LimpetlandingError as error:
            logger.bind(step=error.step, peer=error.peer).info(
                'request for an id block failed: {}', error.detail
            )
            # An agent that did not answer is asked again at the next check.
            await asyncio.sleep(CHECK_INTERVAL_S)
        else:
            if isinstance(block, IdBlock) and block.incarnation == incarnation:
                self.id_pool.add_block(block, self.clock())
                self.block_arrived.set()
        finally:
            self.requests.pop(incarnation, None)
