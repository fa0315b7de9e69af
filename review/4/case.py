"""Entries of another writer name the addresses of engines; the engines' own must hold."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))

import fleet as fl

STEADY_S = 5.0  # from the last write on; longer than contact_ms
COUNTED_S = 8.0
OTHER_SERVICE = "s-old"  # no configuration names it


async def case(fleet, has_trouble):
    first = fl.make_route("r-first", "/once/first/", "non_idempotent", "s1", max_attempts=1)
    added = fl.make_route("r-added", "/once/added/", "non_idempotent", "s2", max_attempts=1)
    services = [fl.make_service("s1"), fl.make_service("s2")]
    tenants = [{"name": "parish", "priority": 1, "api_keys": ["key-a"]}]
    await fleet.add_engine("i-1", "s1")
    engines = [await fleet.add_engine(name, "s2", work_s=0.2) for name in ("i-2", "i-3")]
    fleet.write_config([first], services, tenants)
    entries = await fleet.add_entries(2)
    await fleet.wait_ready(entries)
    fleet.write_config([first, added], services, tenants)
    await asyncio.sleep(fl.BOUNDS["config_apply_ms"] / 1000.0)
    answers = {"first": [], "added": []}
    is_over = False
    count = 0

    async def send_requests(entry, kind):
        nonlocal count
        client = fl.Client(fleet.record, entry.front)
        while not is_over:
            count += 1
            path = f"/once/{kind}/x"
            answer = await client.send(f"a{count:04d}", "POST", path, "key-a", b"receipt")
            answers[kind].append(answer)
            await asyncio.sleep(0.1)
        client.close()

    senders = [
        asyncio.create_task(send_requests(entry, kind))
        for entry in entries
        for kind in answers
    ]
    await asyncio.sleep(2.0)
    if has_trouble:
        for engine in engines:
            foreign = engine.describe() | {"service": OTHER_SERVICE}
            fleet.store.put(f"servers/old-{engine.name}", foreign)
            fleet.record.write(f"another writer writes servers/old-{engine.name}: {foreign}")
    steady_from = fleet.record.now() + STEADY_S
    await asyncio.sleep(STEADY_S + COUNTED_S)
    is_over = True
    await asyncio.gather(*senders)
    shares, counts = {}, {}
    for kind, received in answers.items():
        counted = [a for a in received if a.sent_at >= steady_from]
        counts[kind] = len(counted)
        shares[kind] = sum(a.status == 200 for a in counted) / max(len(counted), 1)
    fleet.record.write(f"requests in steady state: {counts}, shares served: {shares}")
    if counts["added"] < 20 or shares["first"] < 0.5:
        raise fl.CannotRunError("too few requests, or the first route is not served")
    if shares["added"] >= shares["first"] / 4.0:
        return []
    statuses = {a.status for a in answers["added"] if a.sent_at >= steady_from}
    return [
        f"CONFIG: {counts['added']} requests on the route that was added later were"
        f" served {shares['added']:.2f} of the time, with statuses {statuses}, those on"
        f" the first route {shares['first']:.2f}, from {STEADY_S} s after the other"
        " writer's entries on"
    ]


sys.exit(fl.run_case(case, pathlib.Path(__file__).parent))
