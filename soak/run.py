"""One soak: a site, its callers and faults for some seconds, and the verdict."""

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
"""Without faults at the end, in which callers still ask."""


@dataclass(frozen=True, slots=True)
class Plan:
    """What is played.

    Attributes
    ----------
    seconds : float
        How long faults begin.
    """

    seed: int
    seconds: float
    hosts: int
    callers: int


@dataclass(frozen=True, slots=True)
class Report:
    """What came of it.

    Attributes
    ----------
    statuses : Counter
        Answers by status; 0 where none came.
    """

    plan: Plan
    statuses: Counter[int]
    faults: Counter[str]
    violations: tuple[str, ...]

    def line(self) -> str:
        """Return one line."""
        statuses = " ".join(
            f"{key}:{self.statuses[key]}" for key in sorted(self.statuses)
        )
        faults = " ".join(
            f"{key}:{count}" for key, count in sorted(self.faults.items())
        )
        verdict = f"{len(self.violations)} findings" if self.violations else "holds"
        return f"seed {self.plan.seed}: {verdict}; answers {statuses}; faults {faults}"


def run_soak(plan: Plan) -> Report:
    """Play one seed."""
    random = Random(plan.seed)
    with tempfile.TemporaryDirectory() as name:
        with Site(plan.hosts, Path(name), Random(plan.seed + 1)) as site:
            for host in site.hosts:
                host.wait_ready()
            callers = [
                Caller(f"c{number}", site, Random(plan.seed * 1000 + number))
                for number in range(plan.callers)
            ]
            tasks = [gevent.spawn(caller.run) for caller in callers]
            faults = FaultInjector(site, random)
            task = gevent.spawn(faults.run)
            gevent.sleep(plan.seconds)
            task.kill()
            faults.wait_until_ended()
            gevent.sleep(FAULT_FREE_SECONDS)
            gevent.killall(tasks)
            truth = site.oracle
            findings = tuple(dict.fromkeys(truth.violations))
        return Report(plan, truth.statuses, Counter(faults.injected), findings)
