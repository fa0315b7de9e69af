"""A stand-in for the collective operation that keeps a group's engines in step.

No engine begins a step before all have run the one before it. Each runs under the
order that it holds. The maps that every step was run with are recorded here.
"""

import asyncio

from sardinesaddle.standins import targets


class LockStep:
    """Drives the engines of one group."""

    def __init__(self, engines: list[targets.Engine], step_s: float) -> None:
        self._engines = engines
        self._step_s = step_s
        self._task: asyncio.Task[None] | None = None
        self.maps_by_step: dict[int, set[int]] = {}
        self.stalled_s = 0.0

    def start(self) -> None:
        """Begin to step."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Stop stepping."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        """Run step after step."""
        while True:
            await asyncio.sleep(self._step_s)
            self._run_step()

    def _run_step(self) -> None:
        """Let every engine that may run the lowest step do so."""
        lowest = min(engine.ran_step for engine in self._engines)
        is_stalled = True
        for engine in self._engines:
            version = engine.find_map_version(lowest + 1)
            if engine.ran_step == lowest and version and engine.unfrozen.is_set():
                engine.ran_step = lowest + 1
                self.maps_by_step.setdefault(lowest + 1, set()).add(version)
                is_stalled = False
        if is_stalled and lowest:
            self.stalled_s += self._step_s

    def count_mixed_steps(self) -> int:
        """Return how many steps were run with more than one map."""
        return sum(1 for versions in self.maps_by_step.values() if len(versions) > 1)

    def count_maps(self) -> int:
        """Return how many maps were used."""
        return len(set().union(*self.maps_by_step.values())) if self.maps_by_step else 0

    @property
    def lowest_step(self) -> int:
        """The step that every engine has run."""
        return min(engine.ran_step for engine in self._engines)
