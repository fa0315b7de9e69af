"""Measures how long the passes of a lock-step group take, from readings of its steps.

A slow rank, a poor expert map, a hold that stands: whatever keeps a group from going on
shows as steps that follow slowly, or not at all while requests run.
"""

import typing

WEIGHT: typing.Final = 0.5  # of the newest reading; one is made each 0.1 s


class PassPace:
    """The pace of one group as one of its ranks sees it."""

    __slots__ = ("_changed_at", "_epoch", "_step", "pass_s")

    def __init__(self) -> None:
        self._epoch = -1
        self._step = 0
        self._changed_at = 0.0
        self.pass_s = 0.0

    def on_reading(self, now: float, epoch: int, step: int, is_busy: bool) -> None:
        """Take a reading; ``is_busy`` says that requests run on the rank."""
        past_s = now - self._changed_at
        if epoch != self._epoch or step < self._step or not (is_busy or self.pass_s):
            # A new or idle group tells nothing of its passes.
            self.pass_s = 0.0
        elif step > self._step:
            mean_s = past_s / (step - self._step)
            self.pass_s += WEIGHT * (mean_s - self.pass_s)
        elif is_busy:
            self.pass_s = max(self.pass_s, past_s)
            return
        else:
            # Nothing runs here and nothing moves: the group may be idle.
            self.pass_s = 0.0
        self._epoch, self._step, self._changed_at = epoch, step, now
