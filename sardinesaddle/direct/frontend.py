"""HTTP server of an entry for callers: aiohttp's low-level server without routing.

If a caller closes its connection, its request is cancelled, and with it the request
to the target.

While the entry drains, the callers' keep-alive connections stay open until the process
ends: aiohttp's own way of closing them leaves an idle connection open that nobody
reads. Each response asks the caller to close the connection, unless another request
was read on it already, and late requests are refused as not run.
"""

import asyncio
import collections.abc
import logging
import socket
import struct
import typing

import aiohttp.http_exceptions
import aiohttp.web
import loguru

from sardinesaddle.direct import (
    bodyreader,
    callerconnection,
    callermemory,
    catalog,
    forward,
    headercodec,
    requeststate,
    responsebuffers,
    stopdeadline,
    supervision,
)

STATUS_MALFORMED: typing.Final = 400
STATUS_TOO_LARGE: typing.Final = 413
STATUS_HEAD_TOO_LARGE: typing.Final = 431
BACKLOG: typing.Final = 1024  # connections that the kernel has accepted
RESET_ON_CLOSE: typing.Final = struct.pack("ii", 1, 0)  # linger for 0 s
SHUTDOWN_TIMEOUT_S: typing.Final = 0.1  # all requests have ended by then
WRITE_BUFFER_BYTES: typing.Final = 16 * 1024  # unsent; then the caller is waited for
WRITE_TIMEOUT_S: typing.Final = 10.0  # then a caller that does not read is cut off


class HttpResponder(requeststate.Responder):
    """Writes the response to one request through aiohttp."""

    def __init__(
        self,
        request: aiohttp.web.BaseRequest,
        closes_connection: collections.abc.Callable[[], bool],
        account: responsebuffers.BufferAccount,
    ) -> None:
        self._request = request
        self._account = account
        self._closes_connection = closes_connection
        self.response: aiohttp.web.StreamResponse | None = None

    async def _send_head(
        self, status: int, headers: headercodec.Headers, length: int | None
    ) -> None:
        """Send status and headers; without a length, the body is chunked."""
        resp = aiohttp.web.StreamResponse(status=status)
        resp.headers.clear()
        for name, value in headers:
            resp.headers.add(name, value)
        if length is not None:
            resp.content_length = length
        if self._closes_connection():
            resp.force_close()
        self.response = resp
        if self._request.transport is not None:
            self._request.transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)
        await resp.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Send part of the body; cancel the request if the caller stopped reading."""
        assert self.response is not None
        conn = bodyreader.get_connection(self._request)
        loop = asyncio.get_running_loop()
        try:
            for start in range(0, len(data), responsebuffers.READ_BYTES):
                piece = data[start : start + responsebuffers.READ_BYTES]
                conn.write_began_at = loop.time()
                async with asyncio.timeout(WRITE_TIMEOUT_S):
                    await self.response.write(piece)
                    self._count_unsent()
                    # Otherwise, it waits only after each 64 KiB.
                    await self._request.writer.drain()
        except (TimeoutError, OSError):
            self._reset()
            raise asyncio.CancelledError from None
        finally:
            conn.write_began_at = None

    def _count_unsent(self) -> None:
        """Count the bytes that the caller has not taken yet."""
        transport = self._request.transport
        if transport is not None:
            self._account.set_held(transport.get_write_buffer_size())

    async def finish(self) -> None:
        """Complete the response."""
        assert self.response is not None
        await self.response.write_eof()

    def abort(self) -> None:
        """Close the connection without completing the response.

        The caller still gets what was written, if it reads that in time.
        """
        transport = self._request.transport
        if transport is None:
            return
        if self._request.version < aiohttp.HttpVersion11:
            self._reset()
            return
        loop = asyncio.get_running_loop()
        loop.call_later(WRITE_TIMEOUT_S, transport.abort)
        transport.close()

    def _reset(self) -> None:
        """Close the connection at once; what was not sent is dropped."""
        transport = self._request.transport
        if transport is None:
            return
        if self._request.version < aiohttp.HttpVersion11:
            # Without chunks, an end in order would look like the end of the body.
            sock = transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        transport.abort()


class ServerLogHandler(logging.Handler):
    """Writes what aiohttp's server logs as one line each.

    aiohttp logs the traceback of each malformed request to standard error, which no
    rate limit bounds.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as a line."""
        exc = record.exc_info[1] if record.exc_info else None
        if isinstance(exc, aiohttp.http_exceptions.HttpProcessingError):
            # The lines below the first have the bytes, which may be a key.
            reason = exc.message.partition("\n")[0].rstrip(":")
            loguru.logger.warning(
                "event=request_malformed id= reason={!r:.160}", reason
            )
            return
        context = {"message": record.getMessage(), "exception": exc}
        supervision.log_unhandled(asyncio.get_running_loop(), context)


def make_server_logger() -> logging.Logger:
    """Return a logger for aiohttp's server that is not part of the global ones."""
    logger = logging.Logger(__name__, logging.WARNING)
    logger.addHandler(ServerLogHandler())
    return logger


class Frontend:
    """Accepts callers' requests and passes them to the forwarder."""

    def __init__(
        self,
        forwarder: forward.Forwarder,
        header_codec: headercodec.HeaderCodec,
        get_limits: typing.Callable[[], catalog.Limits],
        max_connections: int,
        memory: callermemory.CallerMemory,
        buffers: responsebuffers.ResponseBuffers,
        stop_deadline: stopdeadline.StopDeadline,
    ) -> None:
        self._buffers = buffers
        self._memory = memory
        self._stop_deadline = stop_deadline
        self._forwarder = forwarder
        self._header_codec = header_codec
        self._get_limits = get_limits
        self._server = callerconnection.CallerServer(
            self._handle,
            memory,
            get_limits,
            max_connections,
            access_log=None,
            logger=make_server_logger(),
            auto_decompress=False,
            max_line_size=64 * 1024,
            max_field_size=64 * 1024,
        )
        self._runner: aiohttp.web.ServerRunner | None = None
        # Draining: responses close their connections; later, requests are refused too.
        self.is_draining = False
        self.refuses_requests = False
        self.active_requests = 0
        self.port = 0

    @property
    def is_idle(self) -> bool:
        """Whether all requests that were read were sent their whole responses.

        What a process has not handed to the kernel when it ends is lost.
        """
        return not self.active_requests and not any(
            conn.has_unsent or conn.has_further_request
            for conn in self._server.list_connections()
        )

    async def start(self, host: str, port: int) -> None:
        """Start to listen; ``port`` is then the actual port."""
        self._runner = aiohttp.web.ServerRunner(
            self._server, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        sock = callerconnection.open_socket(host, port)
        site = aiohttp.web.SockSite(self._runner, sock, backlog=BACKLOG)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    def close_overdue(self, now: float) -> None:
        """Close connections that are idle, or without a whole head, for too long."""
        self._server.close_overdue(now)

    @property
    def closed_count(self) -> int:
        """How many connections were closed to make room for others."""
        return self._server.closed_count

    async def _handle(
        self, request: aiohttp.web.BaseRequest
    ) -> aiohttp.web.StreamResponse:
        """Read a request and forward it, or refuse it."""
        arrived_at = asyncio.get_running_loop().time()
        account = self._buffers.open_account()
        reader = bodyreader.BodyReader(request, self._memory)
        headers = [
            (name.decode(), headercodec.decode_value(value))
            for name, value in request.raw_headers
        ]
        metadata = self._header_codec.parse_request_headers(headers)
        fault = metadata.fault or find_fault(request)
        conn = bodyreader.get_connection(request)
        responder = HttpResponder(
            request,
            lambda: bool(fault) or reader.is_evicted or self._closes_connection(conn),
            account,
        )
        host = request.headers.get("Host", "").partition(":")[0]
        req = requeststate.Request(
            request.method,
            host,
            request.raw_path,
            headers,
            b"",
            arrived_at,
            metadata,
            reader.holding,
        )
        self.active_requests += 1
        try:
            if fault and not self.refuses_requests:
                loguru.logger.warning(
                    "event=request_malformed id={} reason={!r:.160}",
                    metadata.attempt_id,
                    fault,
                )
                await self._refuse(responder, metadata, STATUS_MALFORMED)
            elif status := await self._read_body(request, req, reader, responder):
                if not responder.is_started:
                    await self._refuse(responder, metadata, status)
            else:
                await self._forwarder.handle(req, responder)
        except aiohttp.web.RequestPayloadError:
            await self._refuse(responder, metadata, STATUS_MALFORMED)
            conn.force_close()
        except OSError:
            responder.abort()
        finally:
            account.set_held(0)
            reader.holding.set_held(0)
            conn.mark_idle()
            self.active_requests -= 1
        return responder.response or aiohttp.web.Response(status=500)

    async def _read_body(
        self,
        request: aiohttp.web.BaseRequest,
        req: requeststate.Request,
        reader: bodyreader.BodyReader,
        responder: HttpResponder,
    ) -> int:
        """Read the body of a request; return the status of a refusal, or 0.

        What needs no body is refused before it is read.
        """
        limits = self._get_limits()
        if reader.head_bytes > limits.max_header_bytes:
            return STATUS_HEAD_TOO_LARGE
        deadline = None
        if not request.content.is_eof():
            if self.refuses_requests:
                return requeststate.STATUS_NOT_RUN
            if (request.content_length or 0) > limits.max_body_bytes:
                return STATUS_TOO_LARGE
            match = self._forwarder.match_request(req)
            if isinstance(match, requeststate.Refusal):
                await self._forwarder.refuse(req, responder, match, None)
                return match.status
            deadline = match.deadline
        try:
            async with self._stop_deadline.timeout_at(deadline) as scope:
                body = await reader.read(scope, limits.max_body_bytes)
        except TimeoutError:
            return requeststate.STATUS_NOT_RUN
        if body is None:
            return STATUS_TOO_LARGE
        req.body = body
        return requeststate.STATUS_NOT_RUN if self.refuses_requests else 0

    def _closes_connection(self, conn: callerconnection.CallerConnection) -> bool:
        """Return whether the response to a request is the last on its connection."""
        return self.is_draining and not conn.has_further_request

    async def _refuse(
        self,
        responder: HttpResponder,
        metadata: headercodec.RequestMetadata,
        status: int,
    ) -> None:
        """Respond to a request that is not forwarded."""
        headers: headercodec.Headers = []
        if metadata.attempt_id:
            headers.append((self._header_codec.attempt_id_header, metadata.attempt_id))
        if status == requeststate.STATUS_NOT_RUN:
            headers.append(("Retry-After", f"{requeststate.RETRY_AFTER_SHORT_S:.2f}"))
        loguru.logger.info(
            "event=request id={} outcome=turned_away status={}",
            metadata.attempt_id,
            status,
        )
        await responder.send_whole(status, headers, b"")


def find_fault(request: aiohttp.web.BaseRequest) -> str:
    """Return what of a request line or body targets may take differently, or "".

    aiohttp accepts any version, and drops all transfer codings but ``chunked``.
    """
    if request.version not in (aiohttp.HttpVersion10, aiohttp.HttpVersion11):
        return f"HTTP version {request.version.major}.{request.version.minor}"
    if request.method == "CONNECT":
        return "method CONNECT"
    path = request.raw_path
    if not path.startswith("/") or "#" in path:
        return f"{path!r:.60} is no path"
    coding = request.headers.get("Transfer-Encoding")
    if coding is None:
        return ""
    if request.version < aiohttp.HttpVersion11 or coding.strip().lower() != "chunked":
        return f"transfer coding {coding!r:.40}"
    return ""
