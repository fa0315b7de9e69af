"""Frames, handshakes and links with malformed, truncated and replayed input."""

import asyncio
import typing

import hypothesis
import hypothesis.strategies as st
import pytest

from sardinesaddle import frames, handshake, link, wire
from sardinesaddle.standins import loopdriver

SECRET = b"0123456789abcdef"
SAMPLE_MESSAGES: list[wire.Message] = [
    wire.Heartbeat(1, 2, True, 3, 4, 5),
    wire.Data(7, 0, b"some bytes"),
    wire.Refused(1, "overloaded", "not_run", "full", 100),
    wire.Submit(
        1, "s", "a", "POST", "/x", [("A", "b")], b"body", "", 1, 5, 100, 0, 10, True, 9,
        "",
    ),
]  # fmt: skip


def read_all_messages(
    reader: frames.FrameReader,
) -> list[wire.Message | frames.FrameFault]:
    """Return the messages up to the end of the input or the first fault."""
    decoded: list[wire.Message | frames.FrameFault] = []
    while (msg := reader.read_message()) is not None:
        decoded.append(msg)
        if isinstance(msg, frames.FrameFault):
            break
    return decoded


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(st.lists(st.sampled_from(SAMPLE_MESSAGES)), st.integers(1, 50))
def test_any_split_of_the_stream_gives_the_same_messages(
    msgs: list[wire.Message], size: int
) -> None:
    stream = b"".join(frames.encode_frame(msg) for msg in msgs)
    reader = frames.FrameReader(frames.MAX_FRAME_BYTES)
    decoded: list[typing.Any] = []
    for start in range(0, len(stream), size):
        reader.feed(stream[start : start + size])
        decoded += read_all_messages(reader)
    assert decoded == msgs


@hypothesis.settings(derandomize=True, deadline=None, max_examples=500)
@hypothesis.given(st.binary(max_size=200))
def test_random_bytes_give_messages_or_a_fault(data: bytes) -> None:
    reader = frames.FrameReader(frames.MAX_FRAME_BYTES)
    reader.feed(data)
    for msg in read_all_messages(reader):
        if isinstance(msg, frames.FrameFault):
            assert msg.reason


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    st.sampled_from(SAMPLE_MESSAGES), st.integers(0, 60), st.integers(0, 255)
)
def test_corrupted_byte_never_raises(
    msg: wire.Message, position: int, value: int
) -> None:
    frame = bytearray(frames.encode_frame(msg))
    frame[4 + position % (len(frame) - 4)] = value
    reader = frames.FrameReader(frames.MAX_FRAME_BYTES)
    reader.feed(bytes(frame))
    read_all_messages(reader)


def test_oversized_frame_is_rejected_before_it_is_buffered() -> None:
    reader = frames.FrameReader(1000)
    reader.feed((1001).to_bytes(4, "big"))
    fault = reader.read_message()
    assert isinstance(fault, frames.FrameFault)
    assert "over the limit of 1000" in fault.reason


def make_hello(generation: int = 1) -> wire.Hello:
    """Return the first handshake message of an entry."""
    return wire.Hello(wire.PROTOCOL_VERSION, "entry", 5, generation, b"c" * 16)


def test_handshake_authenticates_both_sides() -> None:
    server = handshake.ServerHandshake(SECRET, "t", 9, b"s" * 16)
    client = handshake.ClientHandshake(SECRET, make_hello(), "t")
    welcome = server.handle_hello(client.hello)
    assert isinstance(welcome, wire.Welcome)
    result = client.handle_welcome(welcome)
    assert not isinstance(result, handshake.HandshakeFault)
    proof, peer = result
    assert peer == handshake.Peer("t", 9, 0)
    assert server.handle_proof(proof) == handshake.Peer("entry", 5, 1)


@pytest.mark.parametrize(
    ("secret", "name", "version", "reason"),
    [
        (b"another secret!!", "t", 1, "another secret"),
        (SECRET, "u", 1, "expected peer 'u'"),
        (SECRET, "t", 2, "protocol version"),
    ],
)
def test_handshake_rejects_a_wrong_secret_name_or_version(
    secret: bytes, name: str, version: int, reason: str
) -> None:
    server = handshake.ServerHandshake(SECRET, "t", 9, b"s" * 16)
    hello = wire.Hello(version, "entry", 5, 1, b"c" * 16)
    client = handshake.ClientHandshake(secret, hello, name)
    welcome = server.handle_hello(hello)
    if isinstance(welcome, handshake.HandshakeFault):
        assert reason in welcome.reason
        return
    fault = client.handle_welcome(welcome)
    assert isinstance(fault, handshake.HandshakeFault)
    assert reason in fault.reason


def test_replayed_proof_is_rejected() -> None:
    first = handshake.ServerHandshake(SECRET, "t", 9, b"s" * 16)
    client = handshake.ClientHandshake(SECRET, make_hello(), "t")
    welcome = first.handle_hello(client.hello)
    assert isinstance(welcome, wire.Welcome)
    result = client.handle_welcome(welcome)
    assert not isinstance(result, handshake.HandshakeFault)
    second = handshake.ServerHandshake(SECRET, "t", 9, b"z" * 16)
    second.handle_hello(client.hello)
    assert isinstance(second.handle_proof(result[0]), handshake.HandshakeFault)


def test_malformed_bytes_affect_only_their_own_connection() -> None:
    from test import fleet

    async def scenario(caller: fleet.Caller) -> None:
        name = next(n for n in caller.dep.sidecars if "engine" in n)
        port = caller.dep.sidecars[name].sidecar.port
        for malformed in (b"\xff" * 64, b"\0\0\0\x05hello", b"GET / HTTP/1.1\r\n\r\n"):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(malformed)
            assert await reader.read() is not None
            writer.close()
        for number in range(6):
            assert (await caller.send_chat(f"after junk {number}")).status == 200

    fleet.run_scenario(scenario)


class RecordingOwner(link.LinkOwner):
    """A link owner that records when links open and why they close."""

    def __init__(self) -> None:
        self.close_reasons: list[str] = []
        self.opened_links = 0

    def on_open(self, opened: link.Link) -> None:
        """Count an opened link."""
        self.opened_links += 1

    def on_message(self, current: link.Link, msg: wire.Message) -> None:
        """Ignore a message."""

    def on_closed(self, closed: link.Link, reason: str) -> None:
        """Record why a link closed."""
        self.close_reasons.append(reason)

    def make_heartbeat(self) -> wire.Heartbeat:
        """Return a heartbeat without load."""
        return wire.Heartbeat(0, 0, False, 0, 0, 0)

    def is_busy(self, current: link.Link) -> bool:
        """Return False, since no request depends on a link."""
        return False


def test_connection_without_a_handshake_is_closed() -> None:
    loop_driver = loopdriver.LoopDriver(is_clock_virtual=True)

    async def main() -> None:
        owner = RecordingOwner()
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: link.Link(
                owner,
                loop,
                server=handshake.ServerHandshake(SECRET, "t", 9, b"s" * 16),
            ),
            "127.0.0.1",
            0,
        )
        port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        assert await reader.read() == b""
        assert owner.close_reasons == ["the handshake took too long"]
        writer.close()
        server.close()

    loop_driver.run(main())
