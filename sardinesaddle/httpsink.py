"""Writes answers and refusals to callers over HTTP."""

import aiohttp.web

from sardinesaddle import errorcodes, problem, relay


class HttpSink(relay.ResponseSink):
    """Writes an answer to a caller."""

    def __init__(self, request: aiohttp.web.Request, request_id: str) -> None:
        self._request = request
        self._request_id = request_id
        self._stream: aiohttp.web.StreamResponse | None = None
        self.response: aiohttp.web.StreamResponse | None = None
        self.refusal: errorcodes.Refusal | None = None

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send the status and headers."""
        stream = aiohttp.web.StreamResponse(status=status)
        stream.headers.extend(headers)
        stream.headers["X-Request-Id"] = self._request_id
        self._stream = stream
        self.response = stream
        await stream.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Send body bytes; wait while the caller does not read."""
        assert self._stream is not None
        await self._stream.write(data)

    async def finish(
        self, status: int, headers: list[tuple[str, str]], data: bytes
    ) -> None:
        """Send the whole answer, or the end of one that has begun."""
        if self._stream is not None:
            if data:
                await self._stream.write(data)
            await self._stream.write_eof()
            return
        resp = aiohttp.web.Response(status=status, body=data)
        resp.headers.popall("Content-Type", None)
        resp.headers.extend(headers)
        resp.headers["X-Request-Id"] = self._request_id
        self.response = resp

    async def refuse(self, refusal: errorcodes.Refusal) -> None:
        """Send the refusal, as an event if the answer has begun."""
        self.refusal = refusal
        if self._stream is None:
            self.response = make_problem_response(refusal, self._request_id)
            return
        content_type = self._stream.headers.get("Content-Type", "")
        if content_type.startswith(relay.EVENT_STREAM_TYPE):
            await self._stream.write(problem.render_event(refusal, self._request_id))
            await self._stream.write_eof()
            return
        # An answer without events can only be cut, so that it is not taken as whole.
        if self._request.transport is not None:
            self._request.transport.abort()


def make_problem_response(
    refusal: errorcodes.Refusal, request_id: str
) -> aiohttp.web.Response:
    """Return the response for a refusal."""
    headers = problem.render_headers(refusal)
    headers["X-Request-Id"] = request_id
    return aiohttp.web.Response(
        status=refusal.code.status,
        body=problem.render_document(refusal, request_id),
        headers=headers,
    )
