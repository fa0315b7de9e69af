"""Explains where an entry would send a request now, and why, without sending it.

The choice is made by the code that makes it for requests, with a copy of the entry's
random number generator, so that a request sent at once gets the target named here. The
request has no body: refusals for a content that crashed targets are not explained,
those for a part of its prompt are.
"""

import math
import random
import typing

import msgspec

from sardinesaddle.direct import (
    callermemory,
    crashdetector,
    entrystate,
    forward,
    headercodec,
    requestscheduler,
    requeststate,
    targetpool,
    targetstate,
)
from sardinesaddle.direct.admission import sendconstraint


class Query(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The request to explain; ``account`` is named, its key is not needed."""

    host: str
    path: str
    account: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: str = ""


class VerdictLine(msgspec.Struct, frozen=True):
    """What one constraint decides; ``wait_s`` is None if it is not known."""

    constraint: str
    decision: str
    reason: str
    wait_s: float | None


class TargetLine(msgspec.Struct, frozen=True):
    """A candidate; ``report_age_s`` is None without a report.

    ``load`` is that with one more request, per slot, with all penalties; the lowest is
    chosen. ``excluded_by`` is why the target is no candidate, empty if it is one.
    """

    target: str
    place: str
    group: str
    in_subset: bool
    load: float
    in_flight: float
    slots: int
    report_age_s: float | None
    ejected_s: float
    excluded_by: str
    verdicts: list[VerdictLine]


class Explanation(msgspec.Struct, frozen=True):
    """Where a request would go now.

    ``outcome`` is "send", "wait" or "refuse"; ``target`` is set for "send", ``wait_s``
    for "wait" if it is known, and ``status`` and ``retry_after_s`` for "refuse".
    ``config_age_s`` is the time since the configuration was confirmed.
    """

    outcome: str
    reason: str
    config_version: int
    config_age_s: float
    route: str = ""
    service: str = ""
    account: str = ""
    priority: int = 0
    homes: list[str] | None = None
    waiting: int = 0
    target: str = ""
    wait_s: float | None = None
    status: int = 0
    retry_after_s: float = 0.0
    targets: list[TargetLine] = []


class QueryFault(msgspec.Struct, frozen=True):
    """Returned for a query that cannot be explained; ``text`` names the remedy."""

    text: str


class Explainer:
    """Explains requests from an entry's present state, and changes none of it."""

    def __init__(
        self,
        entry_state: entrystate.EntryState,
        targets: targetpool.TargetPool,
        forwarder: forward.Forwarder,
        scheduler: requestscheduler.RequestScheduler,
        crashes: crashdetector.CrashDetector,
        rng: random.Random,
    ) -> None:
        self._entry_state = entry_state
        self._targets = targets
        self._forwarder = forwarder
        self._scheduler = scheduler
        self._crashes = crashes
        self._rng = rng

    def explain(self, now: float, query: Query) -> Explanation | QueryFault:
        """Return where the request would go at ``now``, the event loop's time."""
        rng = random.Random()
        rng.setstate(self._rng.getstate())
        key = self._find_key(query.account)
        if isinstance(key, QueryFault):
            return key
        state = self._forwarder.resolve_request(make_request(now, query, key), rng)
        if isinstance(state, requeststate.Refusal):
            return self._refuse(None, state.status, state.reason, state.retry_after_s)
        refusal = self._crashes.find_refusal(state.fingerprint)
        if refusal is not None:
            status = requeststate.STATUS_NOT_RUN
            return self._refuse(state, status, "quarantined", refusal.retry_after_s)
        return self._choose(now, state, rng)

    def _find_key(self, account: str) -> str | None | QueryFault:
        """Return a key of an account, which stays in this process."""
        current = self._entry_state.catalog
        if not account or current is None:
            return None
        for key, known in current.accounts.items():
            if known.name == account:
                return key
        return QueryFault(
            f"account {account!r} does not exist in configuration {current.version};"
            " name one of the configuration's accounts"
        )

    def _choose(
        self, now: float, state: requeststate.RequestState, rng: random.Random
    ) -> Explanation:
        """Explain the choice of a target."""
        pool, service, traits = self._targets, state.service, state.traits
        entry_count = self._entry_state.count_entries()
        lines = [
            self._explain_target(now, target, entry_count, traits)
            for target in pool.list_targets()
            if target.registration.service == service
        ]
        queued = self._forwarder.make_queued_request(state, now)
        waiting = self._scheduler.count_waiting(service)
        if not waiting:
            chosen = pool.choose_target(
                now,
                service,
                (),
                entry_count,
                rng.random,
                queued.crash_count,
                queued.group,
                traits,
            )
            if chosen is not None:
                return self._describe(
                    state, "send", "lowest load", lines, target=chosen.target_id
                )
        wait_s = pool.compute_wait_s(now, service, (), waiting, traits)
        if waiting or self._scheduler.may_wait(now, service, queued):
            return self._describe(
                state,
                "wait",
                "others wait" if waiting else find_common_reason(lines),
                lines,
                waiting=waiting,
                wait_s=wait_s,
            )
        reason, retry_after_s = self._forwarder.explain_no_target(
            state, rng, self._forwarder.copy_return_times(), is_counted=False
        )
        return self._describe(
            state,
            "refuse",
            reason,
            lines,
            status=requeststate.STATUS_NOT_RUN,
            retry_after_s=round(retry_after_s, 3),
        )

    def _explain_target(
        self,
        now: float,
        target: targetstate.Target,
        entry_count: int,
        traits: sendconstraint.RequestTraits,
    ) -> TargetLine:
        """Explain one target of the service."""
        pool = self._targets
        excluded_by = pool.find_exclusion(target)
        if not excluded_by and not pool.is_group_open(now, target):
            excluded_by = "group_closed"
        report_age_s = None
        if target.report is not None:
            report_age_s = round(now - target.reported_at, 3)
        return TargetLine(
            target.target_id,
            target.registration.place,
            target.group,
            target.target_id in pool.list_subset(target.registration.service),
            round(pool.compute_load(now, target, entry_count), 3),
            target.estimate_in_flight(now, entry_count),
            target.registration.slots,
            report_age_s,
            round(max(target.ejected_until - now, 0.0), 3),
            excluded_by,
            [
                VerdictLine(
                    name,
                    verdict.decision.value,
                    verdict.reason,
                    round(verdict.wait_s, 3) if math.isfinite(verdict.wait_s) else None,
                )
                for name, verdict in pool.list_verdicts(
                    now, target, entry_count, traits
                )
            ],
        )

    def _describe(
        self,
        state: requeststate.RequestState,
        outcome: str,
        reason: str,
        lines: list[TargetLine],
        **details: typing.Any,
    ) -> Explanation:
        """Return the explanation of a request that matched a route."""
        homes = state.traits.homes
        return Explanation(
            outcome,
            reason,
            self._entry_state.config_version,
            round(self._entry_state.compute_config_age(), 3),
            state.route.name,
            state.service,
            state.traits.account,
            forward.compute_priority(state.route, state.account),
            None if homes is None else sorted(homes),
            targets=lines,
            **details,
        )

    def _refuse(
        self,
        state: requeststate.RequestState | None,
        status: int,
        reason: str,
        retry_after_s: float,
    ) -> Explanation:
        """Return the explanation of a request that is refused before a choice."""
        if state is not None:
            return self._describe(
                state, "refuse", reason, [], status=status, retry_after_s=retry_after_s
            )
        age_s = self._entry_state.compute_config_age()
        return Explanation(
            "refuse",
            reason,
            self._entry_state.config_version,
            round(age_s, 3) if math.isfinite(age_s) else -1.0,
            status=status,
            retry_after_s=retry_after_s,
        )


def find_common_reason(lines: list[TargetLine]) -> str:
    """Return the reason that most candidates give against the request."""
    reasons = [
        line.excluded_by
        or next((v.reason for v in line.verdicts if v.decision != "allowed"), "")
        for line in lines
    ]
    named = [reason for reason in reasons if reason]
    return max(set(named), key=named.count, default="no_target")


def make_request(now: float, query: Query, key: str | None) -> requeststate.Request:
    """Return the request of a query, without headers and body."""
    parts = tuple(part for part in query.parts.lower().split(",") if part)
    metadata = headercodec.RequestMetadata(
        attempt_id="",
        timeout_s=None,
        api_key=key,
        prompt_tokens=query.prompt_tokens,
        max_output_tokens=query.output_tokens,
        output_tokens_hint=None,
        last_event_id=None,
        prompt_parts=parts,
    )
    return requeststate.Request(
        "GET",
        query.host,
        query.path,
        [],
        b"",
        now,
        metadata,
        callermemory.open_uncounted(),
    )
