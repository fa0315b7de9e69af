"""Tests of calls on the whole path: caller, entry, sidecar, target and back."""

from test import fleet


def test_chat_completion_with_and_without_streaming() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        reply = await caller.send_chat("hello")
        assert reply.status == 200, reply.body
        text = reply.json["choices"][0]["message"]["content"]
        assert text.count("-") == 8
        stream = await caller.send_chat("hello", stream=True)
        assert stream.body.count(b"data: ") == 9
        assert stream.body.endswith(b"data: [DONE]\n\n")

    fleet.run_scenario(scenario)


def test_minted_key_runs_once_through_two_entries() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        key = await caller.mint_key()
        first = await caller.send_keyed(key, "r1")
        second = await caller.send_keyed(key, "r1", entry=1)
        assert first.status == second.status == 200
        assert first.body == second.body
        assert caller.dep.count_records("r1") == 1

    fleet.run_scenario(scenario)
