"""How the values of the store are read, as far as entries and sidecars need it."""

import abc

from sardinesaddle.direct import catalog


class StoreDecoder(abc.ABC):
    """Decodes stored values; the platform's formats stay behind it."""

    # The prefixes to follow, and the key with the newest configuration.
    config_prefix: str
    config_key: str
    targets_prefix: str

    @abc.abstractmethod
    def decode_catalog(self, data: bytes) -> catalog.Catalog | str:
        """Return the configuration, or what is wrong with it."""

    @abc.abstractmethod
    def decode_target(self, key: str, data: bytes) -> catalog.TargetRecord | str:
        """Return a target's entry, or what is wrong with it."""

    @abc.abstractmethod
    def get_target_ident(self, key: str) -> str:
        """Return the target that a key names."""
