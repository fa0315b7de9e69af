"""Keeps the usual latencies of warm targets, with which others are compared."""

import collections.abc
import dataclasses
import statistics
import typing

from sardinesaddle.direct import targetstate

MIN_REFERENCE_SAMPLES: typing.Final = 3
USUAL_EWMA_WEIGHT: typing.Final = 0.1  # of the newest response of a warm target


@dataclasses.dataclass(slots=True)
class UsualLatency:
    """The mean latency of a target while it is warm, and what it is a mean of."""

    service: str
    latency_s: float
    sample_count: int = 1


class UsualLatencies:
    """The usual latencies by target identifier, and their medians by service."""

    def __init__(self) -> None:
        self._usual: dict[str, UsualLatency] = {}
        self._references: dict[str, float] = {}

    def note(self, target: targetstate.Target, latency_s: float) -> None:
        """Update the usual latency of a warm target."""
        usual = self._usual.get(target.target_id)
        if usual is None:
            self._usual[target.target_id] = UsualLatency(
                target.registration.service, latency_s
            )
            return
        usual.sample_count += 1
        usual.latency_s += USUAL_EWMA_WEIGHT * (latency_s - usual.latency_s)

    def get_reference(self, target: targetstate.Target) -> float | None:
        """Return the median of the warm targets of the service, or its own usual."""
        reference = self._references.get(target.registration.service)
        if reference is None and target.target_id in self._usual:
            return self._usual[target.target_id].latency_s
        return reference

    def compute_references(
        self,
        services: collections.abc.Iterable[str],
        is_ramping: collections.abc.Callable[[str], bool],
    ) -> None:
        """Compute the median latency of the warm targets of services.

        ``is_ramping`` returns whether the target with an identifier ramps up.
        """
        self._references = {}
        samples: dict[str, list[float]] = {service: [] for service in services}
        if not samples:
            return
        for target_id, usual in self._usual.items():
            if usual.service not in samples:
                continue
            if is_ramping(target_id):
                continue
            if usual.sample_count >= MIN_REFERENCE_SAMPLES:
                samples[usual.service].append(usual.latency_s)
        for service, latencies in samples.items():
            if latencies:
                self._references[service] = statistics.median(latencies)

    def forget(self, target_id: str) -> None:
        """Drop what is kept of a target that is gone."""
        self._usual.pop(target_id, None)
