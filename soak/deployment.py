"""A test deployment: hosts, their store, their runners and the configuration."""

from __future__ import annotations

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
from soak.runner_rules import COLD_PER_SECOND, RunnerRules
from soak.runners import SoakRunner
from standins.store import Store
from tests.ports import free_port

WORKSPACES: Final = 4
RUNNERS: Final = 3
PREPAID_TOKENS: Final = 10_000
"""Initial prepaid amount of a workspace; its callers use it up in some seconds."""
TOPUP_TOKENS: Final = 4_000

EVACUATED_DOMAIN: Final = "xiyu"
"""Failure domain of the last runner, which is evacuated at times."""
COLD: Final = {"cold_per_s": COLD_PER_SECOND, "cold_start_s": 0.5}
"""The cold time after a crash is short, so that other faults get enough requests."""


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

    Attributes
    ----------
    evacuated : bool
        Whether ``EVACUATED_DOMAIN`` is evacuated now.
    poison_part : str
        Prompt part of some requests now that ends their runner; empty for none.
    """

    def __init__(self, hosts: int, directory: Path, random: Random) -> None:
        self.oracle = Oracle()
        self.store = Store(Address(IP, free_port()))
        self.poison_part = ""
        self.evacuated = False
        self._version = 0
        self._stack = ExitStack()
        self.hosts = [
            Host(f"front-{number}", directory, self.store.address)
            for number in range(hosts)
        ]
        self.hosts_by_name = {host.name: host for host in self.hosts}
        self.rules = RunnerRules(
            self.oracle.violations.append,
            lambda name: self.hosts_by_name[name].excused,
        )
        self.runners = [
            SoakRunner(f"i-{number}", self.oracle, self.rules, random)
            for number in range(RUNNERS)
        ]
        self.runners_by_name = {runner.name: runner for runner in self.runners}

    def __enter__(self) -> Self:
        """Start the store, the runners and the hosts."""
        self._stack.enter_context(self.store)
        self.oracle.prepaid_by_workspace = {
            f"w-{number}": PREPAID_TOKENS for number in range(WORKSPACES)
        }
        self.configure()
        for runner in self.runners:
            self._stack.enter_context(runner)
            self.list_runner(runner)
        for host in self.hosts:
            self._stack.enter_context(host)
        for host in self.hosts:
            host.start()
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
            "services": [{"name": "s", "max_conns": 400, "engine": engine} | COLD],
            "tenants": [
                {"name": name, "api_keys": [f"key-{name}"], "prepaid": prepaid}
                for name, prepaid in prepaid_by_workspace.items()
            ],
        }
        self.store.put(names.OPERATOR_TOPIC, "config", configuration)

    def list_runner(self, runner: SoakRunner) -> None:
        """Write the store's record of a runner."""
        record = {
            "service": "s",
            "address": runner.address,
            "state": "ready",
            "slots": 16,
            "born": runner.born,
            "zone": EVACUATED_DOMAIN if runner is self.runners[-1] else "magong",
        }
        self.store.put(names.RUNNERS_TOPIC, runner.name, record)

    def write_evacuation(self) -> None:
        """Write or delete the record of the evacuation."""
        key = names.EVACUATION_PREFIX + EVACUATED_DOMAIN
        self.store.put(names.OPERATOR_TOPIC, key, True if self.evacuated else None)


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
