"""The last API keys are taken away; requests with them, or with none, must not run."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))

import fleet as fl

KEYS = ("key-a", "key-b")
STRANGER = "key-never-given"
REVOKE_S = fl.BOUNDS["revoke_ms"] / 1000.0
GAP_S = 1.5  # as in the site's `revoke`, count = 2, gap_s = 1.5
LENGTH_S = 18.0


async def case(fleet, has_trouble):
    routes = [fl.make_route("r-1", "/once/", "non_idempotent", fl.SERVICE, max_attempts=1)]
    services = [fl.make_service(fl.SERVICE)]
    engines = [await fleet.add_engine(f"i-{number}", fl.SERVICE) for number in (1, 2)]
    tenant = {"name": "parish", "priority": 1}
    fleet.write_config(routes, services, [tenant | {"api_keys": list(KEYS)}])
    entries = await fleet.add_entries(2)
    await fleet.wait_ready(entries)
    begun_at = fleet.record.now()
    revoked_at = {}
    sent = []
    while fleet.record.now() - begun_at < LENGTH_S:
        elapsed_s = fleet.record.now() - begun_at
        if has_trouble and len(revoked_at) < len(KEYS):
            if elapsed_s > 3.0 + GAP_S * len(revoked_at):
                key = KEYS[len(revoked_at)]
                left = [k for k in KEYS if k != key and k not in revoked_at]
                revoked_at[key] = fleet.write_config(
                    routes, services, [tenant | {"api_keys": left}]
                )
        for entry in entries:
            for key in (*KEYS, STRANGER):
                attempt = f"a{len(sent):04d}"
                client = fl.Client(fleet.record, entry.front)
                answer = await client.send(attempt, "POST", "/once/x", key, b"receipt")
                client.close()
                sent.append((attempt, key, answer))
        await asyncio.sleep(0.3)
    runs = {run["attempt"]: run for engine in engines for run in engine.runs}
    first = sent[0]
    if first[0] not in runs:
        raise fl.CannotRunError("no request ran before the keys were taken away")
    broken = []
    late = [
        (attempt, key, answer)
        for attempt, key, answer in sent
        if key in revoked_at
        and answer.sent_at > revoked_at[key] + REVOKE_S
        and attempt in runs
    ]
    if late:
        attempt, key, answer = late[0]
        broken.append(
            f"CONFIG: {len(late)} requests ran that were sent later than {REVOKE_S} s"
            f" after their key had been taken away; the first, {attempt} with {key},"
            f" {answer.sent_at - revoked_at[key]:.2f} s after the acknowledgement,"
            f" with Tenant {runs[attempt]['fields'].get('tenant')}"
        )
    strange = [attempt for attempt, key, _ in sent if key == STRANGER and attempt in runs]
    if strange:
        broken.append(
            f"ROUTE: {len(strange)} requests ran whose key no configuration ever held;"
            f" the first is {strange[0]}"
        )
    return broken


sys.exit(fl.run_case(case, pathlib.Path(__file__).parent))
