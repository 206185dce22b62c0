"""One entry process over loopback with its store and scripted runners, for tests."""

from __future__ import annotations

import socket
from collections.abc import Iterator, Mapping
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from typing import Any

import gevent

from bench.loopback import IP
from godwitrudder.platform import names
from godwitrudder.platform.settings import EntrySettings
from godwitrudder.process.decisions import DecisionLog
from godwitrudder.process.entry import Entry
from godwitrudder.validation import Address
from standins.platform_runner import (
    PlatformRunner,
    ReceivedRequest,
    Script,
    Step,
    build_event,
    build_response,
    encode_chunk,
    stream_head,
)
from standins.store import Store
from tests.ports import free_datagram_port, free_port

PREPAID = 100_000
ENGINE = {"stride": 2, "models": [{"name": "m"}]}


class RecordingLog(DecisionLog):
    """A decision log that also keeps kind, request and inputs of each decision."""

    def __init__(self, host: str, descriptor: int) -> None:
        super().__init__(host, descriptor)
        self.decisions: list[tuple[str, str, dict[str, Any]]] = []

    def note(self, kind: str, request: str = "", **inputs: Any) -> None:
        """Record a line and write it."""
        self.decisions.append((kind, request, inputs))
        super().note(kind, request, **inputs)


@dataclass
class EntrySetup:
    """One entry process with its own store and runners."""

    entry: Entry
    store: Store
    runners: list[PlatformRunner]
    log: RecordingLog

    def ask(
        self,
        path: str = "/safe/1",
        method: str = "GET",
        key: str = "key-1",
        headers: str = "",
        body: bytes = b"",
    ) -> bytes:
        """Send one request on a new connection and return all bytes of the answer."""
        address = self.entry.settings.callers
        with socket.create_connection((address.ip, address.port)) as sock:
            sock.sendall(request(path, method, key, headers, body))
            return read_all(sock)


def request(
    path: str,
    method: str = "GET",
    key: str = "key-1",
    headers: str = "",
    body: bytes = b"",
) -> bytes:
    """Return the bytes of a request with id ``r-1``."""
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n"
        "X-Godwitrudder-Request-Id: r-1\r\nX-Godwitrudder-Deadline-Ms: 2000\r\n"
        f"Authorization: Bearer {key}\r\nConnection: close\r\n{headers}{length}\r\n"
    ).encode() + body


def read_all(sock: socket.socket) -> bytes:
    """Read until the other side closes."""
    data = b""
    while part := sock.recv(65536):
        data += part
    return data


def route(prefix: str, kind: str, **more: object) -> dict[str, object]:
    """Return a route to the only service."""
    return {
        "name": prefix,
        "host": "shop.example",
        "path_prefix": f"/{prefix}/",
        "kind": kind,
        "timeout_ms": 2000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": "s",
        "max_attempts": 2,
        **more,
    }


def configuration(version: int = 1, prepaid: int = PREPAID) -> dict[str, object]:
    """Return a configuration with a route of every kind."""
    return {
        "version": version,
        "routes": [
            route("safe", "safe"),
            route("unsafe", "unsafe", max_attempts=1),
            route("stream", "streaming", resumable=True, gap_aim_ms=300),
            route("fixed", "streaming", max_attempts=1, gap_aim_ms=300),
        ],
        "services": [{"name": "s", "max_conns": 100, "engine": ENGINE}],
        "tenants": [{"name": "w", "api_keys": ["key-1"], "prepaid": prepaid}],
    }


@dataclass
class FleetSetup:
    """Several entry processes with one store and the same runners."""

    hosts: list[EntrySetup]
    store: Store
    runners: list[PlatformRunner]
    regions: Mapping[str, str] = field(default_factory=dict)


@contextmanager
def run_entry(
    *scripts: Script, regions: Mapping[str, str] | None = None
) -> Iterator[EntrySetup]:
    """Run an entry process with one runner for each script."""
    with run_fleet(1, *scripts, regions=regions) as fleet:
        yield fleet.hosts[0]


@contextmanager
def run_fleet(
    hosts: int,
    *scripts: Script,
    lending: bool = False,
    regions: Mapping[str, str] | None = None,
) -> Iterator[FleetSetup]:
    """Run entry processes with one runner for each script.

    Parameters
    ----------
    lending : bool
        Whether the processes exchange messages.
    regions : mapping of str to str
        Region by failure domain, for the settings.
    """
    with ExitStack() as stack:
        store = stack.enter_context(Store(Address(IP, free_port())))
        runners = [
            stack.enter_context(PlatformRunner(script, IP)) for script in scripts
        ]
        store.put(names.OPERATOR_TOPIC, "config", configuration())
        for number, runner in enumerate(runners):
            list_runner(store, number, runner)
        sink = stack.enter_context(open("/dev/null", "wb"))
        fleet = FleetSetup([], store, runners, regions or {})
        for number in range(1, hosts + 1):
            fleet.hosts.append(start_host(stack, fleet, number, lending, sink.fileno()))
        for host in fleet.hosts:
            while not host.entry.ready:
                gevent.sleep(0.01)
        gevent.sleep(0.1)
        yield fleet


def list_runner(
    store: Store, number: int, runner: PlatformRunner, **more: object
) -> None:
    """Write the store's record of a runner."""
    record = {"service": "s", "address": runner.address, "state": "ready", "slots": 4}
    store.put(names.RUNNERS_TOPIC, f"i-{number}", {**record, **more})


def start_host(
    stack: ExitStack, fleet: FleetSetup, number: int, lending: bool, descriptor: int
) -> EntrySetup:
    """Start one entry process; the stack closes it."""
    settings = EntrySettings(
        host=f"front-{number}",
        failure_domain="magong",
        callers=Address(IP, free_port()),
        ready=Address(IP, free_port()),
        store=fleet.store.address,
        leave_seconds=2.0,
        grace_seconds=2.0,
        retry_share=0.2,
        retry_window_seconds=10.0,
        retry_slack=50.0,
        peers=Address(IP, free_datagram_port()) if lending else None,
        region_by_failure_domain=fleet.regions,
    )
    log = RecordingLog(settings.host, descriptor)
    entry = Entry(settings, None, log)
    stack.callback(entry.close)
    entry.start()
    return EntrySetup(entry, fleet.store, fleet.runners, log)


# Answer scripts of runners; the number of earlier requests is not used.
def good(seen: ReceivedRequest, _number: int) -> list[Step]:
    return [build_response(seen, "200 OK", b"hello")]


def rejecting(seen: ReceivedRequest, _number: int) -> list[Step]:
    not_run = "X-Godwitrudder-Not-Executed: 1"
    return [build_response(seen, "503 Full", b"", not_run, signed=False)]


def silent(_seen: ReceivedRequest, _number: int) -> list[Step]:
    return [30.0]


def resetting(_seen: ReceivedRequest, _number: int) -> list[Step]:
    return [None]


def garbled(_seen: ReceivedRequest, _number: int) -> list[Step]:
    return [b"\x00\x01 this is no answer\r\n\r\n", None]


def short(seen: ReceivedRequest, _number: int) -> list[Step]:
    return [build_response(seen, "200 OK", b"hello")[:-2], None]


def unsigned(seen: ReceivedRequest, _number: int) -> list[Step]:
    return [build_response(seen, "200 OK", b"hello", signed=False)]


def late_extra(seen: ReceivedRequest, _number: int) -> list[Step]:
    """Send an unsolicited second answer, which the next request must not receive."""
    extra = build_response(seen, "200 OK", b"wrong")
    return [build_response(seen, "200 OK", b"hello"), 0.01, extra]


def status_of(data: bytes) -> int:
    """Return the status of an answer."""
    return int(data.split(b" ", 2)[1])


def streaming(*numbers: int, whole: bool = True) -> Script:
    def script(seen: ReceivedRequest, _number: int) -> list[Step]:
        steps: list[Step] = [stream_head(seen)]
        steps += [encode_chunk(build_event(number)) for number in numbers]
        return (
            [*steps, b"0\r\n\r\n"]
            if whole
            else [*steps, encode_chunk(b"id: 9\nda"), None]
        )

    return script


def resumed(seen: ReceivedRequest, number: int) -> list[Step]:
    """Break off within an event; resume after the last complete one when asked."""
    after = seen.headers.get("last-event-id")
    if after is None:
        return streaming(0, 1, whole=False)(seen, number)
    assert after == "1"
    return streaming(2, 3)(seen, number)
