"""Names the setting whose address a process cannot listen on.

An operator needs the setting and the address more than the place in the code.
"""

import collections.abc
import contextlib


class ListenError(Exception):
    """A process cannot listen on an address; the text names the setting."""

    def __init__(self, setting: str, host: str, port: int, exc: OSError) -> None:
        super().__init__(
            f"{setting}: cannot listen on {host}:{port}: {exc.strerror or exc}; end the"
            " process that has the address, or set another one"
        )


@contextlib.contextmanager
def name_setting(
    setting: str, host: str, port: int
) -> collections.abc.Generator[None, None, None]:
    """Raise ListenError in place of an OSError."""
    try:
        yield
    except OSError as exc:
        raise ListenError(setting, host, port, exc) from exc
