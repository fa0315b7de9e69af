"""Holds the configuration in force: the valid one with the highest version seen.

Versions order configurations, not the store's revisions: a store that was restored from
an older copy lists an older version at a new position, while an operator who goes back
to an earlier content publishes it under a higher version. What was in force therefore
stays so until a higher version comes, from the store or from another entry.

Each version is checked before it is put in force or passed on, whatever brought it.
Other entries get the value in force, so an invalid value in the store hides nothing
from an entry that starts.
"""

import loguru

from sardinesaddle.direct import catalog, storedecoder


class ConfigHolder:
    """The configuration in force; ``value`` is how the store had it."""

    def __init__(self, store_decoder: storedecoder.StoreDecoder) -> None:
        self._store_decoder = store_decoder
        self.catalog: catalog.Catalog | None = None
        self.value: bytes | None = None

    @property
    def version(self) -> int:
        """The version in force; 0 for none."""
        return 0 if self.catalog is None else self.catalog.version

    def find_service(self, name: str) -> catalog.Service | None:
        """Return a service of the configuration in force, or None."""
        return None if self.catalog is None else self.catalog.services.get(name)

    def offer(self, value: bytes | None, rev: int, source: str) -> bool:
        """Put a value in force if it is valid and newer; return whether it is valid.

        ``rev`` and ``source`` are for the log; None is a key that was deleted.
        """
        if value is None:
            loguru.logger.warning("event=config_missing rev={} source={}", rev, source)
            return False
        offered = self._store_decoder.decode_catalog(value)
        if isinstance(offered, str):
            loguru.logger.error(
                "event=config_refused rev={} source={} {}", rev, source, offered
            )
            return False
        if offered.version <= self.version:
            loguru.logger.info(
                "event=config_old version={} in_force={} rev={} source={}",
                offered.version,
                self.version,
                rev,
                source,
            )
            return True
        self.catalog = offered
        self.value = value
        loguru.logger.info(
            "event=config_in_force version={} rev={} source={} routes={} keys={}",
            offered.version,
            rev,
            source,
            len(offered.list_routes()),
            len(offered.accounts),
        )
        return True

    def get_value_after(self, version: int) -> bytes | None:
        """Return the value in force if its version is higher, else None."""
        return self.value if self.version > version else None
