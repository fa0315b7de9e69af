"""Finds requests that crash their targets, and keeps them from doing it again.

When a target is lost, every request that ran there is a suspect, named by a
fingerprint of what it does. A suspect is run again only by itself, with no other
request on its target. If the target is lost once more, only the suspect explains it,
and its fingerprint is refused for a while. If it ends well, it is cleared. So one
poisonous request costs at most two targets, and an innocent one is at worst delayed.

Sidecars tell every entry that is connected to them, and those tell the sidecars.
"""

import dataclasses
import enum
import typing

SUSPECT_LIFETIME_S: typing.Final = 300.0
REFUSAL_LIFETIME_S: typing.Final = 1800.0
MAX_FINGERPRINTS: typing.Final = 4096


class Verdict(enum.IntEnum):
    """How a request is run; the higher, the stricter."""

    CLEAR = 0
    ALONE = 1
    REFUSED = 2


@dataclasses.dataclass(slots=True)
class FingerprintRecord:
    """What is known of one fingerprint."""

    verdict: Verdict
    expires_at: float


class Quarantine:
    """The suspects and the refused requests that one process knows of."""

    __slots__ = ("_records",)

    def __init__(self) -> None:
        self._records: dict[int, FingerprintRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def get_verdict(self, now: float, fingerprint: int) -> Verdict:
        """Return how a request with this fingerprint may be run."""
        record = self._records.get(fingerprint)
        if record is None:
            return Verdict.CLEAR
        if record.expires_at <= now:
            del self._records[fingerprint]
            return Verdict.CLEAR
        return record.verdict

    def compute_remaining_s(self, now: float, fingerprint: int) -> float:
        """Return the seconds until the fingerprint's entry ends."""
        record = self._records.get(fingerprint)
        return 0.0 if record is None else max(record.expires_at - now, 0.0)

    def record_crash(
        self, now: float, fingerprints: typing.Iterable[int], ran_alone: bool
    ) -> list[tuple[int, Verdict]]:
        """Take note of a lost target; return what the others should be told."""
        verdict = Verdict.REFUSED if ran_alone else Verdict.ALONE
        changes = []
        for fingerprint in sorted(set(fingerprints)):
            if self.apply_verdict(now, fingerprint, verdict):
                changes.append((fingerprint, verdict))
        return changes

    def apply_verdict(self, now: float, fingerprint: int, verdict: Verdict) -> bool:
        """Take over a verdict unless a stricter one holds; return if it is news."""
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
        """Take note that a suspect ended well by itself."""
        record = self._records.get(fingerprint)
        if record is not None and record.verdict is Verdict.ALONE:
            del self._records[fingerprint]
