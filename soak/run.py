"""One soak run: callers and faults against a site, then a report of violations."""

from __future__ import annotations

import tempfile
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Final

import gevent

from soak.callers import Caller
from soak.faults import FaultInjector
from soak.site import Site

FAULT_FREE_SECONDS: Final = 1.0
"""Duration of the last phase, in which callers send requests without faults."""


@dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of a run.

    Attributes
    ----------
    seed : int
        Seed of the faults, the broken answers and the callers.
    seconds : float
        Duration of the phase in which faults start.
    hosts, callers : int
        Numbers of entry processes and of callers.
    """

    seed: int
    seconds: float
    hosts: int
    callers: int


@dataclass(frozen=True, slots=True)
class Report:
    """Result of a run.

    Attributes
    ----------
    statuses : Counter
        Number of responses by status; 0 counts requests without a response.
    faults : Counter
        Number of injected faults by name.
    violations : tuple of str
        Distinct violations, in order.
    """

    plan: Plan
    statuses: Counter[int]
    faults: Counter[str]
    violations: tuple[str, ...]

    def line(self) -> str:
        """Return the report as one line of text."""
        statuses = " ".join(
            f"{key}:{self.statuses[key]}" for key in sorted(self.statuses)
        )
        faults = " ".join(
            f"{key}:{count}" for key, count in sorted(self.faults.items())
        )
        verdict = (
            f"{len(self.violations)} violations" if self.violations else "no violations"
        )
        return (
            f"seed {self.plan.seed}: {verdict}; "
            f"responses by status {statuses}; faults {faults}"
        )


def run_soak(plan: Plan) -> Report:
    """Run one plan and return its report."""
    random = Random(plan.seed)
    with tempfile.TemporaryDirectory() as name:
        with Site(plan.hosts, Path(name), Random(plan.seed + 1)) as site:
            for host in site.hosts:
                host.wait_ready()
            callers = [
                Caller(f"c{number}", site, Random(plan.seed * 1000 + number))
                for number in range(plan.callers)
            ]
            caller_tasks = [gevent.spawn(caller.run) for caller in callers]
            faults = FaultInjector(site, random)
            fault_task = gevent.spawn(faults.run)
            gevent.sleep(plan.seconds)
            fault_task.kill()
            faults.wait_until_ended()
            gevent.sleep(FAULT_FREE_SECONDS)
            gevent.killall(caller_tasks)
            oracle = site.oracle
            violations = tuple(dict.fromkeys(oracle.violations))
        return Report(plan, oracle.statuses, Counter(faults.injected), violations)
