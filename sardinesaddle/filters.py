"""The filter chain that a request passes at an entry before it is dispatched.

Each filter adds to the call's context or rejects the call. The order is: identify the
account, classify the service, read the idempotency key, find the limits and the
deadline, check the quarantine, admit within the concurrency limit.
"""

import abc
import json
import typing

import msgspec
import xxhash

from sardinesaddle import (
    callcontext,
    errorcodes,
    hashing,
    keys,
    limits,
    quarantine,
    table,
)

DEADLINE_HEADER: typing.Final = "X-Deadline-Ms"
KEY_HEADER: typing.Final = "Idempotency-Key"
OFFSET_HEADER: typing.Final = "X-Resume-Offset"
PREFIX_CHARS_PER_MESSAGE: typing.Final = 256
PREFIX_MESSAGES: typing.Final = 2  # messages of a prompt that count as its prefix
MIN_BUDGET_S: typing.Final = 0.001
MAX_BUDGET_S: typing.Final = 7 * 86_400.0
MODEL_PATH_PREFIX: typing.Final = "/v1/"


class Message(msgspec.Struct, frozen=True):
    """A chat message; ``content`` is text or a list of parts."""

    content: str | list[object] | None = None


class ModelBody(msgspec.Struct, frozen=True):
    """The fields of a model call's body that routing uses."""

    model: str
    messages: list[Message] = []
    prompt: str | list[object] | None = None


class Filter(abc.ABC):
    """A step of the filter chain."""

    @abc.abstractmethod
    def apply(
        self, now: float, tab: table.Table, req: callcontext.CallContext
    ) -> errorcodes.Refusal | None:
        """Update the call's context, or return the refusal."""


class IdentifyAccount(Filter):
    """Authenticates the call by its bearer token."""

    def apply(
        self, now: float, tab: table.Table, req: callcontext.CallContext
    ) -> errorcodes.Refusal | None:
        """Set the account; refuse a missing or unknown token."""
        scheme, _, token = req.get_header("Authorization").partition(" ")
        account = tab.find_account(token) if scheme.lower() == "bearer" else None
        if account is None:
            return errorcodes.Refusal(
                errorcodes.UNAUTHENTICATED, errorcodes.Ran.NOT_RUN
            )
        req.account = account
        return None


class ClassifyService(Filter):
    """Finds the service and whether the call is idempotent."""

    def apply(
        self, now: float, tab: table.Table, req: callcontext.CallContext
    ) -> errorcodes.Refusal | None:
        """Set the service, fingerprint, prompt prefix and idempotence."""
        req.fingerprint = compute_fingerprint(req)
        if req.path.startswith(MODEL_PATH_PREFIX):
            refusal = self._classify_model(tab, req)
        else:
            refusal = self._classify_plain(tab, req)
        if refusal is None and req.service is not None:
            req.is_idempotent = tab.is_idempotent(req.service, req.method)
        return refusal

    def _classify_model(
        self, tab: table.Table, req: callcontext.CallContext
    ) -> errorcodes.Refusal | None:
        """Set the service of the model that the body names, and the prompt prefix."""
        try:
            body = msgspec.json.decode(req.body, type=ModelBody)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            return errorcodes.Refusal(
                errorcodes.BAD_REQUEST, errorcodes.Ran.NOT_RUN, f"the body: {exc}"
            )
        req.service = tab.find_model_service(body.model)
        if req.service is None:
            return refuse_unknown_service(f"model {body.model!r}")
        req.prefix = hash_prompt_prefix(body)
        return None

    def _classify_plain(
        self, tab: table.Table, req: callcontext.CallContext
    ) -> errorcodes.Refusal | None:
        """Set the plain service with the longest prefix of the path."""
        req.service = tab.find_plain_service(req.path)
        if req.service is None:
            return refuse_unknown_service(f"path {req.path.partition('?')[0]!r}")
        return None


class ReadKey(Filter):
    """Reads the idempotency key, which calls that are not idempotent must have."""

    def __init__(self, secret: bytes) -> None:
        self._secret = secret

    def apply(
        self, now: float, tab: table.Table, req: callcontext.CallContext
    ) -> errorcodes.Refusal | None:
        """Set the key and the resume offset; refuse a missing or invalid key."""
        assert req.service is not None
        text = req.get_header(KEY_HEADER)
        if not text:
            if req.is_idempotent:
                return None
            return errorcodes.Refusal(errorcodes.KEY_REQUIRED, errorcodes.Ran.NOT_RUN)
        parsed = keys.parse_key(self._secret, req.account, req.service.service, text)
        if isinstance(parsed, errorcodes.Refusal):
            return parsed
        req.key = parsed
        req.key_text = text
        return self._read_offset(req)

    def _read_offset(self, req: callcontext.CallContext) -> errorcodes.Refusal | None:
        """Set the offset in bytes at which the caller resumes the answer to its key."""
        text = req.get_header(OFFSET_HEADER)
        if not text:
            return None
        if not text.isascii() or not text.isdigit() or len(text) > 12:
            return errorcodes.Refusal(
                errorcodes.BAD_REQUEST,
                errorcodes.Ran.NOT_RUN,
                f"{OFFSET_HEADER} must be a number of bytes",
            )
        req.offset = int(text)
        return None


class SetDeadline(Filter):
    """Finds the limit row and sets the deadline.

    The caller's header, if present, replaces the row's deadline.
    """

    def __init__(self, place: str) -> None:
        self._place = place

    def apply(
        self, now: float, tab: table.Table, req: callcontext.CallContext
    ) -> errorcodes.Refusal | None:
        """Set the limit row and the deadline.

        Refuse an account without a limit row, and a deadline that is too short.
        """
        assert req.service is not None
        name = req.service.service
        req.limit = tab.find_limit(name, req.account, self._place)
        if req.limit is None:
            return errorcodes.Refusal(
                errorcodes.NOT_ALLOWED,
                req.ran_before_sending,
                f"account {req.account!r}, service {name!r}",
            )
        budget_s = req.limit.deadline_s
        text = req.get_header(DEADLINE_HEADER)
        if text:
            if not text.isascii() or not text.isdigit() or len(text) > 12:
                return errorcodes.Refusal(
                    errorcodes.BAD_REQUEST,
                    errorcodes.Ran.NOT_RUN,
                    f"{DEADLINE_HEADER} must be a number of milliseconds",
                )
            budget_s = int(text) / 1000.0
        if budget_s < MIN_BUDGET_S:
            return errorcodes.Refusal(
                errorcodes.DEADLINE_UNREACHABLE, req.ran_before_sending
            )
        req.deadline_at = req.arrived_at + min(budget_s, MAX_BUDGET_S)
        return None


class CheckQuarantine(Filter):
    """Refuses a request that crashed the targets that ran it."""

    def __init__(self, records: quarantine.Quarantine) -> None:
        self._quarantine = records

    def apply(
        self, now: float, tab: table.Table, req: callcontext.CallContext
    ) -> errorcodes.Refusal | None:
        """Refuse a quarantined call; mark a suspect to be run alone."""
        verdict = self._quarantine.get_verdict(now, req.fingerprint)
        req.is_suspect = verdict is quarantine.Verdict.ALONE
        if verdict is not quarantine.Verdict.REFUSED:
            return None
        return errorcodes.Refusal(
            errorcodes.QUARANTINED,
            req.ran_before_sending,
            "",
            self._quarantine.compute_remaining_s(now, req.fingerprint),
        )


class Admit(Filter):
    """Enforces the account's limit on concurrent calls."""

    def __init__(self, limiter: limits.ConcurrencyLimiter) -> None:
        self._limiter = limiter

    def apply(
        self, now: float, tab: table.Table, req: callcontext.CallContext
    ) -> errorcodes.Refusal | None:
        """Admit or refuse the call; the entry releases an admitted call at its end."""
        assert req.limit is not None
        return self._limiter.admit(req.account, req.limit, req.ran_before_sending)


def refuse_unknown_service(subject: str) -> errorcodes.Refusal:
    """Return the refusal of a call whose model, path or service is unknown."""
    return errorcodes.Refusal(
        errorcodes.NO_SERVICE, errorcodes.Ran.NOT_RUN, f"{subject} is not in the table"
    )


def compute_fingerprint(req: callcontext.CallContext) -> int:
    """Return a 63-bit hash of method, path and body."""
    digest = xxhash.xxh64(f"{req.method} {req.path}\0".encode())
    digest.update(req.body)
    return digest.intdigest() >> 1


def hash_prompt_prefix(body: ModelBody) -> int:
    """Return a hash of the model and the start of the prompt, never 0.

    The first message is often an application's fixed instruction. Together with the
    second it identifies the conversation, whose prefix a target may have in its cache.
    """
    contents = [message.content for message in body.messages[:PREFIX_MESSAGES]]
    if not contents:
        contents = [body.prompt]
    parts = [c if isinstance(c, str) else json.dumps(c) for c in contents]
    text = "\0".join(part[:PREFIX_CHARS_PER_MESSAGE] for part in parts)
    return hashing.hash_text(f"{body.model}\0{text}") >> 1 | 1
