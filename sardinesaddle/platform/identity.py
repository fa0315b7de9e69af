"""Asks engines and plain targets of the platform which process they are."""

import typing

import msgspec

from sardinesaddle.direct import catalog, httpclient, targetidentity
from sardinesaddle.platform import headers, strictjson

REPORT_PATH: typing.Final = "/report"
MAX_PAGE_BYTES: typing.Final = 64 * 1024
STATUS_OK: typing.Final = 200


class WireIdentity(msgspec.Struct, frozen=True):
    """The start of an engine in its state, Unix time in milliseconds."""

    born: int


_DECODER: typing.Final = strictjson.StrictDecoder(WireIdentity)


class PlatformIdentifier(targetidentity.TargetIdentifier):
    """Reads the state of an engine, or the health check of another target.

    The state needs no slot, which a health check waits for, and it has the start of the
    engine, so that a later incarnation with its id differs.
    """

    async def identify(
        self,
        registration: catalog.TargetRegistration,
        service: catalog.Service | None,
        timeout_s: float,
    ) -> targetidentity.Occupant:
        """Return which process has the address of a target."""
        if service is None:
            return targetidentity.Occupant.UNSTATED
        has_state = service.engine is not None and registration.started_ms > 0
        path = REPORT_PATH if has_state else service.health_path
        if not path:
            return targetidentity.Occupant.UNSTATED
        address = f"{registration.host}:{registration.port}"
        fields = [(headers.EXPECTED_TARGET, registration.target_id)]
        client = httpclient.HttpClient(address, MAX_PAGE_BYTES, fields)
        resp = await client.request("GET", path, timeout_s)
        client.close()
        if isinstance(resp, httpclient.HttpFault):
            return targetidentity.Occupant.UNKNOWN
        if resp.status == headers.STATUS_MISDIRECTED:
            return targetidentity.Occupant.OTHER
        if has_state:
            return compare_start(resp, registration.started_ms)
        name = resp.headers.get(headers.TARGET.lower())
        if name is not None:
            return make_occupant(name == registration.target_id)
        if headers.NOT_RUN.lower() in resp.headers:
            return targetidentity.Occupant.UNKNOWN
        return targetidentity.Occupant.UNSTATED


def compare_start(
    resp: httpclient.HttpResponse, started_ms: int
) -> targetidentity.Occupant:
    """Return whether the state of an engine is that of the one started then."""
    if resp.status != STATUS_OK:
        return targetidentity.Occupant.UNKNOWN
    try:
        wire = _DECODER.decode(resp.body)
    except (ValueError, RecursionError):
        return targetidentity.Occupant.UNKNOWN
    return make_occupant(wire.born == started_ms)


def make_occupant(is_target: bool) -> targetidentity.Occupant:
    """Return the target or another process."""
    occupants = targetidentity.Occupant
    return occupants.TARGET if is_target else occupants.OTHER
