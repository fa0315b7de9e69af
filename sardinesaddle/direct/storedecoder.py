"""Interface that decodes the values in the platform's key-value store."""

import abc

from sardinesaddle.direct import catalog


class StoreDecoder(abc.ABC):
    """Decodes stored values; only the implementation knows the platform's formats."""

    # The prefixes to watch, and the key of the configuration under the first one.
    config_prefix: str
    config_key: str
    targets_prefix: str
    # Each key under it, which is under the first prefix, names an evacuated place.
    evacuation_prefix: str

    @abc.abstractmethod
    def decode_catalog(self, data: bytes) -> catalog.Catalog | str:
        """Return the configuration, or an error message."""

    @abc.abstractmethod
    def decode_target(self, key: str, data: bytes) -> catalog.TargetRegistration | str:
        """Return a target's registration, or an error message."""

    @abc.abstractmethod
    def get_evacuated_place(self, key: str) -> str | None:
        """Return the place that a key names, or None if the key is malformed."""

    @abc.abstractmethod
    def get_target_id(self, key: str) -> str:
        """Return the identifier of the target that is registered at a key."""
