"""The admin server of a process: status, metrics and health pages.

``sardinesaddle status`` prints ``/status``, Prometheus scrapes ``/metrics``, and the
platform's load balancer probes ``/healthz`` before it sends calls to the process.
"""

import abc
import collections.abc
import json

import aiohttp.web

from sardinesaddle import metrics


class Role(abc.ABC):
    """Interface of an entry or a sidecar to its admin server."""

    @abc.abstractmethod
    def describe(self) -> dict[str, object]:
        """Return the content of the status page, which is sent as JSON."""

    @abc.abstractmethod
    def is_healthy(self) -> bool:
        """Return whether new work should be sent to this process."""


class AdminServer:
    """HTTP server of the admin pages; ``port`` is the actual port once started."""

    def __init__(
        self, role: Role, role_metrics: metrics.Metrics, host: str, port: int
    ) -> None:
        self._role = role
        self._metrics = role_metrics
        self._host = host
        self._port = port
        self._runner: aiohttp.web.AppRunner | None = None
        self.port = port

    async def start(self) -> None:
        """Open the port; port 0 lets the operating system choose one."""
        app = aiohttp.web.Application()
        pages: dict[
            str,
            collections.abc.Callable[
                [aiohttp.web.Request],
                collections.abc.Awaitable[aiohttp.web.StreamResponse],
            ],
        ] = {
            "/status": self._handle_status,
            "/metrics": self._handle_metrics,
            "/healthz": self._handle_health,
        }
        for path, handler in pages.items():
            app.router.add_get(path, handler)
        self._runner = aiohttp.web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await aiohttp.web.TCPSite(self._runner, self._host, self._port).start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Close the port and all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle_status(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.StreamResponse:
        """Respond with the status as JSON."""
        text = json.dumps(self._role.describe())
        return aiohttp.web.Response(text=text, content_type="application/json")

    async def _handle_metrics(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.StreamResponse:
        """Respond with the metrics in the Prometheus text format."""
        body, headers = self._metrics.render()
        return aiohttp.web.Response(body=body, headers=headers)

    async def _handle_health(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.StreamResponse:
        """Respond with status 200 if the process is healthy, else 503."""
        healthy = self._role.is_healthy()
        return aiohttp.web.Response(
            status=200 if healthy else 503, text="ok\n" if healthy else "not ready\n"
        )
