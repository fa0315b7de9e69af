"""Bounds what is sent again: a budget as a share of traffic, and jittered backoff.

Each first attempt earns a fraction of a retry; each retry spends one. The account
is capped, so a quiet hour does not save up a storm. With a share of one tenth, the
targets see at most 1.1 attempts for each request, whatever fails. Only entries
retry; a sidecar never sends a call to its target twice.
"""

import typing

RETRY_RATIO: typing.Final = 0.1
MAX_RETRY_TOKENS: typing.Final = 10.0
BACKOFF_BASE_S: typing.Final = 0.02
BACKOFF_MAX_S: typing.Final = 1.0
MAX_ATTEMPTS: typing.Final = 4


class RetryBudget:
    """The retries that one entry may make for one service."""

    __slots__ = ("_tokens", "_ratio", "retries_spent")

    def __init__(
        self, ratio: float = RETRY_RATIO, tokens: float = MAX_RETRY_TOKENS
    ) -> None:
        self._ratio = ratio
        self._tokens = tokens
        self.retries_spent = 0

    def deposit(self) -> None:
        """Take note of a first attempt."""
        self._tokens = min(self._tokens + self._ratio, MAX_RETRY_TOKENS)

    def try_withdraw(self) -> bool:
        """Take one retry from the budget; return False if it is used up."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        self.retries_spent += 1
        return True


def compute_backoff(attempts: int, random_sample: float) -> float:
    """Return the seconds before the next attempt; ``draw`` is uniform in [0, 1)."""
    ceiling_s = min(BACKOFF_BASE_S * 2.0 ** max(attempts - 1, 0), BACKOFF_MAX_S)
    return ceiling_s * (0.5 + random_sample / 2)
