"""Configures logging: one line of key=value pairs for each event.

Log lines name a request by its identifier and contain no secrets or bodies.
"""

import sys
import typing

import loguru

LINE_FORMAT: typing.Final = (
    "time={time:YYYY-MM-DDTHH:mm:ss.SSS}Z level={level} role={extra[role]} {message}\n"
)


def format_record(record: "loguru.Record") -> str:
    """Return a line's format; an exception is reduced to its type and message."""
    if record["exception"] is not None:
        exc_type, value, _ = record["exception"]
        record["extra"]["exc"] = f"{exc_type.__name__ if exc_type else ''}: {value}"
        return LINE_FORMAT[:-1] + " exc={extra[exc]!r}\n"
    return LINE_FORMAT


def start_logging(role: str, level: str) -> None:
    """Write log lines from ``level`` on to standard error, and nowhere else."""
    loguru.logger.remove()
    loguru.logger.configure(extra={"role": role})
    loguru.logger.add(sys.stderr, level=level.upper(), format=format_record)
