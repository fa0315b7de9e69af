"""Counters and gauges of each role, in the Prometheus text form.

Each process has a registry of its own, so that several roles can run in one
process for tests and the demo.
"""

import typing

import aioprometheus
import aioprometheus.renderer

LATENCY_BUCKETS_S: typing.Final = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.62, 1.0, 2.5, 5.0, 10.0, 30.0,
)  # fmt: skip


class Metrics:
    """The registry of one process."""

    def __init__(self, role: str, name: str) -> None:
        self.registry = aioprometheus.Registry()
        self._labels = {"role": role, "name": name}

    def make_counter(self, name: str, help_text: str) -> aioprometheus.Counter:
        """Register a counter."""
        return aioprometheus.Counter(
            f"sardinesaddle_{name}",
            help_text,
            const_labels=self._labels,
            registry=self.registry,
        )

    def make_gauge(self, name: str, help_text: str) -> aioprometheus.Gauge:
        """Register a gauge."""
        return aioprometheus.Gauge(
            f"sardinesaddle_{name}",
            help_text,
            const_labels=self._labels,
            registry=self.registry,
        )

    def make_histogram(self, name: str, help_text: str) -> aioprometheus.Histogram:
        """Register a histogram of seconds."""
        return aioprometheus.Histogram(
            f"sardinesaddle_{name}",
            help_text,
            const_labels=self._labels,
            registry=self.registry,
            buckets=list(LATENCY_BUCKETS_S),
        )

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the page of all metrics and its headers."""
        body, headers = aioprometheus.renderer.render(self.registry, [])
        return body, headers


class EntryMetrics(Metrics):
    """What an entry counts."""

    def __init__(self, name: str) -> None:
        super().__init__("entry", name)
        self._answers = self.make_counter("answers_total", "Answers by status.")
        self._refusals = self.make_counter("refusals_total", "Refusals by kind.")
        self._retries = self.make_counter("retries_total", "Attempts after the first.")
        self._first_byte_seconds = self.make_histogram(
            "first_byte_seconds", "Time to the head."
        )
        self._answer_seconds = self.make_histogram("answer_seconds", "Time to the end.")

    def record_answer(self, service: str, status: int, seconds: float) -> None:
        """Count a whole answer."""
        self._answers.inc({"service": service, "status": str(status)})
        self._answer_seconds.observe({"service": service}, seconds)

    def record_first_byte(self, service: str, seconds: float) -> None:
        """Record the time to the head of an answer."""
        self._first_byte_seconds.observe({"service": service}, seconds)

    def record_refusal(self, kind: str, ran: str) -> None:
        """Count a refusal."""
        self._refusals.inc({"kind": kind, "ran": ran})

    def record_retry(self, service: str) -> None:
        """Count an attempt after the first."""
        self._retries.inc({"service": service})


class SidecarMetrics(Metrics):
    """What a sidecar counts."""

    def __init__(self, name: str) -> None:
        super().__init__("sidecar", name)
        self._submits = self.make_counter("submits_total", "Attempts that arrived.")
        self._refusals = self.make_counter("refusals_total", "Refusals by kind.")
        self._run_seconds = self.make_histogram(
            "run_seconds", "Time of calls at the target."
        )

    def record_submit(self) -> None:
        """Count an attempt that arrived."""
        self._submits.inc({})

    def count_refusal(self, kind: str) -> None:
        """Count a refused attempt."""
        self._refusals.inc({"kind": kind})

    def record_run(self, seconds: float) -> None:
        """Record how long a call ran."""
        self._run_seconds.observe({}, seconds)
