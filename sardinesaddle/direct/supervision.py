"""Runs the long-lived tasks of a process and restarts those that an exception ends.

asyncio keeps the exception of a task until somebody awaits the task or its memory is
reclaimed, so a loop that nobody awaits would end without a trace while its process runs
on. ``run_restarting`` logs the end and runs the loop again, with a backoff that starts
anew once the loop has run for a while. A loop that returns has finished its work.

A loop can also end because something that it awaited was cancelled. That is told from
the cancellation of its own task, which is what stops it.
"""

import asyncio
import collections.abc
import traceback
import typing

import loguru

MIN_BACKOFF_S: typing.Final = 0.05  # a lock-step group may stand still meanwhile
MAX_BACKOFF_S: typing.Final = 1.0
MAX_REASON_CHARS: typing.Final = 200
STABLE_S: typing.Final = 10.0  # a loop that ran for so long starts with a new backoff

Body = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, None]
]


async def run_restarting(name: str, body: Body) -> None:
    """Run ``body`` until it returns or this task is cancelled; ``name`` is logged."""
    loop = asyncio.get_running_loop()
    backoff_s = MIN_BACKOFF_S
    while True:
        began_at = loop.time()
        try:
            await body()
            return
        except asyncio.CancelledError as exc:
            if is_being_cancelled():
                raise
            log_failure(name, exc, backoff_s)
        except Exception as exc:
            log_failure(name, exc, backoff_s)
        if loop.time() - began_at >= STABLE_S:
            backoff_s = MIN_BACKOFF_S
        await asyncio.sleep(backoff_s)
        backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)


def is_being_cancelled() -> bool:
    """Return whether the cancellation of the current task was requested."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def log_failure(name: str, exc: BaseException, backoff_s: float) -> None:
    """Log the exception that ended a task, and where it was raised."""
    loguru.logger.error(
        "event=task_failed task={!r} reason={!r} at={} restart_in_s={:.2f}",
        name,
        describe(exc),
        locate(exc),
        backoff_s,
    )


def describe(exc: BaseException) -> str:
    """Return type and message of an exception."""
    return f"{type(exc).__name__}: {exc}".removesuffix(": ")[:MAX_REASON_CHARS]


def locate(exc: BaseException) -> str:
    """Return module and line where an exception was raised, "unknown" if not known."""
    frames = traceback.extract_tb(exc.__traceback__, limit=-1)
    if not frames:
        return "unknown"
    return f"{frames[-1].filename.rpartition('/')[2]}:{frames[-1].lineno}"


def log_unhandled(
    loop: asyncio.AbstractEventLoop, context: dict[str, typing.Any]
) -> None:
    """Log what reaches the event loop's exception handler, in one line."""
    exc = context.get("exception")
    message = context.get("message", "")
    reason = describe(exc) if isinstance(exc, BaseException) else ""
    place = locate(exc) if isinstance(exc, BaseException) else "unknown"
    loguru.logger.error(
        "event=exception_unhandled message={!r} reason={!r} at={}",
        message,
        reason,
        place,
    )
