"""HTTP server of the readiness check and of ``/metrics``.

It answers GET requests one after the other and parses them with httptools, so that a
sidecar needs no web framework. A caller that sends a request before it has read the
response to the one before is cut off: responses it never reads would fill the memory.
"""

import abc
import asyncio
import typing
import urllib.parse

import httptools
import loguru

from sardinesaddle.direct import nodelog, nodemetrics

IDLE_TIMEOUT_S: typing.Final = 75.0  # of a connection between two requests
MAX_REQUEST_BYTES: typing.Final = 16 * 1024
REASONS: typing.Final = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    503: "Service Unavailable",
}
EXPLAIN_PATH: typing.Final = "/explain"


class Checked(abc.ABC):
    """A process whose readiness is asked for."""

    @property
    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Whether the process may be sent work."""

    def explain(self, query: dict[str, str]) -> tuple[int, bytes]:
        """Return status and JSON that explain where a request would go now."""
        return 404, b'{"text": "only an entry explains requests; ask one"}'


class Connection(asyncio.Protocol):
    """One connection; it is closed when it is idle or a request is malformed."""

    def __init__(self, server: "StatusServer") -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._path = b""
        self._request_bytes = 0
        self._read_count = 0  # requests that the last read has brought

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = typing.cast("asyncio.Transport", transport)
        self._server.connections.add(self)
        self._await_request()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self._server.connections.discard(self)
        if self._idle_timer is not None:
            self._idle_timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse bytes of requests."""
        self._request_bytes += len(data)
        self._read_count = 0
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            loguru.logger.warning("event=bad_status_request reason={!r}", str(exc))
            self.close()
            return
        if self._request_bytes > MAX_REQUEST_BYTES:
            loguru.logger.warning("event=bad_status_request reason='too long'")
            self.close()

    def on_message_begin(self) -> None:
        """Begin with a request."""
        self._path = b""

    def on_url(self, url: bytes) -> None:
        """Add a part of the request's target."""
        self._path += url

    def on_message_complete(self) -> None:
        """Send the response."""
        assert self._transport is not None
        self._request_bytes = 0
        self._read_count += 1
        if self._transport.is_closing():
            return
        if self._read_count > 1 or self._transport.get_write_buffer_size():
            loguru.logger.warning("event=bad_status_request reason='pipelined'")
            self.close()
            return
        is_kept = self._parser.should_keep_alive()
        path, _, query = self._path.decode("latin-1").partition("?")
        status, head, body = self._server.respond(path, query)
        lines = [f"HTTP/1.1 {status} {REASONS[status]}"]
        lines += [f"{name}: {value}" for name, value in head.items()]
        lines.append(f"Content-Length: {len(body)}")
        if not is_kept:
            lines.append("Connection: close")
        text = "\r\n".join(lines) + "\r\n\r\n"
        self._transport.write(text.encode("latin-1") + body)
        if is_kept:
            self._await_request()
        else:
            self._transport.close()

    def _await_request(self) -> None:
        """Start the idle time anew."""
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        loop = asyncio.get_running_loop()
        self._idle_timer = loop.call_later(IDLE_TIMEOUT_S, self.close)

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()


class StatusServer:
    """Serves the readiness of a node, and its metrics."""

    def __init__(
        self,
        node: Checked,
        node_metrics: nodemetrics.NodeMetrics,
        sink: nodelog.BoundedSink,
    ) -> None:
        self._node = node
        self._metrics = node_metrics
        self._sink = sink
        self._servers: list[asyncio.Server] = []
        self.connections: set[Connection] = set()

    async def listen(self, host: str, port: int) -> None:
        """Start to listen on an address."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: Connection(self), host, port)
        self._servers.append(server)

    def list_ports(self) -> list[int]:
        """Return the ports that it listens on."""
        return [
            sock.getsockname()[1] for server in self._servers for sock in server.sockets
        ]

    def respond(self, path: str, query: str = "") -> tuple[int, dict[str, str], bytes]:
        """Return the metrics at ``/metrics``, the readiness as status elsewhere.

        ``EXPLAIN_PATH`` explains the request that the query describes.
        """
        if path == EXPLAIN_PATH:
            values = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
            status, body = self._node.explain(values)
            return status, {"Content-Type": "application/json"}, body
        if path == "/metrics":
            self._metrics.set_dropped_log_lines(self._sink.dropped)
            body, head = self._metrics.render()
            return 200, head, body
        return 200 if self._node.is_ready else 503, {}, b""

    async def stop(self) -> None:
        """Stop listening on all addresses, and close the connections."""
        for server in self._servers:
            server.close()
        for conn in list(self.connections):
            conn.close()
