"""Tests of rate limits and quarantine through entries, sidecars and targets."""

import asyncio

from sardinesaddle import table
from test import fleet


def test_rate_limit_is_shared_by_entries_and_never_exceeded() -> None:
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
        started_at = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() - started_at < 5.0:
            replies = await asyncio.gather(
                *(
                    caller.send_chat("x", max_tokens=1, entry=e)
                    for e in (0, 1)
                    for _ in range(3)
                )
            )
            answered += sum(1 for reply in replies if reply.status == 200)
            refused = [r for r in replies if r.status != 200]
            assert all(r.json["type"].endswith("rate-limited") for r in refused)
            assert all("Retry-After" in r.headers for r in refused)
            await asyncio.sleep(0.02)
        span_s = asyncio.get_running_loop().time() - started_at
        assert answered <= 20.0 * span_s + 8.0
        assert answered >= 0.9 * 20.0 * span_s

    fleet.run_scenario(scenario)


def test_poison_request_is_quarantined_after_at_most_two_crashes() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        valid_calls = [
            asyncio.create_task(caller.send_chat(f"fine {n}", max_tokens=60))
            for n in range(6)
        ]
        await asyncio.sleep(0.05)
        code_names = []
        for number in range(6):
            reply = await caller.send_chat("POISON", entry=number % 2)
            code_names.append(reply.json["type"].rpartition(":")[2])
            await asyncio.sleep(1.0)
        assert code_names[-1] == "quarantined", code_names
        crashes = sum(target.crashes for target in caller.dep.targets.values())
        assert crashes <= 2, code_names
        replies = await asyncio.gather(*valid_calls)
        assert all(reply.status == 200 for reply in replies)
        assert (await caller.send_chat("fine 0", max_tokens=4)).status == 200

    fleet.run_scenario(scenario)
