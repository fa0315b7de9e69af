"""Decides how many requests a target that ramps up may have at the same time.

The window is the number of concurrent requests of all entries together. It starts
small, doubles in each round of responses while they come as fast as those of warm
targets, stays while they are slow, and shrinks when the target refuses or fails. A
window is safer than a rate: a target that slows down gets fewer requests at once,
before any response shows that it is slow.
"""

import dataclasses
import enum
import typing

# Responses count as slow above this multiple of the reference. Requests differ in size,
# so that the mean over a few of them varies by a third.
SLOW_RATIO: typing.Final = 1.5
# Above this multiple of its own lowest mean, a slow target is slow because of its load.
RISING_RATIO: typing.Final = 1.25
LATENCY_EWMA_WEIGHT: typing.Final = 0.3  # of the newest response
MIN_SAMPLES: typing.Final = 2  # responses before the window grows from evidence
# Growth of the window in a round of responses that are not slow: doubling at first, a
# quarter once the target refused or failed, since the limit is then known to be near.
ROUND_GROWTH: typing.Final = 1.0
CAREFUL_ROUND_GROWTH: typing.Final = 0.25
# One response stands for at most this many, when other entries hold the other parts.
MAX_RESPONSE_WEIGHT: typing.Final = 2.0
# The window also grows with time, so that a target that few requests reach is in full
# use within MAX_PACE_S: four doublings lead from an eighth of the slots to twice them.
DOUBLING_S: typing.Final = 5.0
MAX_PACE_S: typing.Final = 20.0  # of a target whose responses are not slow
MAX_SLOW_PACE_S: typing.Final = 120.0  # of one that remains slower than the others
EVIDENCE_TTL_S: typing.Final = 2.0  # later, earlier slow responses show nothing
# Parts of the window that are kept after a refusal, and after a failure or crash.
REFUSAL_SHRINK: typing.Final = 0.5
FAILURE_SHRINK: typing.Final = 0.25
USED_SHARE: typing.Final = 0.4  # of the window that must be in use for it to grow
END_SLOTS: typing.Final = 2.0  # multiple of a target's slots that no longer restrains
# A target that answers like the others while the window does not restrain it.
END_SAMPLES: typing.Final = 8
END_MIN_S: typing.Final = 1.0
MIN_WINDOW: typing.Final = 1.0


class EndReason(enum.Enum):
    """Why a ramp-up ended."""

    FULL = "full"
    UNRESTRAINED = "unrestrained"
    TIME = "time"
    PEER = "peer"


@dataclasses.dataclass(slots=True)
class TargetPace:
    """The window of one target.

    ``begun`` counts the ramp-ups of the incarnation and ``shrink_count`` the decreases
    in this one. ``changed_at`` is when the last of either was. ``slots`` are those of
    the target.
    """

    begun: int
    window: float
    changed_at: float
    slots: int
    shrink_count: int = 0
    end_reason: EndReason | None = None
    latency_s: float = 0.0
    lowest_latency_s: float = 0.0
    sample_count: int = 0
    is_slow: bool = False
    answered_at: float = -1e9
    grown_at: float = 0.0
    unrestrained_count: int = 0

    @property
    def version(self) -> tuple[int, int]:
        """Orders the states of a pace; within one, the larger window is newer."""
        return self.begun, self.shrink_count

    @property
    def is_over(self) -> bool:
        """Whether the target is no longer restrained."""
        return self.end_reason is not None

    def on_answer(
        self,
        now: float,
        latency_s: float,
        reference_s: float | None,
        part: int,
        own_in_flight: int,
        total_in_flight: float | None,
    ) -> None:
        """Grow the window if a response was fast and the window was in use.

        ``reference_s`` is the usual latency, None if it is not known; then the lowest
        of the target itself counts. ``part`` is this entry's part of the window, and
        ``total_in_flight`` the requests of all entries, None without a recent report.
        """
        self._observe(now, latency_s, reference_s)
        if self.is_slow or self.sample_count < MIN_SAMPLES:
            self.unrestrained_count = 0
            return
        if own_in_flight * 2 < part:
            self.unrestrained_count += 1
            if (
                self.unrestrained_count >= END_SAMPLES
                and now - self.changed_at >= END_MIN_S
            ):
                self.end_reason = EndReason.UNRESTRAINED
            return
        self.unrestrained_count = 0
        if total_in_flight is not None and total_in_flight < USED_SHARE * self.window:
            return
        growth = CAREFUL_ROUND_GROWTH if self.shrink_count else ROUND_GROWTH
        weight = min(self.window / max(part, 1), MAX_RESPONSE_WEIGHT)
        self.window += growth * weight
        self._end_if_full()

    def _observe(self, now: float, latency_s: float, reference_s: float | None) -> None:
        """Update the mean latency and whether it is slow."""
        if not self.sample_count:
            self.latency_s = self.lowest_latency_s = latency_s
        self.sample_count += 1
        self.latency_s += LATENCY_EWMA_WEIGHT * (latency_s - self.latency_s)
        self.lowest_latency_s = min(self.lowest_latency_s, self.latency_s)
        reference = self.lowest_latency_s if reference_s is None else reference_s
        self.is_slow = self.latency_s > SLOW_RATIO * reference
        self.answered_at = now

    def shrink(self, now: float, sent_at: float, is_failure: bool) -> bool:
        """Shrink the window after a refusal or failure; return whether it changed.

        What was sent before the last decrease does not speak against the window since.
        """
        if self.is_over or (self.shrink_count and sent_at < self.changed_at):
            return False
        kept = FAILURE_SHRINK if is_failure else REFUSAL_SHRINK
        self.window = max(self.window * kept, MIN_WINDOW)
        self.shrink_count += 1
        self.changed_at = now
        self.unrestrained_count = 0
        return True

    def refresh(self, now: float) -> None:
        """Grow the window with time, and end the pace after its longest time."""
        elapsed = min(max(now - self.grown_at, 0.0), 0.5)
        self.grown_at = now
        is_slow = self.is_slow and now - self.answered_at < EVIDENCE_TTL_S
        is_rising = self.latency_s > RISING_RATIO * self.lowest_latency_s
        if not (is_slow and is_rising):
            self.window *= 2.0 ** (elapsed / DOUBLING_S)
        # A slow target may be overloaded by the full use of its slots.
        if not is_slow:
            self._end_if_full()
        if now - self.changed_at >= (MAX_SLOW_PACE_S if is_slow else MAX_PACE_S):
            self.end_reason = self.end_reason or EndReason.TIME

    def _end_if_full(self) -> None:
        """End the pace once its window exceeds what the slots need."""
        if self.window >= END_SLOTS * self.slots:
            self.end_reason = self.end_reason or EndReason.FULL

    def merge(
        self,
        begun: int,
        shrink_count: int,
        window: float,
        changed_at: float,
    ) -> bool:
        """Take over a newer state of another entry; return whether it shrank.

        A window of 0 states that the pace is over.
        """
        version = begun, shrink_count
        if version < self.version:
            return False
        is_newer = version > self.version
        if not is_newer and (self.is_over or 0.0 < window <= self.window):
            return False
        self.begun, self.shrink_count = version
        if is_newer:
            self.end_reason = None
            self.changed_at = changed_at
            self.unrestrained_count = 0
        if window == 0.0:
            self.end_reason = EndReason.PEER
        else:
            self.window = max(window, MIN_WINDOW)
        return is_newer


def make_first_window(slots: int, is_service_cold: bool) -> float:
    """Return the window with which a pace begins.

    An eighth of the slots, 4 at most. If no target of the service is warm, a quarter,
    since the others cannot serve instead.
    """
    if is_service_cold:
        return max(slots / 4.0, 2.0)
    return min(max(slots / 8.0, 1.0), 4.0)


def compute_part(window: float, position: int, holder_count: int) -> int:
    """Return the part of a window of the holder at a position.

    The parts of all holders add up to at most the window.
    """
    if not 0 <= position < holder_count:
        return 0
    share, rest = divmod(int(window), holder_count)
    return share + (position < rest)


def compute_holder_count(entry_count: int, target_count: int) -> int:
    """Return how many entries hold a part of the window of a target.

    Few, so that each sees enough responses and acts on them without messages; and
    enough, since an entry carries entry_count / target_count of a target's requests.
    Two at least, so that the loss of one entry does not leave a target idle.
    """
    needed = -(-2 * entry_count // max(target_count, 1))
    return min(max(needed, 2), entry_count)
