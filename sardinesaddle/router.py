"""Chooses the target of an attempt.

The choice has two steps. First the place: the account's place weights apply if they
differ; otherwise the entry's own place is preferred, and calls spill over to the place
with the least loaded target when the own place's least loaded target is fuller by more
than a margin. Then the target: a call with a prompt prefix goes to the target that the
prefix hashes to, or that reported the prefix in its cache, as long as its load stays
under a bound over the mean (consistent hashing with bounded loads, Mirrokni, Thorup and
Zadimoghaddam, 2018). Without a prefix, the less loaded of two random targets is chosen
(Mitzenmacher, 2001).

The entry's own calls in flight count in full and at once, ahead of the load reports, so
that a report does not send all entries to the same target.
"""

import dataclasses
import typing

from sardinesaddle import hashing, membership

# A factor of the mean instantaneous load. With 1.25, prefix hits fall to 0.85 of those
# of affinity without a bound.
LOAD_BOUND_FACTOR: typing.Final = 1.4
OVERFLOW_CHOICES: typing.Final = 2
SPILLOVER_LOAD_MARGIN: typing.Final = 4.0  # calls per unit of weight
MAX_CACHED_PREFIXES: typing.Final = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class TargetQuery:
    """The requirements of a call on its target.

    ``random_samples`` are uniform in [0, 1): two for the choice of two targets, one for
    the choice of the place.
    """

    service: str
    prefix: int = 0
    excluded: frozenset[str] = frozenset()
    place_weights: tuple[tuple[str, float], ...] = ()
    random_samples: tuple[float, float, float] = (0.0, 0.5, 0.0)


class Router:
    """Chooses targets among those of a fleet, for an entry in one place."""

    __slots__ = ("_prefix_holders", "_fleet", "_place")

    def __init__(self, fleet: membership.Fleet, place: str) -> None:
        self._fleet = fleet
        self._place = place
        self._prefix_holders: dict[int, str] = {}

    def choose_target(
        self, now: float, query: TargetQuery
    ) -> membership.TargetView | None:
        """Return the target for an attempt, or None if none is usable.

        Excluded targets are chosen only if no other target is usable.
        """
        views = self._fleet.list_usable(now, query.service)
        untried = [view for view in views if view.name not in query.excluded]
        views = untried or views
        if not views:
            return None
        views = self._choose_place(now, views, query)
        if query.prefix:
            return self._choose_by_prefix(now, views, query)
        return choose_less_loaded_of_two(now, views, query.random_samples)

    def _choose_place(
        self, now: float, views: list[membership.TargetView], query: TargetQuery
    ) -> list[membership.TargetView]:
        """Return the targets of the place to use.

        Unequal place weights select a place at random by weight; otherwise load
        decides.
        """
        by_place: dict[str, list[membership.TargetView]] = {}
        for view in views:
            by_place.setdefault(view.place, []).append(view)
        weights = dict(query.place_weights)
        weighted_places = {p: v for p, v in by_place.items() if weights.get(p, 1.0) > 0}
        by_place = weighted_places or by_place
        if len(by_place) == 1:
            return next(iter(by_place.values()))
        if len(set(weights.values())) > 1:
            return by_place[sample_place(by_place, weights, query.random_samples[2])]
        least_loads = {
            p: min(v.compute_load(now) for v in vs) for p, vs in by_place.items()
        }
        least_loaded_place = min(
            least_loads, key=lambda place: (least_loads[place], place)
        )
        own_place_load = least_loads.get(self._place)
        if (
            own_place_load is not None
            and own_place_load
            <= least_loads[least_loaded_place] + SPILLOVER_LOAD_MARGIN
        ):
            return by_place[self._place]
        return by_place[least_loaded_place]

    def _choose_by_prefix(
        self, now: float, views: list[membership.TargetView], query: TargetQuery
    ) -> membership.TargetView:
        """Return the prefix's target, or another one if its load exceeds the bound.

        The least loaded of the next targets in rank follows, then the least loaded of
        all.
        """
        loads = {view.name: view.compute_load(now) for view in views}
        load_bound = LOAD_BOUND_FACTOR * (sum(loads.values()) + 1) / len(views)
        ranked = sorted(views, key=lambda view: -score_prefix(query.prefix, view))
        holder = self._prefix_holders.get(query.prefix)
        if holder is not None:
            ranked.sort(key=lambda view: view.name != holder)
        if loads[ranked[0].name] <= load_bound:
            return ranked[0]
        # Overflow goes to the next targets in rank, which also cache popular prefixes.
        overflow = ranked[1 : 1 + OVERFLOW_CHOICES]
        least_loaded = min(
            overflow or ranked, key=lambda view: (loads[view.name], view.name)
        )
        if loads[least_loaded.name] <= load_bound:
            return least_loaded
        return min(views, key=lambda view: (loads[view.name], view.name))

    def on_cache_event(self, target: str, prefix: int, is_held: bool) -> None:
        """Record a target's report that it caches or dropped a prefix."""
        if not is_held:
            if self._prefix_holders.get(prefix) == target:
                del self._prefix_holders[prefix]
            return
        if len(self._prefix_holders) >= MAX_CACHED_PREFIXES:
            del self._prefix_holders[next(iter(self._prefix_holders))]
        self._prefix_holders[prefix] = target


def score_prefix(prefix: int, view: membership.TargetView) -> int:
    """Return the rendezvous hash of a target for a prefix."""
    return hashing.hash_text(view.name, seed=prefix & 0xFFFFFFFFFFFFFFFF)


def sample_place(
    places: typing.Iterable[str], weights: dict[str, float], random_sample: float
) -> str:
    """Return a place chosen at random by weight; the default weight is 1."""
    names = sorted(places)
    total = sum(weights.get(name, 1.0) for name in names)
    remaining_weight = random_sample * total
    for name in names:
        remaining_weight -= weights.get(name, 1.0)
        if remaining_weight < 0:
            return name
    return names[-1]


def choose_less_loaded_of_two(
    now: float,
    views: list[membership.TargetView],
    random_samples: tuple[float, float, float],
) -> membership.TargetView:
    """Return the less loaded of two distinct random targets."""
    first_index = int(random_samples[0] * len(views))
    if len(views) == 1:
        return views[0]
    second_index = (first_index + 1 + int(random_samples[1] * (len(views) - 1))) % len(
        views
    )
    first_view, second_view = views[first_index], views[second_index]
    return (
        first_view
        if first_view.compute_load(now) <= second_view.compute_load(now)
        else second_view
    )
