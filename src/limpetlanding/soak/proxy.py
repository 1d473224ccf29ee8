"""Loopback proxy that delays, resets, cuts or silences connections."""

import asyncio
import socket
import struct
from contextlib import suppress

_CHUNK_BYTES = 64 * 1024
# SO_LINGER with 0 s sends a reset; otherwise the peer would see an orderly
# close.
_RESET_AT_CLOSE = struct.pack('ii', 1, 0)


class Proxy:
    """Forwards connections and injects faults into them.

    A connection that was cut or silenced never recovers; new connections work
    after `clear_faults`.

    Parameters
    ----------
    listen, target : str
        Address to listen at and address to forward to, each ``host:port``.
    """

    def __init__(self, listen: str, target: str) -> None:
        self.listen = listen
        self.target = target
        self.delay_s: float = 0
        # `cuts_answers` drops the bytes sent back to the caller, `silent` those
        # of both directions.
        self.cuts_answers = False
        self.silent = False
        self.connections: set[_Connection] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen.

        Raises
        ------
        OSError
            If the proxy cannot listen at the address.
        """
        host, _, port = self.listen.rpartition(':')
        self.server = await asyncio.start_server(self._accept, host, int(port))

    def cut_answers(self) -> None:
        """Drop the bytes sent back on all open and new connections."""
        self.cuts_answers = True
        for connection in self.connections:
            connection.drops_answers = True

    def silence(self) -> None:
        """Drop all bytes on all open and new connections."""
        self.silent = True
        for connection in self.connections:
            connection.drops_all = True

    def reset(self) -> None:
        """Reset all connections."""
        for connection in list(self.connections):
            connection.abort()

    def clear_faults(self) -> None:
        """Forward new connections without faults."""
        self.delay_s = 0
        self.cuts_answers = False
        self.silent = False

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
        self.reset()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target.rpartition(':')
        try:
            back = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection(self, (writer, back[1]))
        self.connections.add(connection)
        try:
            await connection.run(reader, back[0])
        finally:
            connection.abort()
            self.connections.discard(connection)


class _Connection:
    """One forwarded connection."""

    def __init__(
        self,
        proxy: Proxy,
        writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter],
    ) -> None:
        self.proxy = proxy
        self.writers = writers
        self.drops_answers = proxy.cuts_answers
        self.drops_all = proxy.silent

    async def run(
        self, caller: asyncio.StreamReader, target: asyncio.StreamReader
    ) -> None:
        """Forward in both directions until one side closes."""
        pumps = [
            asyncio.create_task(self._pump(caller, self.writers[1], False)),
            asyncio.create_task(self._pump(target, self.writers[0], True)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()

    def abort(self) -> None:
        """Reset the connections to both sides."""
        for writer in self.writers:
            connection = writer.get_extra_info('socket')
            if connection.fileno() >= 0:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE
                )
            writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_answer: bool,
    ) -> None:
        with suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                if self.proxy.delay_s:
                    await asyncio.sleep(self.proxy.delay_s)
                if self.drops_all or (is_answer and self.drops_answers):
                    continue
                writer.write(chunk)
                await writer.drain()
