"""The configuration allows larger bodies; do open connections allow them too?

Six entries and three runners of a plain service.  Twelve consumers keep a connection
each and use it every second.  A new configuration raises ``max_body_bytes`` from 1 MiB
to 4 MiB.  More than ``config_ms`` later each consumer sends bodies just above 1 MiB on
the connection that it has.  The check is the rule DENIED: more than 5 + one in 500 of
all requests are ended with a 4xx of the system's own though every configuration that
may be in force allows them, by machines in touch.
"""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

from fleet import (
    BOUNDS,
    LIMITS,
    STABLE_SECONDS,
    Fleet,
    Record,
    free_network,
    request_id,
    run_case,
)
from platform_store import Store
from runners import Runner, Service

ENTRIES = 6
CONSUMERS = 12
RUNNERS = 3
TIMEOUT_MS = 5000
SMALL_LIMIT, LARGE_LIMIT = 1_048_576, 4_194_304
SMALL_BODY, LARGE_BODY = 600, SMALL_LIMIT + 600
SMALL_REQUESTS, LARGE_REQUESTS = 6, 3
MARGIN_SECONDS = 2.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def configuration(version: int, body_bytes: int) -> dict[str, object]:
    """Return the operator's configuration."""
    route = {
        "name": "photo",
        "host": "front.example",
        "path_prefix": "/photo/",
        "kind": "unsafe",
        "timeout_ms": TIMEOUT_MS,
        "target_latency_ms": 1000,
        "priority": 2,
        "service": "plain",
        "max_attempts": 1,
        "public": False,
    }
    return {
        "version": version,
        "routes": [route],
        "services": [{"name": "plain", "max_conns": 96}],
        "limits": {**LIMITS, "max_body_bytes": body_bytes},
        "tenants": [{"name": "guild", "api_keys": ["k1"], "priority": 1}],
    }


class Consumer:
    """One consumer with a connection that it keeps until the entry closes it."""

    def __init__(self, name: str, ip: str, port: int, record: Record) -> None:
        self._name, self._ip, self._port, self._record = name, ip, port, record
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.statuses: list[int] = []

    async def send(self, size: int) -> None:
        """Send one request and read its answer."""
        identity = request_id()
        if self._streams is None:
            self._streams = await asyncio.open_connection(self._ip, self._port)
            self._record(f"{self._name} opens a connection")
        reader, writer = self._streams
        self._record(f"sent {identity} by {self._name}, body of {size} bytes")
        writer.write(
            "POST /photo/1 HTTP/1.1\r\nHost: front.example\r\n"
            f"X-Godwitrudder-Request-Id: {identity}\r\n"
            f"X-Godwitrudder-Deadline-Ms: {TIMEOUT_MS}\r\n"
            f"Authorization: Bearer k1\r\nContent-Length: {size}\r\n\r\n".encode()
        )
        status, closes = 0, True
        try:
            status, closes = await asyncio.wait_for(
                self._talk(reader, writer, size), TIMEOUT_MS / 1000
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self._record(f"lost {identity}: {type(error).__name__}")
        if closes:
            writer.close()
            self._streams = None
        self._record(f"got  {identity} {status}")
        self.statuses.append(status)

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()

    async def _talk(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, size: int
    ) -> tuple[int, bool]:
        head_task = asyncio.ensure_future(reader.readuntil(b"\r\n\r\n"))
        sent = 0
        while sent < size and not head_task.done():
            part = min(65_536, size - sent)
            writer.write(b"p" * part)
            sent += part
            try:
                await asyncio.wait_for(writer.drain(), 0.2)
            except (TimeoutError, ConnectionError):
                break
            await asyncio.sleep(0)
        head = (await head_task).decode("latin-1").lower()
        length = int(head.partition("content-length:")[2].partition("\r")[0])
        await reader.readexactly(length)
        return int(head.split(" ")[1]), "connection: close" in head


async def play(folder: Path, temporary: Path) -> int:
    """Play the case; return the exit status."""
    record = Record(folder / "record.txt")
    net, store = free_network(), Store()
    await store.start(f"{net}.1")
    first_limit = SMALL_LIMIT if TROUBLE else LARGE_LIMIT
    store.put("keyed.op", "config", configuration(1, first_limit))
    record(f"configuration 1 allows bodies of {first_limit} bytes")
    service = Service("plain", 6, 0.045)
    zones = ("caxias", "gramado", "bento")
    runners = [
        Runner(service, store, f"{net}.{150 + number}", zones[number], record)
        for number in range(RUNNERS)
    ]
    for runner in runners:
        await runner.start()
    with Fleet(ENTRIES, store, net, temporary) as fleet:
        if not await fleet.wait_ready(15.0):
            print("the entries did not become ready")
            return 2
        await asyncio.sleep(STABLE_SECONDS)
        entries = [fleet.entries[number % ENTRIES] for number in range(CONSUMERS)]
        consumers = [
            Consumer(f"c{number}", entry.ip, entry.port, record)
            for number, entry in enumerate(entries)
        ]
        for _ in range(SMALL_REQUESTS):
            await asyncio.gather(*(each.send(SMALL_BODY) for each in consumers))
            await asyncio.sleep(1.0)
        store.put("keyed.op", "config", configuration(2, LARGE_LIMIT))
        record(f"configuration 2 allows bodies of {LARGE_LIMIT} bytes; acknowledged")
        acked = time.monotonic()
        while time.monotonic() - acked < BOUNDS["config_ms"] / 1000 + MARGIN_SECONDS:
            await asyncio.gather(*(each.send(SMALL_BODY) for each in consumers))
            await asyncio.sleep(1.0)
        for _ in range(LARGE_REQUESTS):
            await asyncio.gather(*(each.send(LARGE_BODY) for each in consumers))
            await asyncio.sleep(1.0)
        for each in consumers:
            each.close()
        await asyncio.sleep(0.1)
    statuses = [status for each in consumers for status in each.statuses]
    promises = (408, 421, 429)
    denied = sum(300 <= each < 500 and each not in promises for each in statuses)
    broken = denied > 5 + len(statuses) / 500
    counts = {each: statuses.count(each) for each in sorted(set(statuses))}
    for text in (
        f"statuses: {counts}",
        f"denied by the system: {denied} of {len(statuses)} requests",
        f"DENIED {'broken' if broken else 'held'}",
    ):
        record(text)
        print(text)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(run_case(play))
