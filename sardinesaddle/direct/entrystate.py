"""What an entry knows, for the request path: the catalog, its age, and the entries."""

import abc
import dataclasses

from sardinesaddle.direct import catalog


class EntryState(abc.ABC):
    """What the request path asks of the rest of the entry."""

    catalog: catalog.Catalog | None

    @abc.abstractmethod
    def compute_config_age(self) -> float:
        """Return the seconds since the catalog was known to be the newest."""

    @abc.abstractmethod
    def count_entries(self) -> int:
        """Return how many entries share the targets."""

    @property
    def config_version(self) -> int:
        """The catalog's version; 0 without one."""
        return 0 if self.catalog is None else self.catalog.version


@dataclasses.dataclass(frozen=True, slots=True)
class RequestBounds:
    """The bounds of the deployment; times are in seconds.

    A catalog older than ``key_age_s`` admits no keys; from ``doubtful_age_s`` on an
    unknown route or key is not denied, since it may be new.
    """

    max_key_age_s: float
    stale_age_s: float
    repeat_ratio: float
    repeat_allowance: float
    repeat_window_s: float
