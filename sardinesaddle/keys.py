"""Idempotency keys: minted by an entry, or chosen by the caller (opaque).

A minted key names the only target that may run the call and the incarnation of that
target's sidecar. Its expiry is in milliseconds since that sidecar's start, on the
sidecar's own clock, so that clocks of two hosts are never compared. A message
authentication code under the shared secret keeps callers from forging keys that outlive
the journal's records.

An opaque key is the caller's own text. The target that owns it follows from a hash over
the targets that the table publishes for the service; see ``keyowners``.
"""

import base64
import dataclasses
import hashlib
import hmac
import typing

import msgspec

from sardinesaddle import errorcodes

MINTED_KEY_PREFIX: typing.Final = "sk1-"
MAC_BYTES: typing.Final = 12
MAX_KEY_CHARS: typing.Final = 255


class MintedKey(msgspec.Struct, frozen=True, array_like=True):
    """A key that names its target; ``expires_ms`` counts from that sidecar's start."""

    account: str
    service: str
    target: str
    incarnation: int
    expires_ms: int
    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class OpaqueKey:
    """A key that the caller chose; unique within its account and service."""

    account: str
    service: str
    text: str


Key = MintedKey | OpaqueKey


def compute_mac(secret: bytes, payload: bytes) -> bytes:
    """Return the truncated HMAC of a minted key's payload."""
    mac = hmac.new(secret, b"sardinesaddle key" + payload, hashlib.sha256)
    return mac.digest()[:MAC_BYTES]


def encode_key(secret: bytes, key: MintedKey) -> str:
    """Return the Idempotency-Key header value of a minted key."""
    payload = msgspec.msgpack.encode(key)
    raw = compute_mac(secret, payload) + payload
    return MINTED_KEY_PREFIX + base64.urlsafe_b64encode(raw).decode().rstrip("=")


def make_key_refusal(detail: str) -> errorcodes.Refusal:
    """Return the refusal for a key that is malformed or not valid here."""
    return errorcodes.Refusal(errorcodes.KEY_INVALID, errorcodes.Ran.NOT_RUN, detail)


def parse_key(
    secret: bytes, account: str, service: str, text: str
) -> Key | errorcodes.Refusal:
    """Parse an Idempotency-Key header value and check whose key it is.

    Text without the prefix of minted keys is an opaque key.
    """
    if not text or len(text) > MAX_KEY_CHARS or not text.isprintable():
        return make_key_refusal(
            f"a key must be 1 to {MAX_KEY_CHARS} printable characters"
        )
    if not text.startswith(MINTED_KEY_PREFIX):
        return OpaqueKey(account, service, text)
    encoded = text[len(MINTED_KEY_PREFIX) :]
    try:
        raw = base64.urlsafe_b64decode(encoded + "=" * (-len(encoded) % 4))
        key = msgspec.msgpack.decode(raw[MAC_BYTES:], type=MintedKey)
    except (ValueError, msgspec.DecodeError):
        return make_key_refusal(
            f"a key that starts with {MINTED_KEY_PREFIX!r} must be a minted one"
        )
    if not hmac.compare_digest(raw[:MAC_BYTES], compute_mac(secret, raw[MAC_BYTES:])):
        return make_key_refusal("the key was not minted by this fleet")
    if key.account != account or key.service != service:
        return make_key_refusal("the key was minted for another account or service")
    return key
