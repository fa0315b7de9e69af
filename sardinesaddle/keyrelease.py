"""Asks the previous owner of an opaque key to release it, over a short connection."""

import asyncio
import secrets
import typing

from sardinesaddle import external, handshake, keys, link, wire

RELEASE_TIMEOUT_S: typing.Final = 2.0


class ReleaseClient:
    """Connects to previous owners of keys and requests their release."""

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
    ) -> wire.KeyReleaseReply | None:
        """Return the owner's reply, or None if it is unknown or did not reply."""
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
            conn.close("release request finished")


class ReleaseRequest(link.LinkOwner):
    """One release request on its own link; ``result`` is set on reply or loss."""

    def __init__(self, loop: asyncio.AbstractEventLoop, key: keys.OpaqueKey) -> None:
        self._key = key
        self.result: asyncio.Future[wire.KeyReleaseReply | None] = loop.create_future()

    def on_open(self, opened: link.Link) -> None:
        """Send the release request."""
        key = self._key
        opened.send(wire.KeyReleaseRequest(1, key.account, key.service, key.text))

    def on_message(self, current: link.Link, msg: wire.Message) -> None:
        """Store the reply."""
        if isinstance(msg, wire.KeyReleaseReply) and not self.result.done():
            self.result.set_result(msg)

    def on_closed(self, closed: link.Link, reason: str) -> None:
        """Treat a lost connection as no reply."""
        if not self.result.done():
            self.result.set_result(None)

    def make_heartbeat(self) -> wire.Heartbeat:
        """Return an empty heartbeat, since this side runs no calls."""
        return wire.Heartbeat(0, 0, False, 0, 0, 0)

    def is_busy(self, current: link.Link) -> bool:
        """Return True: the link is open only while a reply is awaited."""
        return True
