"""What callers see: refusals, bounds, deadlines, keys, the openai client."""

import asyncio
import json

import openai

from sardinesaddle import errorcodes
from sardinesaddle.standins import deployment
from test import fleet


def test_refusals_are_problem_documents() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        cases = [
            ("POST", "/v1/chat/completions", {"model": "nope"}, "no-service", 404),
            ("POST", "/v1/chat/completions", {"nothing": 1}, "bad-request", 400),
            ("GET", "/nowhere", None, "no-service", 404),
            ("POST", "/ledger/x", {}, "key-required", 400),
            ("POST", "/v1/keys", {"service": "nope"}, "no-service", 404),
            ("POST", "/v1/keys", {"wrong": 1}, "bad-request", 400),
        ]
        for method, path, body, kind, status in cases:
            reply = await caller.call(method, path, body)
            assert reply.status == status, reply.body
            assert reply.headers["Content-Type"] == "application/problem+json"
            assert reply.json["type"].endswith(kind)
            assert reply.json["ran"] == "not_run"
            assert reply.json["remedy"] == errorcodes.REGISTRY[kind].remedy
        stranger = await caller.call(
            "GET", "/ledger/x", headers={"Authorization": "Bearer nobody"}
        )
        assert stranger.status == 401

    fleet.play(scenario)


def test_bounds_of_bodies_headers_and_deadlines() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        large = await caller.call("POST", "/v1/chat/completions", "x" * 1_100_000)
        assert large.status == 413
        for value in ("soon", "-1", "9" * 40):
            reply = await caller.chat("x", headers={"X-Deadline-Ms": value})
            assert reply.status == 400, value
        late = await caller.chat("x", headers={"X-Deadline-Ms": "0"})
        assert late.json["type"].endswith("deadline-unreachable")

    fleet.play(scenario)


def test_slow_sender_is_cut_off_in_time() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        port = caller.dep.entries[0].entry.port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        token = deployment.make_token("alice")
        writer.write(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n"
            + f"Authorization: Bearer {token}\r\n\r\n".encode()
        )
        head = await reader.readuntil(b"\r\n\r\n")
        assert b" 400 " in head.splitlines()[0]
        writer.close()

    fleet.play(scenario)


def test_deadline_gives_a_final_answer_at_once() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        loop = asyncio.get_running_loop()
        for target in caller.dep.targets.values():
            target.freeze()
        began_at = loop.time()
        reply = await caller.chat("x", headers={"X-Deadline-Ms": "500"})
        assert reply.json["type"].endswith("deadline-passed")
        assert reply.json["ran"] == "unknown"
        assert loop.time() - began_at < 0.6

    fleet.play(scenario)


def test_stream_that_fails_ends_with_an_error_event() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        pending = asyncio.create_task(caller.chat("s", stream=True, tokens=200))
        targets = caller.dep.targets
        await fleet.wait_until(lambda: any(t.running for t in targets.values()))
        await asyncio.sleep(0.2)
        name = next(n for n, t in targets.items() if t.running)
        await caller.dep.kill_sidecar(name)
        reply = await pending
        last = reply.body.strip().split(b"\n\n")[-1]
        assert last.startswith(b"event: error\ndata: ")
        assert json.loads(last.split(b"data: ")[1])["ran"] == "unknown"

    fleet.play(scenario)


def test_caller_that_leaves_is_cancelled_at_the_engine() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        pending = asyncio.create_task(caller.chat("s", stream=True, tokens=2000))
        targets = caller.dep.targets.values()
        await fleet.wait_until(lambda: any(t.running for t in targets))
        pending.cancel()
        await fleet.wait_until(lambda: not any(t.running for t in targets), 2.0)
        assert sum(sum(t.cancelled_runs.values()) for t in targets) == 1

    fleet.play(scenario)


def test_keyed_stream_goes_on_through_another_entry() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        key = await caller.mint("summaries")
        headers = {"Idempotency-Key": key}
        first = await caller.chat("s", stream=True, tokens=50, headers=headers)
        headers["X-Resume-Offset"] = "1000"
        rest = await caller.chat("s", True, 50, entry=1, headers=headers)
        assert rest.body == first.body[1000:]
        assert caller.dep.count_runs("") == 1

    fleet.play(scenario)


def test_key_of_another_account_service_or_fleet_is_refused() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        key = await caller.mint()
        headers = {"Idempotency-Key": key}
        other = await caller.call(
            "POST", "/ledger/x", {}, account="bob", headers=headers
        )
        assert other.json["type"].endswith("key-invalid")
        forged = await caller.record(key[:-4] + "AAAA", "r1")
        assert forged.json["type"].endswith("key-invalid")
        model = await caller.chat("x", headers=headers)
        assert model.json["type"].endswith("key-invalid")

    fleet.play(scenario)


def test_openai_client_works_against_an_entry() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        client = openai.AsyncOpenAI(
            api_key=deployment.make_token("alice"),
            base_url=caller.dep.get_entry_url(0) + "/v1",
        )
        models = await client.models.list()
        assert [m.id for m in models.data] == ["sermon-text"]
        whole = await client.chat.completions.create(
            model="sermon-text", messages=[{"role": "user", "content": "hello"}]
        )
        assert whole.choices[0].message.content
        stream = await client.chat.completions.create(
            model="sermon-text",
            messages=[{"role": "user", "content": "hello"}],
            stream=True,
        )
        text = "".join([c.choices[0].delta.content or "" async for c in stream])
        assert text == whole.choices[0].message.content
        await client.close()

    fleet.play(scenario)
