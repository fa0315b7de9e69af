"""Spans of each hop, with W3C trace context, exported without threads.

The OpenTelemetry SDK creates the spans. Its batch processor would start a thread.
``SpanCollector`` therefore only buffers finished spans, and an asyncio task exports
them once a second, as OTLP over HTTP or to a file. A full buffer drops its oldest
spans and counts them.
"""

import asyncio
import collections
import collections.abc
import json
import pathlib
import re
import secrets
import typing

import aiohttp
import loguru
import opentelemetry.context
import opentelemetry.sdk.resources
import opentelemetry.sdk.trace
import opentelemetry.trace
from opentelemetry.exporter.otlp.proto.common import trace_encoder

EXPORT_PERIOD_S: typing.Final = 1.0
EXPORT_TIMEOUT_S: typing.Final = 5.0
MAX_BUFFERED_SPANS: typing.Final = 2048
TRACEPARENT_PATTERN: typing.Final = re.compile(
    r"\A[0-9a-f]{2}-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})\Z"
)
SAMPLED_FLAG: typing.Final = 1


class SpanCollector(opentelemetry.sdk.trace.SpanProcessor):
    """Buffers finished spans until they are exported."""

    def __init__(self) -> None:
        self.spans: collections.deque[opentelemetry.sdk.trace.ReadableSpan] = (
            collections.deque(maxlen=MAX_BUFFERED_SPANS)
        )
        self.dropped = 0

    def on_end(self, span: opentelemetry.sdk.trace.ReadableSpan) -> None:
        """Buffer a finished span; a full buffer drops its oldest one."""
        if len(self.spans) == MAX_BUFFERED_SPANS:
            self.dropped += 1
        self.spans.append(span)

    def pop_finished(self) -> list[opentelemetry.sdk.trace.ReadableSpan]:
        """Return all finished spans and clear the buffer."""
        spans = list(self.spans)
        self.spans.clear()
        return spans


class Span:
    """A span of one hop; if it is not recorded, it only carries the trace context.

    ``traceparent`` is the header value for the next hop.
    """

    __slots__ = ("_otel_span", "traceparent")

    def __init__(
        self, otel_span: opentelemetry.trace.Span | None, traceparent: str
    ) -> None:
        self._otel_span = otel_span
        self.traceparent = traceparent

    def set_attribute(self, name: str, value: str | int | float | bool) -> None:
        """Set an attribute, if the span is recorded."""
        if self._otel_span is not None:
            self._otel_span.set_attribute(name, value)

    def end(self) -> None:
        """End the span, which passes it to the collector."""
        if self._otel_span is not None:
            self._otel_span.end()


class Tracer:
    """Starts spans; ``is_recording`` is False if no destination is configured."""

    def __init__(self, role: str, name: str, is_recording: bool) -> None:
        self.collector = SpanCollector()
        self._otel_tracer: opentelemetry.trace.Tracer | None = None
        if is_recording:
            resource = opentelemetry.sdk.resources.Resource(
                {"service.name": f"sardinesaddle-{role}", "service.instance.id": name}
            )
            provider = opentelemetry.sdk.trace.TracerProvider(
                resource=resource, shutdown_on_exit=False
            )
            provider.add_span_processor(self.collector)
            self._otel_tracer = provider.get_tracer("sardinesaddle")

    def start(self, name: str, traceparent: str) -> Span:
        """Start a child span of ``traceparent``, or a new trace if it is not valid."""
        match = TRACEPARENT_PATTERN.match(traceparent)
        if self._otel_tracer is None:
            return Span(None, traceparent if match else make_traceparent())
        context = opentelemetry.context.Context()
        if match is not None:
            parent = opentelemetry.trace.SpanContext(
                int(match[1], 16),
                int(match[2], 16),
                is_remote=True,
                trace_flags=opentelemetry.trace.TraceFlags(SAMPLED_FLAG),
            )
            context = opentelemetry.trace.set_span_in_context(
                opentelemetry.trace.NonRecordingSpan(parent), context
            )
        span = self._otel_tracer.start_span(name, context=context)
        span_context = span.get_span_context()
        return Span(
            span, f"00-{span_context.trace_id:032x}-{span_context.span_id:016x}-01"
        )


def make_traceparent() -> str:
    """Return the trace context of a new trace without the sampled flag."""
    return f"00-{secrets.token_hex(16)}-{secrets.token_hex(8)}-00"


def render_json_lines(
    spans: collections.abc.Iterable[opentelemetry.sdk.trace.ReadableSpan],
) -> str:
    """Return finished spans as text with one JSON document on each line."""
    lines = []
    for span in spans:
        context = span.get_span_context()
        assert context is not None
        row = {
            "trace": f"{context.trace_id:032x}",
            "span": f"{context.span_id:016x}",
            "parent": f"{span.parent.span_id:016x}" if span.parent else "",
            "name": span.name,
            "start_ns": span.start_time,
            "end_ns": span.end_time,
            **dict(span.attributes or {}),
        }
        lines.append(json.dumps(row) + "\n")
    return "".join(lines)


async def export_spans(
    tracer: Tracer, session: aiohttp.ClientSession, otlp_url: str, file: str
) -> None:
    """Export finished spans once in each export period until cancelled."""
    while True:
        await asyncio.sleep(EXPORT_PERIOD_S)
        await export_finished(tracer, session, otlp_url, file)


async def export_finished(
    tracer: Tracer, session: aiohttp.ClientSession, otlp_url: str, file: str
) -> None:
    """Export the spans in the buffer.

    If the request to the OTLP receiver fails, its spans are lost.
    """
    spans = tracer.collector.pop_finished()
    if not spans:
        return
    if file:
        with pathlib.Path(file).open("a", encoding="utf-8") as out:
            out.write(render_json_lines(spans))
    if not otlp_url:
        return
    body = trace_encoder.encode_spans(spans).SerializeToString()
    headers = {"Content-Type": "application/x-protobuf"}
    timeout = aiohttp.ClientTimeout(total=EXPORT_TIMEOUT_S)
    try:
        async with session.post(
            otlp_url, data=body, headers=headers, timeout=timeout
        ) as resp:
            await resp.read()
    except (aiohttp.ClientError, OSError, TimeoutError) as exc:
        loguru.logger.warning("event=trace_export_failed exc={!r}", exc)
