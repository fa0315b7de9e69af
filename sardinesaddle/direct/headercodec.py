"""How callers and targets are spoken to, as far as the request path needs it.

The platform's names of headers stay behind this interface.
"""

import abc
import dataclasses

Headers = list[tuple[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a caller states of its request; times are in seconds.

    ``output_hint`` is the caller's estimate of output tokens, ``max_output`` their
    bound.
    """

    attempt_id: str
    timeout_s: float | None
    api_key: str | None
    prompt_tokens: int
    max_output_tokens: int
    output_tokens_hint: int | None
    last_event_id: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamMetadata:
    """What an entry states when it sends a request to a target."""

    target: str
    remaining_s: float
    account: str | None
    last_event_id: int | None
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What the head of a target's answer states beyond its status."""

    was_not_run: bool
    is_wrong_target: bool
    is_signed: bool


class HeaderCodec(abc.ABC):
    """Reads and writes headers."""

    # The header with the attempt's identifier, which targets echo.
    attempt_id_header: str

    @abc.abstractmethod
    def parse_request_headers(self, headers: Headers) -> RequestMetadata:
        """Return what a caller states."""

    @abc.abstractmethod
    def make_upstream_headers(
        self, headers: Headers, terms: UpstreamMetadata
    ) -> Headers:
        """Return a caller's end-to-end headers with the entry's own set."""

    @abc.abstractmethod
    def parse_response_headers(self, status: int, headers: Headers) -> ResponseMetadata:
        """Return what a target states; names of headers are in lower case."""
