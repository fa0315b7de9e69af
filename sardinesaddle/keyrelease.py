"""Asks the earlier home of an opaque key to release it, over a short connection."""

import asyncio
import secrets
import typing

from sardinesaddle import external, handshake, keys, link, wire

RELEASE_TIMEOUT_S: typing.Final = 2.0


class ReleaseClient:
    """Asks earlier homes to release keys, over short connections."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        secret: bytes,
        name: str,
        incarnation: int,
        hosts: external.HostSource,
    ) -> None:
        self._loop = loop
        self._secret = secret
        self._name = name
        self._incarnation = incarnation
        self._hosts = hosts

    async def request_release(
        self, owner: str, key: keys.OpaqueKey
    ) -> wire.ReleaseReply | None:
        """Return the earlier home's answer, or None if it gave none."""
        rows = await self._hosts.list_hosts()
        if isinstance(rows, external.Unavailable):
            return None
        row = next((r for r in rows if r.name == owner), None)
        if row is None:
            return None
        request = ReleaseRequest(self._loop, key)
        hello = wire.Hello(
            wire.PROTOCOL_VERSION,
            self._name,
            secrets.randbits(63),
            1,
            secrets.token_bytes(handshake.NONCE_BYTES),
        )
        client = handshake.ClientHandshake(self._secret, hello, owner)
        conn = link.Link(request, self._loop, client=client)
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                await self._loop.create_connection(lambda: conn, row.host, row.port)
                return await request.result
        except (OSError, TimeoutError):
            return None
        finally:
            conn.close("the release was asked for")


class ReleaseRequest(link.LinkOwner):
    """One question to an earlier home."""

    def __init__(self, loop: asyncio.AbstractEventLoop, key: keys.OpaqueKey) -> None:
        self._key = key
        self.result: asyncio.Future[wire.ReleaseReply | None] = loop.create_future()

    def on_open(self, opened: link.Link) -> None:
        """Send the question."""
        key = self._key
        opened.send(wire.ReleaseRequest(1, key.account, key.service, key.text))

    def on_message(self, current: link.Link, msg: wire.Message) -> None:
        """Take the answer."""
        if isinstance(msg, wire.ReleaseReply) and not self.result.done():
            self.result.set_result(msg)

    def on_closed(self, closed: link.Link, reason: str) -> None:
        """Count a lost connection as no answer."""
        if not self.result.done():
            self.result.set_result(None)

    def make_heartbeat(self) -> wire.Heartbeat:
        """Return an empty state."""
        return wire.Heartbeat(0, 0, False, 0, 0, 0)

    def is_busy(self, current: link.Link) -> bool:
        """Tell that an answer is awaited."""
        return True
