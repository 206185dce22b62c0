"""One soak run: callers and faults on a test deployment, and a report."""

from __future__ import annotations

import tempfile
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Final

import gevent

from soak.callers import Caller
from soak.deployment import Deployment
from soak.faults import FaultInjector

FAULT_FREE_SECONDS: Final = 1.0
"""Duration of the last phase, in which callers send requests without faults."""


@dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of a run.

    Attributes
    ----------
    seed : int
        Seed of the faults, of the answers that runners truncate or follow with a
        foreign one, and of the callers.
    fault_seconds : float
        Duration of the phase in which faults start.  The run lasts longer: the open
        faults end first, then ``FAULT_FREE_SECONDS`` follow.
    hosts, callers : int
        Number of hosts, each with one entry process, and number of callers.
    """

    seed: int
    fault_seconds: float
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
        Distinct violations of the oracle's invariants, in the order of detection.
    """

    plan: Plan
    statuses: Counter[int]
    faults: Counter[str]
    violations: tuple[str, ...]

    def summary(self) -> str:
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
    with tempfile.TemporaryDirectory() as directory:
        with Deployment(
            plan.hosts, Path(directory), Random(plan.seed + 1)
        ) as deployment:
            for host in deployment.hosts:
                host.wait_ready()
            callers = [
                Caller(f"c{number}", deployment, Random(plan.seed * 1000 + number))
                for number in range(plan.callers)
            ]
            caller_tasks = [gevent.spawn(caller.run) for caller in callers]
            faults = FaultInjector(deployment, random)
            fault_task = gevent.spawn(faults.run)
            gevent.sleep(plan.fault_seconds)
            fault_task.kill()
            faults.wait_until_ended()
            gevent.sleep(FAULT_FREE_SECONDS)
            gevent.killall(caller_tasks)
            oracle = deployment.oracle
            violations = tuple(dict.fromkeys(oracle.violations))
        return Report(plan, oracle.statuses, Counter(faults.injected), violations)
