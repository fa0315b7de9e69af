"""Failures in a whole deployment, from the caller to the target and back.

Processes are killed, paused, drained and restarted; connections are cut or silently
lose all bytes; the configuration service is down or stale; keys move between targets.
"""

import asyncio

from sardinesaddle import table
from sardinesaddle.standins import tcpproxy
from test import fleet


def find_running_target(caller: fleet.Caller) -> str:
    """Return the name of the only target that is running a call."""
    running_targets = [name for name, t in caller.dep.targets.items() if t.running]
    assert len(running_targets) == 1, running_targets
    return running_targets[0]


async def wait_for_running_target(caller: fleet.Caller) -> str:
    """Wait until a target runs a call; return its name."""
    targets = caller.dep.targets.values()
    await fleet.wait_until(lambda: any(t.running for t in targets))
    return find_running_target(caller)


def test_idempotent_call_is_retried_elsewhere_when_its_sidecar_dies() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        pending = asyncio.create_task(caller.send_chat("one", max_tokens=100))
        name = await wait_for_running_target(caller)
        await caller.dep.kill_sidecar(name)
        reply = await pending
        assert reply.status == 200, reply.body

    fleet.run_scenario(scenario)


def test_keyed_call_is_unknown_and_never_rerun_when_its_sidecar_dies() -> None:
    """A sidecar that restarts has lost its journal and must not run the key again.

    The target still holds the call that the killed sidecar sent.
    """

    async def scenario(caller: fleet.Caller) -> None:
        key = await caller.mint_key()
        for target in caller.dep.targets.values():
            target.freeze()
        pending = asyncio.create_task(caller.send_keyed(key, "r1", deadline_ms=4000))
        name = await wait_for_running_target(caller)
        port = await caller.dep.kill_sidecar(name)
        await caller.dep.start_sidecar(name, port)
        reply = await pending
        assert reply.json["ran"] == "unknown", reply.body
        caller.dep.targets[name].unfreeze()
        again = await caller.send_keyed(key, "r1", entry=1, deadline_ms=4000)
        assert again.json["type"].endswith("key-forgotten"), again.body
        assert caller.dep.count_runs("r1") == 1

    fleet.run_scenario(scenario)


def test_stream_resumes_on_a_new_connection_when_the_old_one_is_silent() -> None:
    """A connection that loses all bytes without closing must be replaced.

    The stream continues on the new connection without a lost or repeated event, and no
    other target runs the call.
    """

    async def scenario(caller: fleet.Caller) -> None:
        pending = asyncio.create_task(
            caller.send_chat("s", stream=True, max_tokens=1200)
        )
        name = await wait_for_running_target(caller)
        await asyncio.sleep(0.5)
        caller.dep.proxies[0, name].blackhole_open()
        reply = await pending
        assert reply.status == 200
        assert reply.body.count(b"data: ") == 1201, reply.body[-300:]
        assert sum(t.max_running for t in caller.dep.targets.values()) == 1

    fleet.run_scenario(scenario)


def test_keyed_call_resumes_after_a_connection_cut() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        key = await caller.mint_key()
        for target in caller.dep.targets.values():
            target.freeze()
        pending = asyncio.create_task(caller.send_keyed(key, "r1", deadline_ms=9000))
        name = await wait_for_running_target(caller)
        proxy = caller.dep.proxies[0, name]
        proxy.reset()
        await asyncio.sleep(2)
        caller.dep.targets[name].unfreeze()
        proxy.restore()
        reply = await pending
        assert reply.status == 200, reply.body
        assert caller.dep.count_runs("r1") == 1

    fleet.run_scenario(scenario)


def test_partition_with_callers_on_both_sides_runs_a_keyed_call_once() -> None:
    """An entry that is cut off and one that is not send a call with the same key.

    The first reports its call as unknown, and the call runs once in all.
    """

    async def scenario(caller: fleet.Caller) -> None:
        key = await caller.mint_key()
        for proxy in caller.dep.list_proxies(0):
            proxy.blackhole()
        replies = await asyncio.gather(
            caller.send_keyed(key, "r1", entry=0, deadline_ms=3000),
            caller.send_keyed(key, "r1", entry=1, deadline_ms=3000),
        )
        assert replies[0].json["ran"] == "unknown", replies[0].body
        assert replies[1].status == 200
        for proxy in caller.dep.list_proxies(0):
            proxy.restore()
        await asyncio.sleep(15)
        again = await caller.send_keyed(key, "r1", entry=0)
        assert again.status == 200, again.body
        assert caller.dep.count_records("r1") == 1

    fleet.run_scenario(scenario)


def test_sidecar_runs_no_stale_call_after_a_pause() -> None:
    """A sidecar resumes after the deadline of a call that was sent while it was paused.

    It must not run that call from its socket buffers in addition to the retried one.
    """

    async def scenario(caller: fleet.Caller) -> None:
        key = await caller.mint_key()
        first_entry = caller.dep.entries[0].entry
        name = next(n for n in caller.dep.sidecars if "plain" in n)
        for other in caller.dep.sidecars:
            if other != name and "plain" in other:
                first_entry.peers.fleet.targets[other].weight = 0.0
        key = await caller.mint_key()
        caller.dep.pause(name)
        reply = await caller.send_keyed(key, "r1", deadline_ms=3000)
        assert reply.status == 504
        assert reply.json["ran"] == "unknown", reply.body
        await asyncio.sleep(20)
        caller.dep.resume(name)
        await asyncio.sleep(5)
        again = await caller.send_keyed(key, "r1", entry=1)
        assert again.status == 200, again.body
        assert caller.dep.count_records("r1") == 1

    fleet.run_scenario(scenario)


def test_entry_paused_past_the_deadline_still_answers_its_caller() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        key = await caller.mint_key()
        for target in caller.dep.targets.values():
            target.freeze()
        pending = asyncio.create_task(caller.send_keyed(key, "r1", deadline_ms=3000))
        await wait_for_running_target(caller)
        caller.dep.pause(caller.dep.get_entry_name(0))
        await asyncio.sleep(30)
        for target in caller.dep.targets.values():
            target.unfreeze()
        caller.dep.resume(caller.dep.get_entry_name(0))
        reply = await pending
        # The answer arrived while the entry was paused past the deadline, so both
        # outcomes are correct.
        assert reply.status == 200 or reply.json["ran"] == "unknown"
        again = await caller.send_keyed(key, "r1", entry=1)
        assert again.status == 200, again.body
        assert caller.dep.count_records("r1") == 1

    fleet.run_scenario(scenario)


def test_draining_sidecar_finishes_streams_and_receives_no_new_calls() -> None:
    """A sidecar drains while the host lists lag behind by 30 s.

    Entries must learn of the drain from the sidecar itself.
    """

    async def scenario(caller: fleet.Caller) -> None:
        pending = asyncio.create_task(
            caller.send_chat("s", stream=True, max_tokens=400)
        )
        name = await wait_for_running_target(caller)
        sidecar = caller.dep.sidecars[name].sidecar
        drain_task = asyncio.create_task(caller.dep.drain_sidecar(name))
        await asyncio.sleep(0.2)
        assert sidecar.describe_wait() == "running=1 unread_answers=1"
        runs_before = sum(caller.dep.targets[name].runs.values())
        for number in range(20):
            reply = await caller.send_chat(f"other {number}", max_tokens=1)
            assert reply.status == 200
        assert sum(caller.dep.targets[name].runs.values()) == runs_before
        stream = await pending
        assert stream.body.endswith(b"data: [DONE]\n\n")
        await drain_task

    fleet.run_scenario(scenario, lag_s=30.0)


def test_draining_entry_stays_reachable_and_finishes_streams() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        pending = asyncio.create_task(
            caller.send_chat("s", stream=True, max_tokens=400)
        )
        await wait_for_running_target(caller)
        drain_task = asyncio.create_task(caller.dep.drain_entry(0))
        await asyncio.sleep(0.1)
        reply = await caller.send_chat("late", max_tokens=1)
        assert reply.status == 200
        stream = await pending
        assert stream.body.endswith(b"data: [DONE]\n\n")
        await drain_task

    fleet.run_scenario(scenario)


def test_table_stays_in_force_during_a_configuration_service_outage() -> None:
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
        assert (await caller.send_chat("down", max_tokens=1)).status == 200
        name = next(iter(dep.sidecars))
        port = await dep.kill_sidecar(name)
        proc = await dep.start_sidecar(name, port)
        await fleet.wait_until(lambda: proc.sidecar.sync.conf.revision == 2)

    fleet.run_scenario(scenario)


def test_restarted_entry_does_not_serve_a_stale_table() -> None:
    """An entry restarts while the configuration service returns an old revision.

    It must learn of the newer revision from its peers before it is ready.
    """

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
        # The configuration service returns to its earlier revision, as it does when a
        # stale replica answers.
        await dep.config.stop()
        stale_config = type(dep.config)()
        stale_config.publish(dep.rows)
        await stale_config.start(dep.config.port)
        await dep.kill_entry(1)
        proc = await dep.start_entry(1)
        served_revisions: list[int] = []

        def has_served() -> bool:
            if proc.entry.is_ready:
                served_revisions.append(proc.entry.sync.conf.revision)
            return bool(served_revisions)

        await fleet.wait_until(has_served)
        assert served_revisions[0] == 2
        await stale_config.stop()

    fleet.run_scenario(scenario)


def test_opaque_key_runs_once_and_has_one_owner_for_all_entries() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        await asyncio.sleep(29)
        first = await caller.send_keyed("my-key", "r1", entry=0)
        assert first.status == 200, first.body
        second = await caller.send_keyed("my-key", "r1", entry=1)
        assert second.body == first.body
        assert caller.dep.count_records("r1") == 1

    fleet.run_scenario(scenario, retry_horizon_s=2.0)


def test_opaque_key_after_a_restart_is_unknown_until_the_horizon() -> None:
    """A restarted sidecar cannot tell whether an opaque key was used before.

    It refuses the key until its journal is older than the retry horizon.
    """

    async def scenario(caller: fleet.Caller) -> None:
        await asyncio.sleep(32)
        first = await caller.send_keyed("my-key", "r1")
        assert first.status == 200, first.body
        name = first.json["target"]
        port = await caller.dep.kill_sidecar(name)
        await caller.dep.start_sidecar(name, port)
        await asyncio.sleep(1)
        again = await caller.send_keyed("my-key", "r1", deadline_ms=1000)
        assert again.json["ran"] == "unknown", again.body
        assert caller.dep.count_records("r1") == 1

    fleet.run_scenario(scenario, retry_horizon_s=5.0)


def test_proxy_has_every_failure_mode() -> None:
    assert {mode.value for mode in tcpproxy.ProxyMode} == {"open", "silent", "cut"}


def test_moved_key_runs_only_after_its_previous_owner_released_it() -> None:
    """A table change gives the keys of a removed target to other targets.

    The new owner must not run a key that the earlier owner may have run.
    """

    async def scenario(caller: fleet.Caller) -> None:
        dep = caller.dep
        await asyncio.sleep(32)
        used_reply = await caller.send_keyed("used", "r1")
        previous_owner = used_reply.json["target"]
        rows = dep.rows
        remaining_targets = [
            row for row in rows.targets if row.target != previous_owner
        ]
        dep.config.publish(
            table.Rows(
                rows.accounts,
                rows.services,
                remaining_targets,
                rows.limits,
                rows.groups,
            )
        )
        await fleet.wait_until(
            lambda: (
                all(s.sidecar.sync.conf.revision == 2 for s in dep.sidecars.values())
                and all(e.entry.sync.conf.revision == 2 for e in dep.entries)
            )
        )
        again = await caller.send_keyed("used", "r1", entry=1, deadline_ms=1500)
        assert again.json["ran"] == "unknown", again.body
        assert dep.count_records("r1") == 1
        # The previous owner releases keys that no call has used, so their calls run.
        for number in range(8):
            fresh = await caller.send_keyed(f"fresh-{number}", f"f{number}")
            assert fresh.status == 200, fresh.body
            assert fresh.json["target"] != previous_owner
            assert dep.count_records(f"f{number}") == 1

    fleet.run_scenario(scenario, retry_horizon_s=2.0)


def test_moved_key_does_not_run_while_its_previous_owner_is_silent() -> None:
    """The earlier owner of a moved key is paused and cannot release it.

    The call stays unknown, and it does not run later when the owner resumes.
    """

    async def scenario(caller: fleet.Caller) -> None:
        dep = caller.dep
        await asyncio.sleep(32)
        used_reply = await caller.send_keyed("used", "r1")
        previous_owner = used_reply.json["target"]
        dep.pause(previous_owner)
        rows = dep.rows
        remaining_targets = [
            row for row in rows.targets if row.target != previous_owner
        ]
        dep.config.publish(
            table.Rows(
                rows.accounts,
                rows.services,
                remaining_targets,
                rows.limits,
                rows.groups,
            )
        )
        await asyncio.sleep(60)
        again = await caller.send_keyed("used", "r1", entry=1, deadline_ms=5000)
        assert again.json["ran"] == "unknown", again.body
        dep.resume(previous_owner)
        await asyncio.sleep(5)
        assert dep.count_records("r1") == 1

    fleet.run_scenario(scenario, retry_horizon_s=2.0)
