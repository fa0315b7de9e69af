"""Tests of refusals that a target writes once more."""

import asyncio

import pytest

from sardinesaddle.platform import headers
from test import directfleet as df


@pytest.mark.parametrize("has_id", [True, False])
@pytest.mark.parametrize("path", ["/free/a", "/once/a", "/stream/a"])
def test_refusal_that_is_written_again_is_none_of_the_next_request(
    has_id: bool, path: str
) -> None:
    """Guards against 'not run' for a request that the target runs."""
    earlier: list[str] = []

    async def refuse_twice(
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        refused_id = earlier[0] if earlier else request.attempt_id
        earlier.append(request.attempt_id)
        fields = [(headers.NOT_RUN, "1"), ("Content-Length", "0")]
        if has_id:
            fields.append((headers.ATTEMPT_ID, refused_id))
        writer.write(df.make_response_head(503, *fields))
        if len(earlier) == 1:
            return True
        if request.connection_number != target.requests[0].connection_number:
            # Only the connection of the refused request has the refusal again.
            return True
        await asyncio.sleep(0.3)
        return await df.respond_with_name(target, request, writer)

    async def scenario(fleet: df.Fleet) -> None:
        service = "engines" if path.startswith("/stream") else "plain"
        target = await fleet.add_target("t1", service, refuse_twice)
        await fleet.settle()
        assert (await fleet.send_request(path)).status == 503
        await fleet.settle(0.5)
        resp = await fleet.send_request(path)
        first, *others = target.requests
        ran = [r for r in others if r.connection_number == first.connection_number]
        assert not (ran and resp.status == 503)

    df.run_scenario(scenario)
