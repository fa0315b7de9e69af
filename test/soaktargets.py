"""What targets of the soak state of themselves, and the users' bounds on it.

A target may ask an entry for rest, or state that it leaves. Senders are named with
their process, so that an entry that restarted is another one. Times are the event
loop's.
"""

import random
import typing

from sardinesaddle.platform import headers
from test import directfleet as df
from test import restingtargets

DRAIN_S: typing.Final = 2.0  # the users' bound for requests to a target that leaves
REST_SHARE: typing.Final = 0.02  # of the responses
LEAVING_SHARE: typing.Final = 0.004
REST_TIMES: typing.Final = ("0.4", "1.5", "4", "0", "-1", "soon")
LEAVING_TIMES_S: typing.Final = (1.0, 4.0)  # from the statement to the end
UNFRAMED_SHARE: typing.Final = 0.1  # of the responses without length and chunks


class StatingTarget:
    """The statements of one incarnation of a target."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._rests = restingtargets.RestRecord()
        self._told_at: dict[str, float] = {}
        self._rests_until = 0.0
        self._rest = ""
        # When the last rest ends that a sender was asked for.
        self._last_rest_ends_at = 0.0
        self.is_leaving = False

    def is_held_back(self, now: float) -> bool:
        """Return whether the target leaves, or a sender was asked to let it rest."""
        return self.is_leaving or now < self._last_rest_ends_at

    def find_fault(
        self, now: float, sender: str, sent_at: float, slack_s: float
    ) -> tuple[str, str] | None:
        """Return the promise that an arrival breaks, and how; None for none.

        ``sent_at`` is when the caller sent the request, ``slack_s`` what bounds on it
        are extended by.
        """
        if fault := self._rests.on_arrival(now, sender):
            return "REST", fault
        told_at = self._told_at.get(sender)
        if told_at is not None and sent_at > told_at + DRAIN_S + slack_s:
            return (
                "DRAIN",
                f"a request {sent_at - told_at:.2f} s after it said it leaves",
            )
        return None

    def make_refusal(self, now: float, sender: str) -> bytes | None:
        """Return a refusal that asks a sender for rest, or None to serve it."""
        if now >= self._rests_until:
            if self._rng.random() >= REST_SHARE:
                return None
            self._rest = self._rng.choice(REST_TIMES)
            seconds = headers.parse_decimal(self._rest) or 0.0
            self._rests_until = now + seconds
        seconds = headers.parse_decimal(self._rest) or 0.0
        self._rests.on_rest(now, sender, seconds)
        self._last_rest_ends_at = max(self._last_rest_ends_at, now + seconds)
        fields = [("Content-Length", "0"), (headers.REST, self._rest)]
        if self._rng.random() < 0.8:
            fields.append((headers.NOT_RUN, "1"))
        return df.make_response_head(503, *fields)

    def begin_leaving(self) -> bool:
        """Return whether the target begins to leave with the present response."""
        if self.is_leaving or self._rng.random() >= LEAVING_SHARE:
            return False
        self.is_leaving = True
        return True

    def list_fields(self, now: float, sender: str) -> list[tuple[str, str]]:
        """Return the header fields of a response to a sender."""
        if not self.is_leaving:
            return []
        self._told_at.setdefault(sender, now)
        return [(headers.LEAVING, headers.IS_LEAVING)]


def make_unframed_head(
    attempt_id: str, content_type: str, fields: list[tuple[str, str]]
) -> bytes:
    """Return the head of a signed response that ends with its connection."""
    return df.make_response_head(
        200,
        (headers.ATTEMPT_ID, attempt_id),
        df.SIGNATURE_HEADER,
        ("Content-Type", content_type),
        *fields,
    )
