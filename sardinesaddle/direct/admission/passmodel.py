"""Predicts how long the passes of a lock-step group take, and what it still sustains.

All ranks of a group run a pass together. A step of it lasts as long as the slowest
rank's own part, plus the part of the most loaded rank in the experts: the mean rank's
work in experts, times the skew of the expert map in force.

A report tells how many requests a rank runs, but not their contexts; the means of the
configuration stand for these. It does not tell whether experts are being copied, during
which passes take ``expertplan.COPY_SLOWDOWN`` longer.
"""

import dataclasses
import math
import typing

from sardinesaddle.direct import catalog

# Headroom of a model that predicts that requests cost no time.
UNLIMITED_REQUESTS: typing.Final = 1e9

# Standard deviations of the prompt tokens in a pass, if requests come at random and the
# lengths of prompts vary as an exponential distribution does. One long pass makes all
# streams of a group late, so the prediction is for the busier passes.
PROMPT_SIGMAS: typing.Final = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class RankLoad:
    """The load of a rank.

    ``waiting`` counts the requests whose prompts are not processed yet. ``slowdown`` 1
    is normal, 2 takes twice as long.
    """

    running: float
    waiting: float = 0.0
    slowdown: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Headroom:
    """How many requests more a group takes, negative if it has too many.

    ``pass_s`` is the predicted duration of the next passes with the present load.
    """

    requests: float
    pass_s: float


class PassModel:
    """The pass times of the groups of a service."""

    __slots__ = ("_engine", "_prompt_tokens", "_request_s")

    def __init__(self, engine: catalog.EngineModel) -> None:
        self._engine = engine
        self._prompt_tokens = max(engine.mean_prompt_tokens, 0.0)
        output_tokens = max(engine.mean_output_tokens, 1.0)
        context = self._prompt_tokens + output_tokens / 2.0
        self._request_s = engine.per_request_s + engine.context_s_per_token * context

    def compute_prefill_s(self, prompt_tokens: float) -> float:
        """Return the time that a prompt takes on an idle rank."""
        engine = self._engine
        pairs = prompt_tokens * prompt_tokens / 2.0
        rate = max(engine.prefill_tokens_per_s, 1.0)
        return prompt_tokens / rate + engine.prefill_s_per_pair * pairs

    def compute_mean_duration_s(self, pass_s: float) -> float:
        """Return the time from the first to the last token of a mean request."""
        steps = max(self._engine.steps_per_pass, 1)
        return max(self._engine.mean_output_tokens, 1.0) / steps * pass_s

    def _compute_prompts_s(
        self, loads: typing.Sequence[RankLoad], more: float
    ) -> float:
        """Return the time for prompts in a step, on all ranks together.

        That is for those that wait, or for as many as may come in a pass by chance
        while requests come as others end.
        """
        engine = self._engine
        steps = max(engine.steps_per_pass, 1)
        tokens = sum(
            min(
                load.waiting * self._prompt_tokens / steps,
                float(engine.prefill_chunk_tokens),
            )
            for load in loads
        )
        prompts = tokens / max(self._prompt_tokens, 1.0)
        requests = more + sum(load.running + load.waiting for load in loads)
        per_pass = max(requests, 0.0) * steps / max(engine.mean_output_tokens, 1.0)
        usual = (per_pass + PROMPT_SIGMAS * math.sqrt(2.0 * per_pass)) / steps
        return max(prompts, usual) * self.compute_prefill_s(self._prompt_tokens)

    def compute_pass_s(
        self, loads: typing.Sequence[RankLoad], skew: float, more: float = 0.0
    ) -> float:
        """Return the duration of a pass with ``more`` requests spread evenly."""
        if not loads:
            return 0.0
        engine = self._engine
        own_share = 1.0 - engine.expert_share
        prompts_s = self._compute_prompts_s(loads, more) / len(loads)
        added_s = prompts_s + more / len(loads) * self._request_s
        works = [
            (load.running + load.waiting) * self._request_s + added_s for load in loads
        ]
        own_s = max(
            max(load.slowdown, 1.0) * (engine.step_s + own_share * work)
            for load, work in zip(loads, works, strict=True)
        )
        mean_work_s = sum(works) / len(works)
        experts_s = engine.expert_share * max(skew, 1.0) * mean_work_s
        return max(engine.steps_per_pass, 1) * (own_s + experts_s)

    def compute_headroom(
        self, loads: typing.Sequence[RankLoad], skew: float, max_pass_s: float
    ) -> Headroom:
        """Return how many requests more fit into passes of ``max_pass_s``.

        The pass time is the maximum of linear functions of the number. The secant to
        one request more at each rank is above it in between, and a little below beyond.
        """
        pass_s = self.compute_pass_s(loads, skew)
        if not loads or max_pass_s <= 0.0:
            return Headroom(UNLIMITED_REQUESTS, pass_s)
        cost_s = self.compute_pass_s(loads, skew, float(len(loads))) - pass_s
        if cost_s <= 0.0:
            return Headroom(UNLIMITED_REQUESTS, pass_s)
        return Headroom((max_pass_s - pass_s) / cost_s * len(loads), pass_s)

    def compute_first_event_s(
        self, load: RankLoad, pass_s: float, prompt_tokens: float
    ) -> float:
        """Return the time from a send to its first event in passes of ``pass_s``.

        A send joins the next pass, half a pass later on average. The prompts that wait
        at the rank are processed before it, a chunk in each step.
        """
        engine = self._engine
        per_pass = max(engine.prefill_chunk_tokens * engine.steps_per_pass, 1)
        tokens = load.waiting * self._prompt_tokens + max(prompt_tokens, 1.0)
        return pass_s * (0.5 + math.ceil(tokens / per_pass))
