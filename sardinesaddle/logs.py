"""Logs: one line of key=value pairs for each event, on standard error.

Neither secrets nor bodies are logged; a request is named by its identifier.
"""

import sys
import typing

import loguru

LINE_FORMAT: typing.Final = (
    "time={time:YYYY-MM-DDTHH:mm:ss.SSS}Z level={level} role={extra[role]} {message}\n"
)


def format_record(record: "loguru.Record") -> str:
    """Return the line's format; exceptions are reduced to their type and text."""
    if record["exception"] is not None:
        exc_type, value, _ = record["exception"]
        record["extra"]["exc"] = f"{exc_type.__name__ if exc_type else ''}: {value}"
        return LINE_FORMAT[:-1] + " exc={extra[exc]!r}\n"
    return LINE_FORMAT


def start_logging(role: str, level: str) -> None:
    """Send this process's log lines to standard error."""
    loguru.logger.remove()
    loguru.logger.configure(extra={"role": role})
    loguru.logger.add(sys.stderr, level=level.upper(), format=format_record)
