"""Tests of rate limits and quarantine through entries, sidecars and targets."""

import asyncio

from sardinesaddle import table
from test import fleet


def test_rate_is_shared_over_entries_and_never_passed() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        dep = caller.dep
        limits = [
            table.LimitRow("summaries", rate=20.0, burst=8.0),
            table.LimitRow("ledger", burst=500.0),
        ]
        rows = dep.rows
        dep.config.publish(
            table.Rows(rows.accounts, rows.services, rows.targets, limits)
        )
        await fleet.wait_until(
            lambda: (
                all(e.entry.sync.conf.revision == 2 for e in dep.entries)
                and all(
                    s.sidecar.sync.conf.revision == 2 for s in dep.sidecars.values()
                )
            )
        )
        answered = 0
        began_at = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() - began_at < 5.0:
            replies = await asyncio.gather(
                *(caller.chat("x", tokens=1, entry=e) for e in (0, 1) for _ in range(3))
            )
            answered += sum(1 for reply in replies if reply.status == 200)
            refused = [r for r in replies if r.status != 200]
            assert all(r.json["type"].endswith("rate-limited") for r in refused)
            assert all("Retry-After" in r.headers for r in refused)
            await asyncio.sleep(0.02)
        span_s = asyncio.get_running_loop().time() - began_at
        assert answered <= 20.0 * span_s + 8.0
        assert answered >= 0.9 * 20.0 * span_s

    fleet.play(scenario)


def test_poisonous_request_costs_two_targets_and_no_innocent_is_refused() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        innocents = [
            asyncio.create_task(caller.chat(f"fine {n}", tokens=60)) for n in range(6)
        ]
        await asyncio.sleep(0.05)
        kinds = []
        for number in range(6):
            reply = await caller.chat("POISON", entry=number % 2)
            kinds.append(reply.json["type"].rpartition(":")[2])
            await asyncio.sleep(1.0)
        assert kinds[-1] == "quarantined", kinds
        crashes = sum(target.crashes for target in caller.dep.targets.values())
        assert crashes <= 2, kinds
        replies = await asyncio.gather(*innocents)
        assert all(reply.status == 200 for reply in replies)
        assert (await caller.chat("fine 0", tokens=4)).status == 200

    fleet.play(scenario)
