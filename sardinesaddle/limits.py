"""Token buckets, and the count of calls in progress at one entry.

The rate of an account is shared over all entries by the module ``leases``; the limit
of calls in progress holds at each entry by itself.
"""

import typing

from sardinesaddle import errorcodes, table

MIN_RETRY_AFTER_S: typing.Final = 0.05


class TokenBucket:
    """A token bucket; time is passed in, in seconds."""

    __slots__ = ("_refilled_at", "_tokens", "burst", "rate")

    def __init__(self, now: float, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._refilled_at = now

    def resize(self, now: float, rate: float, burst: float) -> None:
        """Change the rate and the burst; the level never rises by it."""
        self._refill(now)
        self.rate = rate
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def _refill(self, now: float) -> None:
        """Add what has accrued."""
        if now > self._refilled_at:
            self._tokens = min(
                self.burst, self._tokens + (now - self._refilled_at) * self.rate
            )
            self._refilled_at = now

    def take(self, now: float, count: float = 1.0) -> bool:
        """Take tokens; return False if there are too few."""
        self._refill(now)
        if self._tokens < count:
            return False
        self._tokens -= count
        return True

    def take_up_to(self, now: float, count: float) -> int:
        """Take as many whole tokens as there are, up to ``count``."""
        self._refill(now)
        taken = int(min(self._tokens, count))
        self._tokens -= taken
        return taken

    def compute_delay(self, now: float, count: float = 1.0) -> float:
        """Return the seconds until that many tokens are there."""
        self._refill(now)
        if self._tokens >= count:
            return 0.0
        if self.rate <= 0:
            return 60.0
        return (count - self._tokens) / self.rate


class ConcurrencyLimiter:
    """Counts the calls in progress of each account and service at one entry."""

    __slots__ = ("_in_progress",)

    def __init__(self) -> None:
        self._in_progress: dict[tuple[str, str], int] = {}

    def admit(
        self, account: str, row: table.LimitRow, ran: errorcodes.Ran
    ) -> errorcodes.Refusal | None:
        """Admit a call or refuse it; every admitted call must be released."""
        ident = (row.service, account)
        in_progress = self._in_progress.get(ident, 0)
        if in_progress >= row.concurrency:
            return errorcodes.Refusal(
                errorcodes.CONCURRENCY_LIMITED,
                ran,
                f"{in_progress} calls are in progress; the limit is {row.concurrency}",
                MIN_RETRY_AFTER_S,
            )
        self._in_progress[ident] = in_progress + 1
        return None

    def release(self, account: str, service: str) -> None:
        """Take note that an admitted call ended."""
        ident = (service, account)
        in_progress = self._in_progress.get(ident, 0) - 1
        if in_progress > 0:
            self._in_progress[ident] = in_progress
        else:
            self._in_progress.pop(ident, None)

    def count_in_progress(self) -> dict[str, int]:
        """Return the calls in progress for each service and account."""
        return {f"{s}/{a}": n for (s, a), n in sorted(self._in_progress.items())}
