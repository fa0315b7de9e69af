"""Models the switch of a group's expert map on engines that execute orders.

The leader is the production ``SwitchCoordinator``. It reads the ranks, all at one
moment or each at its own, and may act on these views at any later moment, since its
process may be suspended in between. It may also restart and lose its state. An order is
executed at once or at any later moment, if at all. The group may break and form again
in a new epoch, in which the engines have lost all their state. A prepared map has a
content, which the ranks do not compare.

Engines reject a hold while another one is in place, as a trial on them showed. If an
engine let the new hold replace the first one, the protocol would fail; the mutant
``HoldReplaced`` shows it.

A backup leader may act at any time beside the first one. It keeps no state between its
decisions and acts on what it read at any later moment, so each of its orders is in
flight from the moment of the read. The first leader begins a switch or gives one up
only after a read that began when no hold of its own was in flight; it waits as long as
orders may be late (``waits_for_holds``).
"""

import itertools
import math
import typing

from sardinesaddle.direct import mapswitch
from sardinesaddle.spec import model

LAST_PASS: typing.Final = 5
MAX_LATE_ORDERS: typing.Final = 2  # further late orders are lost

# A rank: (highest version it had, map being copied, prepared map, armed map, pass for
# which it is armed, current map). Maps are pairs of version and content.
RankState = tuple[int, typing.Any, typing.Any, typing.Any, int, typing.Any]
NO_MAP: typing.Final = (0, 0)
INITIAL_RANK: typing.Final[RankState] = (0, None, NO_MAP, NO_MAP, 0, NO_MAP)


class MapSwitches(model.Model):
    """A group of ranks, its leader, and the orders in flight.

    The field ``held`` is the pass that rank 0 holds, or 0; ``late`` has the orders in
    flight; ``begun`` counts the switches; ``quiet`` tells for each of the leader's
    views that no hold was in flight when it was read; ``backup_views`` has what the
    backup leader read, if it reads ranks apart; ``mixed`` tells that a pass ran with
    two maps.
    """

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
        "quiet",
        "backup_views",
        "mixed",
    )

    def __init__(
        self,
        leader_class: type[mapswitch.SwitchCoordinator] = mapswitch.SwitchCoordinator,
        *,
        rank_count: int = 2,
        lead_passes: int = 2,
        allows_second_hold: bool = False,
        reads_separately: bool = False,
        checks_epoch: bool = True,
        reuses_versions: bool = False,
        max_switches: int = 2,
        max_restarts: int = 1,
        max_epoch: int = 0,
        backup_class: type[mapswitch.BackupCoordinator] | None = None,
        waits_for_holds: bool = True,
        last_pass: int = LAST_PASS,
    ) -> None:
        self._last_pass = last_pass
        self._backup_class = backup_class
        self._waits_for_holds = waits_for_holds
        self._leader_class = leader_class
        self._lead_passes = lead_passes
        self._rank_count = rank_count
        self._allows_second_hold = allows_second_hold
        self._reads_separately = reads_separately
        self._checks_epoch = checks_epoch
        self._reuses_versions = reuses_versions
        self._max_switches = max_switches
        self._max_restarts = max_restarts
        self._max_epoch = max_epoch

    def make_initial(self) -> model.State:
        """Return an idle group whose ranks run map 0."""
        unread = (None,) * self._rank_count
        return (
            0,
            0,
            0,
            (INITIAL_RANK,) * self._rank_count,
            None,
            unread,
            frozenset(),
            0,
            0,
            (True,) * self._rank_count,
            unread,
            False,
        )

    def list_transitions(self, state: model.State) -> list[model.Transition]:
        """Return the transitions of the engines, the leader and the late orders."""
        epoch, step, _, ranks, _, views, late, begun, restarts, *rest = state
        held, mixed = state[2], state[-1]
        if mixed:
            return []
        transitions: list[model.Transition] = []
        if step < self._last_pass and held != step + 1:
            transitions.append(("pass", self._drop_dead_orders(begin_pass(state))))
        for index, rank in enumerate(ranks):
            if rank[1] is not None:
                copied = (rank[0], None, rank[1], *rank[3:])
                transitions.append(
                    (f"copied {index}", replace_rank(state, index, copied))
                )
        transitions += self._list_reads(state)
        if None not in views:
            transitions += self._list_decisions(state)
        for order in late:
            after = self._execute_order(state, order)
            if after != state:
                transitions.append((f"late {order[0]}", after))
        if self._backup_class is not None:
            transitions += self._list_takeovers(state)
        if restarts < self._max_restarts:
            unread = (None,) * self._rank_count
            restarted = (*state[:4], None, unread, late, begun, restarts + 1, *rest)
            transitions.append(("leader restarts", restarted))
        if epoch < self._max_epoch:
            transitions.append(
                (
                    "group forms",
                    (epoch + 1, 0, 0, (INITIAL_RANK,) * self._rank_count, *state[4:]),
                )
            )
        return transitions

    def _list_reads(self, state: model.State) -> list[model.Transition]:
        """Return the reads, of one rank or of all, that change the leader's views."""
        epoch, step, held, ranks, _, views = state[:6]
        current_views = tuple(
            make_view(epoch, step, held, i, r) for i, r in enumerate(ranks)
        )
        is_quiet = self._is_quiet(state)
        flags = state[9]
        if not self._reads_separately:
            new_flags = (is_quiet,) * self._rank_count
            if (views, flags) == (current_views, new_flags):
                return []
            return [
                (
                    "read",
                    (*state[:5], current_views, *state[6:9], new_flags, *state[10:]),
                )
            ]
        transitions: list[model.Transition] = []
        for index, view in enumerate(current_views):
            if (views[index], flags[index]) != (view, is_quiet):
                new_views = (*views[:index], view, *views[index + 1 :])
                new_flags = (*flags[:index], is_quiet, *flags[index + 1 :])
                transitions.append(
                    (
                        f"read {index}",
                        (*state[:5], new_views, *state[6:9], new_flags, *state[10:]),
                    )
                )
        return transitions

    def _is_quiet(self, state: model.State) -> bool:
        """Return whether no hold is in flight, or the leader does not wait for that."""
        if self._backup_class is None or not self._waits_for_holds:
            return True
        if state[7] == self._max_switches:
            return True  # No further switch begins, so the flag decides on nothing.
        return all(order[0] != "hold" for order in state[6])

    def _drop_dead_orders(self, state: model.State) -> model.State:
        """Remove the orders in flight that no engine accepts any more.

        It keeps the models with a backup small. In the others such orders stay.
        """
        if self._backup_class is None:
            return state
        epoch, step = state[:2]
        late = frozenset(
            order
            for order in state[6]
            if order[2] == epoch
            and (
                order[3] > state[3][order[1]][0]
                if order[0] == "prepare"
                else order[4] > step
            )
        )
        return (*state[:6], late, *state[7:])

    def _list_takeovers(self, state: model.State) -> list[model.Transition]:
        """Return the backup leader's reads and orders.

        Each order is executed at once or any time later; others may be lost.
        """
        epoch, step, held, ranks = state[:4]
        transitions: list[model.Transition] = []
        views = tuple(make_view(epoch, step, held, i, r) for i, r in enumerate(ranks))
        if self._reads_separately:
            known = state[10]
            for index, view in enumerate(views):
                if known[index] != view:
                    new_views = (*known[:index], view, *known[index + 1 :])
                    transitions.append(
                        (
                            f"backup reads {index}",
                            (*state[:10], new_views, *state[11:]),
                        )
                    )
            views = known
        if None in views:
            return transitions
        assert self._backup_class is not None
        for o in self._backup_class().decide(views):
            order = (o.kind.value, o.rank, o.epoch, o.version, o.step, 0)
            label = f"backup {o.kind.value} {o.rank}"
            afters = [self._execute_order(state, order)]
            if len(state[6]) < MAX_LATE_ORDERS:
                afters.append((*state[:6], state[6] | {order}, *state[7:]))
            transitions += [(label, after) for after in afters if after != state]
        return transitions

    def _list_decisions(self, state: model.State) -> list[model.Transition]:
        """Return the leader's decisions on its latest views.

        Each of its orders is either executed at once or late; it is lost if ``late`` is
        full.
        """
        epoch, step, held, ranks, attempt, views, late, begun, *rest = state
        leader = self._leader_class(self._rank_count, self._lead_passes)
        leader.attempt = attempt
        if not all(state[9]):
            leader.quiet_from = math.inf
        orders = leader.decide(0.0, views)
        transitions: list[model.Transition] = []
        decided = (*state[:4], leader.attempt, views, late, begun, *rest)
        if begun < self._max_switches and leader.may_begin(views, 0.0):
            version = 1 if self._reuses_versions else begun + 1
            leader.begin_switch(0.0, views[0].epoch, version)
            started = (*state[:4], leader.attempt, views, late, begun + 1, *rest)
            transitions.append((f"begin {version}", started))
        sent_orders = [
            (o.kind.value, o.rank, o.epoch, o.version, o.step, begun) for o in orders
        ]
        for outcomes in itertools.product((True, False), repeat=len(sent_orders)):
            after = decided
            for order, is_immediate in zip(sent_orders, outcomes, strict=True):
                if is_immediate:
                    after = self._execute_order(after, order)
                elif len(after[6]) < MAX_LATE_ORDERS:
                    after = (*after[:6], after[6] | {order}, *after[7:])
            if after != state:
                transitions.append(
                    ("act " + ",".join(sent[0] for sent in sent_orders), after)
                )
        return transitions

    def _execute_order(self, state: model.State, order: typing.Any) -> model.State:
        """Return the state after an engine executed an order or rejected it."""
        kind, index, order_epoch, version, order_step, content = order
        epoch, step, held, ranks = state[:4]
        if self._checks_epoch and order_epoch != epoch:
            return state
        highest, copying, prepared, armed, armed_step, current = ranks[index]
        if kind == "prepare":
            if armed != NO_MAP or version <= highest:
                return state
            rank = (version, (version, content), prepared, armed, armed_step, current)
            return replace_rank(state, index, rank)
        if kind == "arm":
            if prepared[0] != version or step >= order_step:
                return state
            return replace_rank(
                state,
                index,
                (highest, copying, prepared, prepared, order_step, current),
            )
        if kind == "hold":
            if step >= order_step or (held and not self._allows_second_hold):
                return state
            return (*state[:2], order_step, *state[3:])
        return (*state[:2], 0 if held == order_step else held, *state[3:])

    def list_invariants(
        self,
    ) -> dict[str, typing.Callable[[dict[str, typing.Any]], bool]]:
        """Return the invariant that no pass runs with two maps."""
        return {"one map in each pass": lambda s: not s["mixed"]}


def begin_pass(state: model.State) -> model.State:
    """Return the state after the next pass began; ranks armed for it switch maps."""
    epoch, step, held, ranks, *rest, mixed = state
    new_ranks = []
    for rank in ranks:
        highest, copying, prepared, armed, armed_step, current = rank
        if armed != NO_MAP and armed_step == step + 1:
            current, armed, armed_step = armed, NO_MAP, 0
        new_ranks.append((highest, copying, prepared, armed, armed_step, current))
    is_mixed = len({new_rank[5] for new_rank in new_ranks}) > 1
    return (epoch, step + 1, held, tuple(new_ranks), *rest, mixed or is_mixed)


def replace_rank(state: model.State, index: int, rank: typing.Any) -> model.State:
    """Return the state with one rank replaced."""
    ranks = state[3]
    return (*state[:3], (*ranks[:index], rank, *ranks[index + 1 :]), *state[4:])


def make_view(
    epoch: int, step: int, held: int, index: int, rank: RankState
) -> mapswitch.RankView:
    """Return the view of a rank; only rank 0 reports a hold."""
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
    """Mutant: ranks are armed once a hold was ordered, before it is reported."""

    def _hold(
        self,
        now: float,
        attempt: mapswitch.SwitchAttempt,
        views: typing.Sequence[mapswitch.RankView],
    ) -> list[mapswitch.Order]:
        """Enter the next phase without a report of the hold."""
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
        """Release the pass when one rank is missing."""
        orders = super()._arm(attempt, views)
        if len(orders) == 1:
            self._enter_phase(attempt, mapswitch.Phase.RELEASING, attempt.step)
            return []
        return orders


class HoldReleased(mapswitch.SwitchCoordinator):
    """Mutant: a restarted leader releases a hold although ranks may be armed."""

    def _recover(self, now: float, views: typing.Sequence[mapswitch.RankView]) -> None:
        """Release any hold that is in place."""
        held = views[0].held_step
        if held:
            phase = mapswitch.Phase.RELEASING
            epoch = views[0].epoch
            self.attempt = mapswitch.SwitchAttempt(epoch, 0, held, phase, now)


class StrayHoldReleased(mapswitch.SwitchCoordinator):
    """Mutant: a hold of an earlier attempt is released before a new one is ordered."""

    def _hold(
        self,
        now: float,
        attempt: mapswitch.SwitchAttempt,
        views: typing.Sequence[mapswitch.RankView],
    ) -> list[mapswitch.Order]:
        """Release a hold of a pass that this attempt did not choose."""
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
        """Enter the next phase when any rank is prepared."""
        orders = super()._prepare(now, attempt, views)
        if any(rank_view.prepared == attempt.version for rank_view in views):
            self._enter_phase(attempt, mapswitch.Phase.HOLDING, 0)
        return orders

    def _arm(
        self,
        attempt: mapswitch.SwitchAttempt,
        views: typing.Sequence[mapswitch.RankView],
    ) -> list[mapswitch.Order]:
        """Arm only the prepared ranks."""
        orders = super()._arm(attempt, views)
        prepared_only = [o for o in orders if views[o.rank].prepared == attempt.version]
        if orders and not prepared_only:
            self._enter_phase(attempt, mapswitch.Phase.RELEASING, attempt.step)
        return prepared_only


class BackupMostArmed(mapswitch.BackupCoordinator):
    """Mutant: the backup leader releases the pass when all ranks but one are armed."""

    def _list_unarmed(
        self, version: int, views: typing.Sequence[mapswitch.RankView]
    ) -> list[int]:
        """Leave out the last rank."""
        unarmed = super()._list_unarmed(version, views)
        return [] if len(unarmed) == 1 else unarmed


class BackupReleasesUnarmed(mapswitch.BackupCoordinator):
    """Mutant: the backup leader releases a hold for which it sees no rank armed."""

    def decide(
        self, views: typing.Sequence[mapswitch.RankView]
    ) -> list[mapswitch.Order]:
        """Release the hold if no rank is armed."""
        gate = views[0]
        if gate.held_step and not any(view.armed for view in views):
            return [
                mapswitch.Order(
                    mapswitch.OrderKind.RELEASE, 0, gate.epoch, 0, gate.held_step
                )
            ]
        return super().decide(views)


class ThreeRanks(MapSwitches):
    """One switch of three ranks, with one restart of the leader."""

    name = "one expert map in each pass, three ranks"

    def __init__(self) -> None:
        super().__init__(rank_count=3, lead_passes=1, max_switches=1)


class TwoEpochs(MapSwitches):
    """A switch in a group that breaks and forms again in a new epoch."""

    name = "one expert map in each pass, two epochs"

    def __init__(self) -> None:
        super().__init__(lead_passes=1, max_switches=1, max_epoch=1)


class SeparateReads(MapSwitches):
    """A switch whose leader reads each rank at a moment of its own."""

    name = "one expert map in each pass, ranks read apart"

    def __init__(self) -> None:
        super().__init__(lead_passes=1, max_switches=1, reads_separately=True)


class Backup(MapSwitches):
    """Two switches with a backup leader beside the first one, which restarts."""

    name = "one expert map in each pass, backup leader"

    def __init__(self) -> None:
        super().__init__(
            lead_passes=1, last_pass=3, backup_class=mapswitch.BackupCoordinator
        )


class BackupSeparateReads(MapSwitches):
    """A switch with a backup leader; both leaders read each rank at its own moment."""

    name = "one expert map in each pass, backup leader, ranks read apart"

    def __init__(self) -> None:
        super().__init__(
            lead_passes=1,
            last_pass=2,
            max_switches=1,
            max_restarts=0,
            reads_separately=True,
            backup_class=mapswitch.BackupCoordinator,
        )


class BackupTwoEpochs(MapSwitches):
    """A switch with a backup leader in a group that forms again in a new epoch."""

    name = "one expert map in each pass, backup leader, two epochs"

    def __init__(self) -> None:
        super().__init__(
            lead_passes=1,
            last_pass=2,
            max_switches=1,
            max_restarts=0,
            max_epoch=1,
            backup_class=mapswitch.BackupCoordinator,
        )


VARIANTS: typing.Final = (
    ThreeRanks,
    TwoEpochs,
    SeparateReads,
    Backup,
    BackupSeparateReads,
    BackupTwoEpochs,
)


def list_mutants() -> dict[str, model.Model]:
    """Return the mutants by name; each breaks one guard."""
    return {
        "UnseenHold": make_one_switch_model(UnseenHold, max_restarts=0),
        "MostArmed": make_one_switch_model(MostArmed, max_restarts=0),
        "HoldReleased": make_one_switch_model(HoldReleased),
        "StrayHoldReleased": MapSwitches(StrayHoldReleased, lead_passes=1),
        "OnePrepared": make_one_switch_model(OnePrepared),
        "OrdersOfOldEpochsTaken": MapSwitches(
            lead_passes=1,
            checks_epoch=False,
            max_switches=1,
            max_restarts=0,
            max_epoch=1,
        ),
        "VersionsReused": MapSwitches(lead_passes=1, reuses_versions=True),
        "HoldReplaced": MapSwitches(allows_second_hold=True),
        "BackupMostArmed": make_backup_model(BackupMostArmed),
        "BackupReleasesUnarmed": make_backup_model(BackupReleasesUnarmed),
        "SwitchBegunWithHoldInFlight": make_backup_model(
            mapswitch.BackupCoordinator, waits_for_holds=False
        ),
    }


def make_backup_model(
    backup_class: type[mapswitch.BackupCoordinator], waits_for_holds: bool = True
) -> model.Model:
    """Return a model of two switches with a backup leader."""
    return MapSwitches(
        lead_passes=1,
        last_pass=3,
        backup_class=backup_class,
        waits_for_holds=waits_for_holds,
    )


def make_one_switch_model(
    leader_class: type[mapswitch.SwitchCoordinator], max_restarts: int = 1
) -> model.Model:
    """Return a model of one switch of three ranks."""
    return MapSwitches(
        leader_class,
        rank_count=3,
        lead_passes=1,
        max_switches=1,
        max_restarts=max_restarts,
    )
