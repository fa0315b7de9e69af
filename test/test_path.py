"""The whole path: caller, entry, sidecar, target and back."""

from sardinesaddle.standins import targets
from test import fleet, pausedclock


def test_small_call_and_stream() -> None:
    async def scenario() -> None:
        async with fleet.running() as caller:
            reply = await caller.chat("hello")
            assert reply.status == 200, reply.body
            text = reply.json["choices"][0]["message"]["content"]
            assert text.count("-") == 8
            stream = await caller.chat("hello", stream=True)
            assert stream.body.count(b"data: ") == 9
            assert stream.body.endswith(b"data: [DONE]\n\n")

    pausedclock.run(scenario())


def test_minted_key_runs_once_through_both_entries() -> None:
    async def scenario() -> None:
        async with fleet.running() as caller:
            key = await caller.mint()
            first = await caller.record(key, "r1")
            second = await caller.record(key, "r1", entry=1)
            assert first.status == second.status == 200
            assert first.body == second.body
            runs = sum(
                t.records["r1"]
                for t in caller.dep.targets.values()
                if isinstance(t, targets.PlainService)
            )
            assert runs == 1

    pausedclock.run(scenario())
