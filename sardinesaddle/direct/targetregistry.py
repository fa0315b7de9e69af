"""Applies changes of the targets' registrations to the target pool.

Other writers have entries among the registrations, too. One that is malformed or of a
service that the configuration does not name is no target; once a configuration names
the service, it is. One that names the address of a target that runs may be another
writer's, too: the target has ended only once a response shows that.

A registration that the store no longer lists is removed at once. Around an outage or a
restore of the store it may come back within ``targetpool.REREGISTRATION_GRACE_S``, so
its target stays in use until then, unless it had stated that it leaves.

A restored store lists older registrations again. The departures tell which of them are
of targets that had left since, and a lower start time of which had been replaced.
"""

import asyncio
import collections.abc
import typing

import loguru

from sardinesaddle.direct import (
    catalog,
    crashdetector,
    departures,
    replica,
    storedecoder,
    storewatcher,
    targetpool,
    targetstate,
)

# Targets whose registration expires this soon after an outage may register again.
OUTAGE_MARGIN_S: typing.Final = 3.0


class TargetRegistry:
    """Registers and removes the targets of an entry as the store lists them."""

    def __init__(
        self,
        store_decoder: storedecoder.StoreDecoder,
        targets: targetpool.TargetPool,
        left: departures.Departures,
        crashes: crashdetector.CrashDetector,
        watcher: storewatcher.StoreWatcher,
    ) -> None:
        self._services: collections.abc.Container[str] = ()
        # By target: the last change of a registration whose service is not named.
        self._unnamed: dict[str, tuple[replica.Change, str]] = {}
        self._store_decoder = store_decoder
        self._targets = targets
        self._departures = left
        self._crashes = crashes
        self._watcher = watcher

    def apply(self, change: replica.Change, source: str) -> None:
        """Apply a change of a target's registration."""
        target_id = self._store_decoder.get_target_id(change.key)
        was_unnamed = self._unnamed.pop(target_id, None) is not None
        if change.value is None:
            self._on_unlisted(target_id, change.rev, source)
            return
        registration = self._store_decoder.decode_target(change.key, change.value)
        if isinstance(registration, str):
            loguru.logger.warning(
                "event=target_refused rev={} {}", change.rev, registration
            )
            self._targets.remove(target_id)
            return
        if registration.service not in self._services:
            self._unnamed[target_id] = (change, source)
            self._targets.remove(target_id)
            if not was_unnamed:
                loguru.logger.info(
                    "event=target_unnamed target={} service={!r:.60} rev={} source={}",
                    target_id,
                    registration.service,
                    change.rev,
                    source,
                )
            return
        self._on_listed(registration, change, source)

    def set_services(self, names: collections.abc.Container[str]) -> None:
        """Set the services that the configuration names; register their targets."""
        self._services = names
        held_back = sorted(self._unnamed.values(), key=lambda item: item[0].rev)
        for change, source in held_back:
            self.apply(change, source)

    def on_response(self, target: targetstate.Target, asked_at: float) -> None:
        """Record that a target responded: others at its address must have ended.

        ``asked_at`` is the event loop's time at which the request was sent.
        """
        now = asyncio.get_running_loop().time()
        for ended in self._targets.confirm(target, asked_at):
            self._crashes.on_target_ended(ended, crashdetector.Evidence.REPLACED)
            self._departures.on_removed(
                now, ended.registration.incarnation, target.created
            )

    def _on_listed(
        self,
        registration: catalog.TargetRegistration,
        change: replica.Change,
        source: str,
    ) -> None:
        """Register an incarnation, unless a later one is known under its id."""
        now = asyncio.get_running_loop().time()
        incarnation = registration.incarnation
        listed = self._watcher.replica.make_position(change.rev)
        created = self._watcher.replica.make_position(change.created_rev)
        known = self._targets.get(registration.target_id)
        is_earlier = known is not None and known.registration.started_ms > (
            registration.started_ms or known.registration.started_ms
        )
        if known is not None and is_earlier and listed.may_be_copied:
            loguru.logger.info(
                "event=target_outdated target={} known={} rev={} source={}",
                incarnation,
                known.registration.incarnation,
                change.rev,
                source,
            )
            # The store no longer lists the known incarnation.
            self._on_unlisted(registration.target_id, change.rev, source)
            return
        if known is not None and self._is_copy_of_lapsed(known, incarnation, listed):
            return
        self._departures.on_registered(now, incarnation, listed)
        if registration.state is catalog.TargetState.DRAINING:
            self._departures.on_leaving(now, incarnation)
        if self._departures.may_serve(incarnation, listed):
            self._crashes.on_target_listed(incarnation)
            for replaced in self._targets.find_replaced(now, registration, created):
                self._crashes.on_target_ended(replaced, crashdetector.Evidence.REPLACED)
                self._departures.on_removed(
                    now, replaced.registration.incarnation, created
                )
        if self._targets.register(registration, created, listed, now):
            may_serve = self._departures.may_serve(incarnation, listed)
            loguru.logger.info(
                "event=target_{} target={} service={} address={}:{} rev={} era={}"
                " copied={} departed={} source={}",
                registration.state.value,
                registration.target_id,
                registration.service,
                registration.host,
                registration.port,
                change.rev,
                listed.era,
                listed.may_be_copied,
                not may_serve,
                source,
            )

    def _is_copy_of_lapsed(
        self, known: targetstate.Target, incarnation: str, listed: replica.Position
    ) -> bool:
        """Return whether a restored store lists a registration that lapsed before.

        Its target stays in use as long as after any lapse.
        """
        return (
            known.removal_deadline is not None
            and known.registration.incarnation == incarnation
            and not self._departures.may_serve(incarnation, listed)
        )

    def _on_unlisted(self, target_id: str, rev: int, source: str) -> None:
        """Remove a target; around an outage of the store, after a grace period."""
        target = self._targets.get(target_id)
        if target is None:
            return
        outage = self._watcher.outage
        now = self._watcher.read_clock()
        loop_now = asyncio.get_running_loop().time()
        is_around_outage = outage.is_out or now - outage.recovered_at < OUTAGE_MARGIN_S
        if is_around_outage and not self._targets.is_leaving(target):
            grace_start = now if outage.is_out else outage.recovered_at
            grace_s = grace_start - now + targetpool.REREGISTRATION_GRACE_S
            self._targets.schedule_removal(target_id, loop_now + grace_s)
            outcome = "lapsed"
        else:
            self._targets.remove(target_id)
            self._crashes.on_target_unlisted(target)
            outcome = "gone"
        self._departures.on_removed(
            loop_now,
            target.registration.incarnation,
            self._watcher.replica.make_position(rev),
        )
        loguru.logger.info(
            "event=target_{} target={} rev={} source={}",
            outcome,
            target_id,
            rev,
            source,
        )

    def remove_expired(self, now: float) -> None:
        """Remove the targets that did not register again in time."""
        for target in self._targets.remove_expired(now):
            self._crashes.on_target_unlisted(target)
            loguru.logger.info(
                "event=target_gone target={} source=lapse", target.target_id
            )
