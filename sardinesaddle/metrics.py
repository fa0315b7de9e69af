"""Prometheus metrics of entries and sidecars.

Each role has its own registry, since tests and the demo run several roles in one
operating system process.
"""

import typing

import aioprometheus
import aioprometheus.renderer

LATENCY_BUCKETS_S: typing.Final = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.62, 1.0, 2.5, 5.0, 10.0, 30.0,
)  # fmt: skip


class Metrics:
    """The metrics registry of one role; ``role`` and ``name`` label every metric."""

    def __init__(self, role: str, name: str) -> None:
        self.registry = aioprometheus.Registry()
        self._labels = {"role": role, "name": name}

    def make_counter(self, name: str, help_text: str) -> aioprometheus.Counter:
        """Register and return a counter ``sardinesaddle_NAME``."""
        return aioprometheus.Counter(
            f"sardinesaddle_{name}",
            help_text,
            const_labels=self._labels,
            registry=self.registry,
        )

    def make_gauge(self, name: str, help_text: str) -> aioprometheus.Gauge:
        """Register and return a gauge ``sardinesaddle_NAME``."""
        return aioprometheus.Gauge(
            f"sardinesaddle_{name}",
            help_text,
            const_labels=self._labels,
            registry=self.registry,
        )

    def make_histogram(self, name: str, help_text: str) -> aioprometheus.Histogram:
        """Register and return a histogram ``sardinesaddle_NAME`` of seconds."""
        return aioprometheus.Histogram(
            f"sardinesaddle_{name}",
            help_text,
            const_labels=self._labels,
            registry=self.registry,
            buckets=list(LATENCY_BUCKETS_S),
        )

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return all metrics in the Prometheus text format, and the HTTP headers."""
        body, headers = aioprometheus.renderer.render(self.registry, [])
        return body, headers


class EntryMetrics(Metrics):
    """Metrics of an entry."""

    def __init__(self, name: str) -> None:
        super().__init__("entry", name)
        self._answers = self.make_counter(
            "answers_total", "Complete answers by HTTP status."
        )
        self._refusals = self.make_counter("refusals_total", "Refusals by error code.")
        self._retries = self.make_counter(
            "retries_total", "Attempts of a call after its first one."
        )
        self._first_byte_seconds = self.make_histogram(
            "first_byte_seconds", "Time to the head of an answer."
        )
        self._answer_seconds = self.make_histogram(
            "answer_seconds", "Time to the end of an answer."
        )

    def record_answer(self, service: str, status: int, seconds: float) -> None:
        """Count a complete answer and the time that its call took."""
        self._answers.inc({"service": service, "status": str(status)})
        self._answer_seconds.observe({"service": service}, seconds)

    def record_first_byte(self, service: str, seconds: float) -> None:
        """Add the time from a call's arrival to the head of its answer."""
        self._first_byte_seconds.observe({"service": service}, seconds)

    def record_refusal(self, kind: str, ran: str) -> None:
        """Count a refusal by error code and by what is known of its execution."""
        self._refusals.inc({"kind": kind, "ran": ran})

    def record_retry(self, service: str) -> None:
        """Count an attempt after the first one of its call."""
        self._retries.inc({"service": service})


class SidecarMetrics(Metrics):
    """Metrics of a sidecar."""

    def __init__(self, name: str) -> None:
        super().__init__("sidecar", name)
        self._submits = self.make_counter(
            "submits_total", "Attempts received from entries."
        )
        self._refusals = self.make_counter("refusals_total", "Refusals by error code.")
        self._run_seconds = self.make_histogram(
            "run_seconds", "Time that calls took at the target."
        )

    def record_submit(self) -> None:
        """Count an attempt received from an entry."""
        self._submits.inc({})

    def record_refusal(self, kind: str) -> None:
        """Count a refused attempt by error code."""
        self._refusals.inc({"kind": kind})

    def record_run(self, seconds: float) -> None:
        """Add the time that a call took at the target."""
        self._run_seconds.observe({}, seconds)
