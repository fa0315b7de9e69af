"""Reads the head of a response, in the one form that all readers take alike.

h11 frames a response and is lenient with its head, as the standard permits: lines and
heads may end with LF or CR LF in any mixture, folded lines are joined, and any version
and most control characters pass. Another reader, or the target that wrote the head, may
find its end elsewhere, and with it another framing or other fields. A head is accepted
only if

- its lines, the blank one included, all end with CR LF, or all with LF,
- it has a field, as it otherwise may be the start of one with CR LF,
- its version is 1.0 or 1.1, and its status from 100 to 599,
- each line has a name without blanks, a colon and a value without control characters,
- it is UTF-8, in which values are also written to callers,
- it states once at most how long the body is: by one length in digits, or by the coding
  ``chunked`` in HTTP/1.1; a status without a body comes without either,
- another response may follow it, if it is an informational one.

Anything else is a fault of the target.
"""

import re
import typing

from sardinesaddle.direct import headercodec

_MAX_SHOWN_BYTES: typing.Final = 40  # of what is malformed, for the log
_STATUS_LINE: typing.Final = rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: [\t -~\x80-\xff]*+)?"
_FIELD_LINE: typing.Final = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]++:[\t -~\x80-\xff]*+"
# All lines that are well-formed, and the blank one if they are all.
_HEAD: typing.Final = re.compile(
    rb"(?:" + _STATUS_LINE + rb"(\r?\n)(?:" + _FIELD_LINE + rb"\3)++(\3)?)?"
)
# The first blank line, as h11 finds it.
_END: typing.Final = re.compile(rb"\n\r?\n")
_FIELD: typing.Final = re.compile(r"\n([^:\n]++):[ \t]*([^\r\n]*)")
_LENGTH: typing.Final = re.compile("0|[1-9][0-9]*")
_CHUNKED: typing.Final = "chunked"
_HTTP_1_0: typing.Final = b"0"  # the minor version
_FIRST_FINAL_STATUS: typing.Final = 200
_STATUSES_WITHOUT_BODY: typing.Final = frozenset({204, *range(100, 200)})

Fields = list[tuple[str, str]]


def find_end(data: bytearray) -> int:
    """Return where the head at the start of the data ends, 0 if it is not complete."""
    end = _END.search(data)
    return 0 if end is None else end.end()


def read_fields(head: bytes) -> Fields | str:
    """Return the fields of a head, names in lower case; if it is malformed, why."""
    matched = _HEAD.match(head)
    assert matched is not None
    minor_version, status, _, blank_line = matched.groups()
    if blank_line is None or matched.end() != len(head):
        shown = head[matched.end() :][:_MAX_SHOWN_BYTES]
        return f"a head with another form at {shown!r}"
    try:
        text = head.decode()
    except UnicodeDecodeError as exc:
        shown = head[exc.start :][:_MAX_SHOWN_BYTES]
        return f"a head that is not UTF-8 at {shown!r}"
    fields = [(name.lower(), value) for name, value in _FIELD.findall(text)]
    # llhttp takes a coding with a tab behind it for another one.
    fault = _find_framing_fault(minor_version == _HTTP_1_0, int(status), fields)
    return fault or [(name, value.rstrip(" \t")) for name, value in fields]


def _find_framing_fault(is_http_1_0: bool, status: int, fields: Fields) -> str:
    """Return how readers may differ on the length of the body, or an empty string."""
    lengths = [value for name, value in fields if name == "content-length"]
    codings = [value for name, value in fields if name == "transfer-encoding"]
    if len(lengths) + len(codings) > 1:
        return "a head that states twice how long its body is"
    if lengths and not _LENGTH.fullmatch(lengths[0]):
        return f"a head with the length {lengths[0]!r:.40}"
    if codings and (is_http_1_0 or codings[0].lower() != _CHUNKED):
        return f"a head with the transfer coding {codings[0]!r:.40}"
    if status in _STATUSES_WITHOUT_BODY and (codings or lengths not in ([], ["0"])):
        return f"a head with a body beside the status {status}"
    if status < _FIRST_FINAL_STATUS and (
        is_http_1_0 or "close" in headercodec.list_connection_options(fields)
    ):
        return f"a head with the status {status} that may be the last one"
    return ""
