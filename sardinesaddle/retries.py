"""Limits retries with a budget proportional to traffic and jittered backoff.

Each first attempt deposits a fraction of a retry token; each retry withdraws one. The
balance is capped, so that a quiet period cannot save up a retry storm. With a ratio of
one tenth, the targets receive at most 1.1 attempts for each request, whatever fails.
Only entries retry; a sidecar never sends a call to its target twice.
"""

import typing

RETRY_RATIO: typing.Final = 0.1
MAX_RETRY_TOKENS: typing.Final = 10.0
BACKOFF_BASE_S: typing.Final = 0.02
BACKOFF_MAX_S: typing.Final = 1.0
MAX_ATTEMPTS: typing.Final = 4


class RetryBudget:
    """The retry tokens of one entry for one service."""

    __slots__ = ("_tokens", "_ratio", "retries_spent")

    def __init__(
        self, ratio: float = RETRY_RATIO, tokens: float = MAX_RETRY_TOKENS
    ) -> None:
        self._ratio = ratio
        self._tokens = tokens
        self.retries_spent = 0

    def deposit(self) -> None:
        """Add the share of a token that a first attempt earns, up to the cap."""
        self._tokens = min(self._tokens + self._ratio, MAX_RETRY_TOKENS)

    def try_withdraw(self) -> bool:
        """Withdraw one retry token; return False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        self.retries_spent += 1
        return True


def compute_backoff(attempts: int, random_sample: float) -> float:
    """Return the seconds before the next attempt, between half and all of the backoff.

    ``random_sample`` is uniform in [0, 1).
    """
    ceiling_s = min(BACKOFF_BASE_S * 2.0 ** max(attempts - 1, 0), BACKOFF_MAX_S)
    return ceiling_s * (0.5 + random_sample / 2)
