"""The fleet's rate limits: what runners have named to this host and its peers.

A change is reported to all peers at once.  The limits that runners have named to this
host also stand in its statement in the store, for hosts that restarted or that no
report reaches.
"""

from __future__ import annotations

import time

from godwitrudder.connection.reports import MAX_AGE_SECONDS, LimitReport, Report
from godwitrudder.process.decisions import DecisionLog
from godwitrudder.process.reservations import ReservationTask
from godwitrudder.request.placing.candidate import Candidate
from godwitrudder.request.rate_limit import HostPosition, RateLimits
from godwitrudder.version.statements import NamedLimit, Statement


class FleetLimits:
    """Shares runners' rate limits with the other hosts."""

    def __init__(self, reservations: ReservationTask, log: DecisionLog) -> None:
        self._limits = RateLimits()
        self._reservations = reservations
        self._log = log
        self._clock_offset = time.time() - time.monotonic()
        reservations.exchange.statement_handlers.append(self._handle_statement)
        if reservations.lending is not None:
            reservations.lending.report_handlers.append(self._handle_report)

    def permitted(self, candidates: list[Candidate]) -> list[Candidate]:
        """Return the runners to which this host may send a request now."""
        if not any(self._limits.limited(each.entry.id) for each in candidates):
            return candidates
        position, now = self._position(), self._now()
        return [
            each
            for each in candidates
            if self._limits.permits(each.entry.id, position, now)
        ]

    def take(self, runner: str) -> None:
        """Record that a request is sent to the runner."""
        if self._limits.limited(runner):
            self._limits.take(runner, self._position(), self._now())

    def record_limit(self, runner: str, per_second: float) -> None:
        """Record that a runner has named a limit to this host."""
        self._record_own(runner, per_second, 0.0)

    def record_no_limit(self, runner: str, age: float) -> None:
        """Record that a runner has answered this host without a limit.

        Parameters
        ----------
        age : float
            Seconds since the request was sent.
        """
        if self._limits.limited(runner):
            self._record_own(runner, None, age)

    def _record_own(self, runner: str, per_second: float | None, age: float) -> None:
        now = self._now()
        if not self._limits.record(runner, per_second, now - age, now, own=True):
            return
        self._log.note("rate_limit", runner=runner, limit=per_second)
        self._state()
        if self._reservations.lending is not None:
            report = LimitReport(
                self._reservations.host_holdings.host,
                runner,
                per_second,
                min(age, MAX_AGE_SECONDS),
            )
            self._reservations.lending.broadcast(report)

    def _handle_report(self, report: Report) -> None:
        if isinstance(report, LimitReport):
            at = self._now() - report.age
            self._record_others(report.runner, report.per_second, at, report.host)

    def _handle_statement(self, host: str, statement: Statement) -> None:
        for limit in statement.limits:
            self._record_others(limit.runner, limit.per_second, limit.at, host)

    def _record_others(
        self, runner: str, per_second: float | None, at: float, host: str
    ) -> None:
        if self._limits.record(runner, per_second, at, self._now(), own=False):
            self._log.note("rate_limit", runner=runner, limit=per_second, by=host)
            self._state()

    def _state(self) -> None:
        self._reservations.state_limits(
            tuple(
                NamedLimit(runner, limit.per_second or 0.0, limit.at)
                for runner, limit in self._limits.own_limits().items()
            )
        )

    def _position(self) -> HostPosition | None:
        """Return the own position, None until the other hosts' statements are read."""
        if not self._reservations.opened.is_set():
            return None
        holdings = self._reservations.host_holdings
        return HostPosition.among(holdings.host, holdings.statements.statements_by_host)

    def _now(self) -> float:
        """Return Unix seconds that no step of the wall clock changes."""
        return time.monotonic() + self._clock_offset
