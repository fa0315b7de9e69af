"""Predicts what a request needs of an engine's memory, from lengths of responses.

Lengths are counted relative to the caller's hint, in classes of equal width on a
logarithmic scale. For each class it is counted how many responses reached it and how
many ended in it, so responses that are running count with what is known of them (the
estimator of Kaplan and Meier). Counting only completed responses would take lengths for
shorter than they are, since the short ones complete first.

All requests that an engine runs grow by a token in each step, and give back prompt and
output when they end. What a request needs is stated for several horizons, which are
numbers of steps from now: its size then, and the chance that it still runs. The needs
of requests can be added (effective bandwidth, from a Chernoff bound): if they add up to
the memory less the margin of the horizon, the memory is exceeded then with a
probability of ``EXCESS_PROBABILITY`` at most.
"""

import dataclasses
import math
import typing

from sardinesaddle.direct import memorygrants

# As Chernoff's bound has it, which is far from tight. With 0.03, a simulated load came
# within 0.05 of the memory; with 0.001, less than 0.65 of it was used for long outputs.
EXCESS_PROBABILITY: typing.Final = 0.01
# Before responses are observed: the standard deviation of the logarithm of a length.
PRIOR_SPREAD: typing.Final = 1.5
PRIOR_WEIGHT: typing.Final = 10.0  # responses in each class
# All lengths may be off by the same factor, which the bound on independent lengths does
# not cover. Until so many responses have ended, a request counts with its mean length
# under the prior, without the chance that it ends soon.
UNKNOWN_WEIGHT: typing.Final = 30.0
UNKNOWN_GROWTH: typing.Final = math.exp(PRIOR_SPREAD**2 / 2.0)  # of the hint
CLASSES_PER_OCTAVE: typing.Final = 2.0
LOWEST_OCTAVE: typing.Final = -5.0
CLASS_COUNT: typing.Final = 26  # up to 256 times the hint
MAX_COUNT: typing.Final = 2000.0  # of responses; then all counts are halved
MAX_EXPONENT: typing.Final = 600.0  # exp is finite up to 709
MIN_HAZARD: typing.Final = 1e-3
MAX_HAZARD: typing.Final = 1.0 - 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSize:
    """Tokens of a request: prompt, expected output, and its maximum, 0 for none."""

    prompt: float
    expected: float
    maximum: float


class ResponseLengths:
    """The lengths of the responses of a service, relative to their hints."""

    __slots__ = ("_ended", "_ended_count", "_log_survival", "_reached")

    def __init__(self) -> None:
        edges = [
            (LOWEST_OCTAVE + number / CLASSES_PER_OCTAVE) * math.log(2.0)
            for number in range(CLASS_COUNT + 1)
        ]
        tails = [0.5 * math.erfc(e / PRIOR_SPREAD / math.sqrt(2.0)) for e in edges]
        self._reached = [PRIOR_WEIGHT] * CLASS_COUNT
        self._ended = [
            PRIOR_WEIGHT * (1.0 - after / before)
            for before, after in zip(tails, tails[1:], strict=False)
        ]
        self._ended_count = 0.0
        # At the lower edge of each class; computed anew after a change.
        self._log_survival: list[float] | None = None

    def count_reached(self, size: RequestSize, before: float, tokens: float) -> None:
        """Count that a response grew from a number of tokens to another."""
        first = 0 if before <= 0.0 else int(find_class(size, before)) + 1
        for number in range(first, min(int(find_class(size, tokens)) + 1, CLASS_COUNT)):
            self._reached[number] += 1.0
            self._log_survival = None

    def count_ended(self, size: RequestSize, tokens: float) -> None:
        """Count that a response ended, unless its maximum ended it."""
        if size.maximum and tokens >= size.maximum:
            return
        number = min(int(find_class(size, tokens)), CLASS_COUNT - 1)
        self._ended[number] += 1.0
        self._ended_count += 1.0
        self._log_survival = None
        if self._ended_count > MAX_COUNT:
            self._ended_count /= 2.0
            self._reached = [count / 2.0 for count in self._reached]
            self._ended = [count / 2.0 for count in self._ended]

    def find_quantile(self, chance: float) -> float:
        """Return the length, relative to the hint, that a part of responses exceeds."""
        survival = self._get_log_survival()
        number = 0
        while number < CLASS_COUNT and survival[number] > math.log(chance):
            number += 1
        return math.exp2(LOWEST_OCTAVE + number / CLASSES_PER_OCTAVE)

    def _get_log_survival(self) -> list[float]:
        """Return the logarithms of the chances to reach each class."""
        if self._log_survival is None:
            total = 0.0
            self._log_survival = [0.0]
            for reached, ended in zip(self._reached, self._ended, strict=True):
                hazard = min(max(ended / reached, MIN_HAZARD), MAX_HAZARD)
                total += math.log1p(-hazard)
                self._log_survival.append(total)
        return self._log_survival

    def _compute_log_survival(self, size: RequestSize, tokens: float) -> float:
        """Return the logarithm of the chance to reach a number of tokens."""
        survival = self._get_log_survival()
        position = find_class(size, tokens)
        number = min(int(position), CLASS_COUNT - 1)
        change = survival[number + 1] - survival[number]
        return survival[number] + (position - number) * change

    def compute_need(
        self, size: RequestSize, produced: float, total: float
    ) -> list[float]:
        """Return what a request needs of a memory of ``total`` tokens, by horizon.

        ``produced`` is the number of output tokens that there are by now.
        """
        held = size.prompt + produced
        log_survival_now = self._compute_log_survival(size, produced)
        certain = self._compute_certain_growth(size) - produced
        unknown = UNKNOWN_WEIGHT / (UNKNOWN_WEIGHT + self._ended_count)
        needs = []
        for horizon in memorygrants.HORIZONS:
            exponent = -math.log(EXCESS_PROBABILITY) / (horizon.margin * total)
            steps = float(horizon.steps)
            grown = exponent * (held + steps)
            need = 0.0
            if not size.maximum or produced + steps < size.maximum:
                log_survival = (
                    self._compute_log_survival(size, produced + steps)
                    - log_survival_now
                )
                logarithm = grown + log_survival
                if grown <= MAX_EXPONENT:
                    logarithm = math.log1p(math.exp(log_survival) * math.expm1(grown))
                need = logarithm / exponent
            if steps <= certain:
                need += max(held + steps - need, 0.0) * unknown
            needs.append(min(need, horizon.compute_budget(total)))
        return needs

    def _compute_certain_growth(self, size: RequestSize) -> float:
        """Return the output that counts in full while too few lengths are known."""
        growth = UNKNOWN_GROWTH * size.expected
        return min(growth, size.maximum) if size.maximum else growth


def find_class(size: RequestSize, tokens: float) -> float:
    """Return the class of a length, with the position in it as a fraction."""
    if tokens <= 0.0:
        return 0.0
    octave = math.log2(tokens / size.expected)
    return max((octave - LOWEST_OCTAVE) * CLASSES_PER_OCTAVE, 0.0)
