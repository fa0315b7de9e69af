"""Which request limits the targets state, as an entry knows it.

A target may state in its responses how many requests a second it takes from all
entries together, for as long as it states that. The entries tell each other, so the
order of statements matters: responses may cross, and messages arrive late. A response
was made between its request and its arrival. A lower limit applies at once and is dated
by the arrival. A higher limit, or a response that states none, applies only if its
request was sent after the known statement, and is dated by the request. A statement of
another entry applies if it is dated later than the known one.

A limit belongs to an incarnation of a target; the next one has none until it states it.
Times are the event loop's.
"""

import dataclasses
import typing
import zlib

import loguru

from sardinesaddle.direct import messages

# Statements about incarnations that are no longer registered are kept for so long.
FORGET_S: typing.Final = 60.0


@dataclasses.dataclass(slots=True)
class Statement:
    """The newest statement of an incarnation.

    ``limit`` is in requests a second, None if it no longer states one. ``first_at`` is
    when it first stated a limit, ``stated_at`` the date of this statement.
    """

    limit: float | None
    first_at: float
    stated_at: float
    last_registered_at: float


class LimitStatements:
    """The newest statement of each incarnation that ever stated a limit.

    ``digest`` changes with each limit, last at ``changed_at``; it is 0 without any.
    """

    def __init__(self) -> None:
        self._statements: dict[str, Statement] = {}
        self.digest = 0
        self.changed_at = 0.0
        self._registered: typing.Container[str] = ()

    def get_limit(self, incarnation: str) -> float | None:
        """Return the limit that is in force for an incarnation, or None."""
        statement = self._statements.get(incarnation)
        return None if statement is None else statement.limit

    def get_first_at(self, incarnation: str) -> float:
        """Return when an incarnation first stated a limit; raises KeyError."""
        return self._statements[incarnation].first_at

    def list_limits(self) -> dict[str, float]:
        """Return the limits in force by incarnation."""
        return {
            incarnation: statement.limit
            for incarnation, statement in self._statements.items()
            if statement.limit is not None
        }

    def on_response(
        self, now: float, incarnation: str, sent_at: float, limit: float | None
    ) -> bool:
        """Apply the limit in a response, None for none; return whether it changed.

        ``sent_at`` is when the request was sent.
        """
        known = self._statements.get(incarnation)
        if known is None:
            if limit is None:
                return False
            return self._apply(now, incarnation, limit, now, now, "response")
        is_lower = limit is not None and (known.limit is None or limit <= known.limit)
        if is_lower:
            return self._apply(now, incarnation, limit, known.first_at, now, "response")
        if sent_at <= known.stated_at:
            return False
        return self._apply(now, incarnation, limit, known.first_at, sent_at, "response")

    def merge(
        self, now: float, statements: list[messages.LimitStatement], source: str
    ) -> bool:
        """Apply another entry's statements; return whether a limit changed."""
        has_changed = False
        for wire in statements:
            stated_at = now - wire.age_ms / 1000.0
            first_at = now - wire.first_age_ms / 1000.0
            known = self._statements.get(wire.incarnation)
            if known is None and self._is_forgotten(wire):
                continue
            if known is not None:
                first_at = known.first_at = min(known.first_at, first_at)
                if stated_at <= known.stated_at:
                    continue
            has_changed |= self._apply(
                now, wire.incarnation, wire.limit, first_at, stated_at, source
            )
        return has_changed

    def make_messages(self, now: float) -> list[messages.LimitStatement]:
        """Return all statements, for another entry."""
        return [
            messages.LimitStatement(
                incarnation,
                statement.limit,
                round((now - statement.stated_at) * 1000.0),
                round((now - statement.first_at) * 1000.0),
            )
            for incarnation, statement in self._statements.items()
        ]

    def forget_unregistered(
        self, now: float, registered: typing.Container[str]
    ) -> None:
        """Drop the statements of incarnations that have not been registered lately."""
        self._registered = registered
        for incarnation, statement in list(self._statements.items()):
            if incarnation in registered:
                statement.last_registered_at = now
            elif now - statement.last_registered_at > FORGET_S:
                del self._statements[incarnation]
                self._update_digest(now)

    def _is_forgotten(self, wire: messages.LimitStatement) -> bool:
        """Return whether this entry would have dropped a statement.

        Without this, entries that drop it at different times would keep it forever.
        """
        return (
            wire.incarnation not in self._registered and wire.age_ms / 1000.0 > FORGET_S
        )

    def _apply(
        self,
        now: float,
        incarnation: str,
        limit: float | None,
        first_at: float,
        stated_at: float,
        source: str,
    ) -> bool:
        """Store a statement; log and return whether the limit changed."""
        known = self._statements.get(incarnation)
        previous = None if known is None else known.limit
        self._statements[incarnation] = Statement(limit, first_at, stated_at, now)
        if known is not None and limit == previous:
            return False
        self._update_digest(now)
        loguru.logger.info(
            "event=target_limit target={} limit={} previous={} source={} age_s={:.2f}",
            incarnation,
            limit,
            previous,
            source,
            now - stated_at,
        )
        return True

    def _update_digest(self, now: float) -> None:
        """Compute the digest of all limits, independent of their order."""
        limits = sorted((i, repr(s.limit)) for i, s in self._statements.items())
        self.digest = zlib.crc32(repr(limits).encode()) if limits else 0
        self.changed_at = now
