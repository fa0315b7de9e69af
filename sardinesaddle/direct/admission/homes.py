"""Keeps requests in the regions that their route and account permit.

The settings map places to regions. A target whose place has no known region gets no
request that names regions.
"""

import collections.abc
import typing

import loguru

from sardinesaddle.direct import catalog, targetstate
from sardinesaddle.direct.admission import admissionpart, sendconstraint

FORBIDDEN: typing.Final = sendconstraint.Verdict(
    sendconstraint.Decision.NEVER, "region_forbidden"
)


class HomeConstraint(sendconstraint.SendConstraint):
    """Forbids requests at targets outside their permitted regions."""

    name: typing.ClassVar[str] = "homes"

    def __init__(self, regions: collections.abc.Mapping[str, str]) -> None:
        self._regions = regions

    def check(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
    ) -> sendconstraint.Verdict:
        """Return whether the target is in a permitted region."""
        if request.homes is None:
            return sendconstraint.ALLOWED
        if self._regions.get(target.registration.place) in request.homes:
            return sendconstraint.ALLOWED
        return FORBIDDEN


class HomePart(admissionpart.AdmissionPart):
    """Permitted regions; ``regions`` maps each place to its region."""

    name: typing.ClassVar[str] = "homes"

    def __init__(self, regions: collections.abc.Mapping[str, str]) -> None:
        self._regions = regions
        self._checked_version = 0

    def list_constraints(self) -> list[sendconstraint.SendConstraint]:
        """Return the constraint, which allows requests that name no regions."""
        return [HomeConstraint(self._regions)]

    def on_catalog(self, now: float, current: catalog.Catalog) -> None:
        """Log routes and accounts whose requests no place can serve."""
        if current.version == self._checked_version:
            return
        self._checked_version = current.version
        owners = [
            (f"route={route.name}", route.homes) for route in current.list_routes()
        ]
        owners += sorted(
            {(f"account={a.name}", a.homes) for a in current.accounts.values()},
            key=lambda owner: owner[0],
        )
        known_regions = set(self._regions.values())
        for owner, homes in owners:
            if homes is None or homes & known_regions:
                continue
            remedy = "name regions of the places in the settings"
            if not homes:
                remedy = "state a list of region names, or none for any region"
            loguru.logger.error(
                "event=regions_invalid {} regions={!r} known={!r} effect=refused"
                " remedy={!r}",
                owner,
                ",".join(sorted(homes)),
                ",".join(sorted(known_regions)),
                remedy,
            )
