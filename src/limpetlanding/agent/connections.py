"""HTTP connections to one endpoint, each in its own session.

With one connection per session, the agent can choose between an idle and a
new connection, and can close the one that delivered no answer or the answer of
another task. A shared connection pool allows neither.
"""

from dataclasses import dataclass, field

import aiohttp


@dataclass(slots=True)
class Connections:
    """At most `limit` connections to one endpoint.

    Once `retired` is set, each connection is closed after its call.
    """

    limit: int
    connect_timeout_s: float
    keepalive_s: float
    retired: bool = False
    idle: list[aiohttp.ClientSession] = field(default_factory=list)
    in_use: set[aiohttp.ClientSession] = field(default_factory=set)

    @property
    def full(self) -> bool:
        """Whether every connection is in use."""
        return len(self.in_use) >= self.limit

    async def acquire(self, *, fresh: bool = False) -> aiohttp.ClientSession:
        """Return an idle connection, or a new one if `fresh` or none is idle.

        The caller must pass it to `release` or `discard` afterwards, and must
        not have more than `limit` connections in use at a time.
        """
        reuse = self.idle and not fresh
        session = self.idle.pop() if reuse else self._open_session()
        self.in_use.add(session)
        while self.idle and len(self.idle) + len(self.in_use) > self.limit:
            await self.idle.pop(0).close()
        return session

    async def release(self, session: aiohttp.ClientSession) -> None:
        """Return a connection that delivered a complete answer."""
        if self.retired:
            await self.discard(session)
            return
        self.in_use.discard(session)
        self.idle.append(session)

    async def discard(self, session: aiohttp.ClientSession) -> None:
        """Close a connection that must not be reused."""
        self.in_use.discard(session)
        await session.close()

    async def discard_idle(self) -> None:
        """Close all idle connections."""
        while self.idle:
            await self.idle.pop().close()

    async def retire(self) -> None:
        """Close idle connections now and those in use after their calls."""
        self.retired = True
        await self.discard_idle()

    async def close(self) -> None:
        """Close all connections."""
        await self.discard_idle()
        for session in list(self.in_use):
            await self.discard(session)

    def _open_session(self) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(
            limit=1, keepalive_timeout=self.keepalive_s
        )
        # The caller limits the time of the call; this limits only connecting.
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=self.connect_timeout_s
        )
        return aiohttp.ClientSession(
            connector=connector,
            timeout=timeout,
            cookie_jar=aiohttp.DummyCookieJar(),
        )
