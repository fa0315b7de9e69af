"""An evacuated zone in the soak test, and the check that nothing more reaches it."""

import typing

EVACUATE_S: typing.Final = 5.0  # the users' bound for an evacuation to be in force
ZONE: typing.Final = "z"
KEY: typing.Final = f"op/evacuate/{ZONE}"
TARGET: typing.Final = ("plain", 2)  # the only target in the zone
EVACUATED_S: typing.Final = (6.5, 8.0)  # longer than the bound, so that it applies
IN_SERVICE_S: typing.Final = (0.5, 1.5)
# Whether the store falls silent right after a write, and after how long.
SILENT_SHARE: typing.Final = 0.7
SILENT_AFTER_S: typing.Final = 0.05


class EvacuatedZone:
    """When the zone was evacuated, if it is, and what reached it.

    ``count`` is the number of evacuations, ``late_checks`` that of moments at which the
    bound applied.
    """

    def __init__(self) -> None:
        self._written_at: float | None = None
        # When all entries that are in touch with the store can have read the key.
        self._readable_at: float | None = None
        self.count = self.late_checks = 0

    @property
    def is_evacuated(self) -> bool:
        """Whether the operators want the zone evacuated."""
        return self._written_at is not None

    def on_written(self, now: float) -> None:
        """Record that the key was written."""
        self._written_at, self._readable_at = now, None
        self.count += 1

    def on_deleted(self) -> None:
        """Record that the key was deleted."""
        self._written_at = None

    def on_confirmed(self, now: float, confirmed_at: float) -> None:
        """Record the last time at which entries could read the store."""
        if self._written_at is None:
            return
        if self._readable_at is None and confirmed_at > self._written_at:
            self._readable_at = confirmed_at
        self.late_checks += self._find_late_from() < now

    def _find_late_from(self) -> float:
        """Return the time from which no request may be sent to the zone."""
        if self._written_at is None or self._readable_at is None:
            return float("inf")
        return max(self._written_at + EVACUATE_S, self._readable_at)

    def find_fault(self, sent_at: float, slack_s: float) -> str | None:
        """Return what is wrong with a request that reached the zone, None if nothing.

        ``sent_at`` is when the caller sent it, ``slack_s`` what bounds are extended by.
        """
        if self._written_at is None or sent_at <= self._find_late_from() + slack_s:
            return None
        return f"a request {sent_at - self._written_at:.2f} s after the evacuation"
