"""An engine starts again under its id after another service got its address."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))

import fleet as fl

STEADY_S = 5.0  # from the engine's return; longer than contact_ms
COUNTED_S = 8.0
REUSE_S = fl.BOUNDS["reuse_after_s"] + 0.1


async def case(fleet, has_trouble):
    first = fl.make_route("r-first", "/once/first/", "non_idempotent", "s1", max_attempts=1)
    added = fl.make_route("r-added", "/once/added/", "non_idempotent", "s2", max_attempts=1)
    services = [fl.make_service("s1"), fl.make_service("s2")]
    tenants = [{"name": "parish", "priority": 1, "api_keys": ["key-a"]}]
    await fleet.add_engine("i-1", "s1")
    lost = await fleet.add_engine("i-2", "s2")
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
        port = lost.port
        fleet.record.write("engine i-2 of s2 crashes")
        await lost.close()
        await asyncio.sleep(REUSE_S)
        other = fl.Engine("i-3", "s1", fleet.record)
        fleet.engines.append(other)
        await other.listen(lost.host, port)
        fleet.record.write("engine i-3 of s1 has started at the address of i-2")
        await asyncio.sleep(0.4)
        fleet.store.put("servers/i-3", other.describe())
        back = fl.Engine("i-2", "s2", fleet.record)
        fleet.engines.append(back)
        await back.listen("127.0.0.1", 0)
        fleet.store.put("servers/i-2", back.describe())
        fleet.record.write(f"engine i-2 of s2 has started again, at {back.address}")
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
        f" the first route {shares['first']:.2f}, from {STEADY_S} s after the engine's"
        " return on"
    ]


sys.exit(fl.run_case(case, pathlib.Path(__file__).parent))
