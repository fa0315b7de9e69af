"""Reads and writes the platform's HTTP headers."""

import re
import typing

from sardinesaddle.direct import headercodec

# Identifies an attempt; the target echoes it.
ATTEMPT_ID: typing.Final = "Attempt-Id"
# Milliseconds until the caller's deadline; the target stops work then.
DEADLINE: typing.Final = "Deadline-Ms"
# The intended target; any other target at the address responds with 421.
EXPECTED_TARGET: typing.Final = "Expect-Instance"
# The target that responds to a health check.
TARGET: typing.Final = "Instance-Id"
# The client account; only the entry sets it.
ACCOUNT: typing.Final = "Tenant"
# Present in a response if the target did not run the request.
NOT_RUN: typing.Final = "Not-Executed"
# The target's signature of its response.
SIGNATURE: typing.Final = "Server-Stamp"
# The last event that the caller received; the target resumes after it.
LAST_EVENT: typing.Final = "Last-Event-Id"
# Priority of a request at an engine, from 0, served first, to 9.
PRIORITY: typing.Final = "Request-Priority"
# The caller's estimate of the number of output tokens.
LENGTH_HINT: typing.Final = "Length-Hint"
# The number of prompt tokens and the maximum number of output tokens, as "P,O".
TOKENS: typing.Final = "Token-Usage"
# The parts of the prompt in order, as "ID:TOKENS,..." with hexadecimal ids. The last
# one is the request's or its session's own; requests share the others.
PROMPT_PARTS: typing.Final = "Prompt-Prefix"
# The model that a request is for.
MODEL: typing.Final = "Model"
# The version of the weights that a request is for; other targets respond with 421.
EXPECTED_VERSION: typing.Final = "Expect-Version"
# Requests a second that the target takes from all entries together.
RATE_LIMIT: typing.Final = "Server-Limit"
# "1" in each response of a target that leaves.
LEAVING: typing.Final = "Server-Leaving"
IS_LEAVING: typing.Final = "1"
# Seconds for which a target that refuses with 503 wants nothing from this entry.
REST: typing.Final = "Retry-After"
# Milliseconds for which the target is still cold.
COLD: typing.Final = "Cold-Ms"

STATUS_MISDIRECTED: typing.Final = 421
STATUS_UNAVAILABLE: typing.Final = 503
# Statuses of targets that do not run a request; others contradict ``NOT_RUN``.
NOT_RUN_STATUSES: typing.Final = frozenset({*range(400, 500), STATUS_UNAVAILABLE})
# Values with which a reader may take ``NOT_RUN`` for its opposite.
NEGATIONS: typing.Final = frozenset({"0", "false", "no"})
# Larger limits are read as this one, which no target reaches.
MAX_RATE_LIMIT: typing.Final = 1e6

# Of a longer list the parts in the middle are left out.
MAX_PROMPT_PARTS: typing.Final = 64
MAX_PART_ID_LENGTH: typing.Final = 32  # bounds records and log lines

# The caller's values of these are dropped; the API key never reaches a target.
_SET_BY_ENTRY: typing.Final = frozenset(
    {"authorization", "deadline-ms", "expect-instance", "tenant", "request-priority"}
)
# A caller's request has these once at most: the entry or the target decides on them.
_SINGLE_REQUEST_HEADERS: typing.Final = frozenset(
    name.lower()
    for name in (
        ATTEMPT_ID,
        DEADLINE,
        LAST_EVENT,
        LENGTH_HINT,
        TOKENS,
        PROMPT_PARTS,
        MODEL,
        EXPECTED_VERSION,
        "Authorization",
        "Host",
        "Content-Type",
        "Content-Length",
        "Transfer-Encoding",
    )
)
_KNOWN_REQUEST_HEADERS: typing.Final = _SINGLE_REQUEST_HEADERS | _SET_BY_ENTRY


# What surrounds values. Other blanks, such as the no-break space, belong to them.
_BLANKS: typing.Final = " \t"
_NUMBER: typing.Final = re.compile("[0-9]{1,18}")


def parse_number(text: str | None) -> int | None:
    """Parse an integer of up to 18 digits; return None if the text is anything else."""
    text = (text or "").strip(_BLANKS)
    return int(text) if _NUMBER.fullmatch(text) else None


def parse_decimal(text: str) -> float | None:
    """Parse a non-negative decimal number; return None if the text is anything else."""
    text = text.strip(_BLANKS)
    digits = text.replace(".", "", 1)
    return float(text) if digits.isdigit() and digits.isascii() else None


def parse_prompt_parts(text: str) -> tuple[str, ...]:
    """Return the ids of the parts that requests share, each once, in order.

    Entries without an id are skipped.
    """
    ids = [entry.partition(":")[0].strip().lower() for entry in text.split(",")]
    shared = list(dict.fromkeys(part_id for part_id in ids[:-1] if part_id))
    if len(shared) > MAX_PROMPT_PARTS:
        half = MAX_PROMPT_PARTS // 2
        shared = shared[:half] + shared[-half:]
    return tuple(part_id[:MAX_PART_ID_LENGTH] for part_id in shared)


def group_values(headers: headercodec.Headers) -> dict[str, list[str]]:
    """Return the values of each name, in order; names must be in lower case."""
    values: dict[str, list[str]] = {}
    for name, value in headers:
        values.setdefault(name, []).append(value)
    return values


class PlatformHeaderCodec(headercodec.HeaderCodec):
    """Converts between the platform's headers and request metadata."""

    attempt_id_header = ATTEMPT_ID
    single_response_headers = headercodec.BODY_HEADERS | {
        name.lower() for name in (ATTEMPT_ID, SIGNATURE, NOT_RUN)
    }

    def parse_request_headers(
        self, headers: headercodec.Headers
    ) -> headercodec.RequestMetadata:
        """Return the metadata in a caller's headers; invalid values are ignored."""
        lowered = [(name.lower(), value) for name, value in headers]
        values = dict(lowered)
        scheme, _, key = values.get("authorization", "").partition(" ")
        has_key = scheme.lower() == "bearer" and bool(key.strip(_BLANKS))
        prompt, _, output = values.get(TOKENS.lower(), "").partition(",")
        deadline_ms = parse_number(values.get(DEADLINE.lower()))
        return headercodec.RequestMetadata(
            attempt_id=values.get(ATTEMPT_ID.lower(), ""),
            timeout_s=None if deadline_ms is None else deadline_ms / 1000.0,
            api_key=key.strip(_BLANKS) if has_key else None,
            prompt_tokens=parse_number(prompt) or 0,
            max_output_tokens=parse_number(output) or 0,
            output_tokens_hint=parse_number(values.get(LENGTH_HINT.lower())),
            last_event_id=parse_number(values.get(LAST_EVENT.lower())),
            prompt_parts=parse_prompt_parts(values.get(PROMPT_PARTS.lower(), "")),
            fault=headercodec.find_ambiguity(
                lowered, _SINGLE_REQUEST_HEADERS, _KNOWN_REQUEST_HEADERS
            ),
        )

    def make_upstream_headers(
        self, headers: headercodec.Headers, metadata: headercodec.UpstreamMetadata
    ) -> headercodec.Headers:
        """Return a caller's end-to-end headers, with those that the entry sets."""
        dropped = _SET_BY_ENTRY
        if metadata.last_event_id is not None:
            dropped = dropped | {LAST_EVENT.lower()}
        out = [(name, value) for name, value in headers if name.lower() not in dropped]
        out.append((DEADLINE, str(max(int(metadata.remaining_s * 1000), 1))))
        out.append((EXPECTED_TARGET, metadata.target))
        if metadata.account is not None:
            out.append((ACCOUNT, metadata.account))
        if metadata.last_event_id is not None:
            out.append((LAST_EVENT, str(metadata.last_event_id)))
        if metadata.priority is not None:
            out.append((PRIORITY, str(metadata.priority)))
        return out

    def parse_response_headers(
        self, status: int, headers: headercodec.Headers
    ) -> headercodec.ResponseMetadata:
        """Return the metadata in a target's response; names must be in lower case."""
        values = group_values(headers)
        denials = [value.lower() for value in values.get(NOT_RUN.lower(), ())]
        fault = ""
        if denials and status not in NOT_RUN_STATUSES:
            fault = f"{NOT_RUN} beside status {status}"
        elif not NEGATIONS.isdisjoint(denials):
            fault = f"{NOT_RUN} with the value {denials[0]!r:.40}"
        limits = values.get(RATE_LIMIT.lower(), [])
        numbers = [parse_decimal(value) for value in limits]
        valid = [min(n, MAX_RATE_LIMIT) for n in numbers if n is not None]
        is_invalid = len(valid) < len(limits)
        rests: list[str] = []
        if status == STATUS_UNAVAILABLE:
            rests = values.get(REST.lower(), [])
        colds = values.get(COLD.lower(), [])
        valid_colds = [n for n in map(parse_decimal, colds) if n is not None]
        valid_rests = [n for n in map(parse_decimal, rests) if n is not None]
        return headercodec.ResponseMetadata(
            was_not_run=not fault and (bool(denials) or status == STATUS_MISDIRECTED),
            is_wrong_target=status == STATUS_MISDIRECTED,
            is_signed=any(values.get(SIGNATURE.lower(), ())),
            is_leaving=any(
                value.strip(_BLANKS) == IS_LEAVING
                for value in values.get(LEAVING.lower(), ())
            ),
            rate_limit=min(valid, default=None),
            invalid_rate_limit=",".join(limits) if is_invalid else None,
            rest_s=max(valid_rests, default=None),
            invalid_rest=",".join(rests) if len(valid_rests) < len(rests) else None,
            cold_left_s=max(valid_colds) / 1000.0 if valid_colds else None,
            invalid_cold=",".join(colds) if len(valid_colds) < len(colds) else None,
            fault=fault,
        )
