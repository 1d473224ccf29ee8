"""Output of lines that never blocks and limits the volume."""

import os
from collections import deque
from collections.abc import Callable
from time import monotonic

MAX_WAITING_BYTES = 256 * 1024
"""Bytes queued while the reader of the output is slow or has stopped. Lines
that exceed this limit are dropped."""

MAX_LINES_PER_S = 400
BURST_LINES = 1200
"""Limits of lines per second on average and of lines in a burst. A front in a
burst decides about 200 jobs a second; a line takes about 0.1 ms of processor
time."""


class BoundedOutput:
    """Writes lines to a file descriptor without waiting for its reader.

    A line is dropped if it exceeds the rate limit, which is a token bucket
    with one token per line, or if the queue is full. A notice with the number
    of dropped lines is written before the next line that is accepted.

    Parameters
    ----------
    descriptor : int
        File descriptor; it is set to non-blocking mode.
    clock : callable
        Returns the monotonic time in seconds.

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
        self.refilled_at = clock()
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write or queue a line, or drop it if a limit is exceeded."""
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
        """Write as many queued lines as the descriptor accepts."""
        while self.waiting:
            line = self.waiting[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the output, so discard the lines.
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
        refill = (now - self.refilled_at) * MAX_LINES_PER_S
        self.tokens = min(self.tokens + refill, BURST_LINES)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
