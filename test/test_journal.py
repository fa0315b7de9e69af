"""Data-driven tests of the sidecar's journal of keyed calls."""

import pytest

from sardinesaddle import errorcodes, journal, keys
from test import casefile

KEYS: dict[str, keys.Key] = {
    "m1": keys.MintedKey("a", "s", "t", 1, 100_000, b"1"),
    "m0": keys.MintedKey("a", "s", "t", 0, 100_000, b"1"),
    "x1": keys.MintedKey("a", "s", "other", 1, 100_000, b"1"),
    "o": keys.OpaqueKey("a", "s", "text"),
}


def format_decision(decision: journal.Decision) -> str:
    """Return a decision as the case file writes it."""
    if isinstance(decision, errorcodes.Refusal):
        return f"{decision.code.name} {decision.ran.value}"
    if isinstance(decision, journal.Join):
        return f"join {decision.call_number}"
    if isinstance(decision, journal.ReleaseNeeded):
        return "release_needed " + " ".join(decision.owners)
    return "start"


def run_events(lines: list[str]) -> list[str]:
    """Apply a case's events to a new journal; return its answers."""
    key_journal = journal.Journal("t", 1, 0.0, 10.0)
    answers = []
    for line in lines:
        time, event, *args = line.split()
        now = float(time)
        if event == "attempt":
            previous_owners = (
                tuple(args[args.index("owners") + 1 :]) if "owners" in args else ()
            )
            fingerprint = 1 if "other" in args else 0
            attempt = (1, int(args[0]))
            decision = key_journal.decide(
                now, attempt, KEYS[args[1]], fingerprint, previous_owners
            )
            answers.append(format_decision(decision))
        elif event == "tombstone":
            key_journal.add_tombstone(now, (1, int(args[0])))
        elif event == "expire":
            answers.append(f"dropped {len(key_journal.expire(now))}")
        elif event == "release":
            key = KEYS[args[0]]
            assert isinstance(key, keys.OpaqueKey)
            answers.append(
                "released yes" if key_journal.release(now, key) else "released no"
            )
        elif event == "queue":
            key_journal.record_queued(now, KEYS[args[0]], 1, 0)
        else:
            state_changes = {
                "run": key_journal.mark_running,
                "done": key_journal.mark_done,
                "unknown": key_journal.mark_unknown,
                "drop": key_journal.drop_queued,
            }
            state_changes[event](KEYS[args[0]])
    return answers


@pytest.mark.parametrize(
    "case", casefile.read_cases("journal.test"), ids=lambda case: case.name
)
def test_journal(case: casefile.Case) -> None:
    assert run_events(case.input_lines) == case.expected_lines
