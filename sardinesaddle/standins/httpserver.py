"""Base class of the stand-ins that serve HTTP."""

import typing

import aiohttp.web

SHUTDOWN_TIMEOUT_S: typing.Final = 0.05


class HttpServer:
    """An HTTP server on loopback that can be restarted on the same port."""

    def __init__(self) -> None:
        self._runner: aiohttp.web.AppRunner | None = None
        self.port = 0

    def make_app(self) -> aiohttp.web.Application:
        """Return the application to serve; subclasses override this."""
        raise NotImplementedError

    async def start(self, port: int = 0) -> None:
        """Serve on a port; 0 means the previous port or, at first, any free one."""
        runner = aiohttp.web.AppRunner(
            self.make_app(),
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await runner.setup()
        site = aiohttp.web.TCPSite(
            runner, "127.0.0.1", port or self.port, reuse_address=True
        )
        await site.start()
        self._runner = runner
        address: tuple[str, int] = typing.cast("tuple[str, int]", runner.addresses[0])
        self.port = address[1]

    async def stop(self) -> None:
        """Abort all connections and close the port."""
        runner = self._runner
        self._runner = None
        if runner is None:
            return
        if runner.server is not None:
            for conn in list(runner.server.connections):
                if conn.transport is not None:
                    conn.transport.abort()
        await runner.cleanup()

    @property
    def is_up(self) -> bool:
        """Whether the server accepts connections."""
        return self._runner is not None

    @property
    def url(self) -> str:
        """The base URL."""
        return f"http://127.0.0.1:{self.port}"
