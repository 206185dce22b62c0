"""The turn desk: one gate per target, its slots agreed with the other routers.

A gate hands out turns to waiting greenlets.  A task per gate tells the target's
aggregator what changed in the demand here and takes the gate's slots from the
answer; this daemon may be the aggregator of a target itself.
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
from godwitrudder.process.runners import RunnerDesk
from godwitrudder.request.share import (
    STALE_PERIODS,
    ShareAggregator,
    aggregator,
    period_seconds,
)
from godwitrudder.request.share_reporter import ShareReporter

ASK_SECONDS: Final = 1.0


class TurnDesk:
    """The gates of one daemon, and the books of the targets that it adds up.

    Parameters
    ----------
    runners : RunnerDesk
        Whose news of the runners rides on the reports.
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
        runners: RunnerDesk,
    ) -> None:
        self._incarnation = incarnation
        self._configuration = configuration
        self._members = members
        self._peers = peers
        self._metrics = metrics
        self._clock = clock
        self._runners = runners
        self._gates_by_target: dict[str, TurnGate] = {}
        self._books_by_target: dict[str, ShareAggregator] = {}
        self._tasks = Group()
        handlers.register(ShareReport, self._take)

    def __enter__(self) -> Self:
        """Nothing to start; a gate's task starts with its first request."""
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
        """Return the gate of a target."""
        gate = self._gates_by_target.get(target)
        if gate is None:
            gate = self._gates_by_target[target] = TurnGate(target, self._clock)
            self._tasks.spawn(self._share, gate)
        if not gate.slots.slots:
            gate.take_shares(ShareAnswer(False, self._own_part(target)))
        return gate

    def _slots(self, target: str) -> float:
        """Return the slots that this side of the fleet may fill."""
        model = self._configuration.document.targets_by_id.get(target)
        if model is None:
            return 0.0
        runners = [r for r in self._members.runners_of(target) if not r.leaving]
        return len(runners) * model.slots_per_runner * self._members.reachable_share()

    def _own_part(self, target: str) -> float:
        return self._slots(target) / len(self._members.reachable_routers())

    def _share(self, gate: TurnGate) -> None:
        """Report to the aggregator, again and again."""
        reports = ShareReporter(gate.slots, self._incarnation)
        heard_at = self._clock.now()
        asked = ""
        told = 0.0
        while True:
            routers = self._members.reachable_routers()
            period = max(told, period_seconds(len(routers)))
            gevent.sleep(period)
            host = aggregator(gate.slots.target, routers) or self._members.host
            if host != asked:
                reports.restart()
                asked = host
                told = 0.0
            if reports.idle:
                heard_at = self._clock.now()
                gate.take_shares(ShareAnswer(False, self._own_part(gate.slots.target)))
                continue
            whole = reports.whole
            answer = self._ask(host, self._report(gate, reports))
            if answer is not None and answer.whole:
                reports.restart()
                whole = True
                answer = self._ask(host, self._report(gate, reports))
            if answer is not None and not answer.whole:
                heard_at = self._clock.now()
                told = answer.period_seconds
                gate.take_shares(answer)
                self._runners.hear(gate.slots.target, answer, whole)
                continue
            reports.restart()
            told = 0.0
            if self._clock.now() - heard_at > STALE_PERIODS * period:
                gate.take_shares(ShareAnswer(False, self._own_part(gate.slots.target)))

    def _report(self, gate: TurnGate, reports: ShareReporter) -> ShareReport:
        target = gate.slots.target
        return reports.next(
            self._runners.flights(target), self._runners.leaving(target)
        )

    def _ask(self, host: str, report: ShareReport) -> ShareAnswer | None:
        self._metrics.share_reports.inc()
        if host == self._members.host:
            return self._take(report)
        answer = self._peers.ask(host, report, ASK_SECONDS)
        return answer if isinstance(answer, ShareAnswer) else None

    def _take(self, report: ShareReport) -> ShareAnswer:
        """Take a report, as the aggregator of its target."""
        book = self._books_by_target.setdefault(report.target, ShareAggregator())
        rules = self._configuration.document.turns_by_target.get(report.target)
        weights = {} if rules is None else rules.weights_by_workspace
        slots = self._slots(report.target)
        routers = len(self._members.reachable_routers())
        return book.take(report, slots, weights, routers, self._clock.now())
