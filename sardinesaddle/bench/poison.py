"""Targets lost to one poisonous request that its caller sends again and again.

The request goes through another entry each time; news of suspects travels from the
sidecar that lost its target to the entries connected to it, with a delay.
"""

import random
import typing

from sardinesaddle import quarantine
from sardinesaddle.bench import report

ENTRIES: typing.Final = 4
TARGETS: typing.Final = 16
BATCH: typing.Final = 8
SENDS: typing.Final = 40
RESEND_S: typing.Final = 0.5
NEWS_S: typing.Final = 0.05
POISON: typing.Final = 7


def play(seed: int, is_guarded: bool) -> tuple[int, int, int]:
    """Return targets lost, innocents delayed and innocents refused."""
    rng = random.Random(seed)
    known = [quarantine.Quarantine() for _ in range(ENTRIES)]
    lost = delayed = refused = 0
    news: list[tuple[float, int, quarantine.Verdict]] = []
    for send in range(SENDS):
        now = send * RESEND_S
        for at, fingerprint, verdict in news:
            if at <= now:
                for one in known:
                    one.apply_verdict(now, fingerprint, verdict)
        entry = known[send % ENTRIES]
        batch = [1000 + rng.randrange(200) for _ in range(BATCH)]
        verdict = quarantine.Verdict.CLEAR
        if is_guarded:
            verdict = entry.get_verdict(now, POISON)
        if verdict is quarantine.Verdict.REFUSED:
            continue
        is_alone = verdict is quarantine.Verdict.ALONE
        running = [POISON] if is_alone else [POISON, *batch]
        lost += 1
        for fingerprint, told in entry.record_crash(now, running, is_alone):
            news.append((now + NEWS_S, fingerprint, told))
        for innocent in batch:
            judged = entry.get_verdict(now, innocent)
            delayed += judged is quarantine.Verdict.ALONE
            refused += judged is quarantine.Verdict.REFUSED
            # The caller's resend runs alone, ends well and clears it everywhere.
            for one in known:
                one.clear_suspect(innocent)
            news = [one for one in news if one[1] != innocent]
    return lost, delayed, refused


def run(seed: int) -> report.Report:
    """Run the bench."""
    result = report.Report("poison")
    lost, delayed, refused = play(seed, is_guarded=True)
    result.add_at_most("targets_lost", lost, 2)
    result.add_at_most("innocents_refused", refused, 0)
    result.add("innocents_run_alone_once", delayed)
    lost, _, _ = play(seed, is_guarded=False)
    result.add("targets_lost_without_quarantine", lost)
    return result
