"""Metrics of entries and sidecars of the direct path."""

from sardinesaddle import metrics


class NodeMetrics(metrics.Metrics):
    """Metrics of every process."""

    def __init__(self, role: str, name: str) -> None:
        super().__init__(role, name)
        self._dropped_log_lines = self.make_gauge(
            "log_lines_dropped", "Log lines dropped by the rate limit."
        )

    def set_dropped_log_lines(self, lines: int) -> None:
        """Set the number of log lines dropped since the start."""
        self._dropped_log_lines.set({}, lines)


class EntryMetrics(NodeMetrics):
    """Metrics of an entry."""

    def __init__(self, name: str) -> None:
        super().__init__("entry", name)
        self._responses = self.make_counter(
            "answers_total", "Responses by service and status."
        )
        self._refusals = self.make_counter(
            "refusals_total", "Requests that the entry itself refused, by reason."
        )
        self._retries = self.make_counter("repeats_total", "Retries by service.")
        self._rests = self.make_counter(
            "target_rests_total",
            "Refusals in which targets asked for rest, by service.",
        )
        self._malformed = self.make_counter(
            "malformed_responses_total", "Responses that were malformed, by service."
        )
        self._leaving_targets = self.make_counter(
            "targets_leaving_total", "Targets that stated in responses that they leave."
        )
        self._first_event_seconds = self.make_histogram(
            "first_event_seconds", "Seconds to the first event of a stream."
        )
        self._response_seconds = self.make_histogram(
            "answer_seconds", "Seconds to the end of a response."
        )
        self._config_version = self.make_gauge(
            "config_version", "Version of the configuration in force."
        )
        self._config_age = self.make_gauge(
            "config_age_seconds", "Seconds since the configuration was confirmed."
        )
        self._store_era = self.make_gauge(
            "store_era", "Era of the store, which rises when it is restored."
        )
        self._targets = self.make_gauge("targets", "Targets registered.")
        self._refused_contents = self.make_gauge(
            "refused_contents", "Request contents refused since targets crashed."
        )
        self._probes = self.make_counter(
            "target_probes_total", "Connections after a broken exchange, by outcome."
        )
        self._crashes = self.make_counter(
            "target_crashes_total", "Crashes counted against requests, by evidence."
        )

        self._target_limits = self.make_gauge(
            "target_limit", "Requests a second that a target takes; 0 for no limit."
        )
        self._limit_parts = self.make_gauge(
            "target_limit_part", "Requests a second of it that this entry may send."
        )
        self._limited_targets: set[str] = set()
        self._rest_seconds = self.make_gauge(
            "target_rest_seconds", "Seconds for which a target still wants nothing."
        )
        self._resting_targets: set[str] = set()
        self._evacuated_places = self.make_gauge(
            "place_evacuated", "1 while a place is evacuated, else 0."
        )

        self._cold_targets = self.make_gauge(
            "cold_targets", "Targets that are known to be cold."
        )
        self._cold_permits = self.make_gauge(
            "cold_permits",
            "Requests that this entry may send within 1.25 s to all targets that may"
            " turn cold.",
        )
        self._filled_cold_windows = self.make_counter(
            "cold_permits_used_up_total",
            "Requests that used up this entry's permits for a target.",
        )

        self._pace_windows = self.make_gauge(
            "target_ramp_window", "Requests at once of a target that ramps up, or 0."
        )
        self._pace_parts = self.make_gauge(
            "target_ramp_part", "Requests at once of it that this entry may send."
        )
        self._paced_targets: set[str] = set()

        self._predicted_pass = self.make_gauge(
            "group_pass_predicted_seconds", "Predicted pass time by lock-step group."
        )
        self._capacity_cutoff = self.make_gauge(
            "capacity_cutoff_priority",
            "Most urgent priority that is held back by service; -1 if none is.",
        )
        self._capacity_refusals = self.make_counter(
            "capacity_refusals_total",
            "Requests refused for their share, by service, account and priority.",
        )
        self._predicted_groups: set[tuple[str, str]] = set()

        self._held_bytes = self.make_gauge(
            "request_held_bytes", "Bytes of requests that the entry holds."
        )
        self._dropped_bodies = self.make_gauge(
            "request_bodies_dropped", "Requests that cannot be sent again for memory."
        )
        self._evicted_requests = self.make_gauge(
            "requests_evicted", "Requests that were ended for memory."
        )
        self._closed_connections = self.make_gauge(
            "connections_closed_for_room", "Connections closed for newer ones."
        )
        self._buffered_bytes = self.make_gauge(
            "response_buffered_bytes", "Bytes of responses that the entry holds."
        )
        self._peak_buffered_bytes = self.make_gauge(
            "response_buffered_peak_bytes",
            "The most that it held since the last refresh, in bytes.",
        )
        self._paused_responses = self.make_gauge(
            "responses_paused", "Responses that wait for their callers to read."
        )
        self._response_pauses = self.make_counter(
            "response_pauses_total", "Times that reading from a target paused."
        )
        self._memory_held = self.make_gauge(
            "engine_memory_held_tokens",
            "Tokens that this entry's requests need at all engines.",
        )
        self._memory_limit = self.make_gauge(
            "engine_memory_limit_tokens",
            "Tokens that this entry's requests may need at all engines.",
        )
        self._full_engines = self.make_gauge(
            "engines_full", "Engines whose memory takes no usual request now."
        )
        self._filled_engines = self.make_counter(
            "engines_became_full_total", "Times that an engine's memory became full."
        )
        self._lengths = self.make_gauge(
            "response_length_ratio",
            "Length over the hint that a part of the responses exceeds, by that part.",
        )

    def set_callers(self, held: int, dropped: int, evicted: int, closed: int) -> None:
        """Set what requests hold, and how many of them made room for others so far.

        Of ``dropped`` requests only the body was given up, ``evicted`` were ended, and
        ``closed`` connections were closed.
        """
        self._held_bytes.set({}, held)
        self._dropped_bodies.set({}, dropped)
        self._evicted_requests.set({}, evicted)
        self._closed_connections.set({}, closed)

    def set_buffers(self, held: int, peak: int, paused: int, pauses: int) -> None:
        """Set what responses hold; ``pauses`` adds to its counter."""
        self._buffered_bytes.set({}, held)
        self._peak_buffered_bytes.set({}, peak)
        self._paused_responses.set({}, paused)
        self._response_pauses.add({}, pauses)

    def set_engine_memory(
        self,
        held: float,
        limit: float,
        full: int,
        became_full: int,
        lengths: dict[tuple[str, float], float],
    ) -> None:
        """Set tokens at all engines, and lengths by service and part that exceeds them.

        ``became_full`` adds to its counter.
        """
        self._memory_held.set({}, held)
        self._memory_limit.set({}, limit)
        self._full_engines.set({}, full)
        self._filled_engines.add({}, became_full)
        for (service, part), ratio in lengths.items():
            self._lengths.set({"service": service, "exceeded_by": str(part)}, ratio)

    def set_capacity(
        self, pass_times: dict[tuple[str, str], float], cutoffs: dict[str, int]
    ) -> None:
        """Set pass times by service and group, 0 for those gone, and the cutoffs."""
        for key in self._predicted_groups | pass_times.keys():
            labels = {"service": key[0], "group": key[1]}
            self._predicted_pass.set(labels, pass_times.get(key, 0.0))
        self._predicted_groups = set(pass_times)
        for service, cutoff in cutoffs.items():
            self._capacity_cutoff.set({"service": service}, cutoff)

    def count_capacity_refusal(self, service: str, account: str, priority: int) -> None:
        """Count a request that was refused for its account's or kind's share."""
        self._capacity_refusals.inc(
            {"service": service, "account": account, "priority": str(priority)}
        )

    def count_response(self, service: str, status: int, seconds: float) -> None:
        """Count and time the end of a request; status 0 is a broken connection."""
        self._responses.inc({"service": service, "status": str(status)})
        self._response_seconds.observe({"service": service}, seconds)

    def observe_first_event(self, service: str, seconds: float) -> None:
        """Observe the time from a request to its stream's first event."""
        self._first_event_seconds.observe({"service": service}, seconds)

    def count_refusal(self, reason: str, status: int) -> None:
        """Count a request that the entry refused."""
        self._refusals.inc({"reason": reason, "status": str(status)})

    def count_retry(self, service: str) -> None:
        """Count a retry."""
        self._retries.inc({"service": service})

    def count_rest(self, service: str) -> None:
        """Count a refusal in which a target of a service asked for rest."""
        self._rests.inc({"service": service})

    def count_malformed(self, service: str) -> None:
        """Count a malformed response of a target of a service."""
        self._malformed.inc({"service": service})

    def count_leaving_target(self) -> None:
        """Count a target that stated in a response that it leaves."""
        self._leaving_targets.inc({})

    def count_probe(self, outcome: str) -> None:
        """Count a connection that was made to learn whether a target crashed."""
        self._probes.inc({"outcome": outcome})

    def count_crash(self, evidence: str) -> None:
        """Count a target's crash that counts against requests of this entry."""
        self._crashes.inc({"evidence": evidence})

    def set_rests(self, rests: dict[str, float]) -> None:
        """Set the remaining seconds of targets that rest; others are set to 0."""
        for incarnation in self._resting_targets | rests.keys():
            seconds = rests.get(incarnation, 0.0)
            self._rest_seconds.set({"target": incarnation}, seconds)
        self._resting_targets = set(rests)

    def set_evacuation(self, place: str, is_in_force: bool) -> None:
        """Set whether a place is evacuated."""
        self._evacuated_places.set({"place": place}, float(is_in_force))

    def set_paces(self, windows: dict[str, float], parts: dict[str, int]) -> None:
        """Set the windows of targets that ramp up, and this entry's parts."""
        for incarnation in self._paced_targets | windows.keys():
            labels = {"target": incarnation}
            self._pace_windows.set(labels, windows.get(incarnation, 0.0))
            self._pace_parts.set(labels, parts.get(incarnation, 0))
        self._paced_targets = set(windows)

    def set_target_limits(
        self, limits: dict[str, float], parts: dict[str, float]
    ) -> None:
        """Set the limits in force and this entry's parts; others are set to 0."""
        for incarnation in self._limited_targets | limits.keys():
            labels = {"target": incarnation}
            self._target_limits.set(labels, limits.get(incarnation, 0.0))
            self._limit_parts.set(labels, parts.get(incarnation, 0.0))
        self._limited_targets = set(limits)

    def set_cold_targets(self, cold: int, permits: int, used_up: int) -> None:
        """Set the gauges of cold targets; ``used_up`` adds to its counter."""
        self._cold_targets.set({}, cold)
        self._cold_permits.set({}, permits)
        self._filled_cold_windows.add({}, used_up)

    def set_state(
        self,
        config_version: int,
        config_age_s: float,
        store_era: int,
        target_count: int,
        refused_content_count: int,
    ) -> None:
        """Set the gauges; infinite ages are capped at 1e6 s."""
        self._config_version.set({}, config_version)
        self._store_era.set({}, store_era)
        self._config_age.set({}, min(config_age_s, 1e6))
        self._targets.set({}, target_count)
        self._refused_contents.set({}, refused_content_count)


class SidecarMetrics(NodeMetrics):
    """Metrics of a sidecar."""

    def __init__(self, name: str) -> None:
        super().__init__("sidecar", name)
        self._orders = self.make_counter(
            "orders_total", "Orders to the engine by kind and status."
        )
        self._switches = self.make_counter(
            "map_switches_total", "Switches of the expert map by outcome."
        )
        self._skew = self.make_gauge(
            "group_skew", "Time of the slowest rank over the mean rank."
        )
        self._hold_seconds = self.make_histogram(
            "group_held_seconds", "Seconds from a hold of a pass to its release."
        )
        self._takeovers = self.make_counter(
            "backup_takeovers_total", "Holds that a backup leader acted on, by outcome."
        )
        self._backup_checks = self.make_counter(
            "backup_checks_total",
            "Reads of rank 0's state by a backup leader, by source and result.",
        )

    def count_takeover(self, outcome: str) -> None:
        """Count a hold that this sidecar acted on as a backup leader."""
        self._takeovers.inc({"outcome": outcome})

    def count_backup_check(self, result: str, source: str) -> None:
        """Count a read of rank 0's state, after passes stopped."""
        self._backup_checks.inc({"source": source, "result": result})

    def count_order(self, kind: str, status: int) -> None:
        """Count an order to the engine; status 0 means no response."""
        self._orders.inc({"kind": kind, "status": str(status)})

    def count_map_switch(self, outcome: str) -> None:
        """Count an ended switch of the group's expert map."""
        self._switches.inc({"outcome": outcome})

    def set_skew(self, skew: float) -> None:
        """Set the skew of the group's current map."""
        self._skew.set({}, skew)

    def observe_hold(self, seconds: float) -> None:
        """Observe the duration of a hold."""
        self._hold_seconds.observe({}, seconds)
