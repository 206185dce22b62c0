"""Runners crash under prompts of many parts; do the entries go on answering?

Six entries, four model runners and three runners of a plain service.  Consumers ask
the model within sessions, whose prompts have 60 parts, and call the plain service.
One model runner in four crashes from time to time.  The check is the rule CONFIG: of
the requests that are still unanswered at their route's ``timeout_ms``, more than half
have no answer half a second later, at machines in touch.
"""

from __future__ import annotations

import asyncio
import os
import random
import sys
import time
from pathlib import Path

from fleet import (
    LIMITS,
    STABLE_SECONDS,
    Fleet,
    Record,
    exchange,
    free_network,
    request_id,
    run_case,
)
from platform_store import Store
from runners import Runner, Service

ENTRIES = 6
MODEL_RUNNERS = 4
PLAIN_RUNNERS = 3
PLAIN_TIMEOUT_MS = 1500
MODEL_TIMEOUT_MS = 12_000
LATE_SECONDS = 0.5
TURNS_PER_SECOND = 40
CALLS_PER_SECOND = 24
HISTORY_PARTS = 58
PART_TOKENS = 100
THINK_SECONDS = 30.0
QUIET_SECONDS = 8.0
CRASH_INTERVAL_SECONDS = 2.2
CRASHES = 24
DOWN_SECONDS = 2.0
AFTER_SECONDS = 30.0
MIN_UNANSWERED = 20
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def configuration() -> dict[str, object]:
    """Return the operator's configuration."""

    def route(name: str, kind: str, service: str, timeout: int, aim: int) -> dict:
        return {
            "name": name,
            "host": "front.example",
            "path_prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": timeout,
            "target_latency_ms": aim,
            "priority": 0 if kind == "streaming" else 2,
            "service": service,
            "max_attempts": 1,
            "public": False,
            "sticky": kind == "streaming",
            "resumable": False,
            "gap_aim_ms": 500,
        }

    engine = {
        "slots": 64,
        "kv_capacity_tokens": 475_519,
        "stride": 6,
        "models": [{"name": "m"}],
    }
    return {
        "version": 1,
        "routes": [
            route("ask", "streaming", "model", MODEL_TIMEOUT_MS, 1000),
            route("pay", "unsafe", "plain", PLAIN_TIMEOUT_MS, 125),
        ],
        "services": [
            {"name": "model", "max_conns": 360, "engine": engine},
            {"name": "plain", "max_conns": 96},
        ],
        "limits": LIMITS,
        "tenants": [
            {"name": "guild", "api_keys": ["k1"], "priority": 1, "prepaid": 10**11}
        ],
    }


class Case:
    """The consumers, and what they saw."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        self.fleet = fleet
        self.record = record
        self.sessions: list[tuple[float, list[str]]] = []
        self.counts: dict[str, int] = {}
        self.late: list[tuple[float, bool]] = []
        self.began = time.monotonic()

    def _next_session(self) -> list[str]:
        now = time.monotonic()
        if self.sessions and now - self.sessions[0][0] > THINK_SECONDS:
            return self.sessions.pop(0)[1]
        return [f"{random.getrandbits(32):08x}" for _ in range(HISTORY_PARTS)]

    async def ask(self) -> None:
        """One turn of a session; a session whose turn fails is given up."""
        history = self._next_session()
        own = f"{random.getrandbits(32):08x}"
        parts = ["5c1e07a2", *history, own]
        prompt = len(parts) * PART_TOKENS
        headers = {
            "Authorization": "Bearer k1",
            "X-Godwitrudder-Model": "m",
            "X-Godwitrudder-Token-Count": f"{prompt},60",
            "X-Godwitrudder-Prefix-Hash": ",".join(f"{p}:{PART_TOKENS}" for p in parts),
        }
        answer = await self._send("POST", "/ask/2f", headers, MODEL_TIMEOUT_MS)
        if answer == 200:
            self.sessions.append((time.monotonic(), [*history, own]))

    async def pay(self) -> None:
        """One call of the plain service."""
        headers = {"Authorization": "Bearer k1"}
        await self._send("POST", "/pay/2f", headers, PLAIN_TIMEOUT_MS)

    async def _send(
        self, method: str, path: str, headers: dict[str, str], timeout_ms: int
    ) -> int:
        entry = random.choice(self.fleet.entries)
        identity = request_id()
        headers = {
            **headers,
            "X-Godwitrudder-Request-Id": identity,
            "X-Godwitrudder-Deadline-Ms": str(timeout_ms + 2000),
        }
        sent = time.monotonic()
        self.record(f"sent {identity} {path} to {entry.name}")
        until = timeout_ms / 1000 + LATE_SECONDS
        answer = await exchange(
            entry.ip, entry.port, method, path, headers, b"q" * 200, until
        )
        what = str(answer.status) if answer.complete else f"none ({answer.why})"
        self.record(f"got  {identity} {what} after {answer.seconds:.3f} s")
        self.counts[f"{path} {what}"] = self.counts.get(f"{path} {what}", 0) + 1
        in_touch = sent - entry.started > STABLE_SECONDS
        if in_touch and answer.seconds >= timeout_ms / 1000:
            self.late.append((sent - self.began, answer.complete))
        return answer.status if answer.complete else 0

    async def run(self, per_second: int, send: object, ends: float) -> None:
        """Send requests at a rate until a time, then wait for the last ones."""
        tasks: set[asyncio.Task[None]] = set()
        while time.monotonic() < ends:
            task = asyncio.create_task(send())  # type: ignore[operator]
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(per_second))
        await asyncio.wait_for(asyncio.gather(*tasks), 14.0)


async def crash_runners(runners: list[Runner]) -> None:
    """Crash one runner in four at a time."""
    await asyncio.sleep(QUIET_SECONDS)
    for number in range(CRASHES):
        asyncio.get_running_loop().create_task(
            runners[number % len(runners)].crash(DOWN_SECONDS)
        )
        await asyncio.sleep(CRASH_INTERVAL_SECONDS)


async def play(folder: Path, temporary: Path) -> int:
    """Play the case; return the exit status."""
    record = Record(folder / "record.txt")
    net, store = free_network(), Store()
    await store.start(f"{net}.1")
    store.put("keyed.op", "config", configuration())
    model = Service("model", 64, 0.9, 10, 0.02)
    plain = Service("plain", 6, 0.0225)
    zones = ("caxias", "gramado", "bento")
    runners = [
        Runner(model, store, f"{net}.{100 + number}", zones[number % 3], record)
        for number in range(MODEL_RUNNERS)
    ]
    plain_runners = [
        Runner(plain, store, f"{net}.{150 + number}", zones[number % 3], record)
        for number in range(PLAIN_RUNNERS)
    ]
    for runner in runners + plain_runners:
        await runner.start()
    with Fleet(ENTRIES, store, net, temporary) as fleet:
        if not await fleet.wait_ready(15.0):
            print("the entries did not become ready")
            return 2
        await asyncio.sleep(STABLE_SECONDS)
        case = Case(fleet, record)
        seconds = QUIET_SECONDS + CRASHES * CRASH_INTERVAL_SECONDS + AFTER_SECONDS
        ends = time.monotonic() + seconds
        work = [case.run(TURNS_PER_SECOND, case.ask, ends)]
        work.append(case.run(CALLS_PER_SECOND, case.pay, ends))
        if TROUBLE:
            work.append(crash_runners(runners))
        work.append(report(case, store, record, ends))
        await asyncio.gather(*work)
        ended = [entry.name for entry in fleet.entries if entry.ended]
    unanswered = len(case.late)
    never = sum(not complete for _, complete in case.late)
    broken = unanswered >= MIN_UNANSWERED and 2 * never > unanswered
    for text in (
        f"answers: {dict(sorted(case.counts.items()))}",
        f"ended by themselves: {ended}",
        f"largest record {store.largest} bytes; refused as too large: {store.refused}",
        f"unanswered at timeout_ms: {unanswered}; half a second later: {never}",
        f"CONFIG {'broken' if broken else 'held'}",
    ):
        record(text)
        print(text)
    return 1 if broken else 0


async def report(case: Case, store: Store, record: Record, ends: float) -> None:
    """Record the processor time of the entries every few seconds."""
    while time.monotonic() < ends:
        used = [entry.cpu_seconds() for entry in case.fleet.entries]
        await asyncio.sleep(5.0)
        now = [entry.cpu_seconds() for entry in case.fleet.entries]
        shares = [round((b - a) / 5.0, 2) for a, b in zip(used, now)]
        record(
            f"cores used by entries {shares}; largest record {store.largest} bytes; "
            f"appended {store.appended}; late so far {len(case.late)}, "
            f"never {sum(not complete for _, complete in case.late)}"
        )


if __name__ == "__main__":
    sys.exit(run_case(play))
