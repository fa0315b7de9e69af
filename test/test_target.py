"""The HTTP interface of targets, tested with the stand-in of a model engine."""

from sardinesaddle import external, httptarget
from test import fleet


def test_target_interface_serves_load_cache_and_orders() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        engine = caller.dep.targets["small-engine-0"]
        target = httptarget.HttpTarget(caller.session, caller.session, engine.url)
        for number in range(30):
            await caller.send_chat(f"prompt {number}", max_tokens=1)
        assert await target.read_load() == external.LoadReport(0, 0, [])
        events = await target.read_cache_events(0)
        assert not isinstance(events, external.Unavailable)
        sequences = [event.sequence for event in events]
        assert sequences == sorted(sequences)
        assert 7 not in sequences
        later = await target.read_cache_events(3)
        assert later == [event for event in events if event.sequence > 3]
        cache_data = await target.export_cache(12)
        assert isinstance(cache_data, bytes)
        assert await target.import_cache(12, cache_data) is True
        newer = external.TargetOrder("load", "model-2", 0, fence=5)
        older = external.TargetOrder("role", "decode", 0, fence=4)
        assert await target.send_order(newer) is True
        assert await target.send_order(older) is False
        await engine.stop()
        load_after_stop = await target.read_load()
        assert isinstance(load_after_stop, external.Unavailable)

    fleet.run_scenario(scenario)
