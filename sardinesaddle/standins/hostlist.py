"""A stand-in for the platform's host list, which shows changes late."""

import asyncio
import typing

import aiohttp.web
import msgspec

from sardinesaddle import httpexternal
from sardinesaddle.standins import httpserver


class HostList(httpserver.HttpServer):
    """Serves a host list in which each change appears after ``lag_s`` seconds."""

    def __init__(self, lag_s: float = 0.0) -> None:
        super().__init__()
        self.lag_s = lag_s
        self._rows: dict[str, httpexternal.HostRow] = {}
        self.reads = 0

    def put(
        self,
        name: str,
        port: int,
        place: str,
        state: typing.Literal["live", "leaving"] = "live",
    ) -> None:
        """Add or replace a row after the lag."""
        row = httpexternal.HostRow(name, "127.0.0.1", port, place, state)
        self._apply_after_lag(lambda: self._rows.__setitem__(name, row))

    def remove(self, name: str) -> None:
        """Remove a row after the lag."""
        self._apply_after_lag(lambda: self._rows.pop(name, None))

    def _apply_after_lag(self, change: typing.Callable[[], object]) -> None:
        """Apply a change after the lag, or at once if there is none."""
        if self.lag_s:
            asyncio.get_running_loop().call_later(self.lag_s, change)
        else:
            change()

    def make_app(self) -> aiohttp.web.Application:
        """Return the application with the handler of the list."""
        app = aiohttp.web.Application()
        app.router.add_get("/v1/hosts", self._handle_list)
        return app

    async def _handle_list(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Respond with the current rows."""
        self.reads += 1
        body = msgspec.json.encode(list(self._rows.values()))
        return aiohttp.web.Response(body=body, content_type="application/json")
