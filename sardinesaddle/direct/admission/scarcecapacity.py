"""Shares the capacity of model engines by urgency and by account while it is scarce.

The part applies to services of lock-step engines to which routes of different
priorities lead; for others it decides nothing. ``scarceservice`` decides for one
service; this module passes on what happens, exchanges the demand with other entries,
and logs and counts refusals.
"""

import collections.abc
import math
import random
import typing

import loguru
import msgspec

from sardinesaddle.direct import (
    catalog,
    messages,
    nodemetrics,
    replica,
    requestqueue,
    targetstate,
)
from sardinesaddle.direct.admission import admissionpart, scarceservice, sendconstraint

# Users' bound on what an entry sends to all others is 0.5 KB/s.
MAX_BYTES_PER_S: typing.Final = 480.0
MAX_SAVED_BYTES: typing.Final = 480.0


class GroupConstraint(sendconstraint.SendConstraint):
    """Keeps the passes of lock-step groups within the permitted pause."""

    name: typing.ClassVar[str] = "group_capacity"

    def __init__(self, services: dict[str, scarceservice.ScarceService]) -> None:
        self._services = services

    def check(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
    ) -> sendconstraint.Verdict:
        """Return whether the target's group sustains the request."""
        service = self._services.get(target.registration.service)
        if service is None:
            return sendconstraint.ALLOWED
        return service.check(now, target, request)


class ScarceCapacity(admissionpart.AdmissionPart):
    """The services of an entry whose capacity is shared while it is scarce.

    ``is_available`` tells whether other parts let a target get requests at all.
    """

    name: typing.ClassVar[str] = "scarce_capacity"

    def __init__(
        self,
        rng: random.Random,
        is_available: collections.abc.Callable[
            [targetstate.Target], bool
        ] = lambda target: True,
    ) -> None:
        self._rng = rng
        self._is_available = is_available
        self.services: dict[str, scarceservice.ScarceService] = {}
        # Services, accounts and priorities of refusals not yet counted in metrics.
        self._refusals: list[tuple[str, str, int]] = []
        # Bytes that may be sent to other entries now, and when that was computed.
        self._saved_bytes = MAX_SAVED_BYTES
        self._saved_at = 0.0

    def list_constraints(self) -> list[sendconstraint.SendConstraint]:
        """Return the constraint on the passes of groups."""
        return [GroupConstraint(self.services)]

    def on_catalog(self, now: float, current: catalog.Catalog) -> None:
        """Find the services that the part applies to; keep what is known of them."""
        found = find_scarce_services(current)
        for name in list(self.services):
            if name not in found:
                del self.services[name]
        for name, (engine, max_pause_s) in found.items():
            known = self.services.get(name)
            if known is None:
                self.services[name] = scarceservice.ScarceService(
                    name, engine, max_pause_s, self._is_available, self._rng.random
                )
            else:
                known.set_model(engine, max_pause_s)

    def on_store_change(
        self, now: float, change: replica.Change, position: replica.Position
    ) -> bool:
        """Read the groups anew, since a zone may have been evacuated or returned."""
        for scarce in self.services.values():
            scarce.invalidate()
        return False

    def find_policy(self, service: str) -> requestqueue.QueuePolicy | None:
        """Return the order of a service's queue, None if the part does not apply."""
        return self.services.get(service)

    def is_return(self, now: float, service: str, content_id: str) -> bool:
        """Return whether a client comes back at the time it was told, or later."""
        scarce = self.services.get(service)
        return scarce is not None and scarce.is_return(now, content_id)

    def on_report(
        self, now: float, target: targetstate.Target, report: messages.Report
    ) -> None:
        """Apply a sidecar's report."""
        scarce = self.services.get(target.registration.service)
        if scarce is not None:
            scarce.on_report(target, report)

    def on_request(
        self, now: float, service: str, request: sendconstraint.RequestTraits
    ) -> None:
        """Count a request as demand of its priority and account."""
        scarce = self.services.get(service)
        if scarce is not None:
            scarce.on_request(now, request)

    def on_send(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
    ) -> None:
        """Count a request that is about to be sent."""
        scarce = self.services.get(target.registration.service)
        if scarce is not None:
            scarce.on_change(target, 1)
            scarce.count_send(request)

    def on_event_gap(
        self, target: targetstate.Target, stream: str, gap_s: float
    ) -> None:
        """Learn from the passes of groups for which skew to plan."""
        scarce = self.services.get(target.registration.service)
        if scarce is not None:
            scarce.loads.on_event_gap(target, stream, gap_s)

    def on_outcome(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
        outcome: admissionpart.SendOutcome,
    ) -> None:
        """Count the end of a send."""
        scarce = self.services.get(target.registration.service)
        if scarce is not None:
            scarce.on_change(target, -1)

    def refuse(
        self,
        now: float,
        service: str,
        request: sendconstraint.RequestTraits,
        ids: admissionpart.RequestIds,
    ) -> admissionpart.ShareRefusal | None:
        """Refuse a request for lack of capacity, with the time at which to return."""
        scarce = self.services.get(service)
        if scarce is None or request.is_resumed:
            return None
        shares = scarce.compute_shares(now)
        if shares.is_half_free or not shares.load.open_groups:
            return None
        return_s = scarce.choose_return_s(now, request, ids.content_id)
        self._refusals.append((service, request.account, request.priority))
        loguru.logger.info(
            "event=capacity_refused id={} service={} account={} route={} priority={}"
            " cutoff={} return_s={:.2f} share={:.3f} sent_of_demand={}",
            ids.attempt_id,
            service,
            request.account,
            request.kind,
            request.priority,
            scarce.cutoff,
            return_s,
            scarce.loads.share,
            scarce.format_shares(now),
        )
        return admissionpart.ShareRefusal("capacity_share", return_s)

    def refresh(
        self,
        now: float,
        entries: admissionpart.EntryView,
        targets: collections.abc.Collection[targetstate.Target],
    ) -> None:
        """Compute loads, rates and the cutoff priority of each service."""
        for scarce in self.services.values():
            own = [t for t in targets if t.registration.service == scarce.name]
            scarce.refresh(now, entries.alive, own)

    def write_metrics(
        self, now: float, entry_metrics: nodemetrics.EntryMetrics
    ) -> None:
        """Set the predicted pass times and cutoffs, and count the refusals."""
        pass_times = {
            (name, group.name): group.pass_s
            for name, scarce in self.services.items()
            for group in scarce.loads.groups.values()
        }
        cutoffs = {name: scarce.cutoff for name, scarce in self.services.items()}
        entry_metrics.set_capacity(pass_times, cutoffs)
        for refusal in self._refusals:
            entry_metrics.count_capacity_refusal(*refusal)
        self._refusals.clear()

    def make_update(
        self, now: float, host: str, is_reply: bool, update: messages.AdmissionUpdate
    ) -> None:
        """Tell another entry the demand at this one, as far as the byte budget allows.

        The demand of accounts is left out first; it is told while capacity is scarce.
        """
        added = (now - self._saved_at) * MAX_BYTES_PER_S
        self._saved_bytes = min(self._saved_bytes + added, MAX_SAVED_BYTES)
        self._saved_at = now
        demand = []
        for name, scarce in self.services.items():
            is_scarce = scarce.cutoff != scarceservice.NEVER_HELD_BACK
            for with_accounts in (is_scarce, False):
                told = scarce.demand.make_demand(name, with_accounts)
                size = len(msgspec.msgpack.encode(told))
                if size <= self._saved_bytes:
                    self._saved_bytes -= size
                    demand.append(told)
                    break
        update.demand = demand or None

    def on_message(
        self,
        now: float,
        peer: admissionpart.PeerMessage,
        update: messages.AdmissionUpdate,
    ) -> None:
        """Store the demand at another entry; what is not plausible is left out."""
        for told in update.demand or ():
            scarce = self.services.get(told.service)
            if scarce is not None and not scarce.demand.on_message(
                now, peer.host, told
            ):
                loguru.logger.warning(
                    "event=capacity_demand_invalid source={} service={} remedy={!r}",
                    peer.host,
                    told.service,
                    "check that the entries run the same version",
                )


def find_scarce_services(
    current: catalog.Catalog,
) -> dict[str, tuple[catalog.EngineModel, float]]:
    """Return the services whose capacity is shared: engine model, permitted pause.

    These are services of lock-step engines to which routes of different priorities
    lead, of which one at least states a pause.
    """
    routes: dict[str, list[catalog.Route]] = {}
    for route in current.list_routes():
        for weighted in route.weighted_services:
            routes.setdefault(weighted.service, []).append(route)
    found = {}
    for service in current.services.values():
        engine = service.engine
        own = routes.get(service.name, [])
        if engine is None or not engine.layer_sets:
            continue
        pauses = [
            route.max_event_gap_s
            for route in own
            if route.is_stream and 0.0 < route.max_event_gap_s < math.inf
        ]
        if len({route.priority for route in own}) > 1 and pauses:
            found[service.name] = (engine, min(pauses))
    return found
