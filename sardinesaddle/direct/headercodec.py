"""Interface that parses and builds the HTTP headers of the request path.

The platform's header names are known only to its implementation.
"""

import abc
import collections.abc
import dataclasses
import typing

Headers = list[tuple[str, str]]
CONNECTION: typing.Final = "connection"
# By these a caller reads the body of a response; names are in lower case.
BODY_HEADERS: typing.Final = frozenset(
    {"content-type", "content-encoding", "content-length", "transfer-encoding"}
)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Values from the headers of a caller's request; times are in seconds.

    ``output_tokens_hint`` is the caller's estimate of the number of output tokens,
    ``max_output_tokens`` their limit. ``last_event_id`` is the last event of a stream
    that the caller received. ``prompt_parts`` identifies the parts of the prompt that
    the request shares with others, in order. ``fault`` is why the headers could be
    taken differently by a target, an empty string if they could not.
    """

    attempt_id: str
    timeout_s: float | None
    api_key: str | None
    prompt_tokens: int
    max_output_tokens: int
    output_tokens_hint: int | None
    last_event_id: int | None
    prompt_parts: tuple[str, ...] = ()
    fault: str = ""


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
    ``fault`` is why the response contradicts itself, an empty string if it does not;
    with a fault nothing that it states counts.
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
    fault: str = ""


class HeaderCodec(abc.ABC):
    """Parses and builds headers."""

    # Name of the header with the attempt id, which targets echo.
    attempt_id_header: str
    # Names in lower case of those that a response has once at most.
    single_response_headers: frozenset[str]

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


def decode_value(value: bytes) -> str:
    """Return the value of a header as text, from which ``encode_value`` restores it.

    Values may have any bytes; those that are not UTF-8 become lone surrogates.
    """
    return value.decode(errors="surrogateescape")


def encode_value(value: str) -> bytes:
    """Return the bytes of the value of a header."""
    return value.encode(errors="surrogateescape")


def is_utf8(value: str) -> bool:
    """Return whether the bytes of the value of a header are UTF-8."""
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def list_connection_options(headers: Headers) -> set[str]:
    """Return the options of a connection, and the headers that it names as its own.

    The names of ``headers`` must be in lower case.
    """
    values = [value for name, value in headers if name == CONNECTION]
    return {option.strip().lower() for v in values for option in v.split(",")}


def find_ambiguity(
    headers: Headers,
    single: collections.abc.Set[str],
    known: collections.abc.Set[str],
) -> str:
    """Return how two readers may take headers differently, or an empty string.

    One may take the first of several values, another the last, or read bytes in
    another encoding; one may drop a header that ``Connection`` names; one may take an
    underscore in a name for a hyphen. That matters for the ``known`` headers; of these,
    the ``single`` ones must not be repeated. All names must be in lower case.
    """
    seen = set()
    for name, value in headers:
        if name in single:
            if name in seen:
                return f"header {name} occurs twice"
            if not value.isascii() and not is_utf8(value):
                return f"header {name} is not UTF-8"
            seen.add(name)
        elif name == CONNECTION:
            named = known & list_connection_options([(name, value)])
            if named:
                return f"header {min(named)} is named as the connection's own"
        elif "_" in name and name.replace("_", "-") in known:
            return f"header {name!r:.40} has an underscore"
    return ""
