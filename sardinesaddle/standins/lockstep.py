"""A stand-in for the collective operation that synchronizes a group's engines.

No engine starts a step before all engines have run the previous one. Each engine runs
a step under its current steps order. The map versions used in each step are recorded.
"""

import asyncio

from sardinesaddle.standins import targets


class LockStep:
    """Runs the steps of one group's engines.

    ``maps_by_step`` holds the map versions used in each step. ``stalled_s`` is the time
    in which no engine could run a step.
    """

    def __init__(self, engines: list[targets.Engine], step_s: float) -> None:
        self._engines = engines
        self._step_s = step_s
        self._task: asyncio.Task[None] | None = None
        self.maps_by_step: dict[int, set[int]] = {}
        self.stalled_s = 0.0

    def start(self) -> None:
        """Start running steps."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Stop running steps."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        """Run a step in each period until cancelled."""
        while True:
            await asyncio.sleep(self._step_s)
            self._run_step()

    def _run_step(self) -> None:
        """Run the next step on the engines that are behind and may run it.

        An engine may not run it while it is frozen or has no order or map for it.
        """
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
        """Return the number of steps in which engines used different maps."""
        return sum(1 for versions in self.maps_by_step.values() if len(versions) > 1)

    def count_maps(self) -> int:
        """Return the number of different maps used."""
        return len(set().union(*self.maps_by_step.values())) if self.maps_by_step else 0

    @property
    def lowest_step(self) -> int:
        """The last step that all engines have run."""
        return min(engine.ran_step for engine in self._engines)
