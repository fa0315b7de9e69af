"""Finds requests that crash their targets and stops them from crashing more.

When a target is lost, every request that ran there becomes a suspect, identified by a
fingerprint of its content. A suspect runs again only by itself, with no other request
on its target. If that target is lost too, only the suspect explains it, and its
fingerprint is refused for ``REFUSAL_LIFETIME_S``. If the suspect ends normally, it is
cleared. A poisonous request therefore costs at most two targets, and an innocent
request is only delayed.

Sidecars send verdicts to every connected entry, and entries send them on to sidecars.
"""

import dataclasses
import enum
import typing

SUSPECT_LIFETIME_S: typing.Final = 300.0
REFUSAL_LIFETIME_S: typing.Final = 1800.0
MAX_FINGERPRINTS: typing.Final = 4096


class Verdict(enum.IntEnum):
    """How a request may run; a higher value is stricter."""

    CLEAR = 0
    ALONE = 1
    REFUSED = 2


@dataclasses.dataclass(slots=True)
class FingerprintRecord:
    """The verdict on one fingerprint and when it expires."""

    verdict: Verdict
    expires_at: float


class Quarantine:
    """The suspects and refused requests that one process has records of."""

    __slots__ = ("_records",)

    def __init__(self) -> None:
        self._records: dict[int, FingerprintRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def get_verdict(self, now: float, fingerprint: int) -> Verdict:
        """Return how a request with this fingerprint may run."""
        record = self._records.get(fingerprint)
        if record is None:
            return Verdict.CLEAR
        if record.expires_at <= now:
            del self._records[fingerprint]
            return Verdict.CLEAR
        return record.verdict

    def compute_remaining_s(self, now: float, fingerprint: int) -> float:
        """Return the seconds until the fingerprint's verdict expires."""
        record = self._records.get(fingerprint)
        return 0.0 if record is None else max(record.expires_at - now, 0.0)

    def record_crash(
        self, now: float, fingerprints: typing.Iterable[int], ran_alone: bool
    ) -> list[tuple[int, Verdict]]:
        """Apply verdicts to a lost target's requests; return those to announce."""
        verdict = Verdict.REFUSED if ran_alone else Verdict.ALONE
        changes = []
        for fingerprint in sorted(set(fingerprints)):
            if self.apply_verdict(now, fingerprint, verdict):
                changes.append((fingerprint, verdict))
        return changes

    def apply_verdict(self, now: float, fingerprint: int, verdict: Verdict) -> bool:
        """Store a verdict stricter than the current one; return True if stored."""
        if verdict is Verdict.CLEAR or self.get_verdict(now, fingerprint) >= verdict:
            return False
        lifetime_s = (
            REFUSAL_LIFETIME_S if verdict is Verdict.REFUSED else SUSPECT_LIFETIME_S
        )
        if len(self._records) >= MAX_FINGERPRINTS:
            oldest = min(self._records, key=lambda key: self._records[key].expires_at)
            del self._records[oldest]
        self._records[fingerprint] = FingerprintRecord(verdict, now + lifetime_s)
        return True

    def clear_suspect(self, fingerprint: int) -> None:
        """Clear a suspect that ended normally by itself."""
        record = self._records.get(fingerprint)
        if record is not None and record.verdict is Verdict.ALONE:
            del self._records[fingerprint]
