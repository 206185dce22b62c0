"""The monitor: counts invariant violations while the daemon runs.

It observes ledger effects, timeline events and configuration, and takes no part in
decisions.  Its memory is bounded: it checks only the newest ``WATCHED_REQUESTS``
requests.
"""

from __future__ import annotations

import enum
import logging
from collections.abc import Callable
from typing import Final

from godwitrudder.process.metrics import Metrics
from godwitrudder.process.timeline import TimelineEvent
from godwitrudder.request.outcome import Ran
from godwitrudder.version import records
from godwitrudder.version.accounts import Applied, Budget, Effect
from godwitrudder.version.document import Document

WATCHED_REQUESTS: Final = 10_000

logger = logging.getLogger(__name__)


class Invariant(enum.StrEnum):
    """Invariants that a daemon can check, as labels of one counter."""

    SPEND_WITHIN_PAID = "spend_within_paid"
    CHARGED_IN_FULL = "charged_in_full"
    BILLED_ONCE = "billed_once"
    CLAIMED_ONCE = "claimed_once"
    NOT_RUN_IS_NOT_BILLED = "not_run_is_not_billed"
    DRAIN_CUTS_NOTHING = "drain_cuts_nothing"
    CONFIG_NEVER_REVERTS = "config_never_reverts"
    CONFIG_DIVERGED = "config_diverged"


class RecentKeys:
    """A bounded map of the newest keys that evicts the oldest ones."""

    def __init__(self) -> None:
        self._value_by_key: dict[str, str] = {}

    def get(self, key: str) -> str | None:
        """Return the value of a key, or None."""
        return self._value_by_key.get(key)

    def put(self, key: str, value: str) -> None:
        """Store a value; evicts the oldest key if the map is full."""
        self._value_by_key[key] = value
        if len(self._value_by_key) > WATCHED_REQUESTS:
            del self._value_by_key[next(iter(self._value_by_key))]

    def drop(self, key: str) -> None:
        """Remove a key if it is present."""
        self._value_by_key.pop(key, None)


class Monitor:
    """Counts violations per invariant.

    Parameters
    ----------
    budget_of : callable
        Returns the ledger's state of a budget, or None.
    """

    def __init__(
        self,
        metrics: Metrics,
        incarnation: str,
        budget_of: Callable[[str], Budget | None],
    ) -> None:
        self._metrics = metrics
        self._incarnation = incarnation
        self._budget_of = budget_of
        self._version = -1
        self._billed = RecentKeys()
        self._claimed = RecentKeys()
        self._not_run = RecentKeys()
        for invariant in Invariant:
            metrics.violations.labels(invariant.value)

    def report_violation(self, invariant: Invariant, detail: str) -> None:
        """Count and log a violation."""
        self._metrics.violations.labels(invariant.value).inc()
        logger.error("invariant %s violated: %s", invariant.value, detail)

    def check_effect(self, effect: Effect) -> None:
        """Check the effect of a ledger record."""
        entry = effect.entry
        if effect.violation:
            self.report_violation(Invariant.CHARGED_IN_FULL, f"{entry}")
        if isinstance(effect, Applied):
            self._check_budget(getattr(entry, "budget", ""))
            self._check_applied(effect)

    def check_event(self, event: TimelineEvent) -> None:
        """Track from timeline events which requests were refused as not run."""
        if event.kind == "dispatch":
            self._not_run.drop(event.request)
        elif event.kind == "outcome" and event.detail.endswith(Ran.NOT_RUN):
            self._not_run.put(event.request, event.detail)

    def check_version(self, document: Document) -> None:
        """Check that document versions never decrease."""
        if document.version < self._version:
            detail = f"version {document.version} after {self._version}"
            self.report_violation(Invariant.CONFIG_NEVER_REVERTS, detail)
        self._version = document.version

    def report_divergence(self) -> None:
        """Count a snapshot that differs from this daemon's state."""
        self.report_violation(Invariant.CONFIG_DIVERGED, f"at version {self._version}")

    def check_drain(self, cut: int) -> None:
        """Count requests that a graceful stop interrupted."""
        if cut:
            self.report_violation(Invariant.DRAIN_CUTS_NOTHING, f"{cut} requests")

    def _check_budget(self, name: str) -> None:
        budget = self._budget_of(name) if name else None
        if budget is not None and budget.billed + budget.open > budget.paid:
            self.report_violation(Invariant.SPEND_WITHIN_PAID, name)

    def _check_applied(self, effect: Applied) -> None:
        match effect.entry:
            case records.Bill(request=request, incarnation=incarnation):
                if self._billed.get(request) is not None:
                    self.report_violation(Invariant.BILLED_ONCE, request)
                self._billed.put(request, incarnation)
                own = incarnation.startswith(self._incarnation)
                refused = own and effect.tokens and self._not_run.get(request)
                if refused:
                    self.report_violation(Invariant.NOT_RUN_IS_NOT_BILLED, request)
            case records.Claim(request=request, incarnation=incarnation):
                if self._claimed.get(request) is not None:
                    self.report_violation(Invariant.CLAIMED_ONCE, request)
                self._claimed.put(request, incarnation)
            case records.Result(request=request, status=records.NOT_RUN):
                self._claimed.drop(request)
