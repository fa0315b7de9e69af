"""Finds out what explains the crashes in a ledger: contents, or parts of prompts.

A *content* (path, account and body) explains a crash if it was running on the target.
A *part* of prompts explains it if a content with that part was. The crashes of a part
are those of all such contents, without those that a completion of the part has cleared.

Parts are examined first, since one part explains crashes of many contents. A part is
quarantined, that is, its requests are refused, if

- it has ``MIN_CRASHES`` crashes that no other quarantined part explains, where those
  of targets that failed together, mostly without it, count as one,
- no single content has all of them, which would be the smaller explanation, and
- no rarer part with the same contents has them.

A part of much of the traffic, or one that was served lately, needs more:
``MIN_COMMON_EPISODES`` crashes at different times, which no other part and no content
explains. An entry that has just started does not remember what was served. It refuses
the parts that other entries refuse, which have seen more. If it has heard of none, a
part needs ``MAX_CRASHES`` crashes, and one that another entry saw or as many contents.
One of much of the traffic is examined after a moment in which records of other entries
arrive. Parts of different contents that explain the same crashes, and are about as
rare, are rivals; both must be seen once more (``MAX_CRASHES``).

A part that crashes its targets only sometimes is cleared by the other times. It is
quarantined, too, if its contents crashed ``MIN_FREQUENT_CRASHES`` targets lately,
cleared or not, and those are a large share of its requests.

Contents follow, with the crashes that no quarantined part explains. A content is
quarantined with two crashes, unless another one has the same two; then both may run
once more, apart. With three it always is.
"""

import collections
import dataclasses
import typing

from sardinesaddle.direct import parttraffic

MIN_CRASHES: typing.Final = 2  # quarantined if nothing else explains them
MAX_CRASHES: typing.Final = 3  # quarantined in any case
MIN_COMMON_EPISODES: typing.Final = 3  # of a part that is known to be served
EPISODE_S: typing.Final = 1.0  # targets that fail together crash within this time
MIN_EPISODE_SHARE: typing.Final = 0.5  # of the crashes of one time, to count each
BROAD_DELAY_S: typing.Final = 1.0  # records of the same crash arrive within this time
# Of a part that crashes its targets only sometimes: in so many seconds so many crashes,
# which are such a share of its requests.
FREQUENT_WINDOW_S: typing.Final = 60.0
MIN_FREQUENT_CRASHES: typing.Final = 4
FREQUENT_SHARE: typing.Final = 0.2
RIVAL_RATIO: typing.Final = (
    4.0  # of the traffic of two parts; beyond, the rarer decides
)


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """The crashes of the contents, with what the index needs to weigh them.

    ``crashes`` has the crashes that count against each content, ``parts`` its parts in
    the order of the prompt; ``own_contents`` are those that this entry sent,
    ``resent_contents`` those that came again after a crash. ``cleared`` has the crashes
    of each part that completions cleared, ``all_crashes`` those of cleared contents,
    too. ``crashed_at`` is when each target crashed. ``traffic`` counts the requests of
    this entry, ``was_served`` tells whether an entry lately had a response for a part,
    and ``entry_count`` is the number of entries. ``refused_elsewhere`` are the parts
    that other entries refuse, None if none is known that has seen enough to judge.
    """

    now: float
    crashes: dict[str, set[str]]
    all_crashes: dict[str, set[str]]
    parts: dict[str, tuple[str, ...]]
    own_contents: set[str]
    resent_contents: set[str]
    cleared: dict[str, set[str]]
    crashed_at: dict[str, float]
    traffic: parttraffic.PartTraffic
    was_served: typing.Callable[[str], bool]
    entry_count: int
    refused_elsewhere: set[str] | None = None


class Episodes:
    """The crashes of a ledger by the time at which they came."""

    __slots__ = ("_episodes", "_sizes")

    def __init__(self, crashed_at: dict[str, float]) -> None:
        self._episodes: dict[str, int] = {}
        self._sizes: list[int] = []
        start = float("-inf")
        for crash, at in sorted(
            crashed_at.items(), key=lambda item: (item[1], item[0])
        ):
            if at - start >= EPISODE_S:
                start = at
                self._sizes.append(0)
            self._sizes[-1] += 1
            self._episodes[crash] = len(self._sizes) - 1

    def count(self, crashes: set[str]) -> int:
        """Count crashes; those that are few of their time count as one."""
        by_episode = collections.Counter(self._episodes[crash] for crash in crashes)
        return sum(
            count if count >= MIN_EPISODE_SHARE * self._sizes[episode] else 1
            for episode, count in by_episode.items()
        )

    def count_episodes(self, crashes: set[str]) -> int:
        """Count the different times of crashes."""
        return len({self._episodes[crash] for crash in crashes})


class PartIndex:
    """The crashes by part, and the parts that explain them."""

    __slots__ = (
        "_by_contents",
        "_content_index",
        "_contents",
        "_episodes",
        "_evidence",
        "_frequent",
        "_positions",
        "_served",
        "_traffic",
        "counted",
        "quarantined",
    )

    def __init__(self, evidence: Evidence) -> None:
        self._evidence = evidence
        self._episodes = Episodes(evidence.crashed_at)
        self._contents: dict[str, set[str]] = {}
        self._positions: dict[str, int] = {}
        self.counted: dict[str, set[str]] = {}
        # All recent crashes by part, cleared or not, and the number of their contents.
        self._frequent = self._find_frequent()
        for content_id, parts in evidence.parts.items():
            for position, part in enumerate(parts):
                cleared = evidence.cleared.get(part, set())
                crashes = evidence.crashes.get(content_id, set()) - cleared
                if crashes:
                    self._contents.setdefault(part, set()).add(content_id)
                    self.counted.setdefault(part, set()).update(crashes)
                    last_position = self._positions.get(part, 0)
                    self._positions[part] = max(position, last_position)
        self._traffic = {
            part: evidence.traffic.count_part(evidence.now, part)
            for part in self.counted.keys() | self._frequent.keys()
        }
        self._served = {part for part in self.counted if evidence.was_served(part)}
        # What contents would explain if no part did.
        self._content_index = ContentIndex(evidence.crashes, set())
        self._by_contents = self._content_index.list_explained()
        self.quarantined: dict[str, set[str]] = {}
        explained: set[str] = set()
        for part in sorted(self.counted, key=self._make_sort_key):
            if self._is_cause(part, explained):
                self.quarantined[part] = self.counted[part]
                explained |= self.counted[part]
        for part, crashes in self._frequent.items():
            if part not in self.quarantined and self._is_frequent(part, explained):
                self.quarantined[part] = crashes
                explained |= crashes

    def _find_frequent(self) -> dict[str, set[str]]:
        """Return the parts with many crashes before the last one, and these."""
        evidence = self._evidence
        found: dict[str, set[str]] = {}
        for content_id, parts in evidence.parts.items():
            for part in parts:
                found.setdefault(part, set()).update(evidence.all_crashes[content_id])
        frequent = {}
        for part, crashes in found.items():
            if len(crashes) < MIN_FREQUENT_CRASHES:
                continue
            last = max(evidence.crashed_at[crash] for crash in crashes)
            oldest = last - FREQUENT_WINDOW_S
            recent = {c for c in crashes if evidence.crashed_at[c] >= oldest}
            if len(recent) >= MIN_FREQUENT_CRASHES:
                frequent[part] = recent
        return frequent

    def _is_frequent(self, part: str, explained: set[str]) -> bool:
        """Return whether a large share of a part's requests crash their targets."""
        evidence = self._evidence
        crashes = self._frequent[part] - explained - self._by_contents
        requests = self._traffic[part] * evidence.entry_count
        return (
            evidence.traffic.is_known(evidence.now)
            and self._episodes.count(crashes) >= MIN_FREQUENT_CRASHES
            and len(crashes) >= FREQUENT_SHARE * requests
            and not self.is_broad(part)
            and not any(
                crashes <= evidence.all_crashes[content_id]
                for content_id, parts in evidence.parts.items()
                if part in parts
            )
        )

    def _make_sort_key(
        self, part: str
    ) -> tuple[bool, bool, int, tuple[float, int], str]:
        """Return the key that sorts parts: rare ones, then those with most crashes."""
        crashes = len(self.counted[part])
        is_served = part in self._served
        return self.is_broad(part), is_served, -crashes, self._get_rarity(part), part

    def _get_rarity(self, part: str) -> tuple[float, int]:
        """Return a number that is lower for rarer parts.

        Of parts that always come together, the one further back in prompts is rarer.
        """
        return self._traffic[part], -self._positions[part]

    def is_broad(self, part: str) -> bool:
        """Return whether a part is in much of the traffic."""
        return self._evidence.traffic.is_broad(self._evidence.now, part)

    def _is_cause(self, part: str, explained: set[str]) -> bool:
        """Return whether a part is quarantined, after those that sort before it."""
        crashes = self.counted[part] - explained
        if part in self._served:
            crashes -= self._by_contents
        count = self._episodes.count(crashes)
        if count < MIN_CRASHES or self._has_single_content(part, crashes):
            return False
        if self._has_rarer_twin(part) or not self._is_seen_enough(part, crashes):
            return False
        if self.is_broad(part):
            latest = self._evidence.now - BROAD_DELAY_S
            crashes = {c for c in crashes if self._evidence.crashed_at[c] <= latest}
        if self.is_broad(part) or part in self._served:
            # Targets that fail together for another reason do so at one time, and what
            # many requests share was running on each of them.
            return self._episodes.count_episodes(crashes) >= MIN_COMMON_EPISODES
        return count >= MAX_CRASHES or not self._has_rival(part, crashes)

    def _has_single_content(self, part: str, crashes: set[str]) -> bool:
        """Return whether one content alone has all crashes."""
        return any(
            crashes <= self._evidence.crashes[content_id]
            for content_id in self._contents[part]
        )

    def _is_seen_enough(self, part: str, crashes: set[str]) -> bool:
        """Return whether the crashes of a part are enough when an entry starts.

        All requests of a sound caller may have come by chance where targets crashed.
        """
        if self._evidence.traffic.is_observed(self._evidence.now):
            return True
        if self._evidence.refused_elsewhere is not None:
            return part in self._evidence.refused_elsewhere
        contents = self._contents[part]
        is_seen_elsewhere = not contents <= self._evidence.own_contents
        return self._count_independent(part, crashes) >= MAX_CRASHES and (
            is_seen_elsewhere or len(contents) >= MAX_CRASHES
        )

    def _count_independent(self, part: str, crashes: set[str]) -> int:
        """Count the crashes of a part that point to it independently of each other.

        Those of a content that was sent again count as one, since the content may
        explain them, and so do those of several with the same crashes. The two attempts
        of one request each show that the part crashes its targets.
        """
        resent = self._contents[part] & self._evidence.resent_contents
        counted = self._content_index.counted
        others = crashes.difference(*(counted[content_id] for content_id in resent))
        return self._episodes.count(others) + len(
            {frozenset(counted[content_id]) for content_id in resent}
        )

    def _has_rarer_twin(self, part: str) -> bool:
        """Return whether a rarer part occurs in the same crashed contents."""
        return any(
            self._contents[other] == self._contents[part]
            and self._get_rarity(other) < self._get_rarity(part)
            for other in self.counted
        )

    def _has_rival(self, part: str, crashes: set[str]) -> bool:
        """Return whether a part of other contents explains the same crashes."""
        return any(
            crashes <= self.counted[other]
            and self._contents[other] != self._contents[part]
            and self._traffic[other] < RIVAL_RATIO * self._traffic[part]
            for other in self.counted
            if other != part
        )

    def list_contents(self, part: str) -> set[str]:
        """Return the contents with a part that crashed targets."""
        return self._contents.get(part, set())

    def count_unexplained(self, part: str) -> int:
        """Count the crashes of a part that no quarantined part explains."""
        crashes = set(self.counted.get(part, ()))
        return len(crashes.difference(*self.quarantined.values()))


class ContentIndex:
    """The contents by crash, and which of them are quarantined.

    ``counted`` are the crashes that count against each content.
    """

    __slots__ = ("_by_crash", "counted", "quarantined")

    def __init__(self, crashes: dict[str, set[str]], explained: set[str]) -> None:
        self.counted = {
            content_id: counted
            for content_id, all_crashes in crashes.items()
            if (counted := all_crashes - explained)
        }
        self._by_crash: dict[str, set[str]] = {}
        for content_id, counted in self.counted.items():
            for incarnation in counted:
                self._by_crash.setdefault(incarnation, set()).add(content_id)
        suspects = {
            content_id
            for content_id, counted in self.counted.items()
            if len(counted) >= MAX_CRASHES
            or (len(counted) >= MIN_CRASHES and not self._has_alternative(content_id))
        }
        self.quarantined = {
            content_id
            for content_id in suspects
            if len(self.counted[content_id]) >= MAX_CRASHES
            or self.count_unexplained(content_id, suspects)
        }

    def list_explained(self) -> set[str]:
        """Return the crashes that quarantined contents explain."""
        return set().union(*(self.counted[c] for c in self.quarantined))

    def _has_alternative(self, content_id: str) -> bool:
        """Return whether another content explains all crashes of a content."""
        same_crashes = [self._by_crash[crash] for crash in self.counted[content_id]]
        return len(set.intersection(*same_crashes)) > 1

    def count_unexplained(self, content_id: str, explaining: set[str]) -> int:
        """Count the crashes of a content that none of the explaining contents explains.

        A content whose crashes are all among the given one's explains none of them.
        """
        counted = self.counted[content_id]
        return sum(
            all(
                self.counted[other] <= counted
                for other in self._by_crash[crash] & explaining
            )
            for crash in counted
        )
