"""A connection between two sidecars is reset during a switch of the expert map."""

import asyncio
import contextlib
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))

import fleet as fl
import group as gr

RANKS = 4
WARM_UP_S = 4.0
STEADY_S = 6.0  # from the reset on; twice contact_ms
COUNTED_S = 12.0
MAX_WAIT_S = 30.0  # for a switch of the map


async def case(fleet, has_trouble):
    first = fl.make_route("r-first", "/once/", "non_idempotent", fl.SERVICE, max_attempts=1)
    added = fl.make_route(
        "r-added", "/stream/", "streaming", fl.STREAM_SERVICE, resumable=True
    )
    services = [
        fl.make_service(fl.SERVICE),
        fl.make_service(fl.STREAM_SERVICE) | {"engine": gr.ENGINE_MODEL},
    ]
    tenants = [{"name": "parish", "priority": 1, "api_keys": ["key-a"]}]
    await fleet.add_engine("i-1", fl.SERVICE)
    group = gr.Group(RANKS, fleet.record)
    for index in range(RANKS):
        rank = gr.Rank(f"g-{index}", fl.STREAM_SERVICE, group, index)
        fleet.engines.append(rank)
        await rank.listen("127.0.0.1", 0)
        fleet.store.put(f"servers/{rank.name}", rank.describe())
    ranks = list(group.ranks)
    fleet.write_config([first], services, tenants)
    entries = await fleet.add_entries(2)
    node_port = entries[0].values["port_range"][0]
    entry_hosts = [entry.values["ip"] for entry in entries]
    side_hosts = [fleet.hosts.pop(0) for _ in range(RANKS)]
    # The sidecar of rank 0 reaches the others at its own port, through proxies.
    own_port = fl.find_port(side_hosts[0])
    proxies = {}
    for host in entry_hosts + side_hosts[1:]:
        proxies[host] = proxy = gr.Proxy(fleet.record, f"side-1 to {host}")
        fleet.engines.append(proxy)
        await proxy.listen(host, own_port, host, node_port)
    for index, rank in enumerate(ranks):
        port = own_port if index == 0 else node_port
        await fleet.add_sidecar(f"side-{index + 1}", rank, entries, side_hosts[index], port)
    await fleet.wait_ready(entries)
    passes = asyncio.create_task(group.run())
    fleet.write_config([first, added], services, tenants)
    answers = {"first": [], "added": []}
    is_over = False
    count = 0

    async def send_requests(entry, kind):
        nonlocal count
        client = fl.Client(fleet.record, entry.front)
        path = "/once/x" if kind == "first" else "/stream/x"
        while not is_over:
            count += 1
            answer = await client.send(f"a{count:05d}", "POST", path, "key-a", b"x")
            answers[kind].append(answer)
            await asyncio.sleep(0.2)
        client.close()

    senders = [
        asyncio.create_task(send_requests(entry, kind))
        for entry in entries
        for kind in ("first", "first", "added", "added", "added", "added", "added")
    ]
    await asyncio.sleep(WARM_UP_S)
    was_held = asyncio.Event()
    if has_trouble:

        def reset_one():
            group.on_hold = None
            proxies[side_hosts[1]].reset()
            was_held.set()

        group.on_hold = reset_one
    else:
        group.on_hold = was_held.set
    try:
        async with asyncio.timeout(MAX_WAIT_S):
            while not was_held.is_set():
                group.shift_demand()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(was_held.wait(), 3.0)
    except TimeoutError:
        raise fl.CannotRunError("the group's map was not switched") from None
    steady_from = fleet.record.now() + STEADY_S
    await asyncio.sleep(STEADY_S)
    step = group.step
    await asyncio.sleep(COUNTED_S)
    is_over = True
    await asyncio.gather(*senders)
    passes.cancel()
    fleet.record.write(
        f"passes in {COUNTED_S} s of steady state: {group.step - step}; held pass:"
        f" {group.held}; mixed passes: {group.mixed}"
    )
    shares, counts = {}, {}
    for kind, received in answers.items():
        counted = [a for a in received if a.sent_at >= steady_from]
        counts[kind] = len(counted)
        whole = sum(a.status == 200 and a.is_whole for a in counted)
        shares[kind] = whole / max(len(counted), 1)
    fleet.record.write(f"requests in steady state: {counts}, shares served: {shares}")
    if counts["added"] < 20 or shares["first"] < 0.5:
        raise fl.CannotRunError("too few requests, or the first route is not served")
    broken = [f"MAP: passes {group.mixed} were mixed"] if group.mixed else []
    if shares["added"] < shares["first"] / 4.0:
        broken.append(
            f"CONFIG: {counts['added']} requests on the route that was added later were"
            f" served {shares['added']:.2f} of the time, those on the first route"
            f" {shares['first']:.2f}, from {STEADY_S} s after the reset on; the group"
            f" made {group.step - step} passes in {COUNTED_S} s"
        )
    return broken


sys.exit(fl.run_case(case, pathlib.Path(__file__).parent))
