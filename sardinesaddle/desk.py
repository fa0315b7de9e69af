"""The sidecar's decisions on calls, from arrival to the acknowledged answer.

The desk holds every call that its target has been or will be given. An attempt is
one entry's wait for a call; several attempts may wait for one call, and an attempt
may move from a lost connection to a new one. Events come in with the time; actions
go out: replies to entries, and orders to run or cancel a call.

The order of decisions for a new attempt is: tombstone, journal, draining, deadline,
room in the queue. Everything that is refused before the call is given to the target
was not run, and the journal refuses the attempt if it arrives again.
"""

import typing

from sardinesaddle import (
    answer,
    callqueue,
    calls,
    errorcodes,
    estimate,
    journal,
    keygate,
    keys,
    quarantine,
    wire,
)

CHUNK_BYTES: typing.Final = 64 * 1024
LINGER_S: typing.Final = 30.0
ABANDON_S: typing.Final = 20.0
MAX_KEPT_ANSWER_BYTES: typing.Final = 32 * 1024 * 1024
MIN_DURATIONS: typing.Final = 8
REPLY_MARGIN_S: typing.Final = 0.02

RETRY_AFTER_DRAIN_S: typing.Final = 0.1


class Desk:
    """Decides on every call of one target."""

    def __init__(
        self,
        target: str,
        incarnation: int,
        now: float,
        secret: bytes,
        slots: int,
        max_queued: int,
        retry_horizon_s: float,
    ) -> None:
        self.target = target
        horizon_s = retry_horizon_s + journal.MAX_MESSAGE_AGE_S
        held = journal.Journal(target, incarnation, now, horizon_s)
        self.gate = keygate.KeyGate(held, horizon_s)
        self.journal = held
        self.queue: callqueue.CallQueue[calls.Call] = callqueue.CallQueue(max_queued)
        self.slots = slots
        self.running: dict[int, calls.Call] = {}
        self.is_leaving = False
        self.shares: dict[str, float] = {}
        self.quarantine = quarantine.Quarantine()
        # A suspect that waits for the target to be empty, and whether one runs.
        self._alone: calls.Call | None = None
        self._runs_alone = False
        self._secret = secret
        self._calls: dict[int, calls.Call] = {}
        self._attempts: dict[calls.AttemptId, calls.Attempt] = {}
        self._open_by_entry: dict[int, int] = {}
        self._gone: dict[int, float] = {}
        self._durations: dict[str, estimate.DurationEstimate] = {}
        self._next_number = 1
        self._kept_bytes = 0
        self._horizon_s = horizon_s
        # Attempts that ran and were dropped unacknowledged, and until when each is
        # kept; after that, every number up to the floor counts as possibly run.
        self._ran: dict[calls.AttemptId, float] = {}
        self._ran_floor: dict[int, int] = {}

    # Arrival.

    def on_submit(self, now: float, entry: int, msg: wire.Submit) -> list[calls.Action]:
        """Decide on an attempt that arrived."""
        ident = (entry, msg.attempt)
        if ident in self._attempts:
            return [calls.Reply(entry, wire.Accepted(msg.attempt))]
        key: keys.Key | None = None
        if msg.idempotency_key:
            parsed = keys.parse_key(
                self._secret, msg.account, msg.service, msg.idempotency_key
            )
            if isinstance(parsed, errorcodes.Refusal):
                return [calls.Reply(entry, calls.make_refused(msg.attempt, parsed))]
            key = parsed
        decision = self.gate.offer(now, ident, key, msg.fingerprint)
        if isinstance(decision, errorcodes.Refusal):
            return [calls.Reply(entry, calls.make_refused(msg.attempt, decision))]
        if isinstance(decision, journal.Consult):
            assert isinstance(key, keys.OpaqueKey)
            return [calls.AskHomes(entry, msg, key, decision.homes)]
        if isinstance(decision, journal.Join):
            return self._join(entry, msg, self._calls[decision.call])
        return self._start(now, entry, msg, key)

    def on_released(
        self,
        now: float,
        action: calls.AskHomes,
        home: str,
        release: wire.ReleaseReply | None,
    ) -> list[calls.Action]:
        """Take an earlier home's answer; offer the attempt again after the last."""
        free = release is not None and release.is_free
        if release is not None:
            revision = release.table_revision
            self.gate.note_release(now, action.key, home, free, revision)
        if not free:
            refusal = errorcodes.Refusal(
                errorcodes.KEY_ELSEWHERE,
                errorcodes.Ran.UNKNOWN,
                f"the key's earlier home {home!r} has not released it",
                1.0,
            )
            msg = calls.make_refused(action.submit.attempt, refusal)
            return [calls.Reply(action.entry, msg)]
        if home == action.homes[-1]:
            return self.on_submit(now, action.entry, action.submit)
        return []

    def _join(
        self, entry: int, msg: wire.Submit, call: calls.Call
    ) -> list[calls.Action]:
        """Let an attempt wait for a call that is already here."""
        if call.answer.first_offset > msg.start_offset:
            refusal = errorcodes.Refusal(
                errorcodes.OUTCOME_UNKNOWN,
                errorcodes.Ran.DONE,
                "the call ran; its answer is too large to be kept",
            )
            return [calls.Reply(entry, calls.make_refused(msg.attempt, refusal))]
        attempt = self._add_attempt(entry, msg, call)
        actions: list[calls.Action] = [calls.Reply(entry, wire.Accepted(msg.attempt))]
        return actions + self._pump_attempt(attempt)

    def _add_attempt(
        self, entry: int, msg: wire.Submit, call: calls.Call
    ) -> calls.Attempt:
        """Register a wait for a call."""
        ident = (entry, msg.attempt)
        attempt = calls.Attempt(
            ident, call, msg.start_offset, msg.start_offset + msg.window_bytes
        )
        self._attempts[ident] = attempt
        self._open_by_entry[entry] = self._open_by_entry.get(entry, 0) + 1
        call.attempts.append(attempt)
        return attempt

    def _start(
        self, now: float, entry: int, msg: wire.Submit, key: keys.Key | None
    ) -> list[calls.Action]:
        """Queue a new call, or refuse it as not run."""
        refusal = self._check_room(now, msg)
        if refusal is not None:
            self.journal.withdraw(now, (entry, msg.attempt))
            return [calls.Reply(entry, calls.make_refused(msg.attempt, refusal))]
        call = calls.Call(self._next_number, now, msg, key)
        self._next_number += 1
        call.share = self.shares.get(msg.account, calls.DEFAULT_SHARE)
        call.cost = max(self.estimate_duration(msg.service), 1e-3)
        evicted = self.queue.push(call)
        if evicted is call:
            self.journal.withdraw(now, (entry, msg.attempt))
            return [
                calls.Reply(entry, calls.make_refused(msg.attempt, self._refuse_full()))
            ]
        self._calls[call.number] = call
        if key is not None:
            self.journal.accept(now, key, call.number, msg.fingerprint)
            self.gate.forget_releases(key)
        self._add_attempt(entry, msg, call)
        actions: list[calls.Action] = [calls.Reply(entry, wire.Accepted(msg.attempt))]
        if evicted is not None:
            actions += self._refuse_queued(now, evicted, self._refuse_full())
        return actions + self.start_ready(now)

    def _check_room(self, now: float, msg: wire.Submit) -> errorcodes.Refusal | None:
        """Refuse a new call that must not or cannot be run in time."""
        not_run = errorcodes.Ran.NOT_RUN
        if self.is_leaving:
            return errorcodes.Refusal(
                errorcodes.DRAINING, not_run, "", RETRY_AFTER_DRAIN_S
            )
        if self._kept_bytes > MAX_KEPT_ANSWER_BYTES:
            return errorcodes.Refusal(
                errorcodes.OVERLOADED, not_run, "kept answers fill the memory", 1.0
            )
        if self.quarantine.judge(now, msg.fingerprint) is quarantine.Verdict.REFUSED:
            remaining_s = self.quarantine.compute_remaining(now, msg.fingerprint)
            return errorcodes.Refusal(errorcodes.QUARANTINED, not_run, "", remaining_s)
        share = self.shares.get(msg.account, calls.DEFAULT_SHARE)
        wait_s = self.queue.estimate_wait(msg.account, share) / self.slots
        if self._is_too_late(msg, wait_s):
            return errorcodes.Refusal(
                errorcodes.DEADLINE_UNREACHABLE,
                not_run,
                f"the wait is about {wait_s:.3f} s",
                wait_s,
            )
        return None

    def _is_too_late(self, msg: wire.Submit, wait_s: float) -> bool:
        """calls.Tell whether an answer is unlikely to arrive within the budget."""
        known = self._durations.get(msg.service)
        if known is None or known.count < MIN_DURATIONS:
            return msg.remaining_ms <= 0
        if len(self.running) < self.slots and not len(self.queue):
            return known.mean_s > msg.remaining_ms / 1000.0
        return wait_s + known.compute_bound() > msg.remaining_ms / 1000.0

    def _refuse_full(self) -> errorcodes.Refusal:
        """Return the refusal for a full queue."""
        return errorcodes.Refusal(
            errorcodes.OVERLOADED,
            errorcodes.Ran.NOT_RUN,
            "the target's queue is full",
            max(self.estimate_wait(), 0.1),
        )

    # Time and load.

    def estimate_duration(self, service: str) -> float:
        """Return the mean time in seconds that a call of the service runs."""
        known = self._durations.get(service)
        return 0.05 if known is None else known.mean_s

    def estimate_wait(self) -> float:
        """Return the seconds that a new call of low priority would wait."""
        if len(self.running) < self.slots and not len(self.queue):
            return 0.0
        return self.queue.total_cost / self.slots

    def on_entry_gone(self, now: float, entry: int) -> None:
        """Take note that an entry is not connected any more."""
        self._gone[entry] = now

    def on_entry_back(self, entry: int) -> None:
        """Take note that an entry is connected."""
        self._gone.pop(entry, None)

    def _cancel_abandoned(self, now: float) -> list[calls.Action]:
        """Give up the attempts of entries that stay away."""
        actions: list[calls.Action] = []
        for entry, since in list(self._gone.items()):
            if now - since < ABANDON_S:
                continue
            del self._gone[entry]
            numbers = [n for e, n in self._attempts if e == entry]
            for number in numbers:
                actions += self.on_cancel(now, entry, number)
        return actions

    def tick(self, now: float) -> list[calls.Action]:
        """Refuse queued calls that are too late; drop what nobody can ask for."""
        actions = self._cancel_abandoned(now)
        for call in self.queue.list_items():
            if call.deadline_at - REPLY_MARGIN_S <= now:
                refusal = errorcodes.Refusal(
                    errorcodes.DEADLINE_PASSED, errorcodes.Ran.NOT_RUN, "", 0.0
                )
                actions += self._refuse_queued(now, call, refusal)
        for number in self.journal.expire(now):
            self._drop_call(self._calls.get(number))
        for call in list(self._calls.values()):
            if call.key is None and 0 <= call.ended_at < now - LINGER_S:
                self._remember_attempts(now, call)
                self._drop_call(call)
        self._expire_ran(now)
        return actions

    def _remember_attempts(self, now: float, call: calls.Call) -> None:
        """Remember that attempts ran whose answer nobody acknowledged."""
        for attempt in call.attempts:
            self._ran[attempt.ident] = now + self._horizon_s

    def _expire_ran(self, now: float) -> None:
        """Fold old attempts that ran into one number for each entry."""
        for ident in [i for i, until in self._ran.items() if until <= now]:
            del self._ran[ident]
            entry, number = ident
            self._ran_floor[entry] = max(self._ran_floor.get(entry, 0), number)

    def _may_have_run(self, ident: calls.AttemptId) -> bool:
        """calls.Tell whether an attempt that holds no call here may have run."""
        return ident in self._ran or ident[1] <= self._ran_floor.get(ident[0], 0)

    def start_ready(self, now: float) -> list[calls.Action]:
        """Run queued calls while the target has free slots."""
        actions: list[calls.Action] = []
        while self._has_free_slot():
            call = self._next_call()
            if call is None:
                break
            if self._would_end_late(now, call):
                refusal = errorcodes.Refusal(
                    errorcodes.DEADLINE_PASSED, errorcodes.Ran.NOT_RUN
                )
                actions += self._refuse_queued(now, call, refusal)
                continue
            call.state = journal.State.RUNNING
            call.started_at = now
            if self._is_suspect(now, call):
                if self.running:
                    # It waits at the head of the queue until nothing else runs.
                    self._alone = call
                    call.state = journal.State.QUEUED
                    break
                self._runs_alone = True
            if call.key is not None:
                self.journal.mark_running(call.key)
            self.running[call.number] = call
            actions.append(calls.Run(call))
        return actions

    def _has_free_slot(self) -> bool:
        """calls.Tell whether another call may be run now."""
        if self._runs_alone:
            return False
        if self._alone is not None:
            return not self.running
        return len(self.running) < self.slots

    def _next_call(self) -> calls.Call | None:
        """Return the call that waits to run alone, or the next of the queue."""
        waiting = self._alone
        self._alone = None
        if waiting is not None and waiting.number in self._calls:
            return waiting
        return self.queue.pop()

    def _is_suspect(self, now: float, call: calls.Call) -> bool:
        """calls.Tell whether a call must run with no other on the target."""
        if call.submit.is_suspect:
            return True
        verdict = self.quarantine.judge(now, call.submit.fingerprint)
        return verdict is quarantine.Verdict.ALONE

    def _would_end_late(self, now: float, call: calls.Call) -> bool:
        """calls.Tell whether running a call would most likely be in vain.

        When others wait for the slot, a call that would end after its deadline
        takes the time of one that would not.
        """
        if call.deadline_at <= now:
            return True
        known = self._durations.get(call.submit.service)
        if known is None or known.count < MIN_DURATIONS or not len(self.queue):
            return False
        return now + known.compute_bound() > call.deadline_at

    def _refuse_queued(
        self, now: float, call: calls.Call, refusal: errorcodes.Refusal
    ) -> list[calls.Action]:
        """Refuse a call that was never given to the target."""
        self.queue.remove(call)
        if call.key is not None:
            self.journal.forget_queued(call.key)
        actions: list[calls.Action] = []
        for attempt in list(call.attempts):
            self.journal.withdraw(now, attempt.ident)
            msg = calls.make_refused(attempt.ident[1], refusal)
            actions.append(calls.Reply(attempt.ident[0], msg))
            self._drop_attempt(attempt)
        self._calls.pop(call.number, None)
        return actions

    # The target's answer.

    def on_target_head(
        self, call: calls.Call, status: int, headers: list[tuple[str, str]]
    ) -> list[calls.Action]:
        """Take the status and headers from the target."""
        call.answer.begin(status, headers)
        return self._pump_call(call)

    def on_target_data(self, call: calls.Call, data: bytes) -> list[calls.Action]:
        """Take body bytes from the target."""
        call.answer.append(data)
        self._kept_bytes += len(data)
        if call.key is not None and call.answer.length > answer.MAX_KEPT_BYTES:
            self._trim(call, call.answer.length - answer.MAX_KEPT_BYTES)
        return self._pump_call(call)

    def on_target_end(self, now: float, call: calls.Call) -> list[calls.Action]:
        """Take the end of the target's answer."""
        call.answer.end()
        self._add_duration(now, call)
        if self._runs_alone:
            self.quarantine.clear(call.submit.fingerprint)
        return self._finish_run(now, call, journal.State.DONE)

    def on_target_failed(
        self,
        now: float,
        call: calls.Call,
        refusal: errorcodes.Refusal,
        is_crash: bool = False,
    ) -> list[calls.Action]:
        """Take the failure of a call; NOT_RUN only if the target never got it.

        ``is_crash`` means that the target broke the connection under the call.
        """
        news: list[calls.Action] = []
        if is_crash:
            prints = [one.submit.fingerprint for one in self.running.values()]
            told = self.quarantine.on_crash(now, prints, self._runs_alone)
            news = [calls.Tell(fingerprint, verdict) for fingerprint, verdict in told]
        call.answer.fail(refusal)
        state = journal.State.UNKNOWN
        if refusal.ran is errorcodes.Ran.NOT_RUN and call.key is not None:
            # Nothing reached the target, so the key may be used again.
            call.state = journal.State.QUEUED
            self.journal.reopen(call.key)
        return news + self._finish_run(now, call, state)

    def _add_duration(self, now: float, call: calls.Call) -> None:
        """Learn from the time that the call ran."""
        known = self._durations.setdefault(
            call.submit.service, estimate.DurationEstimate()
        )
        known.add(now - call.started_at)

    def _finish_run(
        self, now: float, call: calls.Call, state: journal.State
    ) -> list[calls.Action]:
        """Free the slot and tell every attempt."""
        self.running.pop(call.number, None)
        self._runs_alone = False
        call.ended_at = now
        if call.key is not None and call.state is journal.State.RUNNING:
            if state is journal.State.DONE:
                self.journal.mark_done(call.key)
            else:
                self.journal.mark_unknown(call.key)
        elif call.key is not None:
            self.journal.forget_queued(call.key)
            call.key = None
        call.state = state
        actions = self._pump_call(call)
        if not call.attempts and call.key is None:
            self._drop_call(call)
        return actions + self.start_ready(now)

    # Sending the answer to the attempts.

    def _pump_call(self, call: calls.Call) -> list[calls.Action]:
        """Send what every attempt of the call may have."""
        actions: list[calls.Action] = []
        for attempt in list(call.attempts):
            actions += self._pump_attempt(attempt)
        return actions

    def _pump_attempt(self, attempt: calls.Attempt) -> list[calls.Action]:
        """Send an attempt the next parts of its answer."""
        if attempt.is_over:
            return []
        entry, number = attempt.ident
        kept = attempt.call.answer
        actions: list[calls.Action] = []
        if not attempt.is_headed and kept.phase is not answer.Phase.WAITING:
            if kept.status:
                head = wire.Head(number, kept.status, kept.headers)
                actions.append(calls.Reply(entry, head))
            attempt.is_headed = True
        while attempt.sent < min(kept.length, attempt.limit):
            count = min(CHUNK_BYTES, attempt.limit - attempt.sent)
            data = kept.read(attempt.sent, count)
            actions.append(calls.Reply(entry, wire.Data(number, attempt.sent, data)))
            attempt.sent += len(data)
        if kept.is_final and attempt.sent >= kept.length:
            attempt.is_over = True
            actions.append(calls.Reply(entry, self._make_last(number, kept)))
        return actions

    def _make_last(self, number: int, kept: answer.Answer) -> wire.Message:
        """Return the end mark, or the refusal that ends the answer."""
        if kept.refusal is not None:
            return calls.make_refused(number, kept.refusal)
        return wire.End(number, kept.length, kept.digest)

    def on_credit(self, entry: int, msg: wire.Credit) -> list[calls.Action]:
        """Take note of what the reader holds and what it can take."""
        attempt = self._attempts.get((entry, msg.attempt))
        if attempt is None:
            return []
        call = attempt.call
        attempt.limit = max(attempt.limit, msg.send_limit)
        if attempt.is_over and msg.offset >= call.answer.length:
            self._drop_attempt(attempt)
            if call.key is None and not call.attempts:
                self._drop_call(call)
            return []
        if call.key is None and len(call.attempts) == 1:
            self._trim(call, msg.offset)
        return self._pump_attempt(attempt)

    def is_backlogged(self, call: calls.Call) -> bool:
        """calls.Tell whether the target should wait for its readers."""
        if call.key is not None:
            return False
        return any(a.limit <= call.answer.length for a in call.attempts)

    def on_resume(self, now: float, entry: int, msg: wire.Resume) -> list[calls.Action]:
        """Continue an attempt on a new connection."""
        ident = (entry, msg.attempt)
        attempt = self._attempts.get(ident)
        if attempt is None or attempt.call.answer.first_offset > msg.offset:
            # The attempt never arrived, or was answered and acknowledged.
            self.journal.withdraw(now, ident)
            refusal = errorcodes.Refusal(errorcodes.TOMBSTONED, errorcodes.Ran.NOT_RUN)
            if attempt is not None or self._may_have_run(ident):
                refusal = errorcodes.Refusal(
                    errorcodes.OUTCOME_UNKNOWN, errorcodes.Ran.UNKNOWN
                )
            return [calls.Reply(entry, calls.make_refused(msg.attempt, refusal))]
        attempt.sent = msg.offset
        attempt.limit = msg.send_limit
        attempt.is_headed = False
        attempt.is_over = False
        actions: list[calls.Action] = [calls.Reply(entry, wire.Accepted(msg.attempt))]
        return actions + self._pump_attempt(attempt)

    # Withdrawal.

    def on_cancel(self, now: float, entry: int, number: int) -> list[calls.Action]:
        """Take note that an attempt's caller has gone."""
        attempt = self._attempts.get((entry, number))
        if attempt is None:
            self.journal.withdraw(now, (entry, number))
            return []
        call = attempt.call
        if call.state is not journal.State.QUEUED:
            self._ran[attempt.ident] = now + self._horizon_s
        self._drop_attempt(attempt)
        if call.attempts or call.key is not None:
            return []
        if call.state is journal.State.QUEUED:
            return self._refuse_queued(now, call, self._refuse_full())
        if call.state is journal.State.RUNNING and call.submit.is_idempotent:
            return [calls.CancelRun(call)]
        return []

    def release_key(self, now: float, msg: wire.ReleaseRequest) -> wire.ReleaseReply:
        """Answer a key's new home; say which revision this target holds."""
        key = keys.OpaqueKey(msg.account, msg.service, msg.key_text)
        free = self.gate.release(now, key)
        return wire.ReleaseReply(msg.request_id, free, self.gate.homes.revision)

    # Memory.

    def _trim(self, call: calls.Call, offset: int) -> None:
        """Drop the answer's bytes below an offset."""
        before = call.answer.first_offset
        call.answer.drop_before(offset)
        self._kept_bytes -= call.answer.first_offset - before

    def _drop_attempt(self, attempt: calls.Attempt) -> None:
        """Forget one wait for a call."""
        if self._attempts.pop(attempt.ident, None) is None:
            return
        attempt.call.attempts.remove(attempt)
        entry = attempt.ident[0]
        self._open_by_entry[entry] -= 1
        if not self._open_by_entry[entry]:
            del self._open_by_entry[entry]

    def _drop_call(self, call: calls.Call | None) -> None:
        """Forget a call and its answer."""
        if call is None or self._calls.pop(call.number, None) is None:
            return
        self._kept_bytes -= call.answer.length - call.answer.first_offset
        for attempt in list(call.attempts):
            self._drop_attempt(attempt)

    def has_attempts(self, entry: int) -> bool:
        """calls.Tell whether attempts of an entry are open."""
        return self._open_by_entry.get(entry, 0) > 0

    def list_calls(self) -> list[calls.Call]:
        """Return every call that is held."""
        return list(self._calls.values())

    @property
    def kept_bytes(self) -> int:
        """The answer bytes that are held for readers and resends."""
        return self._kept_bytes
