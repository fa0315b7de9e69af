"""Test harness: runs a small deployment in this process and calls it over HTTP."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import json
import typing

import aiohttp

from sardinesaddle import build
from sardinesaddle.standins import deployment, loopdriver

SMALL_SHAPE: typing.Final = deployment.Shape(
    "small",
    ("one", "two"),
    "sermon-text",
    "summaries",
    3,
    "ledger",
    2,
    ("alice", "bob"),
)


@dataclasses.dataclass(slots=True)
class Reply:
    """The response that a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> typing.Any:
        """The body parsed as JSON."""
        return json.loads(self.body)


class Caller:
    """An HTTP client of a deployment's entries."""

    def __init__(self, dep: deployment.Deployment) -> None:
        self.dep = dep
        self.session = build.make_session()

    async def send_request(
        self,
        method: str,
        path: str,
        body: object = None,
        entry: int = 0,
        account: str = "alice",
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send a request with an account's token to an entry."""
        token = deployment.make_token(account)
        all_headers = {"Authorization": f"Bearer {token}", **(headers or {})}
        async with self.session.request(
            method,
            self.dep.get_entry_url(entry) + path,
            data=None if body is None else json.dumps(body).encode(),
            headers=all_headers,
            timeout=aiohttp.ClientTimeout(total=None),
        ) as resp:
            data = await resp.read()
            return Reply(resp.status, dict(resp.headers), data)

    async def send_chat(
        self,
        text: str,
        stream: bool = False,
        max_tokens: int = 8,
        entry: int = 0,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send a chat completion request."""
        body = make_chat_body(text, stream, max_tokens)
        return await self.send_request(
            "POST", "/v1/chat/completions", body, entry, headers=headers
        )

    async def mint_key(self, service: str = "ledger", entry: int = 0) -> str:
        """Request an idempotency key for a service from an entry."""
        reply = await self.send_request("POST", "/v1/keys", {"service": service}, entry)
        assert reply.status == 201, reply.body
        key: str = reply.json["key"]
        return key

    async def send_keyed(
        self, key: str, call_id: str, entry: int = 0, deadline_ms: int = 5000
    ) -> Reply:
        """Send a keyed call, which must run at most once, to the plain service."""
        headers = {
            "Idempotency-Key": key,
            "X-Call-Id": call_id,
            "X-Deadline-Ms": str(deadline_ms),
        }
        return await self.send_request(
            "POST", "/ledger/x", {"n": 1}, entry, headers=headers
        )


def make_chat_body(
    text: str, stream: bool = False, max_tokens: int = 8
) -> dict[str, object]:
    """Return the body of a chat completion request."""
    return {
        "model": "sermon-text",
        "messages": [{"role": "user", "content": text}],
        "max_tokens": max_tokens,
        "stream": stream,
    }


async def wait_until(
    condition: collections.abc.Callable[[], bool], timeout_s: float = 30.0
) -> None:
    """Poll until a condition holds; fail after ``timeout_s`` of the loop's clock."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while not condition():
        assert loop.time() < deadline, f"not true within {timeout_s} s"
        await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def run_deployment(
    loop_driver: loopdriver.LoopDriver | None = None,
    shape: deployment.Shape = SMALL_SHAPE,
    **kwargs: typing.Any,
) -> collections.abc.AsyncIterator[Caller]:
    """Run a deployment during a block, which begins once every entry is ready."""
    dep = deployment.Deployment(shape, loop_driver=loop_driver, **kwargs)
    await dep.start()
    caller = Caller(dep)
    try:
        await wait_until(dep.is_ready)
        yield caller
    finally:
        await caller.session.close()
        await dep.stop()


Scenario = collections.abc.Callable[
    [Caller], collections.abc.Coroutine[typing.Any, typing.Any, None]
]


def run_scenario(scenario: Scenario, **kwargs: typing.Any) -> None:
    """Run a scenario on a virtual clock, with each process on its own event loop.

    The keyword arguments are passed on to the deployment.
    """
    loop_driver = loopdriver.LoopDriver(is_clock_virtual=True)

    async def main() -> None:
        async with run_deployment(loop_driver, **kwargs) as caller:
            await scenario(caller)

    loop_driver.run(main())
