"""Each invariant violation that a daemon can detect is counted."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from godwitrudder.clock import Stamp
from godwitrudder.process.metrics import Metrics
from godwitrudder.process.monitor import Invariant, Monitor
from godwitrudder.process.timeline import TimelineEvent
from godwitrudder.version import records
from godwitrudder.version.accounts import Applied, Budget, Effect, Void, Voided
from godwitrudder.version.document import Document

Scenario = Callable[[Monitor], None]
BILL = Applied(records.Bill("r", "b", "i+0", 5), 5)
CLAIM = Applied(records.Claim("r", "i", "f"), 0)
OVERSPENT = Applied(records.TopUp("o", "over", 1, ""), 1)
RELEASE = Applied(records.Result("r", records.NOT_RUN, b""), 0)


def event(kind: str, detail: str = "") -> TimelineEvent:
    """Return a timeline event of request ``r``."""
    return TimelineEvent(Stamp(0, 0), "p", 0, kind, "r", "", detail)


def refused_then_billed(monitor: Monitor) -> None:
    """Refuse a request as not run, then bill it."""
    monitor.check_event(event("outcome", "no_runner not_run"))
    monitor.check_effect(BILL)


def refused_then_run_again(monitor: Monitor) -> None:
    """Refuse a request, dispatch a retry of it, then bill it."""
    monitor.check_event(event("outcome", "no_runner not_run"))
    monitor.check_event(event("dispatch", "engine-0"))
    monitor.check_effect(BILL)


def apply_effects(*effects: Effect) -> Scenario:
    """Return a function that passes effects to a monitor."""

    def scenario(monitor: Monitor) -> None:
        for effect in effects:
            monitor.check_effect(effect)

    return scenario


def revert(monitor: Monitor) -> None:
    """Put an older document into force."""
    monitor.check_version(Document(2))
    monitor.check_version(Document(1))


CASES: list[tuple[Scenario, Invariant | None]] = [
    (apply_effects(BILL), None),
    (apply_effects(BILL, BILL), Invariant.BILLED_ONCE),
    (apply_effects(CLAIM, CLAIM), Invariant.CLAIMED_ONCE),
    (apply_effects(CLAIM, RELEASE, CLAIM), None),
    (apply_effects(Voided(BILL.entry, Void.NOT_HELD)), Invariant.CHARGED_IN_FULL),
    (apply_effects(OVERSPENT), Invariant.SPEND_WITHIN_PAID),
    (refused_then_billed, Invariant.NOT_RUN_IS_NOT_BILLED),
    (refused_then_run_again, None),
    (lambda m: m.check_drain(0), None),
    (lambda m: m.check_drain(1), Invariant.DRAIN_CUTS_NOTHING),
    (revert, Invariant.CONFIG_NEVER_REVERTS),
    (lambda m: m.report_divergence(), Invariant.CONFIG_DIVERGED),
]


@pytest.mark.parametrize(("scenario", "violated"), CASES)
def test_violations(scenario: Scenario, violated: Invariant | None) -> None:
    """Exactly the violated invariant is counted; all others stay at zero."""
    metrics = Metrics()
    budgets = {"over": Budget(base=1, billed=2)}
    scenario(Monitor(metrics, "i", budgets.get))
    name = "godwitrudder_invariant_violations_total"
    for invariant in Invariant:
        count = metrics.registry.get_sample_value(name, {"invariant": invariant})
        assert count == (1 if invariant is violated else 0)
