"""Schedules the calls of one target, from an attempt's arrival to its last byte.

The scheduler holds every call of the target: queued, running, or finished with an
answer that is still buffered. An attempt is one entry's subscription to the answer of a
call. Several attempts may wait for one call, and an attempt may resume on a new
connection. Methods take events and the current time and return actions for the caller
to carry out; the scheduler itself does no I/O.

A new attempt is checked in this order: tombstone, journal, draining, buffered bytes,
quarantine, deadline, queue capacity. A call that is refused before it is given to the
target has not run, and a tombstone makes the journal reject the attempt if it arrives
again.
"""

import typing

from sardinesaddle import (
    answerbuffer,
    callqueue,
    calls,
    errorcodes,
    estimate,
    journal,
    keyadmission,
    keys,
    quarantine,
    wire,
)

CHUNK_BYTES: typing.Final = 64 * 1024
# Retention of an ended call without a key whose answer was not acknowledged.
ENDED_CALL_RETENTION_S: typing.Final = 30.0
DISCONNECTED_ENTRY_TIMEOUT_S: typing.Final = 20.0
MAX_TOTAL_BUFFERED_BYTES: typing.Final = 32 * 1024 * 1024
MIN_DURATION_SAMPLES: typing.Final = 8
REPLY_MARGIN_S: typing.Final = 0.02

RETRY_AFTER_DRAIN_S: typing.Final = 0.1


class CallScheduler:
    """Admits, queues, runs and answers the calls of one target."""

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
        key_journal = journal.Journal(target, incarnation, now, horizon_s)
        self.key_admission = keyadmission.KeyAdmission(key_journal, horizon_s)
        self.journal = key_journal
        self.queue: callqueue.CallQueue[calls.Call] = callqueue.CallQueue(max_queued)
        self.slots = slots
        self.running_calls: dict[int, calls.Call] = {}
        self.is_draining = False
        self.account_shares: dict[str, float] = {}
        self.quarantine = quarantine.Quarantine()
        # The suspect that waits until no other call runs.
        self._waiting_suspect: calls.Call | None = None
        self._is_suspect_running = False
        self._secret = secret
        self._calls: dict[int, calls.Call] = {}
        self._attempts: dict[calls.AttemptId, calls.Attempt] = {}
        self._attempt_counts: dict[int, int] = {}
        self._disconnected_at: dict[int, float] = {}
        self._service_durations: dict[str, estimate.DurationEstimate] = {}
        self._next_call_number = 1
        self._buffered_bytes = 0
        self._horizon_s = horizon_s
        # The expiry times of attempts that ran and were dropped unacknowledged. After
        # expiry, all attempts of the entry up to its floor count as possibly run.
        self._ran_attempts: dict[calls.AttemptId, float] = {}
        self._ran_floors: dict[int, int] = {}

    # New attempts.

    def on_submit(self, now: float, entry: int, msg: wire.Submit) -> list[calls.Action]:
        """Admit, join or refuse an attempt that arrived.

        A repeated Submit of an open attempt is only accepted again.
        """
        attempt_id = (entry, msg.attempt)
        if attempt_id in self._attempts:
            return [calls.Reply(entry, wire.Accepted(msg.attempt))]
        key: keys.Key | None = None
        if msg.idempotency_key:
            parsed = keys.parse_key(
                self._secret, msg.account, msg.service, msg.idempotency_key
            )
            if isinstance(parsed, errorcodes.Refusal):
                return [
                    calls.Reply(entry, calls.make_refused_message(msg.attempt, parsed))
                ]
            key = parsed
        decision = self.key_admission.decide(now, attempt_id, key, msg.fingerprint)
        if isinstance(decision, errorcodes.Refusal):
            return [
                calls.Reply(entry, calls.make_refused_message(msg.attempt, decision))
            ]
        if isinstance(decision, journal.ReleaseNeeded):
            assert isinstance(key, keys.OpaqueKey)
            return [calls.RequestRelease(entry, msg, key, decision.owners)]
        if isinstance(decision, journal.Join):
            return self._join_call(entry, msg, self._calls[decision.call_number])
        return self._enqueue_call(now, entry, msg, key)

    def on_release_reply(
        self,
        now: float,
        action: calls.RequestRelease,
        owner: str,
        release: wire.KeyReleaseReply | None,
    ) -> list[calls.Action]:
        """Handle a previous owner's reply to a request to release a key.

        ``release`` is None if the owner did not reply. The attempt is refused unless
        the key is free there; after the last owner's release it is submitted again.
        """
        is_free = release is not None and release.is_free
        if release is not None:
            revision = release.table_revision
            self.key_admission.record_release(now, action.key, owner, is_free, revision)
        if not is_free:
            refusal = errorcodes.Refusal(
                errorcodes.KEY_ELSEWHERE,
                errorcodes.Ran.UNKNOWN,
                f"the key's previous owner {owner!r} has not released it",
                1.0,
            )
            msg = calls.make_refused_message(action.submit.attempt, refusal)
            return [calls.Reply(action.entry, msg)]
        if owner == action.owners[-1]:
            return self.on_submit(now, action.entry, action.submit)
        return []

    def _join_call(
        self, entry: int, msg: wire.Submit, call: calls.Call
    ) -> list[calls.Action]:
        """Subscribe an attempt to a call that was submitted before with its key."""
        if call.answer.first_offset > msg.start_offset:
            refusal = errorcodes.Refusal(
                errorcodes.OUTCOME_UNKNOWN,
                errorcodes.Ran.DONE,
                "the call ran, but its answer exceeds the replay buffer",
            )
            return [
                calls.Reply(entry, calls.make_refused_message(msg.attempt, refusal))
            ]
        attempt = self._add_attempt(entry, msg, call)
        actions: list[calls.Action] = [calls.Reply(entry, wire.Accepted(msg.attempt))]
        return actions + self._send_available(attempt)

    def _add_attempt(
        self, entry: int, msg: wire.Submit, call: calls.Call
    ) -> calls.Attempt:
        """Register an attempt that waits for a call and return it."""
        attempt_id = (entry, msg.attempt)
        attempt = calls.Attempt(
            attempt_id, call, msg.start_offset, msg.start_offset + msg.window_bytes
        )
        self._attempts[attempt_id] = attempt
        self._attempt_counts[entry] = self._attempt_counts.get(entry, 0) + 1
        call.attempts.append(attempt)
        return attempt

    def _enqueue_call(
        self, now: float, entry: int, msg: wire.Submit, key: keys.Key | None
    ) -> list[calls.Action]:
        """Enqueue a new call, or refuse it as not run.

        A full queue may evict a less important call, which is refused at once.
        """
        refusal = self._check_admission(now, msg)
        if refusal is not None:
            self.journal.add_tombstone(now, (entry, msg.attempt))
            return [
                calls.Reply(entry, calls.make_refused_message(msg.attempt, refusal))
            ]
        call = calls.Call(self._next_call_number, now, msg, key)
        self._next_call_number += 1
        call.share = self.account_shares.get(msg.account, calls.DEFAULT_SHARE)
        call.cost = max(self.estimate_duration(msg.service), 1e-3)
        evicted = self.queue.enqueue(call)
        if evicted is call:
            self.journal.add_tombstone(now, (entry, msg.attempt))
            return [
                calls.Reply(
                    entry,
                    calls.make_refused_message(msg.attempt, self._make_full_refusal()),
                )
            ]
        self._calls[call.number] = call
        if key is not None:
            self.journal.record_queued(now, key, call.number, msg.fingerprint)
            self.key_admission.drop_releases(key)
        self._add_attempt(entry, msg, call)
        actions: list[calls.Action] = [calls.Reply(entry, wire.Accepted(msg.attempt))]
        if evicted is not None:
            actions += self._refuse_queued(now, evicted, self._make_full_refusal())
        return actions + self.start_queued_calls(now)

    def _check_admission(
        self, now: float, msg: wire.Submit
    ) -> errorcodes.Refusal | None:
        """Return a refusal if a new call must not run or cannot end in time."""
        not_run = errorcodes.Ran.NOT_RUN
        if self.is_draining:
            return errorcodes.Refusal(
                errorcodes.DRAINING, not_run, "", RETRY_AFTER_DRAIN_S
            )
        if self._buffered_bytes > MAX_TOTAL_BUFFERED_BYTES:
            return errorcodes.Refusal(
                errorcodes.OVERLOADED, not_run, "the answer buffers are full", 1.0
            )
        if (
            self.quarantine.get_verdict(now, msg.fingerprint)
            is quarantine.Verdict.REFUSED
        ):
            remaining_s = self.quarantine.compute_remaining_s(now, msg.fingerprint)
            return errorcodes.Refusal(errorcodes.QUARANTINED, not_run, "", remaining_s)
        share = self.account_shares.get(msg.account, calls.DEFAULT_SHARE)
        wait_s = self.queue.estimate_wait(msg.account, share) / self.slots
        if self._is_deadline_unreachable(msg, wait_s):
            return errorcodes.Refusal(
                errorcodes.DEADLINE_UNREACHABLE,
                not_run,
                f"the estimated queue wait is {wait_s:.3f} s",
                wait_s,
            )
        return None

    def _is_deadline_unreachable(self, msg: wire.Submit, wait_s: float) -> bool:
        """Return whether the answer is unlikely to arrive within the time budget.

        Without enough samples of the service's duration, only a budget that is used up
        counts. A call that can start at once is judged by the mean duration, a call
        that has to wait by the upper bound.
        """
        durations = self._service_durations.get(msg.service)
        if durations is None or durations.count < MIN_DURATION_SAMPLES:
            return msg.remaining_ms <= 0
        if len(self.running_calls) < self.slots and not len(self.queue):
            return durations.mean_s > msg.remaining_ms / 1000.0
        return wait_s + durations.compute_upper_bound() > msg.remaining_ms / 1000.0

    def _make_full_refusal(self) -> errorcodes.Refusal:
        """Return the refusal for a full queue, with the estimated wait."""
        return errorcodes.Refusal(
            errorcodes.OVERLOADED,
            errorcodes.Ran.NOT_RUN,
            "the target's queue is full",
            max(self.estimate_wait(), 0.1),
        )

    # Load estimates, timeouts and starting queued calls.

    def estimate_duration(self, service: str) -> float:
        """Return the mean run time of a service's calls in seconds.

        The default is 0.05 s until a call of the service has ended normally.
        """
        durations = self._service_durations.get(service)
        return 0.05 if durations is None else durations.mean_s

    def estimate_wait(self) -> float:
        """Return the queue wait in seconds of a new call of low priority."""
        if len(self.running_calls) < self.slots and not len(self.queue):
            return 0.0
        return self.queue.total_cost / self.slots

    def on_entry_disconnected(self, now: float, entry: int) -> None:
        """Start the timeout after which the entry's attempts are cancelled."""
        self._disconnected_at[entry] = now

    def on_entry_connected(self, entry: int) -> None:
        """Stop the timeout of an entry that was disconnected."""
        self._disconnected_at.pop(entry, None)

    def _cancel_disconnected(self, now: float) -> list[calls.Action]:
        """Cancel the attempts of entries that were disconnected for too long."""
        actions: list[calls.Action] = []
        for entry, disconnected_at in list(self._disconnected_at.items()):
            if now - disconnected_at < DISCONNECTED_ENTRY_TIMEOUT_S:
                continue
            del self._disconnected_at[entry]
            numbers = [n for e, n in self._attempts if e == entry]
            for number in numbers:
                actions += self.on_cancel(now, entry, number)
        return actions

    def tick(self, now: float) -> list[calls.Action]:
        """Refuse queued calls whose deadline is near and drop expired state.

        Called periodically. A call is refused ``REPLY_MARGIN_S`` before its deadline,
        so that the refusal reaches the caller in time.
        """
        actions = self._cancel_disconnected(now)
        for call in self.queue.list_items():
            if call.deadline_at - REPLY_MARGIN_S <= now:
                refusal = errorcodes.Refusal(
                    errorcodes.DEADLINE_PASSED, errorcodes.Ran.NOT_RUN, "", 0.0
                )
                actions += self._refuse_queued(now, call, refusal)
        for number in self.journal.expire(now):
            self._drop_call(self._calls.get(number))
        for call in list(self._calls.values()):
            if call.key is None and 0 <= call.ended_at < now - ENDED_CALL_RETENTION_S:
                self._record_ran_attempts(now, call)
                self._drop_call(call)
        self._expire_ran_attempts(now)
        return actions

    def _record_ran_attempts(self, now: float, call: calls.Call) -> None:
        """Remember the call's attempts, which ran and were never acknowledged."""
        for attempt in call.attempts:
            self._ran_attempts[attempt.attempt_id] = now + self._horizon_s

    def _expire_ran_attempts(self, now: float) -> None:
        """Replace expired records of attempts that ran by one number per entry."""
        for attempt_id in [
            i for i, expires_at in self._ran_attempts.items() if expires_at <= now
        ]:
            del self._ran_attempts[attempt_id]
            entry, number = attempt_id
            self._ran_floors[entry] = max(self._ran_floors.get(entry, 0), number)

    def _may_have_run(self, attempt_id: calls.AttemptId) -> bool:
        """Return whether an attempt without a call here may have run."""
        return attempt_id in self._ran_attempts or attempt_id[
            1
        ] <= self._ran_floors.get(attempt_id[0], 0)

    def start_queued_calls(self, now: float) -> list[calls.Action]:
        """Start queued calls while the target has free slots.

        A suspect is started only when no other call runs, and blocks the queue until
        then. A call that would miss its deadline is refused instead of started.
        """
        actions: list[calls.Action] = []
        while self._has_free_slot():
            call = self._dequeue_call()
            if call is None:
                break
            if self._would_miss_deadline(now, call):
                refusal = errorcodes.Refusal(
                    errorcodes.DEADLINE_PASSED, errorcodes.Ran.NOT_RUN
                )
                actions += self._refuse_queued(now, call, refusal)
                continue
            call.state = journal.CallState.RUNNING
            call.started_at = now
            if self._is_suspect(now, call):
                if self.running_calls:
                    # Start the suspect when nothing else runs; hold back the queue.
                    self._waiting_suspect = call
                    call.state = journal.CallState.QUEUED
                    break
                self._is_suspect_running = True
            if call.key is not None:
                self.journal.mark_running(call.key)
            self.running_calls[call.number] = call
            actions.append(calls.RunCall(call))
        return actions

    def _has_free_slot(self) -> bool:
        """Return whether the next call may start now.

        No call starts beside a running suspect. While a suspect waits, the target has
        to become empty first.
        """
        if self._is_suspect_running:
            return False
        if self._waiting_suspect is not None:
            return not self.running_calls
        return len(self.running_calls) < self.slots

    def _dequeue_call(self) -> calls.Call | None:
        """Return the suspect that waits to run alone, or the next queued call."""
        waiting_suspect = self._waiting_suspect
        self._waiting_suspect = None
        if waiting_suspect is not None and waiting_suspect.number in self._calls:
            return waiting_suspect
        return self.queue.dequeue()

    def _is_suspect(self, now: float, call: calls.Call) -> bool:
        """Return whether a call must run with no other call on the target."""
        if call.submit.is_suspect:
            return True
        verdict = self.quarantine.get_verdict(now, call.submit.fingerprint)
        return verdict is quarantine.Verdict.ALONE

    def _would_miss_deadline(self, now: float, call: calls.Call) -> bool:
        """Return whether a call should be refused instead of started.

        While other calls wait for the slot, a call that would end after its deadline
        takes the time of one that would end before its own.
        """
        if call.deadline_at <= now:
            return True
        durations = self._service_durations.get(call.submit.service)
        if (
            durations is None
            or durations.count < MIN_DURATION_SAMPLES
            or not len(self.queue)
        ):
            return False
        return now + durations.compute_upper_bound() > call.deadline_at

    def _refuse_queued(
        self, now: float, call: calls.Call, refusal: errorcodes.Refusal
    ) -> list[calls.Action]:
        """Refuse a call that was never given to the target, for all its attempts."""
        self.queue.remove(call)
        if call.key is not None:
            self.journal.drop_queued(call.key)
        actions: list[calls.Action] = []
        for attempt in list(call.attempts):
            self.journal.add_tombstone(now, attempt.attempt_id)
            msg = calls.make_refused_message(attempt.attempt_id[1], refusal)
            actions.append(calls.Reply(attempt.attempt_id[0], msg))
            self._drop_attempt(attempt)
        self._calls.pop(call.number, None)
        return actions

    # Events from the target.

    def on_target_head(
        self, call: calls.Call, status: int, headers: list[tuple[str, str]]
    ) -> list[calls.Action]:
        """Store the status and headers of the answer and send them on."""
        call.answer.begin(status, headers)
        return self._send_to_attempts(call)

    def on_target_data(self, call: calls.Call, data: bytes) -> list[calls.Action]:
        """Buffer body bytes of the answer and send them on.

        The buffer of a keyed call keeps at most the last ``MAX_BUFFERED_BYTES``.
        """
        call.answer.append(data)
        self._buffered_bytes += len(data)
        if (
            call.key is not None
            and call.answer.length > answerbuffer.MAX_BUFFERED_BYTES
        ):
            self._drop_answer_bytes(
                call, call.answer.length - answerbuffer.MAX_BUFFERED_BYTES
            )
        return self._send_to_attempts(call)

    def on_target_end(self, now: float, call: calls.Call) -> list[calls.Action]:
        """Mark the answer complete and free the slot.

        A suspect that ran alone and ended normally is cleared.
        """
        call.answer.end()
        self._add_duration(now, call)
        if self._is_suspect_running:
            self.quarantine.clear_suspect(call.submit.fingerprint)
        return self._finish_run(now, call, journal.CallState.DONE)

    def on_target_failed(
        self,
        now: float,
        call: calls.Call,
        refusal: errorcodes.Refusal,
        is_crash: bool = False,
    ) -> list[calls.Action]:
        """End a call that failed at the target and free the slot.

        ``refusal.ran`` is NOT_RUN only if the target never received the call.
        ``is_crash`` means that the target closed the connection while the call ran.
        """
        announcements: list[calls.Action] = []
        if is_crash:
            fingerprints = [
                running_call.submit.fingerprint
                for running_call in self.running_calls.values()
            ]
            changes = self.quarantine.record_crash(
                now, fingerprints, self._is_suspect_running
            )
            announcements = [
                calls.AnnounceVerdict(fingerprint, verdict)
                for fingerprint, verdict in changes
            ]
        call.answer.fail(refusal)
        state = journal.CallState.UNKNOWN
        if refusal.ran is errorcodes.Ran.NOT_RUN and call.key is not None:
            # Nothing reached the target, so the key may start another call.
            call.state = journal.CallState.QUEUED
            self.journal.mark_queued(call.key)
        return announcements + self._finish_run(now, call, state)

    def _add_duration(self, now: float, call: calls.Call) -> None:
        """Add the call's run time to the estimate of its service."""
        durations = self._service_durations.setdefault(
            call.submit.service, estimate.DurationEstimate()
        )
        durations.add(now - call.started_at)

    def _finish_run(
        self, now: float, call: calls.Call, state: journal.CallState
    ) -> list[calls.Action]:
        """Free the slot, update the journal and send the end to every attempt."""
        self.running_calls.pop(call.number, None)
        self._is_suspect_running = False
        call.ended_at = now
        if call.key is not None and call.state is journal.CallState.RUNNING:
            if state is journal.CallState.DONE:
                self.journal.mark_done(call.key)
            else:
                self.journal.mark_unknown(call.key)
        elif call.key is not None:
            self.journal.drop_queued(call.key)
            call.key = None
        call.state = state
        actions = self._send_to_attempts(call)
        if not call.attempts and call.key is None:
            self._drop_call(call)
        return actions + self.start_queued_calls(now)

    # Sending the answer to attempts.

    def _send_to_attempts(self, call: calls.Call) -> list[calls.Action]:
        """Return the messages that every attempt of the call may receive now."""
        actions: list[calls.Action] = []
        for attempt in list(call.attempts):
            actions += self._send_available(attempt)
        return actions

    def _send_available(self, attempt: calls.Attempt) -> list[calls.Action]:
        """Return the next messages of the answer, within the attempt's credit."""
        if attempt.has_sent_all:
            return []
        entry, number = attempt.attempt_id
        buffer = attempt.call.answer
        actions: list[calls.Action] = []
        if not attempt.has_sent_head and buffer.phase is not answerbuffer.Phase.WAITING:
            if buffer.status:
                head = wire.Head(number, buffer.status, buffer.headers)
                actions.append(calls.Reply(entry, head))
            attempt.has_sent_head = True
        while attempt.sent_offset < min(buffer.length, attempt.credit_limit):
            count = min(CHUNK_BYTES, attempt.credit_limit - attempt.sent_offset)
            data = buffer.read(attempt.sent_offset, count)
            actions.append(
                calls.Reply(entry, wire.Data(number, attempt.sent_offset, data))
            )
            attempt.sent_offset += len(data)
        if buffer.is_final and attempt.sent_offset >= buffer.length:
            attempt.has_sent_all = True
            actions.append(calls.Reply(entry, self._make_final_message(number, buffer)))
        return actions

    def _make_final_message(
        self, number: int, buffer: answerbuffer.AnswerBuffer
    ) -> wire.Message:
        """Return the End message, or Refused if the answer failed."""
        if buffer.refusal is not None:
            return calls.make_refused_message(number, buffer.refusal)
        return wire.End(number, buffer.length, buffer.digest)

    def on_credit(self, entry: int, msg: wire.Credit) -> list[calls.Action]:
        """Handle an acknowledgement with new credit from the reader.

        An attempt ends when the whole answer was sent and acknowledged. Without a key,
        a call with a single reader drops the acknowledged bytes.
        """
        attempt = self._attempts.get((entry, msg.attempt))
        if attempt is None:
            return []
        call = attempt.call
        attempt.credit_limit = max(attempt.credit_limit, msg.send_limit)
        if attempt.has_sent_all and msg.offset >= call.answer.length:
            self._drop_attempt(attempt)
            if call.key is None and not call.attempts:
                self._drop_call(call)
            return []
        if call.key is None and len(call.attempts) == 1:
            self._drop_answer_bytes(call, msg.offset)
        return self._send_available(attempt)

    def is_backlogged(self, call: calls.Call) -> bool:
        """Return whether reading from the target should pause.

        A call without a key waits for its slowest reader. A keyed call never waits,
        since its answer is buffered for later attempts.
        """
        if call.key is not None:
            return False
        return any(a.credit_limit <= call.answer.length for a in call.attempts)

    def on_resume(self, now: float, entry: int, msg: wire.Resume) -> list[calls.Action]:
        """Continue an attempt on a new connection from an offset.

        An attempt that is unknown here, or that needs bytes that were dropped, gets a
        tombstone and is refused; as not run only if it cannot have run.
        """
        attempt_id = (entry, msg.attempt)
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.call.answer.first_offset > msg.offset:
            # The attempt never arrived, was acknowledged, or lost bytes it needs.
            self.journal.add_tombstone(now, attempt_id)
            refusal = errorcodes.Refusal(errorcodes.TOMBSTONED, errorcodes.Ran.NOT_RUN)
            if attempt is not None or self._may_have_run(attempt_id):
                refusal = errorcodes.Refusal(
                    errorcodes.OUTCOME_UNKNOWN, errorcodes.Ran.UNKNOWN
                )
            return [
                calls.Reply(entry, calls.make_refused_message(msg.attempt, refusal))
            ]
        attempt.sent_offset = msg.offset
        attempt.credit_limit = msg.send_limit
        attempt.has_sent_head = False
        attempt.has_sent_all = False
        actions: list[calls.Action] = [calls.Reply(entry, wire.Accepted(msg.attempt))]
        return actions + self._send_available(attempt)

    # Cancellation and key release.

    def on_cancel(self, now: float, entry: int, number: int) -> list[calls.Action]:
        """Cancel an attempt whose caller disconnected.

        An attempt that has not arrived yet gets a tombstone. The last attempt of a call
        without a key cancels the call, which is stopped at the target only if it is
        idempotent.
        """
        attempt = self._attempts.get((entry, number))
        if attempt is None:
            self.journal.add_tombstone(now, (entry, number))
            return []
        call = attempt.call
        if call.state is not journal.CallState.QUEUED:
            self._ran_attempts[attempt.attempt_id] = now + self._horizon_s
        self._drop_attempt(attempt)
        if call.attempts or call.key is not None:
            return []
        if call.state is journal.CallState.QUEUED:
            return self._refuse_queued(now, call, self._make_full_refusal())
        if call.state is journal.CallState.RUNNING and call.submit.is_idempotent:
            return [calls.CancelCall(call)]
        return []

    def release_key(
        self, now: float, msg: wire.KeyReleaseRequest
    ) -> wire.KeyReleaseReply:
        """Return the reply to a key's new owner, with the table revision held here."""
        key = keys.OpaqueKey(msg.account, msg.service, msg.key_text)
        is_free = self.key_admission.release(now, key)
        return wire.KeyReleaseReply(
            msg.request_id, is_free, self.key_admission.owners.revision
        )

    # Removal of calls, attempts and buffered bytes.

    def _drop_answer_bytes(self, call: calls.Call, offset: int) -> None:
        """Drop the buffered bytes of an answer below an offset."""
        previous_offset = call.answer.first_offset
        call.answer.drop_before(offset)
        self._buffered_bytes -= call.answer.first_offset - previous_offset

    def _drop_attempt(self, attempt: calls.Attempt) -> None:
        """Remove an attempt from its call and its entry's count."""
        if self._attempts.pop(attempt.attempt_id, None) is None:
            return
        attempt.call.attempts.remove(attempt)
        entry = attempt.attempt_id[0]
        self._attempt_counts[entry] -= 1
        if not self._attempt_counts[entry]:
            del self._attempt_counts[entry]

    def _drop_call(self, call: calls.Call | None) -> None:
        """Remove a call with its buffered answer and attempts."""
        if call is None or self._calls.pop(call.number, None) is None:
            return
        self._buffered_bytes -= call.answer.length - call.answer.first_offset
        for attempt in list(call.attempts):
            self._drop_attempt(attempt)

    def has_attempts(self, entry: int) -> bool:
        """Return whether the entry has open attempts."""
        return self._attempt_counts.get(entry, 0) > 0

    def list_calls(self) -> list[calls.Call]:
        """Return all calls: queued, running, and finished with a buffered answer."""
        return list(self._calls.values())

    @property
    def buffered_bytes(self) -> int:
        """The answer bytes that are buffered for readers and replays."""
        return self._buffered_bytes
