"""A stand-in for the configuration service, whose HTTP interface is read-only.

``publish`` takes the place of the operators' tool and is not part of the interface. The
service can serve stale values, and it counts all reads and watches.
"""

import asyncio
import hashlib
import typing

import aiohttp.web
import msgspec

from sardinesaddle import manifest, table
from sardinesaddle.standins import httpserver

WATCH_TIMEOUT_S: typing.Final = 20.0


class ConfigService(httpserver.HttpServer):
    """Serves published values from memory; ``reads`` counts reads and watches."""

    def __init__(self) -> None:
        super().__init__()
        self._values: dict[str, bytes] = {}
        self._frozen_values: dict[str, bytes] | None = None
        self._changed = asyncio.Event()
        self._last_manifest: manifest.Manifest | None = None
        self.reads = 0

    def publish(self, rows: table.Rows) -> int:
        """Publish a table as the operators' tool does; return its revision."""
        revision = (
            1 if self._last_manifest is None else self._last_manifest.revision + 1
        )
        published, shards = manifest.build_manifest(rows, revision, self._last_manifest)
        self._last_manifest = published
        self.put_manifest(published, shards)
        return revision

    def put_manifest(
        self, published: manifest.Manifest, shards: dict[str, bytes]
    ) -> None:
        """Publish shards, then the manifest that names them."""
        self._values.update(shards)
        self._values[manifest.MANIFEST_NAME] = msgspec.json.encode(published)
        self._changed.set()
        self._changed = asyncio.Event()

    def freeze(self) -> None:
        """Serve the current values until ``unfreeze``, whatever is published later."""
        self._frozen_values = dict(self._values)

    def unfreeze(self) -> None:
        """Serve the newest values again and notify all watches."""
        self._frozen_values = None
        self._changed.set()
        self._changed = asyncio.Event()

    def _get_value(self, name: str) -> bytes | None:
        """Return the value that the service serves, which may be stale."""
        values = self._values if self._frozen_values is None else self._frozen_values
        return values.get(name)

    def make_app(self) -> aiohttp.web.Application:
        """Return the application with the handler of values."""
        app = aiohttp.web.Application()
        app.router.add_get("/v1/values/{name}", self._handle_read)
        return app

    async def _handle_read(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Respond to a read, or to a watch once the value's tag differs from ``after``.

        A watch ends without a change after a time limit.
        """
        self.reads += 1
        name = request.match_info["name"]
        after = request.query.get("after")
        deadline = asyncio.get_running_loop().time() + WATCH_TIMEOUT_S
        while True:
            data = self._get_value(name)
            tag = hashlib.sha256(data or b"").hexdigest()[:16]
            if after is None or tag != after:
                break
            left_s = deadline - asyncio.get_running_loop().time()
            try:
                await asyncio.wait_for(self._changed.wait(), max(left_s, 0.001))
            except TimeoutError:
                break
        if data is None:
            return aiohttp.web.Response(status=404, text="no such value\n")
        return aiohttp.web.Response(body=data, headers={"ETag": tag})
