"""The moments at which an incarnation of a target was certainly at its address.

The process of a target that ends closes its connections in order, as it does at the end
of a response, and another process may have its address then. What arrives does not
tell when it was sent: it may have waited behind a partition, or in the kernel while
this process was suspended. So a target is seen only by what it does about something
that was sent to it, and as of the time at which that was sent:

- It answered a request.
- It stated who it is.
- A connection to its address was accepted. That alone does not tell by whom. But after
  the end of a process nothing listens at its address for ``SUCCESSOR_DELAY_S``, so
  contacts that follow each other more closely are with one process. They form a run,
  and all of a run is the target's once one contact is known to be.
"""

import typing

from sardinesaddle.direct import freshness

# The platform gives an address to another target after 2 s at the earliest, and a
# target that ended is back after some seconds.
SUCCESSOR_DELAY_S: typing.Final = 1.0


class Sightings:
    """The contacts with the address of one incarnation; times count suspension.

    ``seen_at`` is the latest time at which the incarnation was certainly there.
    """

    __slots__ = ("_first_until", "_is_target", "_last_at", "seen_at")

    def __init__(self) -> None:
        # The present run: when its first contact had taken place, and the time as of
        # which its last one counts.
        self._first_until = freshness.NEVER
        self._last_at = freshness.NEVER
        self._is_target = False
        self.seen_at = freshness.NEVER

    def on_accepted(self, began_at: float, now: float) -> None:
        """Record that a connection was accepted at some time since ``began_at``."""
        if now - min(began_at, self._last_at) >= SUCCESSOR_DELAY_S:
            self._begin_run(now, began_at, False)
        self._last_at = max(self._last_at, began_at)
        self._update_seen()

    def on_answered(self, sent_at: float) -> None:
        """Record that the target itself answered what was sent at ``sent_at``."""
        if sent_at - self._last_at >= SUCCESSOR_DELAY_S:
            self._begin_run(sent_at, sent_at, True)
        elif self._first_until - sent_at < SUCCESSOR_DELAY_S:
            self._is_target = True
            self._last_at = max(self._last_at, sent_at)
        self.seen_at = max(self.seen_at, sent_at)
        self._update_seen()

    def _begin_run(self, first_until: float, last_at: float, is_target: bool) -> None:
        """Begin a run with a contact that may be with another process."""
        self._first_until = first_until
        self._last_at = last_at
        self._is_target = is_target

    def _update_seen(self) -> None:
        """Count the present run if it is the target's."""
        if self._is_target:
            self.seen_at = max(self.seen_at, self._last_at)
