"""Builds an entry of the direct path."""

import random

import aiohttp
import msgspec

from sardinesaddle import settings
from sardinesaddle.direct import entrynode, freshness, noderole, nodesettings
from sardinesaddle.platform import catalogformat, contracts, headers, identity, store


def make_session() -> aiohttp.ClientSession:
    """Return the HTTP client for the platform's store."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept-Encoding"),
    )


class EntryRole(noderole.Role):
    """Builds an entry with the platform's store, decoder and headers."""

    def __init__(self) -> None:
        self._cfg: nodesettings.EntrySettings | None = None
        self._node: entrynode.EntryNode | None = None

    def load_settings(
        self, path: str
    ) -> nodesettings.NodeSettings | settings.SettingsFault:
        """Read and check an entry's settings; keep them if they are valid."""
        cfg = nodesettings.load_entry(path)
        if not isinstance(cfg, nodesettings.EntrySettings):
            return cfg
        is_bounded = contracts.bounds_engine_memory(cfg.contracts)
        self._cfg = msgspec.structs.replace(
            cfg, bounds_engine_memory=cfg.bounds_engine_memory or is_bounded
        )
        return self._cfg

    def build(self) -> noderole.WiredNode:
        """Build the entry."""
        assert self._cfg is not None
        session = make_session()
        self._node = entrynode.EntryNode(
            self._cfg,
            store.PlatformStore(session, self._cfg.store),
            catalogformat.PlatformStoreDecoder(),
            headers.PlatformHeaderCodec(),
            freshness.BootTimeClock(),
            random.Random(),
            identity.PlatformIdentifier(),
        )
        return noderole.WiredNode(
            self._node, self._node.metrics, session.close, self._cfg.ready
        )

    def reload(self) -> None:
        """Apply new seeds and bounds."""
        if self._node is not None and self._cfg is not None:
            self._node.reload(self._cfg)
