"""Interface that parses and builds the HTTP headers of the request path.

The platform's header names are known only to its implementation.
"""

import abc
import dataclasses

Headers = list[tuple[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Values from the headers of a caller's request; times are in seconds.

    ``output_tokens_hint`` is the caller's estimate of the number of output tokens,
    ``max_output_tokens`` their limit. ``last_event_id`` is the last event of a stream
    that the caller received. ``prompt_parts`` identifies the parts of the prompt that
    the request shares with others, in order.
    """

    attempt_id: str
    timeout_s: float | None
    api_key: str | None
    prompt_tokens: int
    max_output_tokens: int
    output_tokens_hint: int | None
    last_event_id: int | None
    prompt_parts: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamMetadata:
    """Values that an entry adds to the headers of a request to a target."""

    target: str
    remaining_s: float
    account: str | None
    last_event_id: int | None
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Values from the headers of a target's response.

    ``was_not_run`` is set if the target did not run the request, ``is_wrong_target``
    if it is not the target that the request names, and ``is_signed`` if the response
    has the target's signature, and ``is_leaving`` if the target states that it leaves.
    ``rate_limit`` is how many requests a second the target
    takes from all entries together, None if it states no limit. ``invalid_rate_limit``
    is what it states instead of a number, None if it does not. ``rest_s`` is for how
    long the target wants nothing from this entry, None if it did not ask for that, and
    ``invalid_rest`` what it states instead of a number. ``cold_left_s`` is for how long
    the target is still cold, and ``invalid_cold`` what it states instead of a number.
    """

    was_not_run: bool
    is_wrong_target: bool
    is_signed: bool
    is_leaving: bool = False
    rate_limit: float | None = None
    invalid_rate_limit: str | None = None
    rest_s: float | None = None
    invalid_rest: str | None = None
    cold_left_s: float | None = None
    invalid_cold: str | None = None


class HeaderCodec(abc.ABC):
    """Parses and builds headers."""

    # Name of the header with the attempt id, which targets echo.
    attempt_id_header: str

    @abc.abstractmethod
    def parse_request_headers(self, headers: Headers) -> RequestMetadata:
        """Return the values in the headers of a caller's request."""

    @abc.abstractmethod
    def make_upstream_headers(
        self, headers: Headers, metadata: UpstreamMetadata
    ) -> Headers:
        """Return a caller's end-to-end headers and those that the entry sets."""

    @abc.abstractmethod
    def parse_response_headers(self, status: int, headers: Headers) -> ResponseMetadata:
        """Return the values in a target's response; header names are in lower case."""
