"""Finds the targets that return: after rest, ejection, evacuation or outage."""

import collections.abc
import math
import typing

from sardinesaddle.direct import targetstate

OUTAGE_S: typing.Final = 3.0  # without a report, several times REPORT_TTL_S
# Silence of a larger share of all targets is a fault of this entry's own links.
OWN_FAULT_SHARE: typing.Final = 0.5
# A pace begins this early before a rest or ejection ends, more than one refresh.
RETURN_LEAD_S: typing.Final = 0.3
# One entry whose own link fails must not make others restrain a target all the time.
EJECTION_PERIOD_S: typing.Final = 10.0


class ReturningTargets:
    """The targets that are away; ``is_available`` is asked for evacuations."""

    def __init__(
        self, is_available: collections.abc.Callable[[targetstate.Target], bool]
    ) -> None:
        self._is_available = is_available
        # By incarnation: when it is returned to, and since when it does not report.
        self._returns: dict[str, float] = {}
        self._silent: set[str] = set()
        self._unavailable: set[str] = set()
        self._ejected_at: dict[str, float] = {}

    def on_rest(self, now: float, incarnation: str, rest_s: float) -> None:
        """Note when a rest ends."""
        self._returns[incarnation] = max(
            self._returns.get(incarnation, 0.0), now + rest_s
        )

    def end_silence(self, incarnation: str) -> bool:
        """Note that a target reports; return whether it did not before."""
        was_silent = incarnation in self._silent
        self._silent.discard(incarnation)
        return was_silent

    def find_silent(
        self, now: float, targets: collections.abc.Collection[targetstate.Target]
    ) -> None:
        """Find targets whose sidecars stopped to report."""
        reporting = [t for t in targets if t.report is not None]
        silent = {
            target.registration.incarnation
            for target in reporting
            if now - target.reported_at >= OUTAGE_S
            or (target.report is not None and not target.report.is_alive)
        }
        if len(silent) > max(OWN_FAULT_SHARE * len(reporting), 1):
            silent = set()
        self._silent = silent

    def find_returning(
        self, now: float, targets: collections.abc.Collection[targetstate.Target]
    ) -> list[tuple[targetstate.Target, str]]:
        """Return the targets whose rest, ejection or evacuation ends, with causes."""
        returning = []
        for target in targets:
            incarnation = target.registration.incarnation
            if not self._is_available(target):
                self._unavailable.add(incarnation)
            elif incarnation in self._unavailable:
                self._unavailable.discard(incarnation)
                returning.append((target, "evacuation"))
            ejected_at = self._ejected_at.get(incarnation, -math.inf)
            if (
                target.ejected_until > now
                and now - ejected_at >= EJECTION_PERIOD_S
                and incarnation not in self._returns
            ):
                self._ejected_at[incarnation] = now
                self._returns[incarnation] = target.ejected_until
            returns_at = self._returns.get(incarnation)
            if returns_at is not None and returns_at - now <= RETURN_LEAD_S:
                del self._returns[incarnation]
                returning.append((target, "returns"))
        return returning

    def keep_only(self, incarnations: set[str]) -> None:
        """Drop what is kept of targets that are no longer registered."""
        for kept in (self._returns, self._ejected_at):
            for incarnation in kept.keys() - incarnations:
                del kept[incarnation]
        self._silent &= incarnations
        self._unavailable &= incarnations
