"""The target's interface over HTTP, against the engine stand-in."""

from sardinesaddle import external, httptarget
from test import fleet


def test_reports_events_caches_and_orders() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        engine = caller.dep.targets["small-engine-0"]
        target = httptarget.HttpTarget(caller.session, caller.session, engine.url)
        for number in range(30):
            await caller.chat(f"prompt {number}", tokens=1)
        assert await target.read_load() == external.LoadReport(0, 0, [])
        events = await target.read_cache_events(0)
        assert not isinstance(events, external.Unavailable)
        numbers = [event.sequence for event in events]
        assert numbers == sorted(numbers)
        assert 7 not in numbers
        later = await target.read_cache_events(3)
        assert later == [event for event in events if event.sequence > 3]
        data = await target.export_cache(12)
        assert isinstance(data, bytes)
        assert await target.import_cache(12, data) is True
        newer = external.TargetOrder("load", "model-2", 0, fence=5)
        older = external.TargetOrder("role", "decode", 0, fence=4)
        assert await target.send_order(newer) is True
        assert await target.send_order(older) is False
        await engine.stop()
        gone = await target.read_load()
        assert isinstance(gone, external.Unavailable)

    fleet.play(scenario)
