"""The HTTP interface of a lock-step group's engines, for the soak test."""

import msgspec

from sardinesaddle.direct import engine
from sardinesaddle.standins import rankgroup
from test import directfleet as df
from test import soakcold

ENGINE_PATHS = ("/report", "/picked", "/order")
RANK_COUNT = 3


def make_config(
    version: int, keys: tuple[str, ...], timeout_ms: int, has_cold: bool = False
) -> object:
    """Return a configuration whose engines form a lock-step group.

    With ``has_cold``, it states what cold engines sustain.
    """
    model = rankgroup.ENGINE_MODEL
    engine_model = {
        "slots": 4,
        "stride": model.steps_per_pass,
        "sets": model.layer_sets,
        "experts": model.experts_per_set,
        "places": model.max_experts_per_rank,
        "spare": model.max_added_per_rank,
        "expert_mb": 100.0,
        "expert_share": model.expert_share,
    }
    config = df.make_config(version, keys, timeout_ms)
    engines: dict[str, object] = {"name": "engines", "engine": engine_model}
    if has_cold:
        engine_model["slots"] = soakcold.SLOTS
        engines |= {"cold_s": soakcold.COLD_S, "cold_per_s": soakcold.RATE}
    config["services"] = [{"name": "plain"}, engines]
    return config


def make_json_response(body: object, status: int = 200) -> bytes:
    """Return a complete HTTP response with a JSON body."""
    data = msgspec.json.encode(body)
    head = df.make_response_head(
        status,
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(data))),
    )
    return head + data


def make_report(group: rankgroup.RankGroup, index: int, running: int) -> object:
    """Return the state report of a rank's engine, as its /report page has it."""
    rank = group.ranks[index]
    armed = (
        {"version": rank.armed_version, "step": rank.armed_step}
        if rank.armed_version
        else None
    )
    state = "open" if group.is_open else "broken"
    return {
        "running": running,
        "group": {"name": "g", "epoch": group.epoch, "rank": index, "state": state},
        "size": group.size,
        "step": group.step,
        "map": rank.map_version,
        "prepared": rank.prepared_version or None,
        "armed": armed,
        "held": (group.held_step or None) if index == 0 else None,
    }


async def respond_to_sidecar(
    group: rankgroup.RankGroup, index: int, request: df.ReceivedRequest, running: int
) -> bytes:
    """Return the response to a sidecar's read of a page, or to its order."""
    rank = group.ranks[index]
    if request.path == "/report":
        return make_json_response(make_report(group, index, running))
    if request.path == "/picked":
        counts = list(rank.expert_counts)
        return make_json_response(
            {"step": group.step, "epoch": group.epoch, "counts": counts}
        )
    if request.path.startswith("/picked?"):
        return make_json_response(
            {"map": {"version": rank.map_version, "experts": rank.experts}}
        )
    order = msgspec.json.decode(request.body)
    engine_order = engine.EngineOrder(
        order["op"],
        order["epoch"],
        None,
        order.get("version", 0),
        order.get("step", 0),
        order.get("map"),
    )
    status = await rankgroup.RankEngine(group, index).send_order(engine_order)
    return make_json_response({}, status if isinstance(status, int) else 500)
