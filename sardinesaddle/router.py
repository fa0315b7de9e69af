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
LOAD_BOUND: typing.Final = 1.4
OVERFLOW_CHOICES: typing.Final = 2
SPILL_MARGIN: typing.Final = 4.0
MAX_PREFIXES: typing.Final = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Wish:
    """What a call asks of its target; the draws are uniform in [0, 1)."""

    service: str
    prefix: int = 0
    excluded: frozenset[str] = frozenset()
    place_weights: tuple[tuple[str, float], ...] = ()
    draws: tuple[float, float, float] = (0.0, 0.5, 0.0)


class Router:
    """Routes calls over the targets of a fleet."""

    __slots__ = ("_cached", "_fleet", "_place")

    def __init__(self, fleet: membership.Fleet, place: str) -> None:
        self._fleet = fleet
        self._place = place
        self._cached: dict[int, str] = {}

    def choose(self, now: float, wish: Wish) -> membership.TargetView | None:
        """Return the target for an attempt, or None if none is usable."""
        views = self._fleet.list_usable(now, wish.service)
        fresh = [view for view in views if view.name not in wish.excluded]
        views = fresh or views
        if not views:
            return None
        views = self._choose_place(now, views, wish)
        if wish.prefix:
            return self._choose_affine(now, views, wish)
        return choose_of_two(now, views, wish.draws)

    def _choose_place(
        self, now: float, views: list[membership.TargetView], wish: Wish
    ) -> list[membership.TargetView]:
        """Return the targets of one place."""
        by_place: dict[str, list[membership.TargetView]] = {}
        for view in views:
            by_place.setdefault(view.place, []).append(view)
        weights = dict(wish.place_weights)
        open_places = {p: v for p, v in by_place.items() if weights.get(p, 1.0) > 0}
        by_place = open_places or by_place
        if len(by_place) == 1:
            return next(iter(by_place.values()))
        if len(set(weights.values())) > 1:
            return by_place[draw_place(by_place, weights, wish.draws[2])]
        lows = {p: min(v.compute_load(now) for v in vs) for p, vs in by_place.items()}
        best = min(lows, key=lambda place: (lows[place], place))
        near = lows.get(self._place)
        if near is not None and near <= lows[best] + SPILL_MARGIN:
            return by_place[self._place]
        return by_place[best]

    def _choose_affine(
        self, now: float, views: list[membership.TargetView], wish: Wish
    ) -> membership.TargetView:
        """Return the prefix's target, or the next one under the load bound."""
        loads = {view.name: view.compute_load(now) for view in views}
        bound = LOAD_BOUND * (sum(loads.values()) + 1) / len(views)
        ranked = sorted(views, key=lambda view: -score_prefix(wish.prefix, view))
        holder = self._cached.get(wish.prefix)
        if holder is not None:
            ranked.sort(key=lambda view: view.name != holder)
        if loads[ranked[0].name] <= bound:
            return ranked[0]
        # The next few in rank hold copies of the popular prefixes that overflow.
        spare = ranked[1 : 1 + OVERFLOW_CHOICES]
        least = min(spare or ranked, key=lambda view: (loads[view.name], view.name))
        if loads[least.name] <= bound:
            return least
        return min(views, key=lambda view: (loads[view.name], view.name))

    def add_cache_event(self, target: str, prefix: int, is_held: bool) -> None:
        """Take a target's late report that it holds or dropped a prefix."""
        if not is_held:
            if self._cached.get(prefix) == target:
                del self._cached[prefix]
            return
        if len(self._cached) >= MAX_PREFIXES:
            del self._cached[next(iter(self._cached))]
        self._cached[prefix] = target


def score_prefix(prefix: int, view: membership.TargetView) -> int:
    """Return the rendezvous score of a target for a prefix."""
    return hashing.hash_text(view.name, seed=prefix & 0xFFFFFFFFFFFFFFFF)


def draw_place(
    places: typing.Iterable[str], weights: dict[str, float], draw: float
) -> str:
    """Return a place drawn by weight."""
    names = sorted(places)
    total = sum(weights.get(name, 1.0) for name in names)
    mark = draw * total
    for name in names:
        mark -= weights.get(name, 1.0)
        if mark < 0:
            return name
    return names[-1]


def choose_of_two(
    now: float,
    views: list[membership.TargetView],
    draws: tuple[float, float, float],
) -> membership.TargetView:
    """Return the less loaded of two targets drawn at random."""
    first = int(draws[0] * len(views))
    if len(views) == 1:
        return views[0]
    second = (first + 1 + int(draws[1] * (len(views) - 1))) % len(views)
    one, two = views[first], views[second]
    return one if one.compute_load(now) <= two.compute_load(now) else two
