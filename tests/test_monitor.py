"""Each promise that a daemon can see broken has a counter that says so."""

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

Act = Callable[[Monitor], None]
BILL = Applied(records.Bill("r", "b", "i+0", 5), 5)
CLAIM = Applied(records.Claim("r", "i", "f"), 0)
OVER = Applied(records.TopUp("o", "over", 1, ""), 1)
RELEASE = Applied(records.Result("r", records.NOT_RUN, b""), 0)


def event(kind: str, detail: str = "") -> TimelineEvent:
    """Return an event of request r."""
    return TimelineEvent(Stamp(0, 0), "p", 0, kind, "r", "", detail)


def refused_then_billed(monitor: Monitor) -> None:
    """Refuse as not run, then bill."""
    monitor.check_event(event("outcome", "no_runner not_run"))
    monitor.check_effect(BILL)


def refused_then_run_again(monitor: Monitor) -> None:
    """Refuse, run a retry of the same request, bill."""
    monitor.check_event(event("outcome", "no_runner not_run"))
    monitor.check_event(event("dispatch", "engine-0"))
    monitor.check_effect(BILL)


def hear(*effects: Effect) -> Act:
    """Return a case that hears effects."""

    def act(monitor: Monitor) -> None:
        for effect in effects:
            monitor.check_effect(effect)

    return act


def revert(monitor: Monitor) -> None:
    """Put an older document into force."""
    monitor.check_version(Document(2))
    monitor.check_version(Document(1))


CASES: list[tuple[Act, Invariant | None]] = [
    (hear(BILL), None),
    (hear(BILL, BILL), Invariant.BILLED_ONCE),
    (hear(CLAIM, CLAIM), Invariant.CLAIMED_ONCE),
    (hear(CLAIM, RELEASE, CLAIM), None),
    (hear(Voided(BILL.entry, Void.NOT_HELD)), Invariant.CHARGED_IN_FULL),
    (hear(OVER), Invariant.SPEND_WITHIN_PAID),
    (refused_then_billed, Invariant.NOT_RUN_IS_NOT_BILLED),
    (refused_then_run_again, None),
    (lambda m: m.check_drain(0), None),
    (lambda m: m.check_drain(1), Invariant.DRAIN_CUTS_NOTHING),
    (revert, Invariant.CONFIG_NEVER_REVERTS),
    (lambda m: m.report_divergence(), Invariant.CONFIG_DIVERGED),
]


@pytest.mark.parametrize(("act", "broken"), CASES)
def test_violations(act: Act, broken: Invariant | None) -> None:
    """Exactly the broken promise is counted; the others stand at zero."""
    metrics = Metrics()
    budgets = {"over": Budget(base=1, billed=2)}
    act(Monitor(metrics, "i", budgets.get))
    name = "godwitrudder_invariant_violations_total"
    for invariant in Invariant:
        count = metrics.registry.get_sample_value(name, {"invariant": invariant})
        assert count == (1 if invariant is broken else 0)
