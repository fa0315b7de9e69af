"""Log output of the direct path: rate-limited, non-blocking, to standard output.

Lines are buffered in memory and written in batches to a non-blocking descriptor. Lines
over the rate limit, or that arrive when the buffer is full, are dropped and counted;
the count is logged.
"""

import asyncio
import os
import typing

import loguru

from sardinesaddle import logs

FLUSH_PERIOD_S: typing.Final = 0.05
MAX_PENDING_BYTES: typing.Final = 256 * 1024
BURST_S: typing.Final = 2.0  # size of the token bucket, in seconds at the rate limit


class BoundedSink:
    """Log sink with a rate limit and a bounded buffer."""

    def __init__(self, descriptor: int, lines_per_s: float) -> None:
        self._descriptor = descriptor
        self._rate = lines_per_s
        self._tokens = lines_per_s * BURST_S
        self._refilled_at = 0.0
        self._pending = bytearray()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._unreported_drops = 0
        self.dropped = 0

    def attach(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start to write periodically on an event loop."""
        self._loop = loop
        self._refilled_at = loop.time()
        self._flush_periodically()

    def write(self, text: str) -> None:
        """Buffer a line, or drop and count it."""
        if self._loop is not None:
            now = self._loop.time()
            refill = (now - self._refilled_at) * self._rate
            self._tokens = min(self._tokens + refill, self._rate * BURST_S)
            self._refilled_at = now
        if self._tokens < 1.0 or len(self._pending) > MAX_PENDING_BYTES:
            self.dropped += 1
            self._unreported_drops += 1
            return
        self._tokens -= 1.0
        self._pending += text.encode("utf-8", "replace")

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        if self._unreported_drops:
            self._pending += (
                f"event=lines_dropped count={self._unreported_drops}\n".encode()
            )
            self._unreported_drops = 0
        if not self._pending:
            return
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The log has no reader any more.
            self._pending.clear()
            return
        del self._pending[:written]

    def _flush_periodically(self) -> None:
        """Flush, and schedule the next flush."""
        self.flush()
        if self._loop is not None:
            self._loop.call_later(FLUSH_PERIOD_S, self._flush_periodically)


def start_logging(role: str, lines_per_s: float) -> BoundedSink:
    """Send this process's log lines to standard output."""
    descriptor = 1
    os.set_blocking(descriptor, False)
    sink = BoundedSink(descriptor, lines_per_s)
    loguru.logger.remove()
    loguru.logger.configure(extra={"role": role})
    loguru.logger.add(
        typing.cast("typing.Any", sink.write), level="INFO", format=logs.format_record
    )
    return sink
