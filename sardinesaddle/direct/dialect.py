"""How callers and targets are spoken to, as far as the request path needs it.

The platform's names of headers stay behind this interface.
"""

import abc
import dataclasses

Headers = list[tuple[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerTerms:
    """What a caller states of its request; times are in seconds.

    ``output_hint`` is the caller's estimate of output tokens, ``max_output`` their
    bound.
    """

    ident: str
    patience_s: float | None
    key: str | None
    prompt_tokens: int
    max_output: int
    output_hint: int | None
    last_event: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class SendTerms:
    """What an entry states when it sends a request to a target."""

    target: str
    left_s: float
    account: str | None
    last_event: int | None
    urgency: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerTerms:
    """What the head of a target's answer states beyond its status."""

    is_not_run: bool
    is_misplaced: bool
    is_signed: bool


class Dialect(abc.ABC):
    """Reads and writes headers."""

    # The header with the attempt's identifier, which targets echo.
    ident_header: str

    @abc.abstractmethod
    def read_request(self, headers: Headers) -> CallerTerms:
        """Return what a caller states."""

    @abc.abstractmethod
    def write_request(self, headers: Headers, terms: SendTerms) -> Headers:
        """Return a caller's end-to-end headers with the entry's own set."""

    @abc.abstractmethod
    def read_answer(self, status: int, headers: Headers) -> AnswerTerms:
        """Return what a target states; names of headers are in lower case."""
