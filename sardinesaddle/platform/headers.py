"""The platform's headers, read and written."""

import typing

from sardinesaddle.direct import headercodec

# One caller's attempt; echoed by the target.
ATTEMPT_ID: typing.Final = "Attempt-Id"
# Milliseconds that the caller still waits; the target stops work after them.
DEADLINE: typing.Final = "Deadline-Ms"
# The target that is meant; any other one at the address refuses with 421.
EXPECTED_TARGET: typing.Final = "Expect-Instance"
# The client account; set by the entry alone.
ACCOUNT: typing.Final = "Tenant"
# Present if the target did not run the request.
NOT_RUN: typing.Final = "Not-Executed"
# The target's signature of its answer.
SIGNATURE: typing.Final = "Server-Stamp"
# The last event that the caller has; the target goes on after it.
LAST_EVENT: typing.Final = "Last-Event-Id"
# Urgency of a request at an engine, from 0, the first, to 9.
URGENCY: typing.Final = "Request-Priority"
# The caller's estimate of output tokens.
LENGTH_HINT: typing.Final = "Length-Hint"
# Prompt tokens and the greatest number of output tokens, "P,O".
TOKENS: typing.Final = "Token-Usage"

STATUS_MISDIRECTED: typing.Final = 421

# Set by the entry whatever the caller sent; the key never reaches a target.
_SET_BY_ENTRY: typing.Final = frozenset(
    {"authorization", "deadline-ms", "expect-instance", "tenant", "request-priority"}
)


def parse_number(text: str | None) -> int | None:
    """Return a whole number that is not negative, or None."""
    text = (text or "").strip()
    return int(text) if text.isdigit() and text.isascii() else None


class PlatformDialect(headercodec.HeaderCodec):
    """The platform's names."""

    attempt_id_header = ATTEMPT_ID

    def parse_request_headers(
        self, headers: headercodec.Headers
    ) -> headercodec.RequestMetadata:
        """Return what a caller states."""
        values = {name.lower(): value for name, value in headers}
        scheme, _, key = values.get("authorization", "").partition(" ")
        has_key = scheme.lower() == "bearer" and bool(key.strip())
        prompt, _, output = values.get(TOKENS.lower(), "").partition(",")
        deadline_ms = parse_number(values.get(DEADLINE.lower()))
        return headercodec.RequestMetadata(
            attempt_id=values.get(ATTEMPT_ID.lower(), ""),
            timeout_s=None if deadline_ms is None else deadline_ms / 1000.0,
            api_key=key.strip() if has_key else None,
            prompt_tokens=parse_number(prompt) or 0,
            max_output_tokens=parse_number(output) or 0,
            output_tokens_hint=parse_number(values.get(LENGTH_HINT.lower())),
            last_event_id=parse_number(values.get(LAST_EVENT.lower())),
        )

    def make_upstream_headers(
        self, headers: headercodec.Headers, metadata: headercodec.UpstreamMetadata
    ) -> headercodec.Headers:
        """Return a caller's end-to-end headers with the entry's own set."""
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
            out.append((URGENCY, str(metadata.priority)))
        return out

    def parse_response_headers(
        self, status: int, headers: headercodec.Headers
    ) -> headercodec.ResponseMetadata:
        """Return what a target states."""
        present = {name for name, _ in headers}
        return headercodec.ResponseMetadata(
            was_not_run=NOT_RUN.lower() in present or status == STATUS_MISDIRECTED,
            is_wrong_target=status == STATUS_MISDIRECTED,
            is_signed=SIGNATURE.lower() in present,
        )
