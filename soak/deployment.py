"""A test deployment: hosts, their store, their runners and the configuration."""

from __future__ import annotations

import socket
from contextlib import ExitStack
from pathlib import Path
from random import Random
from types import TracebackType
from typing import Any, Final, Self

from bench.loopback import IP
from godwitrudder.platform import names
from godwitrudder.validation import Address
from soak.hosts import Host
from soak.oracle import TOKENS_PER_EVENT, Oracle
from standins.platform_runner import (
    PlatformRunner,
    ReceivedRequest,
    Step,
    build_response,
    encode_chunk,
    stream_head,
)
from standins.store import Store
from tests.ports import free_port

WORKSPACES: Final = 4
RUNNERS: Final = 3
PREPAID_TOKENS: Final = 10_000
"""Initial prepaid amount of a workspace; its callers use it up in some seconds."""
TOPUP_TOKENS: Final = 4_000
BREAK_SHARE: Final = 0.05
"""Fraction of the answers with a fault, for each of the three faults of a runner."""
EVENT_INTERVAL_SECONDS: Final = 0.01
RESPONSE_DELAY_SECONDS: Final = 0.02


class Deployment:
    """Hosts, store and runners; a context manager that starts and ends them.

    Parameters
    ----------
    hosts : int
        Number of hosts.
    directory : Path
        Directory for the settings and logs of the hosts.
    random : Random
        Draws which answers a runner truncates or follows with a foreign one.
    """

    def __init__(self, hosts: int, directory: Path, random: Random) -> None:
        self.oracle = Oracle()
        self.store = Store(Address(IP, free_port()))
        self._random = random
        self._version = 0
        self._stack = ExitStack()
        self.runners = [PlatformRunner(self._script) for _ in range(RUNNERS)]
        self.hosts = [
            Host(f"front-{number}", directory, self.store.address, _port_pair())
            for number in range(hosts)
        ]

    def __enter__(self) -> Self:
        """Start the store, the runners and the hosts."""
        self._stack.enter_context(self.store)
        self.oracle.prepaid_by_workspace = {
            f"w-{number}": PREPAID_TOKENS for number in range(WORKSPACES)
        }
        self.configure()
        for number, runner in enumerate(self.runners):
            self._stack.enter_context(runner)
            record = {"service": "s", "address": runner.address, "state": "ready"}
            self.store.put(names.RUNNERS_TOPIC, f"i-{number}", {**record, "slots": 16})
        for host in self.hosts:
            self._stack.enter_context(host)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End the hosts, the runners and the store."""
        self._stack.close()

    def topup(self, workspace: str) -> None:
        """Raise the prepaid amount of a workspace in a new configuration version."""
        self.oracle.prepaid_by_workspace[workspace] += TOPUP_TOKENS
        self.configure()

    def configure(self) -> None:
        """Write a new version of the configuration to the store."""
        self._version += 1
        engine = {"stride": TOKENS_PER_EVENT, "slots": 16}
        prepaid_by_workspace = self.oracle.prepaid_by_workspace
        configuration = {
            "version": self._version,
            "routes": [_route(kind) for kind in ("safe", "unsafe", "stream", "fixed")],
            "services": [{"name": "s", "max_conns": 400, "engine": engine}],
            "tenants": [
                {"name": name, "api_keys": [f"key-{name}"], "prepaid": prepaid}
                for name, prepaid in prepaid_by_workspace.items()
            ],
        }
        self.store.put(names.OPERATOR_TOPIC, "config", configuration)

    def _script(self, received: ReceivedRequest, _number: int) -> list[Step]:
        """Record the run of a request and return the steps of its answer."""
        request_id = received.headers["x-godwitrudder-request-id"]
        self.oracle.record_run(request_id)
        request = self.oracle.requests_by_id[request_id]
        steps: list[Step] = [
            RESPONSE_DELAY_SECONDS,
            build_response(received, "200 OK", request_id.encode()),
        ]
        if request.events:
            first = int(received.headers.get("last-event-id", "0")) + 1
            steps = [RESPONSE_DELAY_SECONDS, stream_head(received)]
            for number in range(first, request.events + 1):
                event = f"id: {number}\ndata: {request_id}\n\n".encode()
                steps += [EVENT_INTERVAL_SECONDS, encode_chunk(event)]
            steps.append(encode_chunk(b""))
        return self._maybe_break(request_id, steps)

    def _maybe_break(self, request_id: str, steps: list[Step]) -> list[Step]:
        """Inject a fault into some answers.

        The connection is reset after some steps or in the middle of the last one, or
        an answer to another request follows the complete answer.
        """
        draw = self._random.random()
        if draw < BREAK_SHARE:
            self.oracle.broken_by_runner.add(request_id)
            return [*steps[: self._random.randrange(len(steps))], None]
        if draw < 2 * BREAK_SHARE:
            self.oracle.broken_by_runner.add(request_id)
            last = steps[-1]
            assert isinstance(last, bytes)
            return [*steps[:-1], last[: len(last) // 2], None]
        if draw < 3 * BREAK_SHARE:
            other = ReceivedRequest("", {"x-godwitrudder-request-id": "another"}, b"")
            return [*steps, build_response(other, "200 OK", b"another's answer")]
        return steps


def _route(kind: str) -> dict[str, Any]:
    is_stream = kind in ("stream", "fixed")
    return {
        "name": kind,
        "host": "soak.example",
        "path_prefix": f"/{kind}/",
        "kind": "streaming" if is_stream else kind,
        "timeout_ms": 3000,
        "target_latency_ms": 300,
        "priority": 0,
        "service": "s",
        "max_attempts": 1 if kind in ("unsafe", "fixed") else 2,
        "resumable": kind == "stream",
        "gap_aim_ms": 300,
    }


def _port_pair() -> int:
    """Return a free port whose successor is free too."""
    while True:
        port = free_port()
        if _is_free(port + 1):
            return port


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((IP, port))
        except OSError:
            return False
        return True
