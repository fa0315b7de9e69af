"""Tests of parts of prompts that crash the targets that run them."""

import asyncio
import itertools
import random

import loguru
import pytest

from sardinesaddle.direct import (
    crashkeeper,
    crashledger,
    partprobes,
    parttraffic,
    rpc,
)
from sardinesaddle.platform import headers
from test import crashingtargets
from test import directfleet as df

CONTACT_S = crashingtargets.CONTACT_S
GUILTY = "bad0"


def make_parts(*parts: str) -> tuple[tuple[str, str], ...]:
    """Return the header with parts of a prompt and an own one at the end."""
    text = ",".join(f"{part}:40" for part in (*parts, "0e"))
    return ((headers.PROMPT_PARTS, text),)


async def send(
    fleet: df.Fleet, number: int, path: str, *parts: str
) -> df.ReceivedResponse:
    """Send a request with content of its own to one entry after the other."""
    return await fleet.send_request(
        path,
        entry_index=number % len(fleet.entries),
        extra_headers=make_parts(*parts),
        body=f"question {number}".encode(),
    )


@pytest.mark.parametrize(
    ("path", "service"),
    [
        ("/free/a", "plain"),
        ("/once/a", "plain"),
        ("/stream/a", "engines"),
        ("/unique/a", "engines"),
    ],
)
@pytest.mark.parametrize("ending", list(crashingtargets.Ending))
def test_requests_with_a_part_that_crashes_targets_are_stopped(
    path: str, service: str, ending: crashingtargets.Ending
) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        targets = crashingtargets.CrashingTargets(fleet, ending, parts=[GUILTY])
        await targets.add(8, service)
        await fleet.settle()
        for number in range(50):
            await send(fleet, number, path, "aa", GUILTY, f"d{number}")
            await fleet.settle(0.3)
        late = targets.count_late_sends(crashingtargets.COUNTED_PART_CRASHES)
        assert late <= crashingtargets.MAX_LATE_SENDS

    df.run_scenario(scenario, entry_count=3)


async def send_sound(
    fleet: df.Fleet, seconds: float, path: str
) -> list[tuple[float, df.ReceivedResponse]]:
    """Send ten sound requests a second of four callers; return times and responses."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    tasks = []
    for number in range(1000, 1000 + int(seconds * 10)):
        parts = ("aa", f"caller{number % 4}", f"doc{number % 25}")
        task = asyncio.create_task(send(fleet, number, path, *parts))
        tasks.append((loop.time() - began_at, task))
        await asyncio.sleep(0.1)
    return [(at, await task) for at, task in tasks]


@pytest.mark.parametrize("guilty_parts", [(GUILTY,), (GUILTY, "bad1")])
def test_sound_requests_with_the_other_parts_are_served(
    guilty_parts: tuple[str, ...],
) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        targets = crashingtargets.CrashingTargets(
            fleet, parts=guilty_parts, downtime_s=3.0
        )
        await targets.add(8, "engines")
        await fleet.settle()
        sound = asyncio.create_task(send_sound(fleet, 24.0, "/stream/s"))
        await fleet.settle(4.0)
        for number in range(40):
            guilty = guilty_parts[number % len(guilty_parts)]
            parts = ("aa", f"caller{number % 4}", guilty)
            await send(fleet, number, "/stream/g", *parts)
            await fleet.settle(0.4)
        responses = await sound
        # Three crashes show each guilty part; more may be under way at other entries.
        assert len(targets.crash_times) <= 4 * len(guilty_parts)
        served = [response.status == 200 for _, response in responses]
        assert sum(served) >= 0.95 * len(served)
        last_crash_at = targets.crash_times[-1]
        began_at = responses[0][1].finished_at - responses[0][0]
        late = [r.status for at, r in responses if began_at + at > last_crash_at + 3.0]
        assert set(late) == {200}

    df.run_scenario(scenario, entry_count=3)


def test_refusal_for_a_part_says_when_to_return_and_names_it() -> None:
    lines: list[str] = []

    async def scenario(fleet: df.Fleet) -> None:
        targets = crashingtargets.CrashingTargets(fleet, parts=[GUILTY])
        await targets.add(8)
        await fleet.settle()
        sound = asyncio.create_task(send_sound(fleet, 18.0, "/free/s"))
        await fleet.settle(parttraffic.MIN_OBSERVED_S + 2.0)
        handler = loguru.logger.add(lambda message: lines.append(str(message)))
        for number in range(8):
            response = await send(fleet, number, "/once/g", "aa", GUILTY)
            await fleet.settle(0.4)
        assert response.status == 503
        assert 0.0 < float(response.headers["retry-after"]) <= CONTACT_S
        await fleet.settle(CONTACT_S)
        response = await send(fleet, 9, "/once/g", "aa", GUILTY)
        assert float(response.headers["retry-after"]) > 500.0
        await sound
        loguru.logger.remove(handler)
        assert any(
            "event=quarantine" in line and f"suspect=part:{GUILTY} crashes=2" in line
            for line in lines
        )
        assert len(targets.crash_times) == 2

    df.run_scenario(scenario)


def test_entries_that_all_restart_refuse_the_part() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        targets = crashingtargets.CrashingTargets(fleet, parts=[GUILTY])
        await targets.add(8)
        await fleet.settle()
        for number in range(12):
            await send(fleet, number, "/once/g", "aa", GUILTY)
            await fleet.settle(0.4)
        keeper = crashkeeper.CrashKeeper("sidecar", df.LoopClock())
        for turn in range(4):
            for number in range(2):
                peer = rpc.Peer(f"127.0.1.{number + 1}", fleet.node_port)
                await keeper.sync_if_due(peer)
                peer.close()
            if not turn:
                for _ in range(2):
                    await fleet.stop_first_entry()
                for _ in range(2):
                    await fleet.add_entry()
            await fleet.settle(1.5)
        crashes = len(targets.crash_times)
        for number in range(20, 26):
            response = await send(fleet, number, "/once/g", "aa", GUILTY)
            assert response.status == 503
        assert len(targets.crash_times) == crashes

    df.run_scenario(scenario, entry_count=2)


class Ledger:
    """A ledger whose traffic is a stream of sound requests, for tests without targets.

    ``serve`` sends sound requests for a time, one each 0.1 s, of ten documents.
    """

    def __init__(self) -> None:
        self.ledger = crashledger.CrashLedger()
        self.now = 0.0
        self._count = 0

    def crash(self, target: str, *requests: tuple[str, ...]) -> None:
        """Let a target crash under requests, given by their parts."""
        for parts in requests:
            self._count += 1
            self.ledger.traffic.on_request(self.now, parts)
            fingerprint = crashledger.Fingerprint(f"c{self._count}", parts)
            self.ledger.record_crash(self.now, fingerprint, target)

    def serve(self, seconds: float, *more: tuple[str, ...]) -> None:
        """Serve sound requests, some with the parts given."""
        for step in range(round(seconds * 10)):
            self.now += 0.1
            parts = more[step % len(more)] if more else ("sys", f"doc{step % 10}")
            self.ledger.traffic.on_request(self.now, parts)
            self.ledger.record_begin(self.now, parts)

    def is_refused(self, *parts: str) -> bool:
        """Return whether a request with these parts is refused."""
        fingerprint = crashledger.Fingerprint("new", parts)
        return self.ledger.find_refusal(self.now, fingerprint) is not None


def test_part_is_found_by_two_crashes_and_nothing_else_is_refused() -> None:
    world = Ledger()
    world.serve(30.0)
    world.crash("t1", ("sys", "caller", GUILTY), ("sys", "doc1"), ("sys", "caller"))
    world.serve(1.0)
    assert not world.is_refused("sys", GUILTY)
    world.crash("t2", ("sys", "other", GUILTY), ("sys", "doc2"))
    assert world.is_refused("sys", GUILTY)
    for parts in (("sys",), ("sys", "caller"), ("sys", "doc1"), ("other",)):
        assert not world.is_refused(*parts)


@pytest.mark.parametrize("position", [0, 1, 2])
def test_part_is_found_wherever_it_stands(position: int) -> None:
    world = Ledger()
    world.serve(30.0)
    for number in range(2):
        parts = ["sys", f"own{number}"]
        parts.insert((position + number) % 3, GUILTY)
        world.crash(f"t{number}", tuple(parts))
        world.serve(1.0)
    assert world.is_refused("x", GUILTY)
    assert not world.is_refused("sys", "own0")


def test_two_guilty_parts_and_a_guilty_content_are_told_apart() -> None:
    world = Ledger()
    world.serve(30.0)
    content = crashledger.Fingerprint("guilty", ("sys", "doc3"))
    for number in range(2):
        world.crash(f"a{number}", ("sys", GUILTY), ("sys", "doc1"))
        world.serve(0.5)
        world.crash(f"b{number}", ("sys", "bad1"), ("sys", "doc2"))
        world.serve(0.5)
        world.ledger.record_crash(world.now, content, f"c{number}")
        world.serve(0.5)
    assert world.is_refused("sys", GUILTY)
    assert world.is_refused("sys", "bad1")
    assert world.ledger.find_refusal(world.now, content) is not None
    assert not world.is_refused("sys", "doc3")
    assert not world.is_refused("sys", "doc1")


def test_targets_that_fail_together_bring_no_common_part_into_quarantine() -> None:
    world = Ledger()
    world.serve(30.0)
    world.now += 3.0  # nothing is served for a while
    for number in range(16):
        world.crash(f"t{number}", ("sys", f"doc{number % 10}"))
    world.now += 1.5
    assert not world.is_refused("sys")
    world.serve(0.1)
    assert world.ledger.count_refused(world.now) == 0


def test_common_part_is_not_blamed_for_the_crashes_of_a_rare_one() -> None:
    # Groups end again before any response begins.
    world = Ledger()
    world.serve(30.0)
    for number in range(5):
        world.now += 3.0
        world.crash(f"t{number}", ("sys", "caller", GUILTY), ("sys", f"doc{number}"))
    assert world.is_refused("sys", GUILTY)
    assert not world.is_refused("sys", "doc1")


def test_common_part_that_crashes_all_its_targets_is_refused() -> None:
    world = Ledger()
    world.serve(30.0)
    # Until ten seconds after its last success a common part is not suspected.
    for number in range(6):
        world.now += 3.0
        world.crash(f"t{number}", ("sys", f"doc{number}"))
    world.now += 1.5
    assert world.is_refused("sys")


def test_caller_that_sends_several_guilty_requests_is_not_refused_as_a_whole() -> None:
    world = Ledger()
    world.serve(30.0)
    world.serve(1.0, ("sys", "caller"))
    world.now += 3.0
    for number in range(2):
        for name in ("a", "b", "c"):
            content = crashledger.Fingerprint(name, ("sys", "caller", f"doc{number}"))
            world.now += 0.5
            world.ledger.record_crash(world.now, content, f"{name}{number}")
    assert world.ledger.find_refusal(world.now, content) is not None
    assert not world.is_refused("sys", "caller")


def test_part_that_was_sound_until_now_is_found() -> None:
    world = Ledger()
    world.serve(30.0, ("sys", GUILTY), *(("sys", f"doc{n}") for n in range(9)))
    for number in range(4):
        world.serve(2.5)
        world.crash(f"t{number}", ("sys", GUILTY), ("sys", f"doc{number}"))
    assert world.is_refused("sys", GUILTY)
    assert not world.is_refused("sys", "doc1")


def test_entry_that_starts_refuses_no_common_part() -> None:
    world = Ledger()
    world.serve(30.0)
    for number in range(8):
        world.crash(f"t{number}", ("sys", f"doc{number}"))
        world.serve(2.0)
    started = crashledger.CrashLedger()
    started.merge(world.now, world.ledger.list_changes(world.now, 0))
    fingerprint = crashledger.Fingerprint("new", ("sys",))
    assert started.find_refusal(world.now, fingerprint) is None
    assert started.find_suspicion(world.now, fingerprint).crash_count == 0


def test_entry_that_starts_blames_no_caller_that_ran_beside_two_causes() -> None:
    world = Ledger()
    poison = crashledger.Fingerprint("poison", ("doc3",))
    other = crashledger.CrashLedger()
    other.record_crash(0.0, poison, "t1")
    other.record_crash(0.0, poison, "t2")
    world.ledger.merge(0.0, other.list_changes(0.0, 0))
    fingerprints = [
        crashledger.Fingerprint("a", ("sys", "caller", "doc1")),
        crashledger.Fingerprint("b", ("sys", "caller", "doc2", GUILTY)),
    ]
    for number, fingerprint in enumerate((*fingerprints, *fingerprints)):
        world.ledger.traffic.on_request(world.now, fingerprint.parts)
        world.ledger.record_crash(world.now, fingerprint, f"t{number}")
    assert not world.is_refused("sys", "caller")
    world.crash("t5", ("sys", "caller", "doc4"))
    assert world.is_refused("sys", "caller")


def test_entry_that_starts_blames_a_content_that_came_again_not_its_part() -> None:
    world = Ledger()
    other = crashledger.CrashLedger()
    poison = crashledger.Fingerprint("poison", ("doc1",))
    for number in range(2):
        other.record_first_send(0.5 * number, poison)
        other.record_crash(0.5 * number, poison, f"a{number}")
    world.ledger.merge(1.0, other.list_changes(1.0, 0))
    world.now = 1.5
    world.crash("b", ("sys", "doc1"))
    assert not world.is_refused("doc1")
    assert world.ledger.find_refusal(world.now, poison) is not None
    world.crash("c", ("sys", "doc1"))
    assert world.is_refused("doc1")


def test_entry_that_starts_learns_from_others_that_a_caller_is_served() -> None:
    # Soak seed 803: an entry that was killed refused a caller when it had started.
    world = Ledger()
    served = [("sys", f"doc{number}") for number in range(7)]
    world.serve(30.0, ("sys", "caller", "doc9"), *served)
    world.now += 3.0
    for number in range(3):
        world.crash(f"t{number}", ("sys", "caller", f"new{number}"))
    assert not world.is_refused("sys", "caller")
    started = crashledger.CrashLedger()
    started.merge(world.now, world.ledger.list_changes(world.now, 0))
    fingerprint = crashledger.Fingerprint("new", ("sys", "caller"))
    assert started.find_refusal(world.now, fingerprint) is None


def test_entry_that_starts_blames_no_caller_whose_content_came_again() -> None:
    # Soak seed 803: two crashes of a sound content that ran beside another one.
    world = Ledger()
    other = crashledger.CrashLedger()
    sound = crashledger.Fingerprint("sound", ("sys", "caller", "doc1"))
    beside = crashledger.Fingerprint("beside", ("sys", "doc2"))
    poison = crashledger.Fingerprint("poison", ("sys", "caller", "doc3"))
    for number in range(2):
        for fingerprint in (sound, beside):
            other.record_first_send(float(number), fingerprint)
            other.record_crash(float(number), fingerprint, f"a{number}")
    other.record_crash(1.5, poison, "b")
    world.ledger.merge(2.0, other.list_changes(2.0, 0))
    world.now = 2.0
    assert not world.is_refused("sys", "caller")


@pytest.mark.parametrize("refused", [[], ["caller"]])
def test_entry_that_starts_refuses_the_parts_that_others_refuse(
    refused: list[str],
) -> None:
    world = Ledger()
    for number in range(3):
        world.crash(f"t{number}", ("sys", "caller", f"doc{number}"))
    assert world.is_refused("sys", "caller")
    world.ledger.on_peer_judgement(world.now, "entry-2", refused)
    assert world.is_refused("sys", "caller") == bool(refused)
    world.ledger.on_peer_judgement(world.now, "entry-2", None)
    assert world.is_refused("sys", "caller")


def test_entry_that_restarts_refuses_no_caller_that_others_serve() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        targets = crashingtargets.CrashingTargets(fleet, parts=[GUILTY, "bad1"])
        await targets.add(8)
        await fleet.settle()
        sound = asyncio.create_task(send_sound(fleet, 18.0, "/free/s"))
        await fleet.settle(parttraffic.MIN_OBSERVED_S + 2.0)
        await fleet.stop_last_entry()
        await fleet.add_entry()
        await fleet.settle(1.0)
        restarted = fleet.entries[-1].crash_ledger
        now = fleet.entries[-1].read_clock()
        for number in range(3):
            parts = ("aa", "caller1", f"new{number}")
            fingerprint = crashledger.Fingerprint(f"c{number}", parts)
            restarted.record_crash(now, fingerprint, f"t{number}")
        fingerprint = crashledger.Fingerprint("new", ("aa", "caller1"))
        assert restarted.find_refusal(now, fingerprint) is None
        await sound

    df.run_scenario(scenario, entry_count=3)


def test_part_that_crashes_its_targets_only_sometimes_is_found() -> None:
    world = Ledger()
    world.serve(30.0)
    for number in range(5):
        world.crash(f"t{number}", ("sys", GUILTY))
        world.serve(1.0)
        world.serve(0.1, ("sys", GUILTY))
        world.serve(3.0)
    assert world.is_refused("sys", GUILTY)
    assert not world.is_refused("sys", "doc1")


def test_parts_of_others_are_refused_only_if_targets_crash() -> None:
    world = Ledger()
    world.serve(30.0, ("sys", "victim"), ("sys", "doc1"), ("sys", "doc2"))
    content = crashledger.Fingerprint("attack", ("sys", "victim"))
    for number in range(3):
        world.ledger.record_crash(world.now, content, f"t{number}")
        world.serve(1.0, ("sys", "victim"), ("sys", "doc1"))
    assert world.ledger.find_refusal(world.now, content) is not None
    assert not world.is_refused("sys", "victim")


def test_memory_stays_bounded_with_thousands_of_new_parts_a_second() -> None:
    world = Ledger()
    for number in range(3 * parttraffic.MAX_PARTS):
        world.now += 0.001
        world.ledger.traffic.on_request(world.now, ("sys", f"new{number}"))
    assert world.ledger.traffic.count_part(world.now, "new0") == 0.0
    for number in range(2 * crashledger.MAX_RECORDS):
        world.now += 0.001
        world.crash(f"t{number % 40}", ("sys", f"new{number}"))
    assert len(world.ledger.list_changes(world.now, 0)) <= crashledger.MAX_RECORDS


@pytest.mark.parametrize("seed", range(5))
def test_ledgers_with_parts_agree_in_whatever_order_records_arrive(seed: int) -> None:
    rng = random.Random(seed)
    ledgers = [crashledger.CrashLedger() for _ in range(3)]
    for number in range(60):
        ledger = rng.choice(ledgers)
        content = rng.randrange(12)
        parts = ("sys", f"p{content % 4}")
        fingerprint = crashledger.Fingerprint(f"c{content}", parts)
        if rng.random() < 0.2:
            ledger.record_begin(number * 10.0, parts)
        else:
            ledger.record_crash(number * 10.0, fingerprint, f"t{rng.randrange(9)}")
    now = 1000.0
    outcomes = []
    for order in itertools.permutations(range(3)):
        merged = crashledger.CrashLedger()
        for index in (*order, order[0]):
            merged.merge(now, ledgers[index].list_changes(now, 0))
        refusals = [
            merged.find_refusal(now, crashledger.Fingerprint(f"c{n}", (f"p{n % 4}",)))
            for n in range(12)
        ]
        outcomes.append([r is not None and r.suspect for r in refusals])
    assert outcomes == [outcomes[0]] * len(outcomes)


def test_one_request_of_one_entry_probes_a_part_after_its_refusal() -> None:
    hosts = ["10.0.0.1", "10.0.0.2", "10.0.0.3"]
    turns = [partprobes.compute_turn(hosts, host, "part:x") for host in hosts]
    assert sorted(turns) == [0, 1, 2]
    probes = partprobes.PartProbes()
    assert not probes.may_begin(0.0, "part:x", 1, 0.0)
    assert probes.may_begin(0.0, "part:x", 0, 0.0)
    probes.begin(0.0, "part:x")
    assert not probes.may_begin(1.0, "part:x", 0, 1.0)
    assert probes.may_begin(1.0, "part:y", 0, 1.0)
    assert probes.may_begin(partprobes.TURN_S, "part:x", 1, partprobes.TURN_S)


def test_part_that_is_sound_again_is_served_after_one_probe() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        targets = crashingtargets.CrashingTargets(fleet, parts=[GUILTY])
        await targets.add(8)
        await fleet.settle()
        sound = asyncio.create_task(send_sound(fleet, 18.0, "/free/s"))
        await fleet.settle(parttraffic.MIN_OBSERVED_S + 2.0)
        for number in range(8):
            await send(fleet, number, "/once/g", "aa", GUILTY)
            await fleet.settle(0.4)
        await sound
        targets.recover()
        fleet.clocks[0].suspended_s += 700.0
        fleet.clocks[1].suspended_s += 700.0
        await fleet.settle(partprobes.TURN_S)
        tasks = []
        for number in range(20, 40):
            tasks.append(
                asyncio.create_task(send(fleet, number, "/once/g", "aa", GUILTY))
            )
            await fleet.settle(0.01)
        responses = await asyncio.gather(*tasks)
        # Further probes begin only after five seconds.
        assert [r.status for r in responses].count(200) <= 2
        await fleet.settle(0.5)
        assert (await send(fleet, 50, "/once/g", "aa", GUILTY)).status == 200

    df.run_scenario(scenario, entry_count=2)


def test_time_in_which_all_requests_were_refused_is_not_observed_traffic() -> None:
    """Guards against refusals of sound parts by an entry that saw little served."""
    traffic = parttraffic.PartTraffic()
    for tenth in range(40):
        traffic.on_request(tenth / 10, ["doc"])
    # The entry refuses everything for six seconds, since its keys are stale.
    for tenth in range(100, 140):
        traffic.on_request(tenth / 10, ["doc"])
    assert not traffic.is_observed(14.0)
    for tenth in range(140, 160):
        traffic.on_request(tenth / 10, ["doc"])
    assert traffic.is_observed(16.0)
    assert not parttraffic.PartTraffic().is_observed(60.0)
