"""Failures on the whole path: kills, cuts, silence, pauses, drains, outages."""

import asyncio

from sardinesaddle import table
from sardinesaddle.standins import tcpproxy
from test import fleet


def find_busy(caller: fleet.Caller) -> str:
    """Return the target that is running a call."""
    running = [name for name, t in caller.dep.targets.items() if t.running]
    assert len(running) == 1, running
    return running[0]


async def wait_busy(caller: fleet.Caller) -> str:
    """Wait until one target runs a call; return its name."""
    targets = caller.dep.targets.values()
    await fleet.wait_until(lambda: any(t.running for t in targets))
    return find_busy(caller)


def test_killed_sidecar_idempotent_call_runs_elsewhere() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        pending = asyncio.create_task(caller.chat("one", tokens=100))
        name = await wait_busy(caller)
        await caller.dep.kill_sidecar(name)
        reply = await pending
        assert reply.status == 200, reply.body

    fleet.play(scenario)


def test_killed_sidecar_keyed_call_is_unknown_and_never_runs_again() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        key = await caller.mint()
        for target in caller.dep.targets.values():
            target.freeze()
        pending = asyncio.create_task(caller.record(key, "r1", deadline_ms=4000))
        name = await wait_busy(caller)
        port = await caller.dep.kill_sidecar(name)
        await caller.dep.start_sidecar(name, port)
        reply = await pending
        assert reply.json["ran"] == "unknown", reply.body
        caller.dep.targets[name].unfreeze()
        again = await caller.record(key, "r1", entry=1, deadline_ms=4000)
        assert again.json["type"].endswith("key-forgotten"), again.body
        assert caller.dep.count_runs("r1") == 1

    fleet.play(scenario)


def test_silent_connection_is_replaced_and_stream_goes_on() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        pending = asyncio.create_task(caller.chat("s", stream=True, tokens=1200))
        name = await wait_busy(caller)
        await asyncio.sleep(0.5)
        caller.dep.proxies[0, name].blackhole_open()
        reply = await pending
        assert reply.status == 200
        assert reply.body.count(b"data: ") == 1201, reply.body[-300:]
        assert sum(t.max_running for t in caller.dep.targets.values()) == 1

    fleet.play(scenario)


def test_cut_keyed_call_resumes_after_the_cut() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        key = await caller.mint()
        for target in caller.dep.targets.values():
            target.freeze()
        pending = asyncio.create_task(caller.record(key, "r1", deadline_ms=9000))
        name = await wait_busy(caller)
        cable = caller.dep.proxies[0, name]
        cable.reset()
        await asyncio.sleep(2)
        caller.dep.targets[name].unfreeze()
        cable.restore()
        reply = await pending
        assert reply.status == 200, reply.body
        assert caller.dep.count_runs("r1") == 1

    fleet.play(scenario)


def test_partition_with_callers_on_both_sides_runs_a_key_once() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        key = await caller.mint()
        for cable in caller.dep.list_proxies(0):
            cable.blackhole()
        replies = await asyncio.gather(
            caller.record(key, "r1", entry=0, deadline_ms=3000),
            caller.record(key, "r1", entry=1, deadline_ms=3000),
        )
        assert replies[0].json["ran"] == "unknown", replies[0].body
        assert replies[1].status == 200
        for cable in caller.dep.list_proxies(0):
            cable.restore()
        await asyncio.sleep(15)
        again = await caller.record(key, "r1", entry=0)
        assert again.status == 200, again.body
        assert caller.dep.count_records("r1") == 1

    fleet.play(scenario)


def test_paused_sidecar_wakes_and_runs_nothing_on_old_belief() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        key = await caller.mint()
        one = caller.dep.entries[0].entry
        name = next(n for n in caller.dep.sidecars if "plain" in n)
        for other in caller.dep.sidecars:
            if other != name and "plain" in other:
                one.peers.fleet.targets[other].weight = 0.0
        key = await caller.mint()
        caller.dep.pause(name)
        reply = await caller.record(key, "r1", deadline_ms=3000)
        assert reply.status == 504
        assert reply.json["ran"] == "unknown", reply.body
        await asyncio.sleep(20)
        caller.dep.resume(name)
        await asyncio.sleep(5)
        again = await caller.record(key, "r1", entry=1)
        assert again.status == 200, again.body
        assert caller.dep.count_records("r1") == 1

    fleet.play(scenario)


def test_paused_entry_wakes_late_and_its_caller_gets_a_final_answer() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        key = await caller.mint()
        for target in caller.dep.targets.values():
            target.freeze()
        pending = asyncio.create_task(caller.record(key, "r1", deadline_ms=3000))
        await wait_busy(caller)
        caller.dep.pause(caller.dep.get_entry_name(0))
        await asyncio.sleep(30)
        for target in caller.dep.targets.values():
            target.unfreeze()
        caller.dep.resume(caller.dep.get_entry_name(0))
        reply = await pending
        # The answer came while the entry slept past the deadline: either is true.
        assert reply.status == 200 or reply.json["ran"] == "unknown"
        again = await caller.record(key, "r1", entry=1)
        assert again.status == 200, again.body
        assert caller.dep.count_records("r1") == 1

    fleet.play(scenario)


def test_draining_sidecar_cuts_nothing_and_gets_nothing_new() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        pending = asyncio.create_task(caller.chat("s", stream=True, tokens=400))
        name = await wait_busy(caller)
        sidecar = caller.dep.sidecars[name].sidecar
        drained = asyncio.create_task(caller.dep.drain_sidecar(name))
        await asyncio.sleep(0.2)
        assert sidecar.describe_wait() == "running=1 unread_answers=1"
        before = sum(caller.dep.targets[name].runs.values())
        for number in range(20):
            reply = await caller.chat(f"other {number}", tokens=1)
            assert reply.status == 200
        assert sum(caller.dep.targets[name].runs.values()) == before
        stream = await pending
        assert stream.body.endswith(b"data: [DONE]\n\n")
        await drained

    fleet.play(scenario, lag_s=30.0)


def test_draining_entry_stays_reachable_and_finishes_streams() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        pending = asyncio.create_task(caller.chat("s", stream=True, tokens=400))
        await wait_busy(caller)
        drained = asyncio.create_task(caller.dep.drain_entry(0))
        await asyncio.sleep(0.1)
        reply = await caller.chat("late", tokens=1)
        assert reply.status == 200
        stream = await pending
        assert stream.body.endswith(b"data: [DONE]\n\n")
        await drained

    fleet.play(scenario)


def test_configuration_outage_keeps_the_table_and_never_reverts() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        dep = caller.dep
        dep.config.freeze()
        dep.config.publish(dep.rows)
        dep.config.unfreeze()
        await fleet.wait_until(
            lambda: all(e.entry.sync.conf.revision == 2 for e in dep.entries)
        )
        await fleet.wait_until(
            lambda: all(
                s.sidecar.sync.conf.revision == 2 for s in dep.sidecars.values()
            )
        )
        await dep.config.stop()
        assert (await caller.chat("down", tokens=1)).status == 200
        name = next(iter(dep.sidecars))
        port = await dep.kill_sidecar(name)
        proc = await dep.start_sidecar(name, port)
        await fleet.wait_until(lambda: proc.sidecar.sync.conf.revision == 2)

    fleet.play(scenario)


def test_restarted_entry_does_not_serve_a_stale_table() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        dep = caller.dep
        dep.config.freeze()
        dep.config.publish(dep.rows)
        dep.config.unfreeze()
        await fleet.wait_until(
            lambda: (
                all(e.entry.sync.conf.revision == 2 for e in dep.entries)
                and all(
                    s.sidecar.sync.conf.revision == 2 for s in dep.sidecars.values()
                )
            )
        )
        # The service goes back to what it held before, as a stale replica does.
        await dep.config.stop()
        stale = type(dep.config)()
        stale.publish(dep.rows)
        await stale.start(dep.config.port)
        await dep.kill_entry(1)
        proc = await dep.start_entry(1)
        served: list[int] = []

        def check() -> bool:
            if proc.entry.is_ready:
                served.append(proc.entry.sync.conf.revision)
            return bool(served)

        await fleet.wait_until(check)
        assert served[0] == 2
        await stale.stop()

    fleet.play(scenario)


def test_opaque_key_runs_once_and_home_is_the_same_from_both_entries() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        await asyncio.sleep(29)
        first = await caller.record("my-key", "r1", entry=0)
        assert first.status == 200, first.body
        second = await caller.record("my-key", "r1", entry=1)
        assert second.body == first.body
        assert caller.dep.count_records("r1") == 1

    fleet.play(scenario, retry_horizon_s=2.0)


def test_opaque_key_after_a_restart_is_unknown_until_the_horizon() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        await asyncio.sleep(32)
        first = await caller.record("my-key", "r1")
        assert first.status == 200, first.body
        name = first.json["target"]
        port = await caller.dep.kill_sidecar(name)
        await caller.dep.start_sidecar(name, port)
        await asyncio.sleep(1)
        again = await caller.record("my-key", "r1", deadline_ms=1000)
        assert again.json["ran"] == "unknown", again.body
        assert caller.dep.count_records("r1") == 1

    fleet.play(scenario, retry_horizon_s=5.0)


def test_cables_can_be_cut_in_every_mode() -> None:
    assert {mode.value for mode in tcpproxy.ProxyMode} == {"open", "silent", "cut"}


def test_moved_home_asks_the_earlier_one_and_runs_a_key_once() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        dep = caller.dep
        await asyncio.sleep(32)
        used = await caller.record("used", "r1")
        old = used.json["target"]
        rows = dep.rows
        left = [row for row in rows.targets if row.target != old]
        dep.config.publish(
            table.Rows(rows.accounts, rows.services, left, rows.limits, rows.groups)
        )
        await fleet.wait_until(
            lambda: (
                all(s.sidecar.sync.conf.revision == 2 for s in dep.sidecars.values())
                and all(e.entry.sync.conf.revision == 2 for e in dep.entries)
            )
        )
        again = await caller.record("used", "r1", entry=1, deadline_ms=1500)
        assert again.json["ran"] == "unknown", again.body
        assert dep.count_records("r1") == 1
        # Keys that no call has used are released by their previous owner and run.
        for number in range(8):
            fresh = await caller.record(f"fresh-{number}", f"f{number}")
            assert fresh.status == 200, fresh.body
            assert fresh.json["target"] != old
            assert dep.count_records(f"f{number}") == 1

    fleet.play(scenario, retry_horizon_s=2.0)


def test_moved_home_runs_nothing_while_the_earlier_one_is_silent() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        dep = caller.dep
        await asyncio.sleep(32)
        used = await caller.record("used", "r1")
        old = used.json["target"]
        dep.pause(old)
        rows = dep.rows
        left = [row for row in rows.targets if row.target != old]
        dep.config.publish(
            table.Rows(rows.accounts, rows.services, left, rows.limits, rows.groups)
        )
        await asyncio.sleep(60)
        again = await caller.record("used", "r1", entry=1, deadline_ms=5000)
        assert again.json["ran"] == "unknown", again.body
        dep.resume(old)
        await asyncio.sleep(5)
        assert dep.count_records("r1") == 1

    fleet.play(scenario, retry_horizon_s=2.0)
