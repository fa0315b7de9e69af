"""Data-driven cases of the journal."""

import pytest

from sardinesaddle import errorcodes, journal, keys
from test import casefile

KEYS: dict[str, keys.Key] = {
    "m1": keys.MintedKey("a", "s", "t", 1, 100_000, b"1"),
    "m0": keys.MintedKey("a", "s", "t", 0, 100_000, b"1"),
    "x1": keys.MintedKey("a", "s", "other", 1, 100_000, b"1"),
    "o": keys.OpaqueKey("a", "s", "text"),
}


def render(decision: journal.Decision) -> str:
    """Return the decision as one line."""
    if isinstance(decision, errorcodes.Refusal):
        return f"{decision.code.name} {decision.ran.value}"
    if isinstance(decision, journal.Join):
        return f"join {decision.call_number}"
    if isinstance(decision, journal.ReleaseNeeded):
        return "consult " + " ".join(decision.owners)
    return "start"


def play(lines: list[str]) -> list[str]:
    """Run a case's events; return the answers."""
    held = journal.Journal("t", 1, 0.0, 10.0)
    out = []
    for line in lines:
        time, event, *args = line.split()
        now = float(time)
        if event == "offer":
            earlier = tuple(args[args.index("homes") + 1 :]) if "homes" in args else ()
            fingerprint = 1 if "other" in args else 0
            attempt = (1, int(args[0]))
            decision = held.decide(now, attempt, KEYS[args[1]], fingerprint, earlier)
            out.append(render(decision))
        elif event == "withdraw":
            held.add_tombstone(now, (1, int(args[0])))
        elif event == "expire":
            out.append(f"dropped {len(held.expire(now))}")
        elif event == "release":
            key = KEYS[args[0]]
            assert isinstance(key, keys.OpaqueKey)
            out.append("released yes" if held.release(now, key) else "released no")
        elif event == "accept":
            held.record_queued(now, KEYS[args[0]], 1, 0)
        else:
            marks = {
                "run": held.mark_running,
                "done": held.mark_done,
                "unknown": held.mark_unknown,
                "forget": held.drop_queued,
            }
            marks[event](KEYS[args[0]])
    return out


@pytest.mark.parametrize(
    "case", casefile.read_cases("journal.test"), ids=lambda case: case.name
)
def test_journal(case: casefile.Case) -> None:
    assert play(case.lines) == case.out
