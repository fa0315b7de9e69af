"""Mutual authentication of a new connection by a shared secret.

The connecting side sends a nonce. The accepting side replies with its own nonce and a
MAC over both, and the connecting side replies with a MAC of its own. The MACs also
cover the role, names, incarnations and the protocol version, so a recorded handshake
cannot be replayed, reflected or used with another peer. The secret is never sent.
"""

import dataclasses
import hashlib
import hmac
import typing

import msgspec

from sardinesaddle import wire

NONCE_BYTES: typing.Final = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Identity of the authenticated peer.

    ``generation`` counts the peer's connections to this process; it is 0 at the
    connecting side.
    """

    name: str
    incarnation: int
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class HandshakeFault:
    """Returned if the handshake fails; ``reason`` also says what to check."""

    reason: str


def compute_proof(
    secret: bytes,
    role: str,
    hello: wire.Hello,
    nonce: bytes,
    name: str,
    server_incarnation: int,
) -> bytes:
    """Return one side's HMAC-SHA256 over all values that were exchanged.

    Both sides must encode the same values in the same order.
    """
    text = msgspec.msgpack.encode((role, hello, nonce, name, server_incarnation))
    return hmac.new(secret, text, hashlib.sha256).digest()


def check_version(version: int) -> HandshakeFault | None:
    """Return a fault if the peer uses another protocol version."""
    if version == wire.PROTOCOL_VERSION:
        return None
    return HandshakeFault(
        f"the peer uses protocol version {version}, this process version"
        f" {wire.PROTOCOL_VERSION}; run the same release on both"
    )


class ClientHandshake:
    """The connecting side of a handshake."""

    __slots__ = ("_expected_name", "_secret", "hello")

    def __init__(self, secret: bytes, hello: wire.Hello, expected_name: str) -> None:
        self._secret = secret
        self.hello = hello
        self._expected_name = expected_name

    def handle_welcome(
        self, msg: wire.Message
    ) -> tuple[wire.Proof, Peer] | HandshakeFault:
        """Verify the reply to ``hello``; return this side's proof and the peer."""
        if isinstance(msg, wire.Rejected):
            return HandshakeFault(f"the peer refused the handshake: {msg.reason}")
        if not isinstance(msg, wire.Welcome):
            return HandshakeFault(
                f"expected a Welcome message, got {type(msg).__name__}"
            )
        fault = check_version(msg.version)
        if fault is not None:
            return fault
        args = (self.hello, msg.nonce, msg.name, msg.incarnation)
        expected = compute_proof(self._secret, "server", *args)
        if not hmac.compare_digest(expected, msg.proof):
            return HandshakeFault("the peer holds another secret; check 'secret_file'")
        if self._expected_name and msg.name != self._expected_name:
            return HandshakeFault(
                f"expected peer {self._expected_name!r}, got {msg.name!r};"
                " the host list may be out of date"
            )
        proof = compute_proof(self._secret, "client", *args)
        return wire.Proof(proof), Peer(msg.name, msg.incarnation, 0)


class ServerHandshake:
    """The accepting side of a handshake."""

    __slots__ = ("_hello", "_incarnation", "_name", "_nonce", "_secret")

    def __init__(
        self, secret: bytes, name: str, incarnation: int, nonce: bytes
    ) -> None:
        self._secret = secret
        self._name = name
        self._incarnation = incarnation
        self._nonce = nonce
        self._hello: wire.Hello | None = None

    def handle_hello(self, msg: wire.Message) -> wire.Welcome | HandshakeFault:
        """Check the first message; return the reply to send."""
        if not isinstance(msg, wire.Hello):
            return HandshakeFault(f"expected a Hello message, got {type(msg).__name__}")
        fault = check_version(msg.version)
        if fault is not None:
            return fault
        self._hello = msg
        proof = compute_proof(
            self._secret, "server", msg, self._nonce, self._name, self._incarnation
        )
        return wire.Welcome(
            wire.PROTOCOL_VERSION, self._name, self._incarnation, self._nonce, proof
        )

    def handle_proof(self, msg: wire.Message) -> Peer | HandshakeFault:
        """Verify the connecting side's proof; return the peer."""
        hello = self._hello
        if hello is None or not isinstance(msg, wire.Proof):
            return HandshakeFault(f"expected a Proof message, got {type(msg).__name__}")
        expected = compute_proof(
            self._secret, "client", hello, self._nonce, self._name, self._incarnation
        )
        if not hmac.compare_digest(expected, msg.proof):
            return HandshakeFault("the peer holds another secret; check 'secret_file'")
        return Peer(hello.name, hello.incarnation, hello.generation)
