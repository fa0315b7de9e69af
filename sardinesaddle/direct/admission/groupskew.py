"""Learns for which skew of the experts' load a lock-step group must be planned.

The skew that rank 0 reports is that of the demand some hundred milliseconds ago. When
demand shifts to other experts, passes are long at once, and the map follows about a
second later; a stream that runs meanwhile is late. An entry observes the passes as the
gaps between the events of its streams: each gap is a pass, the same for all streams of
the group. From a gap and the load of the ranks follows the skew that the pass had. The
group is planned for the highest skew of the last ``WINDOW_S``, so that the passes after
the next shift are short enough as well. That costs little: a group with fewer requests
runs shorter passes, so that nearly as many requests end in a second.
"""

import collections
import statistics
import typing

from sardinesaddle.direct.admission import passmodel

# Longer than the usual time between two shifts of demand, 2 to 4 s.
WINDOW_S: typing.Final = 10.0
# Longer gaps have other causes than the load of experts: a held pass, a lost packet.
MAX_SKEW: typing.Final = 4.0
# With fewer requests a rank, the length of a pass tells little of the skew.
MIN_REQUESTS_PER_RANK: typing.Final = 1.0


class SkewMemory:
    """The skews of one group in the last seconds; times are the event loop's."""

    __slots__ = ("_gaps", "_highest")

    def __init__(self) -> None:
        # The longest gap of each stream since the last call of ``learn``.
        self._gaps: dict[str, float] = {}
        # Times and skews, the skews falling: each is the highest since its time.
        self._highest: collections.deque[tuple[float, float]] = collections.deque()

    def on_gap(self, stream: str, gap_s: float) -> None:
        """Record the time between two events of a stream."""
        self._gaps[stream] = max(self._gaps.get(stream, 0.0), gap_s)

    def record(self, now: float, skew: float) -> None:
        """Record a skew that was reported or observed."""
        while self._highest and self._highest[-1][1] <= skew:
            self._highest.pop()
        self._highest.append((now, min(skew, MAX_SKEW)))
        while self._highest[0][0] < now - WINDOW_S:
            self._highest.popleft()

    def learn(
        self,
        now: float,
        model: passmodel.PassModel,
        loads: typing.Sequence[passmodel.RankLoad],
    ) -> None:
        """Record the skew of the longest pass since the last call.

        The median of the streams leaves out gaps that only one of them had.
        """
        gaps, self._gaps = self._gaps, {}
        requests = sum(load.running + load.waiting for load in loads)
        if not gaps or requests < MIN_REQUESTS_PER_RANK * len(loads):
            return
        even_s = model.compute_pass_s(loads, 1.0)
        cost_s = model.compute_pass_s(loads, 2.0) - even_s
        if cost_s > 0.0:
            pass_s = statistics.median_low(list(gaps.values()))
            self.record(now, 1.0 + max(pass_s - even_s, 0.0) / cost_s)

    def find_highest(self, skew: float) -> float:
        """Return the skew to plan for; ``skew`` is the one reported last."""
        return max(skew, self._highest[0][1]) if self._highest else skew
