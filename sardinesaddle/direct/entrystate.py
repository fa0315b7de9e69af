"""The state of an entry that its request path reads, and the limits it applies."""

import abc
import dataclasses

from sardinesaddle.direct import catalog


class EntryState(abc.ABC):
    """State of the entry for the request path.

    ``started_at`` is when the process started, on the event loop's clock.
    ``is_first_start`` is set if no process of the system ran before.
    """

    started_at: float
    is_first_start: bool

    @property
    @abc.abstractmethod
    def catalog(self) -> catalog.Catalog | None:
        """The configuration in force, None until the first one may be used."""

    @abc.abstractmethod
    def may_lack_config(self) -> bool:
        """Return whether the store may lack a configuration that it had confirmed."""

    @abc.abstractmethod
    def compute_config_age(self) -> float:
        """Return the seconds since the catalog was confirmed to be the newest."""

    @abc.abstractmethod
    def count_entries(self) -> int:
        """Return the number of live entries, this one included."""

    @property
    def config_version(self) -> int:
        """The version in force; 0 without a catalog."""
        return 0 if self.catalog is None else self.catalog.version


@dataclasses.dataclass(frozen=True, slots=True)
class RequestBounds:
    """Limits on staleness and retries; times are in seconds.

    A catalog older than ``max_key_age_s`` admits no keys. With a catalog older than
    ``stale_age_s``, unknown routes and keys are refused only temporarily, since they
    may be new. The other fields bound the retries of all entries together.
    """

    max_key_age_s: float
    stale_age_s: float
    retry_ratio: float
    retry_allowance: float
    retry_window_s: float
