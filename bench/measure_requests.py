"""Latency that the router adds to a request, and the resources of a daemon.

The daemon under test and two peers, which witness for it, run in separate processes;
stand-ins and callers run in this one. Latencies come from direct calls and calls
through the router that alternate in one run.
"""

from __future__ import annotations

import json
import os
import time
from collections.abc import Iterator
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from statistics import quantiles
from tempfile import TemporaryDirectory
from typing import Any, Final

import gevent
from gevent.pool import Pool
from geventhttpclient import HTTPClient

from bench.fleet import EXAMPLES, PLATFORM
from bench.loopback import IP
from bench.processes import DaemonProcess
from bench.report import Row
from godwitrudder.platform.hosts import HostEntry
from godwitrudder.validation import Address
from godwitrudder.version.document import SECTIONS
from standins.document import publish_document
from standins.engine import Engine
from standins.platform import Platform

KEY: Final = "penghu-registry-key"
ENGINES: Final = 2
PAIR_COUNT: Final = 120
ANSWER_TOKENS: Final = 8
REQUESTS: Final = 10_000
CONCURRENT: Final = 24
STREAMS: Final = 400
STREAM_SLOWDOWN: Final = 400.0
HOLD_SECONDS: Final = 15.0
SETTLE_SECONDS: Final = 2.0
MAX_FIRST_TOKEN_MILLIS: Final = 1200.0
MAX_BETWEEN_TOKENS_MILLIS: Final = 44.0
MAX_MEMORY_MEGABYTES: Final = 64.0
TICKS_PER_SECOND: Final = os.sysconf("SC_CLK_TCK")
HEADERS: Final = {
    "Authorization": f"Bearer {KEY}",
    "Content-Type": "application/json",
}


@dataclass(slots=True)
class Times:
    """Latencies of one path in milliseconds.

    Attributes
    ----------
    first, between : list of float
        Times to the first token, and between tokens.
    """

    first: list[float] = field(default_factory=list)
    between: list[float] = field(default_factory=list)


class Testbed:
    """Stand-ins in this process and three daemons in separate processes."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self.daemons = [DaemonProcess(number, directory) for number in (1, 2, 3)]
        self.engines = [
            Engine(Address(IP, 8200 + number), slots=2 * STREAMS)
            for number in range(ENGINES)
        ]
        self.platform = Platform(PLATFORM, self._hosts())
        self._stack = ExitStack()

    @property
    def daemon(self) -> DaemonProcess:
        """The daemon under test."""
        return self.daemons[0]

    def __enter__(self) -> Testbed:
        """Start the stand-ins, publish the document, start the daemons."""
        for server in (self.platform, *self.engines):
            self._stack.enter_context(server)
        publish_document(self.platform, self._directory, self._files())
        for daemon in self.daemons:
            self._stack.enter_context(daemon)
        for daemon in self.daemons:
            daemon.wait_ready()
        gevent.sleep(SETTLE_SECONDS)
        return self

    def __exit__(self, *error: Any) -> None:
        """Stop the daemons and the stand-ins."""
        self._stack.close()

    def _files(self) -> dict[str, str]:
        """Write the example's document with ample budgets and slots."""
        for section in SECTIONS:
            text = (EXAMPLES / "penghu" / f"{section}.json5").read_text()
            text = text.replace('"paid_tokens": 20000', '"paid_tokens": 1000000000')
            text = text.replace('"slots_per_runner": 8', '"slots_per_runner": 1000')
            (self._directory / f"{section}.json5").write_text(text)
        return {section: f"{section}.json5" for section in SECTIONS}

    def _hosts(self) -> list[HostEntry]:
        hosts = [
            HostEntry(
                id=daemon.host,
                role="router",
                address=str(daemon.peer),
                failure_domain=daemon.failure_domain,
            )
            for daemon in self.daemons
        ]
        for number, engine in enumerate(self.engines):
            hosts.append(
                HostEntry(
                    id=f"engine-{number}",
                    role="runner",
                    address=str(engine.address),
                    failure_domain="magong",
                    target="rudder-llm",
                )
            )
        return hosts


def rows() -> Iterator[Row]:
    """Yield the rows of memory, latency, throughput and open streams."""
    with TemporaryDirectory() as directory, Testbed(Path(directory)) as bed:
        idle = resident_megabytes(bed.daemon.pid)
        yield Row("requests.idle_memory", idle, "MB", MAX_MEMORY_MEGABYTES)
        yield from latency_rows(bed)
        yield from throughput_rows(bed)
        yield from held_stream_rows(bed)


def latency_rows(bed: Testbed) -> Iterator[Row]:
    """Compare the latencies of routed and direct calls."""
    direct, routed = Times(), Times()
    clients = [
        (direct, client(bed.engines[0].address)),
        (routed, client(bed.daemon.caller)),
    ]
    for number in range(PAIR_COUNT):
        for times, caller in clients:
            stream_answer(
                caller, f"pair {number}", times, {"X-Request-Id": f"direct-{number}"}
            )
    for name in ("first", "between"):
        base, ours = getattr(direct, name), getattr(routed, name)
        for share in (50, 95):
            low, high = percentile(base, share), percentile(ours, share)
            yield Row(f"requests.{name}_ratio_p{share}", high / low, "ratio")
            yield Row(f"requests.{name}_added_p{share}", high - low, "ms")
    first = percentile(routed.first, 95)
    between = percentile(routed.between, 95)
    yield Row("requests.first_p95", first, "ms", MAX_FIRST_TOKEN_MILLIS)
    yield Row("requests.between_p95", between, "ms", MAX_BETWEEN_TOKENS_MILLIS)


def throughput_rows(bed: Testbed) -> Iterator[Row]:
    """Send many short requests; measure the daemon's processor time and memory."""
    pool, caller = Pool(CONCURRENT), client(bed.daemon.caller)
    before, started_at = cpu_seconds(bed.daemon.pid), time.monotonic()
    statuses = pool.map(
        lambda number: send_short_request(caller, number), range(REQUESTS)
    )
    spent = cpu_seconds(bed.daemon.pid) - before
    rate = REQUESTS / (time.monotonic() - started_at)
    failed = sum(status != 200 for status in statuses)
    yield Row("requests.failed_of_10000", failed, "requests", 0.0)
    yield Row("requests.per_daemon_core", REQUESTS / spent, "1/s", better="higher")
    yield Row("requests.cpu_each", spent / REQUESTS * 1000, "ms")
    yield Row("requests.rate_in_this_run", rate, "1/s", better="higher")
    after = resident_megabytes(bed.daemon.pid)
    yield Row("requests.memory_after_10000", after, "MB", MAX_MEMORY_MEGABYTES)


def held_stream_rows(bed: Testbed) -> Iterator[Row]:
    """Hold many slow streams open at the same time; measure the memory of each."""
    for engine in bed.engines:
        engine.faults.set({"slow": STREAM_SLOWDOWN})
    before = resident_megabytes(bed.daemon.pid)
    caller = client(bed.daemon.caller)
    times = [Times() for _ in range(STREAMS)]
    tasks = [
        gevent.spawn(stream_answer, caller, f"held {number}", times[number])
        for number in range(STREAMS)
    ]
    with gevent.Timeout(HOLD_SECONDS, False):
        while any(not each.first for each in times):
            gevent.sleep(0.05)
    open_now = sum(
        bool(each.first) and not task.ready()
        for each, task in zip(times, tasks, strict=True)
    )
    yield Row("requests.streams_held", open_now, "streams", better="higher")
    grown = (resident_megabytes(bed.daemon.pid) - before) * 1024
    yield Row("requests.memory_per_stream", grown / max(1, open_now), "KB")
    gevent.killall(tasks)


def client(address: Address) -> HTTPClient:
    """Return a client that keeps its connections open."""
    return HTTPClient(
        address.ip, address.port, concurrency=2 * STREAMS, network_timeout=60.0
    )


def stream_answer(
    caller: HTTPClient,
    prompt: str,
    times: Times,
    headers: dict[str, str] | None = None,
) -> None:
    """Stream one answer and record the times of its tokens."""
    body = {
        "model": "rudder-llm",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": ANSWER_TOKENS,
        "stream": True,
    }
    last = time.perf_counter()
    response = caller.request(
        "POST",
        "/v1/chat/completions",
        json.dumps(body),
        {**HEADERS, **(headers or {})},
    )
    latencies = times.first
    while line := bytes(response.readline(b"\n")):
        if b'"content": "' in line and b'"content": ""' not in line:
            now = time.perf_counter()
            latencies.append((now - last) * 1000)
            last, latencies = now, times.between
        if line.startswith(b"data: [DONE]"):
            response.read()
            return


def send_short_request(caller: HTTPClient, number: int) -> int:
    """Request two tokens and return the HTTP status."""
    body = {
        "model": "rudder-llm",
        "messages": [{"role": "user", "content": f"short {number}"}],
        "max_tokens": 2,
    }
    response = caller.request("POST", "/v1/chat/completions", json.dumps(body), HEADERS)
    response.read()
    return int(response.status_code)


def percentile(values: list[float], share: int) -> float:
    """Return the percentile ``share``, from 1 to 99."""
    return quantiles(values, n=100)[share - 1]


def resident_megabytes(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def cpu_seconds(pid: int) -> float:
    """Return the processor time of a process, user and system, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
