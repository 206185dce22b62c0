"""Turn gates of one daemon: one per target, sharing its slots with the other routers.

A gate admits waiting requests as slots become free.  One task per gate reports the
changes of the local demand to the target's aggregator and sets the gate's slots from
its answer.  The aggregator of a target may be this daemon itself.
"""

from __future__ import annotations

from types import TracebackType
from typing import Final, Self

import gevent
from gevent.pool import Group

from godwitrudder.clock import Clock
from godwitrudder.connection.peer import Handlers, PeerLinks
from godwitrudder.connection.shares import ShareAnswer, ShareReport
from godwitrudder.process.configuration import Configuration
from godwitrudder.process.gate import TurnGate
from godwitrudder.process.members import Members
from godwitrudder.process.metrics import Metrics
from godwitrudder.process.runners import RunnerManager
from godwitrudder.request.share import (
    STALE_PERIODS,
    ShareAggregator,
    aggregator,
    period_seconds,
)
from godwitrudder.request.share_reporter import ShareReporter

ASK_TIMEOUT_SECONDS: Final = 1.0


class TurnManager:
    """The gates of one daemon, and the targets whose demand it aggregates.

    Parameters
    ----------
    runners : RunnerManager
        Supplies the requests in flight for the reports and receives the counts of
        the other routers from the answers.
    """

    def __init__(
        self,
        incarnation: str,
        configuration: Configuration,
        members: Members,
        peers: PeerLinks,
        handlers: Handlers,
        metrics: Metrics,
        clock: Clock,
        runners: RunnerManager,
    ) -> None:
        self._incarnation = incarnation
        self._configuration = configuration
        self._members = members
        self._peers = peers
        self._metrics = metrics
        self._clock = clock
        self._runners = runners
        self._gates_by_target: dict[str, TurnGate] = {}
        self._aggregators_by_target: dict[str, ShareAggregator] = {}
        self._tasks = Group()
        handlers.register(ShareReport, self._handle_report)

    def __enter__(self) -> Self:
        """Start nothing; a gate's task starts when the gate is first used."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop all tasks."""
        self._tasks.kill()

    def gate(self, target: str) -> TurnGate:
        """Return the gate of a target; create it at first use."""
        gate = self._gates_by_target.get(target)
        if gate is None:
            gate = self._gates_by_target[target] = TurnGate(target, self._clock)
            self._tasks.spawn(self._report_demand, gate)
        if not gate.slots.slots:
            gate.apply_shares(ShareAnswer(False, self._local_share(target)))
        return gate

    def _reachable_slots(self, target: str) -> float:
        """Return the slots that the reachable part of the fleet may fill."""
        model = self._configuration.document.targets_by_id.get(target)
        if model is None:
            return 0.0
        runners = [r for r in self._members.runners_of(target) if not r.leaving]
        return len(runners) * model.slots_per_runner * self._members.reachable_share()

    def _local_share(self, target: str) -> float:
        return self._reachable_slots(target) / len(self._members.reachable_routers())

    def _report_demand(self, gate: TurnGate) -> None:
        """Report the demand at a gate to its aggregator in a loop.

        A gate that is new or idle, or whose aggregator has not answered for
        ``STALE_PERIODS``, gets an equal part of the reachable slots.
        """
        reporter = ShareReporter(gate.slots, self._incarnation)
        answered_at = self._clock.now()
        reported_to = ""
        told_period = 0.0
        while True:
            routers = self._members.reachable_routers()
            period = max(told_period, period_seconds(len(routers)))
            gevent.sleep(period)
            host = aggregator(gate.slots.target, routers) or self._members.host
            if host != reported_to:
                reporter.restart()
                reported_to = host
                told_period = 0.0
            if reporter.idle:
                answered_at = self._clock.now()
                gate.apply_shares(
                    ShareAnswer(False, self._local_share(gate.slots.target))
                )
                continue
            whole_report = reporter.whole
            answer = self._ask(host, self._report(gate, reporter))
            if answer is not None and answer.whole:
                reporter.restart()
                whole_report = True
                answer = self._ask(host, self._report(gate, reporter))
            if answer is not None and not answer.whole:
                answered_at = self._clock.now()
                told_period = answer.period_seconds
                gate.apply_shares(answer)
                self._runners.update_from_aggregator(
                    gate.slots.target, answer, whole_report
                )
                continue
            reporter.restart()
            told_period = 0.0
            if self._clock.now() - answered_at > STALE_PERIODS * period:
                gate.apply_shares(
                    ShareAnswer(False, self._local_share(gate.slots.target))
                )

    def _report(self, gate: TurnGate, reporter: ShareReporter) -> ShareReport:
        target = gate.slots.target
        return reporter.next(
            self._runners.in_flight_by_runner(target),
            self._runners.leaving_runners(target),
        )

    def _ask(self, host: str, report: ShareReport) -> ShareAnswer | None:
        self._metrics.share_reports.inc()
        if host == self._members.host:
            return self._handle_report(report)
        answer = self._peers.ask(host, report, ASK_TIMEOUT_SECONDS)
        return answer if isinstance(answer, ShareAnswer) else None

    def _handle_report(self, report: ShareReport) -> ShareAnswer:
        """Apply a report as the aggregator of its target and return the answer."""
        share_aggregator = self._aggregators_by_target.setdefault(
            report.target, ShareAggregator()
        )
        rules = self._configuration.document.turns_by_target.get(report.target)
        weights = {} if rules is None else rules.weights_by_workspace
        slots = self._reachable_slots(report.target)
        routers = len(self._members.reachable_routers())
        return share_aggregator.take(report, slots, weights, routers, self._clock.now())
