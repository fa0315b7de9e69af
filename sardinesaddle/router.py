"""Chooses the target of an attempt.

The choice narrows in steps. First the place: the account's place weights apply, the
entry's own place is preferred, and a place spills to the others when its least
loaded target is fuller than theirs by more than a margin. Then affinity: a call with
a prompt prefix goes to the target that the prefix hashes to, or that reported the
prefix in its cache, as long as its load stays under a bound over the mean
(consistent hashing with bounded loads, Mirrokni, Thorup and Zadimoghaddam, 2018).
Without a prefix, the better of two random targets wins (Mitzenmacher, 2001); our
own calls in flight count first, so that a load report starts no herd.
"""

import dataclasses
import typing

from sardinesaddle import hashing, membership

# On instantaneous load; at 1.25 hits fell to 0.85 of pure affinity's.
LOAD_BOUND_FACTOR: typing.Final = 1.4
OVERFLOW_CHOICES: typing.Final = 2
SPILLOVER_LOAD_MARGIN: typing.Final = 4.0
MAX_CACHED_PREFIXES: typing.Final = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class TargetQuery:
    """What a call asks of its target; the draws are uniform in [0, 1)."""

    service: str
    prefix: int = 0
    excluded: frozenset[str] = frozenset()
    place_weights: tuple[tuple[str, float], ...] = ()
    random_samples: tuple[float, float, float] = (0.0, 0.5, 0.0)


class Router:
    """Routes calls over the targets of a fleet."""

    __slots__ = ("_prefix_holders", "_fleet", "_place")

    def __init__(self, fleet: membership.Fleet, place: str) -> None:
        self._fleet = fleet
        self._place = place
        self._prefix_holders: dict[int, str] = {}

    def choose_target(
        self, now: float, query: TargetQuery
    ) -> membership.TargetView | None:
        """Return the target for an attempt, or None if none is usable."""
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
        """Return the targets of one place."""
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
        """Return the prefix's target, or the next one under the load bound."""
        loads = {view.name: view.compute_load(now) for view in views}
        load_bound = LOAD_BOUND_FACTOR * (sum(loads.values()) + 1) / len(views)
        ranked = sorted(views, key=lambda view: -score_prefix(query.prefix, view))
        holder = self._prefix_holders.get(query.prefix)
        if holder is not None:
            ranked.sort(key=lambda view: view.name != holder)
        if loads[ranked[0].name] <= load_bound:
            return ranked[0]
        # The next few in rank hold copies of the popular prefixes that overflow.
        overflow = ranked[1 : 1 + OVERFLOW_CHOICES]
        least_loaded = min(
            overflow or ranked, key=lambda view: (loads[view.name], view.name)
        )
        if loads[least_loaded.name] <= load_bound:
            return least_loaded
        return min(views, key=lambda view: (loads[view.name], view.name))

    def on_cache_event(self, target: str, prefix: int, is_held: bool) -> None:
        """Take a target's late report that it holds or dropped a prefix."""
        if not is_held:
            if self._prefix_holders.get(prefix) == target:
                del self._prefix_holders[prefix]
            return
        if len(self._prefix_holders) >= MAX_CACHED_PREFIXES:
            del self._prefix_holders[next(iter(self._prefix_holders))]
        self._prefix_holders[prefix] = target


def score_prefix(prefix: int, view: membership.TargetView) -> int:
    """Return the rendezvous score of a target for a prefix."""
    return hashing.hash_text(view.name, seed=prefix & 0xFFFFFFFFFFFFFFFF)


def sample_place(
    places: typing.Iterable[str], weights: dict[str, float], random_sample: float
) -> str:
    """Return a place drawn by weight."""
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
    """Return the less loaded of two targets drawn at random."""
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
