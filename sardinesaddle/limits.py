"""Token buckets, and the limit on calls in progress at one entry.

The module ``leases`` shares an account's rate among all entries; the limit on calls in
progress applies at each entry separately.
"""

import typing

from sardinesaddle import errorcodes, table

MIN_RETRY_AFTER_S: typing.Final = 0.05


class TokenBucket:
    """A token bucket; the caller passes the time in seconds."""

    __slots__ = ("_refilled_at", "_tokens", "burst", "rate")

    def __init__(self, now: float, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._refilled_at = now

    def resize(self, now: float, rate: float, burst: float) -> None:
        """Change the rate and the burst without adding tokens."""
        self._refill(now)
        self.rate = rate
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def _refill(self, now: float) -> None:
        """Add the tokens accrued since the last refill."""
        if now > self._refilled_at:
            self._tokens = min(
                self.burst, self._tokens + (now - self._refilled_at) * self.rate
            )
            self._refilled_at = now

    def take(self, now: float, count: float = 1.0) -> bool:
        """Take ``count`` tokens, or none and return False if there are fewer."""
        self._refill(now)
        if self._tokens < count:
            return False
        self._tokens -= count
        return True

    def take_up_to(self, now: float, count: float) -> int:
        """Take up to ``count`` whole tokens and return how many were taken."""
        self._refill(now)
        taken = int(min(self._tokens, count))
        self._tokens -= taken
        return taken

    def compute_delay(self, now: float, count: float = 1.0) -> float:
        """Return the seconds until ``count`` tokens are available.

        A bucket with rate zero never refills; 60 s is returned as a time to ask again.
        """
        self._refill(now)
        if self._tokens >= count:
            return 0.0
        if self.rate <= 0:
            return 60.0
        return (count - self._tokens) / self.rate


class ConcurrencyLimiter:
    """Limits the calls in progress of each account and service at one entry."""

    __slots__ = ("_in_progress",)

    def __init__(self) -> None:
        self._in_progress: dict[tuple[str, str], int] = {}

    def admit(
        self, account: str, row: table.LimitRow, ran: errorcodes.Ran
    ) -> errorcodes.Refusal | None:
        """Count a call or refuse it; every admitted call must be released.

        ``ran`` is what the refusal says about the request's execution.
        """
        limit_key = (row.service, account)
        in_progress = self._in_progress.get(limit_key, 0)
        if in_progress >= row.concurrency:
            return errorcodes.Refusal(
                errorcodes.CONCURRENCY_LIMITED,
                ran,
                f"{in_progress} calls are in progress; the limit is {row.concurrency}",
                MIN_RETRY_AFTER_S,
            )
        self._in_progress[limit_key] = in_progress + 1
        return None

    def release(self, account: str, service: str) -> None:
        """Stop counting an admitted call that ended."""
        limit_key = (service, account)
        in_progress = self._in_progress.get(limit_key, 0) - 1
        if in_progress > 0:
            self._in_progress[limit_key] = in_progress
        else:
            self._in_progress.pop(limit_key, None)

    def count_in_progress(self) -> dict[str, int]:
        """Return the calls in progress, keyed by 'service/account'."""
        return {f"{s}/{a}": n for (s, a), n in sorted(self._in_progress.items())}
