"""All entries are killed while the store is away; are the paid tokens still there?

Six entries and eight model runners.  The store is away for two seconds and comes back
from a copy that is four seconds old.  Meanwhile all entry processes are killed and
started again one second later (the final fault).  The check is the rule RECOVER: of
the requests sent later than ``recover_s`` after the machines are back, less than a
quarter is served, though a quarter or more was before.
"""

from __future__ import annotations

import asyncio
import os
import random
import sys
import time
from pathlib import Path

from fleet import (
    BOUNDS,
    LIMITS,
    STABLE_SECONDS,
    Fleet,
    Record,
    exchange,
    free_network,
    request_id,
    run_case,
)
from platform_store import Store, Topic
from runners import Runner, Service

ENTRIES = 6
RUNNERS = 8
REQUESTS_PER_SECOND = 30
FIRST_EVENT_SECONDS = 0.3
TIME_LIMIT_MS = 12_000
BEFORE_SECONDS = 12.0
DOWN_SECONDS = 1.0
COPY_AGE_SECONDS = 4.0
AWAY_SECONDS = 2.0
MEASURED_SECONDS = 30.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KILL = TROUBLE and os.environ.get("KILL", "1") != "0"
RESTORE = TROUBLE and os.environ.get("RESTORE", "1") != "0"


def configuration(version: int) -> dict[str, object]:
    """Return the operator's configuration."""
    engine = {
        "slots": 64,
        "kv_capacity_tokens": 475_519,
        "stride": 6,
        "models": [{"name": "m"}],
    }
    route = {
        "name": "ask",
        "host": "front.example",
        "path_prefix": "/ask/",
        "kind": "streaming",
        "timeout_ms": TIME_LIMIT_MS,
        "target_latency_ms": 1000,
        "priority": 0,
        "service": "model",
        "max_attempts": 1,
        "public": False,
        "sticky": True,
        "resumable": False,
        "gap_aim_ms": 500,
    }
    return {
        "version": version,
        "routes": [route],
        "services": [{"name": "model", "max_conns": 360, "engine": engine}],
        "limits": LIMITS,
        "tenants": [
            {"name": "guild", "api_keys": ["k1"], "priority": 1, "prepaid": 10**10}
        ],
    }


class Case:
    """The consumers, and what they saw."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        self.fleet = fleet
        self.record = record
        self.seen: list[tuple[float, int]] = []

    async def ask(self) -> None:
        """Send one request."""
        entry = random.choice(self.fleet.entries)
        identity = request_id()
        parts = ["5c1e07a2", f"{random.getrandbits(32):08x}", identity[:8]]
        headers = {
            "Authorization": "Bearer k1",
            "X-Godwitrudder-Request-Id": identity,
            "X-Godwitrudder-Deadline-Ms": str(TIME_LIMIT_MS),
            "X-Godwitrudder-Model": "m",
            "X-Godwitrudder-Token-Count": "6000,60",
            "X-Godwitrudder-Prefix-Hash": ",".join(f"{part}:2000" for part in parts),
        }
        sent = time.monotonic()
        self.record(f"sent {identity} to {entry.name}")
        answer = await exchange(
            entry.ip,
            entry.port,
            "POST",
            "/ask/2f",
            headers,
            b"q" * 200,
            TIME_LIMIT_MS / 1000,
        )
        status = answer.status if answer.complete else 0
        self.record(f"got  {identity} {status} {answer.why} {answer.seconds:.3f} s")
        self.seen.append((sent, status))

    async def run(self, stop: asyncio.Event) -> None:
        """Send requests at a rate until told to stop, then wait for the last ones."""
        tasks: set[asyncio.Task[None]] = set()
        while not stop.is_set():
            task = asyncio.create_task(self.ask())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(REQUESTS_PER_SECOND))
        await asyncio.gather(*tasks)

    def statuses(self, since: float) -> dict[int, int]:
        """Return how many requests sent later than a time got each status."""
        seen = [status for sent, status in self.seen if sent >= since]
        return {status: seen.count(status) for status in sorted(set(seen))}

    def served(self, since: float, until: float) -> tuple[int, int]:
        """Return how many requests of a time were served, and how many were sent."""
        statuses = [status for sent, status in self.seen if since <= sent < until]
        return sum(status == 200 for status in statuses), len(statuses)


async def trouble(
    fleet: Fleet, store: Store, copied: dict[str, Topic], record: Record
) -> None:
    """Kill all entries while the store is away; it comes back from an older copy."""
    if RESTORE:
        record("the store is away")
        store.away = True
        await asyncio.sleep(0.1)
    if KILL:
        record("all entries are killed")
        for entry in fleet.entries:
            entry.kill()
        await asyncio.sleep(DOWN_SECONDS)
        for entry in fleet.entries:
            entry.start()
        record("all entries are started")
    if RESTORE:
        await asyncio.sleep(AWAY_SECONDS - 0.1 - (DOWN_SECONDS if KILL else 0.0))
        store.restore(copied)
        store.away = False
        record(f"the store is back from an older copy, era {store.era}")


async def play(folder: Path, temporary: Path) -> int:
    """Play the case; return the exit status."""
    record = Record(folder / "record.txt")
    net, store = free_network(), Store()
    await store.start(f"{net}.1")
    store.put("keyed.op", "config", configuration(1))
    model = Service("model", 64, FIRST_EVENT_SECONDS, 10, 0.02)
    zones = ("caxias", "gramado", "bento")
    runners = [
        Runner(model, store, f"{net}.{100 + number}", zones[number % 3], record)
        for number in range(RUNNERS)
    ]
    for runner in runners:
        await runner.start()
    with Fleet(ENTRIES, store, net, temporary) as fleet:
        if not await fleet.wait_ready(15.0):
            print("the entries did not become ready")
            return 2
        await asyncio.sleep(STABLE_SECONDS)
        case, stop = Case(fleet, record), asyncio.Event()
        began = time.monotonic()
        consumers = asyncio.create_task(case.run(stop))
        await asyncio.sleep(BEFORE_SECONDS)
        copied = store.copy()
        await asyncio.sleep(COPY_AGE_SECONDS)
        store.put("keyed.op", "config", configuration(2))
        record("configuration 2 is acknowledged")
        fault = time.monotonic()
        if TROUBLE:
            await trouble(fleet, store, copied, record)
        if not await fleet.wait_ready(15.0):
            record("the entries did not become ready again")
        back = time.monotonic()
        record("the machines are back")
        measured = back + BOUNDS["recover_s"]
        await asyncio.sleep(BOUNDS["recover_s"] + MEASURED_SECONDS)
        stop.set()
        await consumers
    before = case.served(began, fault - 2.0)
    after = case.served(measured, measured + MEASURED_SECONDS)
    broken = 4 * before[0] >= before[1] and 4 * after[0] < after[1]
    for text in (
        f"served before the fault: {before[0]} of {before[1]}",
        f"served later than recover_s after the machines were back: "
        f"{after[0]} of {after[1]}",
        f"answers since then: {case.statuses(measured)}",
        f"RECOVER {'broken' if broken else 'held'}",
    ):
        record(text)
        print(text)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(run_case(play))
