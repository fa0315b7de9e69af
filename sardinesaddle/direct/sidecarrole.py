"""Builds a sidecar of the direct path."""

import random

from sardinesaddle import settings
from sardinesaddle.direct import freshness, noderole, nodesettings, sidecarnode
from sardinesaddle.platform import catalogformat, engines


class SidecarRole(noderole.Role):
    """Builds a sidecar with the platform's engine client and decoder."""

    def __init__(self) -> None:
        self._cfg: nodesettings.SidecarSettings | None = None
        self._node: sidecarnode.SidecarNode | None = None

    def load_settings(
        self, path: str
    ) -> nodesettings.NodeSettings | settings.SettingsFault:
        """Read and check a sidecar's settings; keep them if they are valid."""
        cfg = nodesettings.load_sidecar(path)
        if isinstance(cfg, nodesettings.SidecarSettings):
            self._cfg = cfg
        return cfg

    def build(self) -> noderole.WiredNode:
        """Build the sidecar."""
        assert self._cfg is not None
        local_engine = engines.PlatformEngine(self._cfg.target)
        self._node = sidecarnode.SidecarNode(
            self._cfg,
            local_engine,
            catalogformat.PlatformStoreDecoder(),
            freshness.BootTimeClock(),
            random.Random(),
            engines.PlatformEngine,
        )
        return noderole.WiredNode(self._node, self._node.metrics, local_engine.close)

    def reload(self) -> None:
        """Apply new seeds."""
        if self._node is not None and self._cfg is not None:
            self._node.reload(self._cfg)
