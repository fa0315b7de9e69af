"""The HTTP interface for callers: refusals, limits, deadlines, keys and streams.

The openai client library is one of the callers.
"""

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
        for method, path, body, code_name, status in cases:
            reply = await caller.send_request(method, path, body)
            assert reply.status == status, reply.body
            assert reply.headers["Content-Type"] == "application/problem+json"
            assert reply.json["type"].endswith(code_name)
            assert reply.json["ran"] == "not_run"
            assert reply.json["remedy"] == errorcodes.REGISTRY[code_name].remedy
        unauthenticated = await caller.send_request(
            "GET", "/ledger/x", headers={"Authorization": "Bearer nobody"}
        )
        assert unauthenticated.status == 401

    fleet.run_scenario(scenario)


def test_oversized_bodies_and_bad_deadlines_are_rejected() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        large = await caller.send_request(
            "POST", "/v1/chat/completions", "x" * 1_100_000
        )
        assert large.status == 413
        for value in ("soon", "-1", "9" * 40):
            reply = await caller.send_chat("x", headers={"X-Deadline-Ms": value})
            assert reply.status == 400, value
        expired = await caller.send_chat("x", headers={"X-Deadline-Ms": "0"})
        assert expired.json["type"].endswith("deadline-unreachable")

    fleet.run_scenario(scenario)


def test_incomplete_request_body_is_rejected_in_time() -> None:
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

    fleet.run_scenario(scenario)


def test_expired_deadline_gives_a_final_answer_at_once() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        loop = asyncio.get_running_loop()
        for target in caller.dep.targets.values():
            target.freeze()
        sent_at = loop.time()
        reply = await caller.send_chat("x", headers={"X-Deadline-Ms": "500"})
        assert reply.json["type"].endswith("deadline-passed")
        assert reply.json["ran"] == "unknown"
        assert loop.time() - sent_at < 0.6

    fleet.run_scenario(scenario)


def test_failed_stream_ends_with_an_error_event() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        pending = asyncio.create_task(
            caller.send_chat("s", stream=True, max_tokens=200)
        )
        targets = caller.dep.targets
        await fleet.wait_until(lambda: any(t.running for t in targets.values()))
        await asyncio.sleep(0.2)
        name = next(n for n, t in targets.items() if t.running)
        await caller.dep.kill_sidecar(name)
        reply = await pending
        last_event = reply.body.strip().split(b"\n\n")[-1]
        assert last_event.startswith(b"event: error\ndata: ")
        assert json.loads(last_event.split(b"data: ")[1])["ran"] == "unknown"

    fleet.run_scenario(scenario)


def test_caller_disconnect_cancels_the_call_at_the_engine() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        pending = asyncio.create_task(
            caller.send_chat("s", stream=True, max_tokens=2000)
        )
        targets = caller.dep.targets.values()
        await fleet.wait_until(lambda: any(t.running for t in targets))
        pending.cancel()
        await fleet.wait_until(lambda: not any(t.running for t in targets), 2.0)
        assert sum(sum(t.cancelled_runs.values()) for t in targets) == 1

    fleet.run_scenario(scenario)


def test_keyed_stream_resumes_through_another_entry() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        key = await caller.mint_key("summaries")
        headers = {"Idempotency-Key": key}
        first = await caller.send_chat("s", stream=True, max_tokens=50, headers=headers)
        headers["X-Resume-Offset"] = "1000"
        rest = await caller.send_chat("s", True, 50, entry=1, headers=headers)
        assert rest.body == first.body[1000:]
        assert caller.dep.count_runs("") == 1

    fleet.run_scenario(scenario)


def test_key_of_another_account_or_service_and_forged_key_are_refused() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        key = await caller.mint_key()
        headers = {"Idempotency-Key": key}
        other = await caller.send_request(
            "POST", "/ledger/x", {}, account="bob", headers=headers
        )
        assert other.json["type"].endswith("key-invalid")
        forged = await caller.send_keyed(key[:-4] + "AAAA", "r1")
        assert forged.json["type"].endswith("key-invalid")
        model = await caller.send_chat("x", headers=headers)
        assert model.json["type"].endswith("key-invalid")

    fleet.run_scenario(scenario)


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

    fleet.run_scenario(scenario)
