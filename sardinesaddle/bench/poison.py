"""Counts the targets lost to one poisonous request that its caller keeps resending.

Each resend goes through another entry. The sidecar that lost its target sends its
verdicts to the entries connected to it, which takes a short delay.
"""

import random
import typing

from sardinesaddle import quarantine
from sardinesaddle.bench import report

ENTRIES: typing.Final = 4
TARGETS: typing.Final = 16
BATCH_SIZE: typing.Final = 8
SENDS: typing.Final = 40
RESEND_PERIOD_S: typing.Final = 0.5
VERDICT_DELAY_S: typing.Final = 0.05
POISON_FINGERPRINT: typing.Final = 7


def simulate(seed: int, has_quarantine: bool) -> tuple[int, int, int]:
    """Return the counts of targets lost, innocents delayed and innocents refused.

    Innocents are the requests that run beside the poisonous one. A suspected one is
    delayed, since it must run alone.
    """
    rng = random.Random(seed)
    quarantines = [quarantine.Quarantine() for _ in range(ENTRIES)]
    lost = delayed = refused = 0
    sent_verdicts: list[tuple[float, int, quarantine.Verdict]] = []
    for send in range(SENDS):
        now = send * RESEND_PERIOD_S
        for at, fingerprint, verdict in sent_verdicts:
            if at <= now:
                for entry_quarantine in quarantines:
                    entry_quarantine.apply_verdict(now, fingerprint, verdict)
        entry = quarantines[send % ENTRIES]
        batch = [1000 + rng.randrange(200) for _ in range(BATCH_SIZE)]
        verdict = quarantine.Verdict.CLEAR
        if has_quarantine:
            verdict = entry.get_verdict(now, POISON_FINGERPRINT)
        if verdict is quarantine.Verdict.REFUSED:
            continue
        is_alone = verdict is quarantine.Verdict.ALONE
        running = [POISON_FINGERPRINT] if is_alone else [POISON_FINGERPRINT, *batch]
        lost += 1
        for fingerprint, new_verdict in entry.record_crash(now, running, is_alone):
            sent_verdicts.append((now + VERDICT_DELAY_S, fingerprint, new_verdict))
        for innocent in batch:
            innocent_verdict = entry.get_verdict(now, innocent)
            delayed += innocent_verdict is quarantine.Verdict.ALONE
            refused += innocent_verdict is quarantine.Verdict.REFUSED
            # The innocent's resend runs alone, ends normally and clears it everywhere.
            for entry_quarantine in quarantines:
                entry_quarantine.clear_suspect(innocent)
            sent_verdicts = [
                sent_verdict
                for sent_verdict in sent_verdicts
                if sent_verdict[1] != innocent
            ]
    return lost, delayed, refused


def run(seed: int) -> report.Report:
    """Compare the losses with and without quarantine."""
    result = report.Report("poison")
    lost, delayed, refused = simulate(seed, has_quarantine=True)
    result.add_at_most("targets_lost", lost, 2)
    result.add_at_most("innocents_refused", refused, 0)
    result.add("innocents_run_alone_once", delayed)
    lost, _, _ = simulate(seed, has_quarantine=False)
    result.add("targets_lost_without_quarantine", lost)
    return result
