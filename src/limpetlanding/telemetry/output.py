"""Standard output that never blocks and has a bounded volume."""

import os
from collections import deque
from collections.abc import Callable
from time import monotonic

MAX_WAITING_BYTES = 256 * 1024
"""Lines kept while nobody reads the output; above it lines are dropped."""

MAX_LINES_PER_S = 400
BURST_LINES = 1200
"""Lines a second on average and at once. A front in a burst decides about 200
jobs a second; a line costs about 0.1 ms of processor time."""


class BoundedOutput:
    """Writes lines to a file descriptor without waiting for its reader.

    Parameters
    ----------
    descriptor : int
        File descriptor; it is set to non-blocking mode.
    clock : callable
        Monotonic seconds.

    Examples
    --------
    >>> reader, writer = os.pipe()
    >>> output = BoundedOutput(writer)
    >>> output.write('ready')
    >>> os.read(reader, 100)
    b'ready'
    """

    def __init__(
        self, descriptor: int, clock: Callable[[], float] = monotonic
    ) -> None:
        self.descriptor = descriptor
        self.clock = clock
        self.waiting: deque[bytes] = deque()
        self.waiting_bytes = 0
        self.dropped = 0
        self.dropped_total = 0
        self.tokens = float(BURST_LINES)
        self.refilled = clock()
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write a line, or drop it if the volume is exhausted."""
        encoded = line.encode(errors='replace')
        if not self._take_token() or (
            self.waiting_bytes + len(encoded) > MAX_WAITING_BYTES
        ):
            self.dropped += 1
            self.dropped_total += 1
            return
        if self.dropped:
            notice = f'{{"message": "lines dropped", "count": {self.dropped}}}'
            self.dropped = 0
            self._queue(f'{notice}\n'.encode())
        self._queue(encoded)
        self.flush()

    def flush(self) -> None:
        """Write as much as the descriptor takes."""
        while self.waiting:
            line = self.waiting[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone; there is nobody to tell.
                self.waiting.clear()
                self.waiting_bytes = 0
                return
            self.waiting_bytes -= written
            if written < len(line):
                self.waiting[0] = line[written:]
                return
            self.waiting.popleft()

    def _queue(self, line: bytes) -> None:
        self.waiting.append(line)
        self.waiting_bytes += len(line)

    def _take_token(self) -> bool:
        now = self.clock()
        refill = (now - self.refilled) * MAX_LINES_PER_S
        self.tokens = min(self.tokens + refill, BURST_LINES)
        self.refilled = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
