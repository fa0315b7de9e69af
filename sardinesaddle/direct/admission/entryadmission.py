"""The parts of an entry that decide on sends.

``build_parts`` builds the parts that the settings ask for. ``EntryAdmission`` passes
what happens to all of them, in the order of the list.
"""

import collections.abc
import random

import loguru

from sardinesaddle.direct import (
    catalog,
    headercodec,
    messages,
    nodemetrics,
    nodesettings,
    replica,
    requestqueue,
    storedecoder,
    targetstate,
)
from sardinesaddle.direct.admission import (
    admissionpart,
    coldlimits,
    enginememory,
    evacuations,
    homes,
    scarcecapacity,
    sendconstraint,
    targetpaces,
)


def build_parts(
    cfg: nodesettings.EntrySettings,
    now: float,
    store_decoder: storedecoder.StoreDecoder,
    on_availability_change: collections.abc.Callable[[], None],
) -> list[admissionpart.AdmissionPart]:
    """Return the parts that the settings ask for, in the order in which to ask them.

    ``now`` is the start of the process. ``on_availability_change`` is called when a
    message of another entry changes which targets are available.
    """
    parts: list[admissionpart.AdmissionPart] = []

    def is_in_service(target: targetstate.Target) -> bool:
        """Return whether a target is in no evacuated zone."""
        return all(
            part.is_available(target)
            for part in parts
            if isinstance(part, evacuations.EvacuationPart)
        )

    bounds = cfg.bounds
    if bounds.evacuation_s is not None:
        parts.append(
            evacuations.EvacuationPart(
                store_decoder, bounds.evacuation_s, on_availability_change
            )
        )
    # Allows all requests unless the configuration names regions.
    parts.append(homes.HomePart(cfg.places))
    overage, slack = bounds.cold_overage, bounds.cold_slack
    if overage is not None and slack is not None:
        parts.append(coldlimits.ColdLimits(cfg.host, now, overage, slack))
    elif overage is not None or slack is not None:
        loguru.logger.warning(
            "event=settings_incomplete bounds=cold_overage,cold_slack"
            " remedy=state_both_or_none"
        )
    if cfg.ramp_up:
        parts.append(targetpaces.TargetPaces(cfg.host, is_in_service))
    if cfg.bounds_engine_memory:
        parts.append(enginememory.EngineMemory(random.getrandbits(32)))
    if cfg.share_capacity:
        parts.append(scarcecapacity.ScarceCapacity(random.Random(), is_in_service))
    return parts


class EntryAdmission:
    """The parts of an entry, in the order of ``build_parts``."""

    def __init__(
        self, parts: collections.abc.Sequence[admissionpart.AdmissionPart]
    ) -> None:
        self._parts = parts
        # Whether a request that fits may pass one that does not.
        self.lets_others_pass = any(
            isinstance(part, enginememory.EngineMemory) for part in parts
        )
        self.constraints = [
            constraint for part in parts for constraint in part.list_constraints()
        ]

    def on_catalog(self, now: float, current: catalog.Catalog) -> None:
        """Handle that a configuration came into force."""
        for part in self._parts:
            part.on_catalog(now, current)

    def on_store_change(
        self, now: float, change: replica.Change, position: replica.Position
    ) -> bool:
        """Handle a change of the store; return whether available targets change."""
        results = [part.on_store_change(now, change, position) for part in self._parts]
        return any(results)

    def is_available(self, target: targetstate.Target) -> bool:
        """Return whether a target may get new requests at all."""
        return all(part.is_available(target) for part in self._parts)

    def on_registered(self, now: float, target: targetstate.Target) -> None:
        """Handle that a target was registered or its registration changed."""
        for part in self._parts:
            part.on_registered(now, target)

    def on_report(
        self, now: float, target: targetstate.Target, report: messages.Report
    ) -> None:
        """Handle a sidecar's report."""
        for part in self._parts:
            part.on_report(now, target, report)

    def make_memory_use(
        self, now: float, target: targetstate.Target
    ) -> messages.MemoryUse | None:
        """Return what the first part that decides on memory states, None if none."""
        uses = (part.make_memory_use(now, target) for part in self._parts)
        return next((use for use in uses if use is not None), None)

    def on_request(
        self, now: float, service: str, request: sendconstraint.RequestTraits
    ) -> None:
        """Handle that a caller's request arrived."""
        for part in self._parts:
            part.on_request(now, service, request)

    def find_policy(self, service: str) -> requestqueue.QueuePolicy | None:
        """Return the policy of the first part that has one for a service's queue."""
        policies = (part.find_policy(service) for part in self._parts)
        return next((policy for policy in policies if policy is not None), None)

    def is_return(self, now: float, service: str, content_id: str) -> bool:
        """Return whether a part refused a content that comes back as told."""
        return any(part.is_return(now, service, content_id) for part in self._parts)

    def refuse(
        self,
        now: float,
        service: str,
        request: sendconstraint.RequestTraits,
        ids: admissionpart.RequestIds,
    ) -> admissionpart.ShareRefusal | None:
        """Return the refusal of the first part that decides on it."""
        for part in self._parts:
            if refusal := part.refuse(now, service, request, ids):
                return refusal
        return None

    def on_send(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
    ) -> None:
        """Count a request that is about to be sent."""
        for part in self._parts:
            part.on_send(now, target, request)

    def on_response(
        self, now: float, incarnation: str, metadata: headercodec.ResponseMetadata
    ) -> None:
        """Apply what a target states of itself in the head of a response."""
        for part in self._parts:
            part.on_response(now, incarnation, metadata)

    def on_first_event(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
        first_event_s: float,
    ) -> None:
        """Handle the first event of a stream, or a response that is not one."""
        for part in self._parts:
            part.on_first_event(now, target, request, first_event_s)

    def on_event_gap(
        self, target: targetstate.Target, stream: str, gap_s: float
    ) -> None:
        """Handle the time between two events of a stream."""
        for part in self._parts:
            part.on_event_gap(target, stream, gap_s)

    def on_rest(self, now: float, incarnation: str, rest_s: float) -> None:
        """Handle that a target asked this entry to send nothing for a time."""
        for part in self._parts:
            part.on_rest(now, incarnation, rest_s)

    def on_outcome(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
        outcome: admissionpart.SendOutcome,
    ) -> None:
        """Count the end of a send."""
        for part in self._parts:
            part.on_outcome(now, target, request, outcome)

    def refresh(
        self,
        now: float,
        entries: admissionpart.EntryView,
        targets: collections.abc.Collection[targetstate.Target],
    ) -> None:
        """Do the periodic work of all parts."""
        for part in self._parts:
            part.refresh(now, entries, targets)

    def make_update(
        self, now: float, host: str, is_reply: bool = False
    ) -> messages.AdmissionUpdate | None:
        """Return what another entry is told, None if no part needs to."""
        if not self._parts:
            return None
        update = messages.AdmissionUpdate()
        for part in self._parts:
            part.make_update(now, host, is_reply, update)
        return None if update == messages.AdmissionUpdate() else update

    def on_message(
        self,
        now: float,
        peer: admissionpart.PeerMessage,
        update: messages.AdmissionUpdate | None,
    ) -> None:
        """Apply the update in a heartbeat of another entry, or in its reply."""
        for part in self._parts:
            part.on_message(now, peer, update or messages.AdmissionUpdate())

    def on_reply(
        self,
        now: float,
        peer: admissionpart.PeerMessage,
        sent: messages.AdmissionUpdate | None,
        received: messages.AdmissionUpdate | None,
    ) -> None:
        """Apply the reply to a heartbeat that had the update ``sent``."""
        for part in self._parts:
            part.on_reply(now, peer, sent or messages.AdmissionUpdate())
        self.on_message(now, peer, received)

    def write_metrics(
        self, now: float, entry_metrics: nodemetrics.EntryMetrics
    ) -> None:
        """Set the gauges of all parts."""
        for part in self._parts:
            part.write_metrics(now, entry_metrics)

    def withdraw(self) -> None:
        """Give up what this entry has claimed, since it stops."""
        for part in self._parts:
            part.withdraw()
