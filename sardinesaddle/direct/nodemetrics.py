"""The counters and histograms of the direct path."""

from sardinesaddle import metrics


class NodeMetrics(metrics.Metrics):
    """What every process counts."""

    def __init__(self, role: str, name: str) -> None:
        super().__init__(role, name)
        self._dropped_log_lines = self.make_gauge(
            "log_lines_dropped", "Lines over the bound."
        )

    def set_dropped_log_lines(self, lines: int) -> None:
        """Record the log lines that were dropped so far."""
        self._dropped_log_lines.set({}, lines)


class EntryMetrics(NodeMetrics):
    """What an entry counts."""

    def __init__(self, name: str) -> None:
        super().__init__("entry", name)
        self._answers = self.make_counter("answers_total", "Answers by status.")
        self._refusals = self.make_counter("refusals_total", "Own answers by reason.")
        self._retries = self.make_counter("repeats_total", "Sends after the first.")
        self._first_event_seconds = self.make_histogram(
            "first_event_seconds", "To the first event."
        )
        self._answer_seconds = self.make_histogram("answer_seconds", "To the end.")
        self._config_version = self.make_gauge("config_version", "Version in force.")
        self._config_age = self.make_gauge(
            "config_age_seconds", "Age of the store's word."
        )
        self._targets = self.make_gauge("targets", "Targets known.")

    def count_answer(self, service: str, status: int, seconds: float) -> None:
        """Count the end of a request; status 0 is a broken connection."""
        self._answers.inc({"service": service, "status": str(status)})
        self._answer_seconds.observe({"service": service}, seconds)

    def observe_first_event(self, service: str, seconds: float) -> None:
        """Record the time to a stream's first event."""
        self._first_event_seconds.observe({"service": service}, seconds)

    def count_refusal(self, reason: str, status: int) -> None:
        """Count an answer of the entry's own."""
        self._refusals.inc({"reason": reason, "status": str(status)})

    def count_retry(self, service: str) -> None:
        """Count a send after the first."""
        self._retries.inc({"service": service})

    def set_state(
        self, config_version: int, config_age_s: float, target_count: int
    ) -> None:
        """Record what the entry knows."""
        self._config_version.set({}, config_version)
        self._config_age.set({}, min(config_age_s, 1e6))
        self._targets.set({}, target_count)


class SidecarMetrics(NodeMetrics):
    """What a sidecar counts."""

    def __init__(self, name: str) -> None:
        super().__init__("sidecar", name)
        self._orders = self.make_counter("orders_total", "Orders by kind and status.")
        self._switches = self.make_counter("map_switches_total", "Switches by outcome.")
        self._skew = self.make_gauge("group_skew", "Slowest over mean rank.")
        self._hold_seconds = self.make_histogram(
            "group_held_seconds", "Passes held back."
        )

    def count_order(self, kind: str, status: int) -> None:
        """Count an order to the engine; status 0 is no answer."""
        self._orders.inc({"kind": kind, "status": str(status)})

    def count_map_switch(self, outcome: str) -> None:
        """Count a switch of the group's map."""
        self._switches.inc({"outcome": outcome})

    def set_skew(self, skew: float) -> None:
        """Record the group's skew."""
        self._skew.set({}, skew)

    def observe_hold(self, seconds: float) -> None:
        """Record how long a hold stood."""
        self._hold_seconds.observe({}, seconds)
