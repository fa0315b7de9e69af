"""Writes answers and refusals to callers as HTTP responses."""

import aiohttp.web

from sardinesaddle import errorcodes, problem, relay


class HttpSink(relay.ResponseSink):
    """Response sink of one HTTP request.

    ``response`` is set once a response exists, and ``refusal`` if the request was
    refused.
    """

    def __init__(self, request: aiohttp.web.BaseRequest, request_id: str) -> None:
        self._request = request
        self._request_id = request_id
        self._stream: aiohttp.web.StreamResponse | None = None
        self.response: aiohttp.web.StreamResponse | None = None
        self.refusal: errorcodes.Refusal | None = None

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Start a streamed response with this status and headers."""
        stream = aiohttp.web.StreamResponse(status=status)
        stream.headers.extend(headers)
        stream.headers["X-Request-Id"] = self._request_id
        self._stream = stream
        self.response = stream
        await stream.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Send body bytes; block while the caller does not read."""
        assert self._stream is not None
        await self._stream.write(data)

    async def finish(
        self, status: int, headers: list[tuple[str, str]], data: bytes
    ) -> None:
        """Finish a streamed response, or make a complete one."""
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
        """Make a problem response, or end a response that has already begun.

        An event stream ends with an error event; any other response is cut off.
        """
        self.refusal = refusal
        if self._stream is None:
            self.response = make_problem_response(refusal, self._request_id)
            return
        content_type = self._stream.headers.get("Content-Type", "")
        if content_type.startswith(relay.EVENT_STREAM_TYPE):
            await self._stream.write(problem.render_event(refusal, self._request_id))
            await self._stream.write_eof()
            return
        # Other answers are cut off, so that the caller does not take them as complete.
        if self._request.transport is not None:
            self._request.transport.abort()


def make_problem_response(
    refusal: errorcodes.Refusal, request_id: str
) -> aiohttp.web.Response:
    """Return the problem document for a refusal as an HTTP response."""
    headers = problem.render_headers(refusal)
    headers["X-Request-Id"] = request_id
    return aiohttp.web.Response(
        status=refusal.code.status,
        body=problem.render_document(refusal, request_id),
        headers=headers,
    )
