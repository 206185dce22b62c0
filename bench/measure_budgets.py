"""Budgets under each fault, for both deployments and compared with two baselines.

Faults start at ``FAULT_SECONDS``; partitions and outages last ``LONG_SECONDS``. The
even split gives every router a fixed share. "Grants alone" draws grants as the
product does, but without call-backs and witnesses.
"""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Final

from bench.budget_baselines import EvenSplit
from bench.budget_run import (
    LOAD_SECONDS,
    PENGHU,
    SERRA,
    SETTLE_SECONDS,
    Deployment,
    Run,
)
from bench.report import Row
from godwitrudder.request import events
from godwitrudder.request.grant_allocator import GrantAllocator
from godwitrudder.request.sizing import BudgetTotals, DrawSizing

SEED: Final = 4
FAULT_SECONDS: Final = 150.0
LONG_SECONDS: Final = 600.0
PAUSE_SECONDS: Final = 60.0
LOST_ANSWERS: Final = 0.2
ENDURANCE: Final = 0.5
STRANDED_AFTER_SECONDS: Final = 60.0
MAX_FALSE_REFUSAL_SHARE: Final = 0.001
MAX_STRANDED_SHARE: Final = 0.01
MAX_CONTROL_BYTES_PER_SECOND: Final = 14_000.0
COST_BUDGETS: Final = 2000
MICROSECONDS_PER_SECOND: Final = 1_000_000

Fault = Callable[[Run], None]


def no_fault(run: Run) -> None:
    """Inject no fault."""


def half_partition(run: Run) -> None:
    """Cut half of the domains off from the others and from the log."""
    names = set(run.deployment.domains[len(run.deployment.domains) // 2 :])
    _disconnect_domains(run, names)


def domain_cut_off(run: Run) -> None:
    """Cut one domain off from the others and from the log."""
    _disconnect_domains(run, {run.deployment.domains[-1]})


def log_outage(run: Run) -> None:
    """Make the log unavailable."""
    run.world.after(FAULT_SECONDS, lambda: setattr(run.log, "down", True))
    ends = FAULT_SECONDS + LONG_SECONDS
    run.world.after(ends, lambda: setattr(run.log, "down", False))


def lost_answers(run: Run) -> None:
    """Lose answers of successful appends during the whole run."""
    run.log.lost_answers = LOST_ANSWERS


def router_killed(run: Run) -> None:
    """Kill one router; it never restarts."""
    router = run.budget_routers[2]
    run.world.after(FAULT_SECONDS, lambda: setattr(router, "dead", True))


def router_paused(run: Run) -> None:
    """Pause one router for longer than its witnesses wait, then resume it."""
    router = run.budget_routers[2]
    run.world.after(FAULT_SECONDS, router.pause)
    run.world.after(FAULT_SECONDS + PAUSE_SECONDS, router.resume)


def _disconnect_domains(run: Run, names: set[str]) -> None:
    there = [host for host, name in run.domain_by_host.items() if name in names]
    here = [host for host in run.domain_by_host if host not in there]
    nodes = [*here, run.log.NODE]
    run.world.after(FAULT_SECONDS, lambda: run.network.disconnect(nodes, there))
    run.world.after(FAULT_SECONDS + LONG_SECONDS, run.network.heal)


@dataclass(frozen=True, slots=True)
class Scenario:
    """A fault and how it is measured.

    Attributes
    ----------
    false_bound : float or None
        Bound on false refusals with 20% left, as a share of the requests.
    run_grants_alone : bool
        Whether the baseline "grants alone" runs it too.
    """

    name: str
    fault: Fault
    false_bound: float | None = None
    run_grants_alone: bool = True


SCENARIOS: Final = (
    Scenario("no fault", no_fault, 0.0),
    Scenario("10-min half partition", half_partition, MAX_FALSE_REFUSAL_SHARE),
    Scenario(
        "10-min domain cut off",
        domain_cut_off,
        MAX_FALSE_REFUSAL_SHARE,
        run_grants_alone=False,
    ),
    Scenario("10-min log outage", log_outage, MAX_FALSE_REFUSAL_SHARE),
    Scenario("lost answers", lost_answers, run_grants_alone=False),
    Scenario("router killed", router_killed),
    Scenario("router paused", router_paused, run_grants_alone=False),
)


def rows() -> Iterator[Row]:
    """Yield the rows of both deployments, scenario by scenario."""
    for deployment in (PENGHU, SERRA):
        for scenario in SCENARIOS:
            prefix = f"budgets {deployment.name}, {scenario.name}"
            yield from _product_rows(prefix, deployment, scenario)
            if deployment is PENGHU and scenario.run_grants_alone:
                yield from _grants_alone_rows(prefix, deployment, scenario)
            yield from _even_split_rows(prefix, deployment, scenario)
    yield from _full_endurance_rows()
    yield from _cost_rows()


def _product_rows(
    prefix: str, deployment: Deployment, scenario: Scenario
) -> Iterator[Row]:
    run = Run(deployment, SEED).with_nodes(ENDURANCE)
    stranded: list[float] = []
    _schedule_stranded_check(run, scenario, stranded)
    scenario.fault(run)
    truth = run.simulate()
    twice, never = run.count_wrong_bills()
    yield Row(f"{prefix}: served beyond paid", truth.overspent, "tokens", 0)
    yield Row(f"{prefix}: billed twice", twice, "requests", 0)
    yield Row(f"{prefix}: served, never billed", never, "requests", 0)
    yield _false_refusal_row(prefix, run, scenario, scenario.false_bound)
    for share in stranded:
        name = f"{prefix}: stranded after 60 s"
        yield Row(name, share, "of paid", MAX_STRANDED_SHARE)
    if scenario.fault is no_fault:
        yield Row(f"{prefix}: false refusals, any", truth.false_refusals, "", 0)
        yield Row(f"{prefix}: stranded at the end", truth.stranded, "tokens", 0)
        yield from _traffic_rows(prefix, run)


def _traffic_rows(prefix: str, run: Run) -> Iterator[Row]:
    seconds = LOAD_SECONDS + 2 * SETTLE_SECONDS
    sent = sum(node.bytes_sent for node in run.shared_log.nodes)
    per_daemon = sent / seconds / len(run.shared_log.nodes)
    yield Row(
        f"{prefix}: control bytes per daemon",
        per_daemon,
        "B/s",
        MAX_CONTROL_BYTES_PER_SECOND,
    )
    per_request = sent / run.truth.requests
    yield Row(f"{prefix}: control bytes per request", per_request, "B")
    appends = run.log.appends / seconds
    yield Row(f"{prefix}: appends of budgets, no owners", appends, "1/s")


def _false_refusal_row(
    prefix: str, run: Run, scenario: Scenario, bound: float | None
) -> Row:
    truth = run.truth
    share = truth.false_refusals_with_plenty / truth.requests
    return Row(f"{prefix}: false refusals with 20% left", share, "of requests", bound)


def _schedule_stranded_check(
    run: Run, scenario: Scenario, stranded: list[float]
) -> None:
    """Record the share stranded at the killed router a minute after its death."""
    if scenario.fault is not router_killed:
        return
    dead = run.shared_log.nodes[2]
    after = FAULT_SECONDS + STRANDED_AFTER_SECONDS
    run.world.after(after, lambda: stranded.append(run.stranded_share(dead)))


def _grants_alone_rows(
    prefix: str, deployment: Deployment, scenario: Scenario
) -> Iterator[Row]:
    run = Run(deployment, SEED).with_nodes(ENDURANCE, witnessed=False)
    stranded: list[float] = []
    _schedule_stranded_check(run, scenario, stranded)
    scenario.fault(run)
    truth = run.simulate()
    name = f"{prefix}, baseline grants alone"
    yield _false_refusal_row(name, run, scenario, None)
    yield Row(f"{name}: served beyond paid", truth.overspent, "tokens")
    for share in stranded:
        yield Row(f"{name}: stranded after 60 s", share, "of paid")
    if scenario.fault is no_fault:
        yield Row(f"{name}: stranded at the end", truth.stranded, "tokens")


def _even_split_rows(
    prefix: str, deployment: Deployment, scenario: Scenario
) -> Iterator[Row]:
    run = Run(deployment, SEED)
    count = deployment.routers
    paid = run.truth.paid_by_budget
    shares = {budget: tokens // count for budget, tokens in paid.items()}
    splits = [EvenSplit(run.world, shares, count) for _ in range(count)]
    run.budget_routers = list(splits)
    scenario.fault(run)
    truth = run.simulate()
    name = f"{prefix}, baseline even split"
    yield _false_refusal_row(name, run, scenario, None)
    yield Row(f"{name}: served beyond paid", truth.overspent, "tokens")
    if scenario.fault is router_killed:
        stranded_shares = [
            splits[2].remaining(b) / tokens for b, tokens in paid.items()
        ]
        yield Row(f"{name}: stranded after 60 s", max(stranded_shares), "of paid")
    if scenario.fault is no_fault:
        yield Row(f"{name}: stranded at the end", truth.stranded, "tokens")


def _full_endurance_rows() -> Iterator[Row]:
    """Yield rows at endurance 1, the setting's maximum, with its stranded tokens."""
    for scenario in SCENARIOS[1:3]:
        run = Run(PENGHU, SEED).with_nodes(1.0)
        scenario.fault(run)
        run.simulate()
        prefix = f"budgets penghu, {scenario.name}, endurance 1"
        yield _false_refusal_row(prefix, run, scenario, None)
        yield Row(f"{prefix}: served beyond paid", run.truth.overspent, "tokens", 0)
    run = Run(PENGHU, SEED).with_nodes(1.0)
    stranded: list[float] = []
    killed = SCENARIOS[5]
    _schedule_stranded_check(run, killed, stranded)
    killed.fault(run)
    run.simulate()
    yield Row(
        "budgets penghu, router killed, endurance 1: stranded after 60 s",
        stranded[0],
        "of paid",
    )


def _cost_rows() -> Iterator[Row]:
    """Yield the memory of a budget in use and the processor time of a request."""
    totals_by_budget: dict[str, BudgetTotals | None] = {}
    allocator = GrantAllocator(
        "router-1/a",
        totals_by_budget.get,
        lambda _: DrawSizing(ENDURANCE, 7),
        list,
        lambda: "op",
    )
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(COST_BUDGETS):
        _serve_once(allocator, f"budget-{number}")
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    yield Row("budgets memory per budget in use", used / COST_BUDGETS, "B")
    start = time.process_time()
    for number in range(COST_BUDGETS):
        _serve_once(allocator, f"budget-{number}")
    seconds = time.process_time() - start
    per_request = seconds / COST_BUDGETS * MICROSECONDS_PER_SECOND
    yield Row("budgets processor time per request, allotment", per_request, "us")


def _serve_once(allocator: GrantAllocator, budget: str) -> None:
    """Run one request through the allocator: reserve, draw if needed, end."""
    wanted = events.Wanted(budget, budget, 100, 30.0)
    for action in allocator.handle(wanted, 0.0):
        if isinstance(action, events.Draw):
            granted = events.Granted(action.op, action.holder, budget, 1000, 0)
            allocator.handle(granted, 0.0)
    allocator.handle(events.Ended(budget, 50, True), 1.0)
