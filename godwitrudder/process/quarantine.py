"""The fleet's quarantine: what this host and its peers know about prompt parts.

Crashes, answers and trials are reported to all peers at once.  The crashes that this
host has seen also stand in its statement in the store, for hosts that restarted or that
no report reaches.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Collection, Iterator
from contextlib import contextmanager
from typing import Final

import gevent

from godwitrudder.connection.reports import (
    MAX_AGE_SECONDS,
    AnswerReport,
    CrashReport,
    Report,
    TrialReport,
    fitting_names,
)
from godwitrudder.process.decisions import DecisionLog
from godwitrudder.process.reservations import ReservationTask
from godwitrudder.request.crash_evidence import Crash, new_parts, stated_bytes
from godwitrudder.request.quarantine import (
    Quarantine,
    Quarantined,
    Trial,
    TrialPending,
    Verdict,
)
from godwitrudder.version.statements import RunnerCrash, Statement

TRIAL_POLL_SECONDS: Final = 0.02
"""Interval between checks whether another request's trial has ended."""
MAX_TRIAL_WAIT_SECONDS: Final = 0.4
"""Longest wait for the outcome of another request's trial."""


class FleetQuarantine:
    """Admits requests by their prompt parts and shares the evidence with peers.

    Parameters
    ----------
    delay_share : float
        See ``Quarantine``.

    Attributes
    ----------
    on_blamed : callable
        Called with the parts that are newly blamed.
    """

    def __init__(
        self, reservations: ReservationTask, log: DecisionLog, delay_share: float
    ) -> None:
        self._quarantine = Quarantine(delay_share)
        self._reservations = reservations
        self._log = log
        self._read_by_host: dict[str, dict[tuple[str, float], RunnerCrash]] = {}
        self._crashes_changed = False
        self.on_blamed: Callable[[set[str]], None] = lambda parts: None
        reservations.before_statement.append(self._prepare_statement)
        reservations.exchange.statement_handlers.append(self._handle_statement)
        if reservations.lending is not None:
            reservations.lending.report_handlers.append(self._handle_report)

    def check(self, parts: Collection[str]) -> Verdict:
        """Return whether a request with these parts may be sent to a runner."""
        return self._quarantine.admit(parts, time.time())

    def preview(self, parts: Collection[str]) -> Verdict:
        """Return what ``check`` returns, without any change of state."""
        return self._quarantine.verdict(parts, time.time())

    def is_held(self, parts: Collection[str]) -> bool:
        """Return whether not even a trial with these parts is allowed now."""
        return self._quarantine.seconds_held(parts, time.time()) > 0

    @contextmanager
    def admitted(
        self, parts: Collection[str], max_wait: float
    ) -> Iterator[Trial | Quarantined | None]:
        """Admit one attempt; a trial lasts until the context ends.

        Waits up to ``max_wait`` seconds while another request's trial is open.  Yields
        None if no part of the request is suspect.
        """
        verdict = self._wait_for_trial(parts, max_wait)
        if not isinstance(verdict, Trial):
            yield verdict if isinstance(verdict, Quarantined) else None
            return
        self._quarantine.begin_trial(verdict.parts, time.time())
        self._broadcast(TrialReport(self._host, fitting_names(verdict.parts)))
        self._log.note("trial", parts=verdict.parts)
        try:
            yield verdict
        finally:
            self._quarantine.end_trial(verdict.parts)

    def suspects(self, parts: Collection[str]) -> tuple[str, ...]:
        """Return the parts that may have ended a runner that did not answer them."""
        return self._quarantine.suspects(parts, time.time())

    def record_answer(self, parts: Collection[str]) -> None:
        """Record that a runner has answered a request with these parts."""
        cleared = self._quarantine.record_answer(parts, time.time())
        if cleared:
            self._log.note("part_cleared", parts=cleared)
            self._broadcast(AnswerReport(self._host, fitting_names(cleared), 0.0))
            self._crashes_changed = True

    def record_crash(self, runner: str, parts: Collection[str], age: float) -> None:
        """Record that a runner ended before it had begun to answer a request.

        Parameters
        ----------
        age : float
            Seconds since the request was sent to the runner.
        """
        now = time.time()
        self._quarantine.count_crash(runner, parts, now)
        suspects = self.suspects(parts)
        self._log.note("runner_crashed", runner=runner, parts=suspects)
        if suspects:
            crash = Crash(runner, now, dict.fromkeys(suspects, now - age), own=True)
            self._record_crash(crash)
            self._reservations.want_statement()
            self._broadcast(
                CrashReport(self._host, runner, fitting_names(suspects), age)
            )

    def _wait_for_trial(self, parts: Collection[str], max_wait: float) -> Verdict:
        verdict = self.check(parts)
        ends_at = time.monotonic() + min(MAX_TRIAL_WAIT_SECONDS, max_wait)
        while isinstance(verdict, TrialPending) and time.monotonic() < ends_at:
            gevent.sleep(TRIAL_POLL_SECONDS)
            verdict = self.check(parts)
        return verdict

    def _record_crash(self, crash: Crash) -> None:
        blamed = self._quarantine.record_crash(crash, time.time())
        if blamed:
            self._log.note("part_blamed", parts=sorted(blamed), runner=crash.runner)
            self.on_blamed(blamed)
        self._crashes_changed = True

    def _handle_report(self, report: Report) -> None:
        now = time.time()
        match report:
            case CrashReport():
                sent_at_by_part = dict.fromkeys(report.parts, now - report.age)
                self._record_crash(Crash(report.runner, now, sent_at_by_part))
                self._answer_suspicion(report)
            case AnswerReport():
                self._quarantine.record_answer(report.parts, now - report.age)
                self._crashes_changed = True
            case TrialReport():
                self._quarantine.begin_trial(report.parts, now)

    def _answer_suspicion(self, report: CrashReport) -> None:
        """Tell the host that suspects parts which of them were answered here."""
        now = time.time()
        answered = {
            part: at
            for part in report.parts
            if (at := self._quarantine.answered_at(part)) is not None
        }
        lending = self._reservations.lending
        if answered and lending is not None:
            age = max(0.0, now - min(answered.values()))
            answer = AnswerReport(
                self._host, fitting_names(list(answered)), min(MAX_AGE_SECONDS, age)
            )
            lending.send_report(report.host, answer)

    def _handle_statement(self, host: str, statement: Statement) -> None:
        """Record what a statement says beyond the host's statement before it."""
        known = self._read_by_host.get(host, {})
        read = {(crash.runner, crash.at): crash for crash in statement.crashes}
        self._read_by_host[host] = read
        for key, crash in read.items():
            parts = new_parts(crash, known.get(key))
            if parts:
                own = host == self._host
                self._record_crash(
                    Crash(crash.runner, crash.at, parts, own, by_own_clock=False)
                )

    def _prepare_statement(self) -> None:
        """Set the crashes to state, if they have changed."""
        if not self._crashes_changed:
            return
        self._crashes_changed = False
        max_bytes = stated_bytes(self._reservations.host_count())
        self._reservations.host_holdings.crashes = tuple(
            RunnerCrash(crash.runner, crash.at, crash.sent_at_by_part)
            for crash in self._quarantine.own_crashes(max_bytes)
        )

    def _broadcast(self, report: Report) -> None:
        if self._reservations.lending is not None:
            self._reservations.lending.broadcast(report)

    @property
    def _host(self) -> str:
        return self._reservations.host_holdings.host
