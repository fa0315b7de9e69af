"""Finds out whether an incarnation of a target runs: connects to it and asks it.

``Presence`` holds what is known of one incarnation, see ``sightings``. A *look* tries
to see it at or after some time:

1. A new connection. Within a run of contacts, it shows the target.
2. Otherwise the process at the address is asked which one it is. A plain target that is
   busy may take long to answer, so a question is waited for, and asked again on another
   connection after ``ASK_AGAIN_S`` or once it is refused.

Those who look at the same time share connections and questions, but no one relies on
one that began before the time it looks for.
"""

import abc
import asyncio
import collections.abc
import dataclasses
import typing

import loguru

from sardinesaddle.direct import (
    catalog,
    freshness,
    nodemetrics,
    sightings,
    targetidentity,
    targetstate,
    upstream,
)

PROBE_TIMEOUT_S: typing.Final = 0.3  # two round trips and a lost packet
QUESTION_TIMEOUT_S: typing.Final = 10.0  # longer than callers wait
ASK_AGAIN_S: typing.Final = 1.0  # a connection may be silent for good
LOOK_SPACING_S: typing.Final = 0.3  # between probes, and between questions
MIN_WAIT_S: typing.Final = 0.01
MAX_QUESTIONS: typing.Final = 3  # of an entry to a target at a time


@dataclasses.dataclass(eq=False, slots=True)
class Presence:
    """What is known of whether one incarnation runs; times count suspension.

    ``accepted_at`` is when the last accepted probe began. ``identified_at`` is when the
    last question was asked to which the target stated who it is, ``unstated_at`` when
    that was to which the process at its address did not.
    """

    seen: sightings.Sightings = dataclasses.field(default_factory=sightings.Sightings)
    accepted_at: float = freshness.NEVER
    identified_at: float = freshness.NEVER
    unstated_at: float = freshness.NEVER
    probe: asyncio.Task[bool] | None = None
    probe_began_at: float = freshness.NEVER
    questions: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)
    asked_at: float = freshness.NEVER
    # None while nobody waits for a change.
    changed: asyncio.Event | None = None

    @property
    def is_sought(self) -> bool:
        """Whether a look is under way."""
        return self.probe is not None or bool(self.questions)

    def notify(self) -> None:
        """Wake those who wait for a change."""
        if self.changed is not None:
            self.changed.set()
            self.changed = None

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until something is found out, or for ``timeout_s``."""
        if self.changed is None:
            self.changed = asyncio.Event()
        try:
            async with asyncio.timeout(timeout_s):
                await self.changed.wait()
        except TimeoutError:
            return


class PresenceListener(abc.ABC):
    """Is told what looks find out beyond what ``Presence`` holds."""

    @abc.abstractmethod
    def on_refused(self, target: targetstate.Target) -> None:
        """Handle that nothing listens at the target's address."""

    @abc.abstractmethod
    def on_replaced(self, target: targetstate.Target) -> None:
        """Handle that another process is at the target's address."""

    @abc.abstractmethod
    def on_identified(self, target: targetstate.Target) -> None:
        """Handle that the target stated who it is."""


class PresenceChecker:
    """Looks for targets; ``find_service`` returns the service with a name, or None."""

    def __init__(
        self,
        pool: upstream.ConnectionPool,
        identifier: targetidentity.TargetIdentifier,
        clock: freshness.SuspendAwareClock,
        entry_metrics: nodemetrics.EntryMetrics,
        find_service: collections.abc.Callable[[str], catalog.Service | None],
        listener: PresenceListener,
    ) -> None:
        self._pool = pool
        self._identifier = identifier
        self._clock = clock
        self._metrics = entry_metrics
        self._find_service = find_service
        self._listener = listener

    async def probe(
        self,
        target: targetstate.Target,
        presence: Presence,
        since: float = freshness.NEVER,
    ) -> bool:
        """Return whether a target accepts a connection that is opened from ``since``.

        Probes of the same target share one.
        """
        while presence.probe is not None and presence.probe_began_at < since:
            await asyncio.shield(presence.probe)
        return await asyncio.shield(self.start_probe(target, presence))

    def start_probe(
        self, target: targetstate.Target, presence: Presence
    ) -> asyncio.Task[bool]:
        """Begin to connect to a target, unless that is under way."""
        if presence.probe is None:
            loop = asyncio.get_running_loop()
            presence.probe_began_at = self._clock.read()
            presence.probe = loop.create_task(self._run_probe(target, presence))
        return presence.probe

    async def look(
        self,
        target: targetstate.Target,
        presence: Presence,
        since: float,
        asks: bool,
    ) -> None:
        """Try to see a target at or after ``since``; return after some news.

        It is asked who it is if contacts do not show it, or if ``asks`` is set. Call
        this again until what is known suffices.
        """
        now = self._clock.read()
        if presence.accepted_at < since and (
            presence.probe is not None
            or presence.probe_began_at < since
            or now - presence.probe_began_at >= LOOK_SPACING_S
        ):
            await self.probe(target, presence, since)
            return
        if asks or presence.seen.seen_at < since:
            self._ask_if_due(target, presence, since)
        left_s = since + LOOK_SPACING_S - now
        await presence.wait_for_change(
            left_s if left_s > MIN_WAIT_S else LOOK_SPACING_S
        )

    def _ask_if_due(
        self, target: targetstate.Target, presence: Presence, since: float
    ) -> None:
        """Ask a target who it is, unless a recent question serves."""
        ago_s = self._clock.read() - presence.asked_at
        is_answer_due = (
            presence.questions and presence.asked_at >= since and ago_s < ASK_AGAIN_S
        )
        if is_answer_due or ago_s < LOOK_SPACING_S:
            return
        if len(presence.questions) < MAX_QUESTIONS:
            self.ask(target, presence)

    def ask(self, target: targetstate.Target, presence: Presence) -> None:
        """Begin to ask the process at a target's address which one it is."""
        presence.asked_at = self._clock.read()
        task = asyncio.get_running_loop().create_task(
            self._run_question(target, presence)
        )
        presence.questions.add(task)
        task.add_done_callback(presence.questions.discard)

    async def _run_probe(self, target: targetstate.Target, presence: Presence) -> bool:
        """Connect to a target; return whether it accepted the connection."""
        registration = target.registration
        key = (registration.host, registration.port, registration.target_id)
        began_at = self._clock.read()
        now = asyncio.get_running_loop().time()
        try:
            failure = await self._pool.open_idle(key, now, PROBE_TIMEOUT_S)
        finally:
            presence.probe = None
        if failure is None:
            presence.accepted_at = began_at
            presence.seen.on_accepted(began_at, self._clock.read())
        outcome = "accepted" if failure is None else failure.kind.value
        self._metrics.count_probe(outcome)
        loguru.logger.info(
            "event=target_probed target={} outcome={} seen_s={:.2f}",
            registration.target_id,
            outcome,
            self._clock.read() - presence.seen.seen_at,
        )
        is_refused = outcome == upstream.FailureKind.CONNECTION_REFUSED.value
        if is_refused and target.registration.incarnation == registration.incarnation:
            self._listener.on_refused(target)
        presence.notify()
        return failure is None

    async def _run_question(
        self, target: targetstate.Target, presence: Presence
    ) -> None:
        """Ask the process at a target's address which one it is."""
        registration = target.registration
        asked_at = self._clock.read()
        occupant = await self._identifier.identify(
            registration, self._find_service(registration.service), QUESTION_TIMEOUT_S
        )
        loguru.logger.info(
            "event=target_identified target={} occupant={} waited_s={:.2f}",
            registration.incarnation,
            occupant.value,
            self._clock.read() - asked_at,
        )
        if target.registration.incarnation == registration.incarnation:
            self._apply_statement(target, presence, asked_at, occupant)
        presence.notify()

    def _apply_statement(
        self,
        target: targetstate.Target,
        presence: Presence,
        asked_at: float,
        occupant: targetidentity.Occupant,
    ) -> None:
        """Record what a process stated that was asked who it is."""
        occupants = targetidentity.Occupant
        if occupant is occupants.TARGET:
            presence.identified_at = max(presence.identified_at, asked_at)
            presence.seen.on_answered(asked_at)
            self._listener.on_identified(target)
        elif occupant is occupants.OTHER:
            self._listener.on_replaced(target)
        elif occupant is occupants.UNSTATED:
            presence.unstated_at = max(presence.unstated_at, asked_at)
