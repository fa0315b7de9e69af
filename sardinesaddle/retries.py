"""Bounds what is sent again: a budget as a share of traffic, and jittered backoff.

Each first attempt earns a fraction of a retry; each retry spends one. The account
is capped, so a quiet hour does not save up a storm. With a share of one tenth, the
targets see at most 1.1 attempts for each request, whatever fails. Only entries
retry; a sidecar never sends a call to its target twice.
"""

import typing

RETRY_SHARE: typing.Final = 0.1
MAX_SAVED_RETRIES: typing.Final = 10.0
BACKOFF_FIRST_S: typing.Final = 0.02
BACKOFF_LIMIT_S: typing.Final = 1.0
MAX_ATTEMPTS: typing.Final = 4


class RetryBudget:
    """The retries that one entry may make for one service."""

    __slots__ = ("_saved", "_share", "spent")

    def __init__(
        self, share: float = RETRY_SHARE, saved: float = MAX_SAVED_RETRIES
    ) -> None:
        self._share = share
        self._saved = saved
        self.spent = 0

    def earn(self) -> None:
        """Take note of a first attempt."""
        self._saved = min(self._saved + self._share, MAX_SAVED_RETRIES)

    def spend(self) -> bool:
        """Take one retry from the budget; return False if it is used up."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        self.spent += 1
        return True


def compute_backoff(attempts: int, draw: float) -> float:
    """Return the seconds before the next attempt; ``draw`` is uniform in [0, 1)."""
    ceiling_s = min(BACKOFF_FIRST_S * 2.0 ** max(attempts - 1, 0), BACKOFF_LIMIT_S)
    return ceiling_s * (0.5 + draw / 2)
