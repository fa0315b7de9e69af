"""Stand-ins for targets: a model engine and a plain service.

Both count the runs of each call by the header ``X-Call-Id``, which test callers send.
The engine answers chat completions as a whole or as server-sent events with one token
each. It keeps prompt prefixes in a bounded cache, reports its load and cache events,
and accepts orders with fencing tokens. The text of an answer is derived from its
request, so that a caller can recognize a complete answer to its own call. A body that
contains the poison mark crashes the engine.
"""

import asyncio
import collections
import json
import typing

import aiohttp.web
import msgspec

from sardinesaddle import external, hashing
from sardinesaddle.standins import httpserver

POISON_MARK: typing.Final = b"POISON"
CALL_ID_HEADER: typing.Final = "X-Call-Id"
MAX_CACHED_PREFIXES: typing.Final = 32


def make_tokens(text: str, count: int) -> list[str]:
    """Return the tokens of the answer to a prompt, derived from its hash."""
    seed = f"{hashing.hash_text(text):016x}"[:8]
    return [f"{seed}-{index} " for index in range(count)]


class CountingTarget(httpserver.HttpServer):
    """A target that counts the runs of each call and can freeze or crash."""

    def __init__(self, name: str) -> None:
        super().__init__()
        self.name = name
        self.runs: collections.Counter[str] = collections.Counter()
        self.completed_runs: collections.Counter[str] = collections.Counter()
        self.cancelled_runs: collections.Counter[str] = collections.Counter()
        self.running = 0
        self.max_running = 0
        self.unfrozen = asyncio.Event()
        self.unfrozen.set()
        self.crashes = 0

    def freeze(self) -> None:
        """Make no progress until ``unfreeze``; connections stay open."""
        self.unfrozen.clear()

    def unfreeze(self) -> None:
        """Continue all calls."""
        self.unfrozen.set()

    async def crash(self, down_s: float) -> None:
        """Close all connections and the port; start again after ``down_s`` seconds."""
        self.crashes += 1
        await self.stop()
        await asyncio.sleep(down_s)
        await self.start()

    def begin_run(self, request: aiohttp.web.Request) -> str:
        """Count the start of a run; return the call's ID."""
        call_id = request.headers.get(CALL_ID_HEADER, "")
        self.runs[call_id] += 1
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        return call_id

    def end_run(self, call_id: str, is_complete: bool) -> None:
        """Count a run as completed or cancelled."""
        self.running -= 1
        if is_complete:
            self.completed_runs[call_id] += 1
        else:
            self.cancelled_runs[call_id] += 1


class PlainService(CountingTarget):
    """A plain service; ``records`` counts the POST requests of each call."""

    def __init__(self, name: str, work_s: float = 0.005) -> None:
        super().__init__(name)
        self.work_s = work_s
        self.records: collections.Counter[str] = collections.Counter()

    def make_app(self) -> aiohttp.web.Application:
        """Return the application: one handler for all methods and paths."""
        app = aiohttp.web.Application()
        app.router.add_route("*", "/{path:.*}", self._handle_call)
        return app

    async def _handle_call(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Answer a call with its ID and path after ``work_s`` seconds."""
        body = await request.read()
        call_id = self.begin_run(request)
        is_complete = False
        try:
            await self.unfrozen.wait()
            if request.method == "POST":
                self.records[call_id] += 1
            if self.work_s:
                await asyncio.sleep(self.work_s)
            is_complete = True
            return aiohttp.web.json_response(
                {
                    "call": call_id,
                    "path": request.path,
                    "target": self.name,
                    "bytes": len(body),
                }
            )
        finally:
            self.end_run(call_id, is_complete)


class Engine(CountingTarget):
    """A model engine with a prefix cache, orders and expert maps.

    Each token takes ``token_s`` and a prompt that is not cached ``prompt_s`` seconds.
    """

    def __init__(
        self,
        name: str,
        token_s: float = 0.005,
        prompt_s: float = 0.02,
        checks_fences: bool = True,
    ) -> None:
        super().__init__(name)
        self.token_s = token_s
        self.prompt_s = prompt_s
        self.checks_fences = checks_fences
        self.fence = 0
        self.orders: list[external.TargetOrder] = []
        self.cache: collections.OrderedDict[str, bool] = collections.OrderedDict()
        self.events: list[dict[str, int | bool]] = []
        self.hits = 0
        self.misses = 0
        self._crash_task: asyncio.Task[None] | None = None
        self.steps_order = external.StepsOrder(0, 0, ((1, 1),), 0)
        self.ran_step = 0
        self.loaded_maps: frozenset[int] = frozenset({1})
        self.map_load_s = 0.2
        self.load_failures_left = 0

    def make_app(self) -> aiohttp.web.Application:
        """Return the application: chat completions and the control endpoints."""
        app = aiohttp.web.Application()
        app.router.add_post("/v1/chat/completions", self._handle_chat)
        app.router.add_get("/control/load", self._handle_load)
        app.router.add_get("/control/cache-events", self._handle_cache_events)
        app.router.add_post("/control/orders", self._handle_order)
        app.router.add_get("/control/steps", self._handle_steps)
        app.router.add_post("/control/steps", self._handle_steps_order)
        app.router.add_post("/control/maps/{version}", self._handle_map_load)
        app.router.add_get("/control/kv/{prefix}", self._handle_cache_export)
        app.router.add_post("/control/kv/{prefix}", self._handle_cache_import)
        return app

    async def _handle_chat(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.StreamResponse:
        """Answer a chat completion as JSON or as an event stream."""
        data = await request.read()
        body = json.loads(data)
        call_id = self.begin_run(request)
        is_complete = False
        try:
            if POISON_MARK in data:
                self._crash_task = asyncio.create_task(self.crash(0.5))
                await asyncio.sleep(60)
            prompt = json.dumps(body.get("messages", []))
            await self._prefill(prompt)
            tokens = make_tokens(prompt, int(body.get("max_tokens", 16)))
            if body.get("stream"):
                resp = await self._stream(request, body, tokens)
            else:
                for _ in tokens:
                    await self._generate_token()
                resp = aiohttp.web.json_response(
                    make_completion(call_id, body["model"], "".join(tokens))
                )
            is_complete = True
            return resp
        finally:
            self.end_run(call_id, is_complete)

    async def _prefill(self, prompt: str) -> None:
        """Wait for the prompt's processing time, unless its prefix is cached."""
        prefix = prompt[:256]
        if prefix in self.cache:
            self.hits += 1
            self.cache.move_to_end(prefix)
        else:
            self.misses += 1
            await asyncio.sleep(self.prompt_s)
            self.cache[prefix] = True
            if len(self.cache) > MAX_CACHED_PREFIXES:
                self.cache.popitem(last=False)
        prefix_hash = hashing.hash_text(prefix) >> 1
        self.events.append(
            {"sequence": len(self.events) + 1, "prefix": prefix_hash, "is_held": True}
        )

    async def _generate_token(self) -> None:
        """Wait for the time of one token; wait longer while frozen."""
        await self.unfrozen.wait()
        if self.token_s:
            await asyncio.sleep(self.token_s)

    async def _stream(
        self,
        request: aiohttp.web.Request,
        body: dict[str, typing.Any],
        tokens: list[str],
    ) -> aiohttp.web.StreamResponse:
        """Stream one event for each token, then the end mark."""
        resp = aiohttp.web.StreamResponse()
        resp.content_type = "text/event-stream"
        await resp.prepare(request)
        for token in tokens:
            await self._generate_token()
            chunk = make_chunk(body["model"], token)
            await resp.write(b"data: " + json.dumps(chunk).encode() + b"\n\n")
        await resp.write(b"data: [DONE]\n\n")
        await resp.write_eof()
        return resp

    async def _handle_load(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Respond with the engine's load."""
        return aiohttp.web.json_response({"running": self.running, "waiting": 0})

    async def _handle_cache_events(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        """Respond with the cache events after a number; every seventh is missing."""
        after = int(request.query.get("after", "0"))
        rows = [e for e in self.events[after:] if int(e["sequence"]) % 7]
        return aiohttp.web.json_response(rows)

    async def _handle_order(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Accept an order; refuse an older fencing token if this engine checks them."""
        order = msgspec.json.decode(await request.read(), type=external.TargetOrder)
        if self.checks_fences and order.fence < self.fence:
            return aiohttp.web.Response(status=409, text="old fence\n")
        self.fence = max(self.fence, order.fence)
        self.orders.append(order)
        return aiohttp.web.Response(text="done\n")

    def find_map_version(self, step: int) -> int:
        """Return the map version for a step under the current order.

        The result is 0 if the engine may not run the step, or has not loaded the map.
        """
        if step > self.steps_order.last_step:
            return 0
        version = 0
        for first_step, map_version in self.steps_order.maps:
            if first_step <= step:
                version = map_version
        return version if version in self.loaded_maps else 0

    async def _handle_steps(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Respond with the current steps order, the last step and the loaded maps."""
        state = external.StepsState(self.steps_order, self.ran_step, self.loaded_maps)
        return aiohttp.web.Response(body=msgspec.json.encode(state))

    async def _handle_steps_order(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        """Accept a steps order; refuse an older epoch if this engine checks fences."""
        order = msgspec.json.decode(await request.read(), type=external.StepsOrder)
        if self.checks_fences and order.epoch < self.steps_order.epoch:
            return aiohttp.web.Response(status=409, text="old epoch\n")
        self.steps_order = order
        return aiohttp.web.Response(text="done\n")

    async def _handle_map_load(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        """Load a map's weights after ``map_load_s`` seconds.

        It responds with status 503 while ``load_failures_left`` is not 0.
        """
        await asyncio.sleep(self.map_load_s)
        if self.load_failures_left > 0:
            self.load_failures_left -= 1
            return aiohttp.web.Response(status=503, text="weight store limit\n")
        self.loaded_maps |= {int(request.match_info["version"])}
        return aiohttp.web.Response(text="done\n")

    async def _handle_cache_export(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        """Respond with the KV cache of a prefix."""
        return aiohttp.web.Response(body=request.match_info["prefix"].encode() * 16)

    async def _handle_cache_import(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        """Store the KV cache of a prefix."""
        await request.read()
        self.cache[request.match_info["prefix"]] = True
        return aiohttp.web.Response(text="done\n")


def make_completion(call_id: str, model: str, text: str) -> dict[str, object]:
    """Return the body of a chat completion that is not streamed."""
    return {
        "id": f"chatcmpl-{call_id}",
        "object": "chat.completion",
        "created": 0,
        "model": model,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "stop",
            }
        ],
        "usage": {"prompt_tokens": 1, "completion_tokens": 1, "total_tokens": 2},
    }


def make_chunk(model: str, token: str) -> dict[str, object]:
    """Return the body of a streamed event with one token."""
    return {
        "id": "chatcmpl-stream",
        "object": "chat.completion.chunk",
        "created": 0,
        "model": model,
        "choices": [{"index": 0, "delta": {"content": token}, "finish_reason": None}],
    }
