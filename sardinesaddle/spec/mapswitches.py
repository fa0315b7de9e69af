"""The switch of a group's expert map on engines that are told by orders.

The leader's decisions are those that run. It reads the ranks, all at one moment or
each at its own, and acts on that at any later one, so it may be suspended in between;
it may be restarted with nothing. Each order is carried out at once or at any later
moment, if at all. The group may break and form again in a new epoch, in which the
engines know of nothing. A prepared map has a content, which the ranks do not compare.

Engines refuse a hold while another one stands, as was found by playing it. Engines
that let it replace the first would break the protocol; that is among the mutants.
"""

import itertools
import typing

from sardinesaddle.direct import mapswitch
from sardinesaddle.spec import model

MAX_STEP: typing.Final = 5
MAX_LATE: typing.Final = 2

# A rank: (had, copying, prepared, armed, armed_step, map); maps are (version, content).
Rank = tuple[int, typing.Any, typing.Any, typing.Any, int, typing.Any]
NOTHING: typing.Final = (0, 0)
FRESH: typing.Final[Rank] = (0, None, NOTHING, NOTHING, 0, NOTHING)


class MapSwitches(model.Model):
    """A group of ranks, its leader, and the orders that are still on their way."""

    name = "one expert map in each pass"
    fields = (
        "epoch",
        "step",
        "held",
        "ranks",
        "attempt",
        "views",
        "late",
        "begun",
        "restarts",
        "mixed",
    )

    def __init__(
        self,
        make_leader: type[mapswitch.SwitchCoordinator] = mapswitch.SwitchCoordinator,
        *,
        ranks: int = 2,
        hold_ahead: int = 2,
        hold_replaces: bool = False,
        reads_apart: bool = False,
        checks_epoch: bool = True,
        reuses_versions: bool = False,
        max_begun: int = 2,
        max_restarts: int = 1,
        max_epoch: int = 0,
    ) -> None:
        self._make_leader = make_leader
        self._hold_ahead = hold_ahead
        self._ranks = ranks
        self._hold_replaces = hold_replaces
        self._reads_apart = reads_apart
        self._checks_epoch = checks_epoch
        self._reuses_versions = reuses_versions
        self._max_begun = max_begun
        self._max_restarts = max_restarts
        self._max_epoch = max_epoch

    def make_initial(self) -> model.State:
        """Return an idle group with map 0."""
        unread = (None,) * self._ranks
        return (0, 0, 0, (FRESH,) * self._ranks, None, unread, frozenset(), 0, 0, False)

    def list_steps(self, state: model.State) -> list[model.Step]:
        """Return what can happen next."""
        epoch, step, held, ranks, attempt, views, late, begun, restarts, mixed = state
        if mixed:
            return []
        steps: list[model.Step] = []
        if step < MAX_STEP and held != step + 1:
            steps.append(("pass", begin_pass(state)))
        for index, rank in enumerate(ranks):
            if rank[1] is not None:
                copied = (rank[0], None, rank[1], *rank[3:])
                steps.append((f"copied {index}", put_rank(state, index, copied)))
        steps += self._read(state)
        if None not in views:
            steps += self._act(state)
        for order in late:
            after = self._carry_out(state, order)
            if after != state:
                steps.append((f"late {order[0]}", after))
        if restarts < self._max_restarts:
            unread = (None,) * self._ranks
            restarted = (*state[:4], None, unread, late, begun, restarts + 1, mixed)
            steps.append(("leader restarts", restarted))
        if epoch < self._max_epoch:
            steps.append(
                ("group forms", (epoch + 1, 0, 0, (FRESH,) * self._ranks, *state[4:]))
            )
        return steps

    def _read(self, state: model.State) -> list[model.Step]:
        """Return what the leader can read: one rank, or all of them."""
        epoch, step, held, ranks, _, views = state[:6]
        now = tuple(make_view(epoch, step, held, i, r) for i, r in enumerate(ranks))
        if not self._reads_apart:
            return [("read", (*state[:5], now, *state[6:]))] if views != now else []
        steps: list[model.Step] = []
        for index, view in enumerate(now):
            if views[index] != view:
                read = (*views[:index], view, *views[index + 1 :])
                steps.append((f"read {index}", (*state[:5], read, *state[6:])))
        return steps

    def _act(self, state: model.State) -> list[model.Step]:
        """Return what the leader's decision on what it last read leads to."""
        epoch, step, held, ranks, attempt, views, late, begun, *rest = state
        leader = self._make_leader(self._ranks, self._hold_ahead)
        leader.attempt = attempt
        orders = leader.decide(0.0, views)
        steps: list[model.Step] = []
        decided = (*state[:4], leader.attempt, views, late, begun, *rest)
        if begun < self._max_begun and leader.may_begin(views):
            version = 1 if self._reuses_versions else begun + 1
            leader.begin_switch(0.0, views[0].epoch, version)
            started = (*state[:4], leader.attempt, views, late, begun + 1, *rest)
            steps.append((f"begin {version}", started))
        told = [
            (o.kind.value, o.rank, o.epoch, o.version, o.step, begun) for o in orders
        ]
        for outcomes in itertools.product((True, False), repeat=len(told)):
            after = decided
            for order, is_now in zip(told, outcomes, strict=True):
                if is_now:
                    after = self._carry_out(after, order)
                elif len(after[6]) < MAX_LATE:
                    after = (*after[:6], after[6] | {order}, *after[7:])
            if after != state:
                steps.append(("act " + ",".join(one[0] for one in told), after))
        return steps

    def _carry_out(self, state: model.State, order: typing.Any) -> model.State:
        """Return the state after an engine took an order, or refused it."""
        kind, index, order_epoch, version, at_step, content = order
        epoch, step, held, ranks = state[:4]
        if self._checks_epoch and order_epoch != epoch:
            return state
        had, copying, prepared, armed, armed_step, used = ranks[index]
        if kind == "prepare":
            if armed != NOTHING or version <= had:
                return state
            rank = (version, (version, content), prepared, armed, armed_step, used)
            return put_rank(state, index, rank)
        if kind == "arm":
            if prepared[0] != version or step >= at_step:
                return state
            return put_rank(
                state, index, (had, copying, prepared, prepared, at_step, used)
            )
        if kind == "hold":
            if step >= at_step or (held and not self._hold_replaces):
                return state
            return (*state[:2], at_step, *state[3:])
        return (*state[:2], 0 if held == at_step else held, *state[3:])

    def list_invariants(
        self,
    ) -> dict[str, typing.Callable[[dict[str, typing.Any]], bool]]:
        """Return the rule of the users."""
        return {"one map in each pass": lambda s: not s["mixed"]}


def begin_pass(state: model.State) -> model.State:
    """Return the state in which the next pass has begun on all ranks."""
    epoch, step, held, ranks, *rest, mixed = state
    after = []
    for rank in ranks:
        had, copying, prepared, armed, armed_step, used = rank
        if armed != NOTHING and armed_step == step + 1:
            used, armed, armed_step = armed, NOTHING, 0
        after.append((had, copying, prepared, armed, armed_step, used))
    is_mixed = len({one[5] for one in after}) > 1
    return (epoch, step + 1, held, tuple(after), *rest, mixed or is_mixed)


def put_rank(state: model.State, index: int, rank: typing.Any) -> model.State:
    """Return the state with one rank replaced."""
    ranks = state[3]
    return (*state[:3], (*ranks[:index], rank, *ranks[index + 1 :]), *state[4:])


def make_view(
    epoch: int, step: int, held: int, index: int, rank: Rank
) -> mapswitch.RankView:
    """Return what a rank reports."""
    return mapswitch.RankView(
        epoch=epoch,
        is_open=True,
        step=step,
        map_version=rank[5][0],
        prepared=rank[2][0],
        armed=rank[3][0],
        armed_step=rank[4],
        held_step=held if index == 0 else 0,
    )


class UnseenHold(mapswitch.SwitchCoordinator):
    """Mutant: ranks are armed once a hold was ordered, whether it stands or not."""

    def _hold(
        self,
        now: float,
        attempt: mapswitch.SwitchAttempt,
        views: typing.Sequence[mapswitch.RankView],
    ) -> list[mapswitch.Order]:
        """Go on at once."""
        orders = super()._hold(now, attempt, views)
        if orders:
            self._enter_phase(attempt, mapswitch.Phase.ARMING, orders[0].step)
        return orders


class MostArmed(mapswitch.SwitchCoordinator):
    """Mutant: the pass is released when all ranks but one are armed."""

    def _arm(
        self,
        attempt: mapswitch.SwitchAttempt,
        views: typing.Sequence[mapswitch.RankView],
    ) -> list[mapswitch.Order]:
        """Be content with one rank less."""
        orders = super()._arm(attempt, views)
        if len(orders) == 1:
            self._enter_phase(attempt, mapswitch.Phase.RELEASING, attempt.step)
            return []
        return orders


class HoldReleased(mapswitch.SwitchCoordinator):
    """Mutant: a hold that is found is released whatever was told before."""

    def _recover(self, now: float, views: typing.Sequence[mapswitch.RankView]) -> None:
        """Release at once."""
        held = views[0].held_step
        if held:
            phase = mapswitch.Phase.RELEASING
            epoch = views[0].epoch
            self.attempt = mapswitch.SwitchAttempt(epoch, 0, held, phase, now)


class StrayHoldReleased(mapswitch.SwitchCoordinator):
    """Mutant: a hold of an earlier life is released before a new one is ordered."""

    def _hold(
        self,
        now: float,
        attempt: mapswitch.SwitchAttempt,
        views: typing.Sequence[mapswitch.RankView],
    ) -> list[mapswitch.Order]:
        """Release what this attempt did not hold."""
        held = views[0].held_step
        if held and held != attempt.step:
            return [
                mapswitch.Order(mapswitch.OrderKind.RELEASE, 0, attempt.epoch, 0, held)
            ]
        return super()._hold(now, attempt, views)


class OnePrepared(mapswitch.SwitchCoordinator):
    """Mutant: a pass is held and ranks are armed before all are prepared."""

    def _prepare(
        self,
        now: float,
        attempt: mapswitch.SwitchAttempt,
        views: typing.Sequence[mapswitch.RankView],
    ) -> list[mapswitch.Order]:
        """Go on with the first prepared rank, and never look back."""
        orders = super()._prepare(now, attempt, views)
        if any(one.prepared == attempt.version for one in views):
            self._enter_phase(attempt, mapswitch.Phase.HOLDING, 0)
        return orders

    def _arm(
        self,
        attempt: mapswitch.SwitchAttempt,
        views: typing.Sequence[mapswitch.RankView],
    ) -> list[mapswitch.Order]:
        """Arm the prepared ranks only."""
        orders = super()._arm(attempt, views)
        kept = [o for o in orders if views[o.rank].prepared == attempt.version]
        if orders and not kept:
            self._enter_phase(attempt, mapswitch.Phase.RELEASING, attempt.step)
        return kept


class ThreeRanks(MapSwitches):
    """One switch of three ranks, with a restart of the leader."""

    name = "one expert map in each pass, three ranks"

    def __init__(self) -> None:
        super().__init__(ranks=3, hold_ahead=1, max_begun=1)


class FormedAgain(MapSwitches):
    """A switch in a group that breaks and forms again in a new epoch."""

    name = "one expert map in each pass, two epochs"

    def __init__(self) -> None:
        super().__init__(hold_ahead=1, max_begun=1, max_epoch=1)


class ReadsApart(MapSwitches):
    """A switch whose leader reads each rank at a moment of its own."""

    name = "one expert map in each pass, ranks read apart"

    def __init__(self) -> None:
        super().__init__(hold_ahead=1, max_begun=1, reads_apart=True)


VARIANTS: typing.Final = (ThreeRanks, FormedAgain, ReadsApart)


def list_mutants() -> dict[str, model.Model]:
    """Return the model with each guard broken, by name."""
    return {
        "UnseenHold": make_once(UnseenHold, max_restarts=0),
        "MostArmed": make_once(MostArmed, max_restarts=0),
        "HoldReleased": make_once(HoldReleased),
        "StrayHoldReleased": MapSwitches(StrayHoldReleased, hold_ahead=1),
        "OnePrepared": make_once(OnePrepared),
        "OrdersOfOldEpochsTaken": MapSwitches(
            hold_ahead=1, checks_epoch=False, max_begun=1, max_restarts=0, max_epoch=1
        ),
        "VersionsReused": MapSwitches(hold_ahead=1, reuses_versions=True),
        "HoldReplaced": MapSwitches(hold_replaces=True),
    }


def make_once(
    make_leader: type[mapswitch.SwitchCoordinator], max_restarts: int = 1
) -> model.Model:
    """Return the model of one switch of three ranks."""
    return MapSwitches(
        make_leader, ranks=3, hold_ahead=1, max_begun=1, max_restarts=max_restarts
    )
