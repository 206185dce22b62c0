"""Tells a few other hosts the newest load reports, and uses theirs.

Reports are sent only for targets whose queue is on. A datagram that is lost, late or
doubled does no harm: a report counts for 1 s, and only if it is newer than the known
one.
"""

from __future__ import annotations

import time
from random import Random
from typing import Final

import gevent

from godwitrudder import codec
from godwitrudder.connection.loans import DATAGRAM_BYTES, SEAL_BYTES
from godwitrudder.connection.reports import (
    MAX_COUNT,
    MAX_NAME_CHARACTERS,
    HeadroomReport,
    Report,
    RunnerLoad,
    TargetLoad,
)
from godwitrudder.process.decisions import DecisionLog
from godwitrudder.process.directory import Directory
from godwitrudder.process.entry_metrics import EntryMetrics
from godwitrudder.process.forwarding.runner_queues import RunnerQueues
from godwitrudder.process.reservations import ReservationTask
from godwitrudder.request.placing.candidate import Candidate
from godwitrudder.request.queueing.gossip import (
    choose_peers,
    fitting_count,
    is_newer,
    newest_reports,
)

ROUND_SECONDS: Final = 0.5
"""Interval between rounds. A load report counts for 1 s, so that most hosts hear of a
runner while its report counts."""
MAX_TARGETS_TOLD: Final = 12
"""Most targets in one report, drawn at random: they take half of a datagram at most."""


class HeadroomGossip:
    """Exchanges load reports with other hosts; one per process."""

    def __init__(
        self,
        directory: Directory,
        reservations: ReservationTask,
        queues: RunnerQueues,
        log: DecisionLog,
        metrics: EntryMetrics,
        random: Random,
    ) -> None:
        self._directory = directory
        self._holdings = reservations.host_holdings
        self._lending = reservations.lending
        self._queues = queues
        self._log = log
        self._metrics = metrics
        self._random = random
        if self._lending is not None:
            self._lending.report_handlers.append(self._handle_report)

    def run(self) -> None:
        """Tell other hosts at intervals until the task is killed."""
        while True:
            gevent.sleep(ROUND_SECONDS)
            demand_by_target = self._queues.demand_by_target()
            if demand_by_target:
                self._tell(demand_by_target)

    def _tell(self, demand_by_target: dict[str, float]) -> None:
        """Send what is known to hosts chosen at random."""
        lending = self._lending
        hosts = self._holdings.statements.statements_by_host
        peers = choose_peers(hosts, self._holdings.host, self._random)
        if lending is None or not peers:
            return
        report = self._report(demand_by_target, time.monotonic())
        for host in peers:
            lending.send_report(host, report)
        self._metrics.headroom_reports.labels("sent").inc(len(peers))

    def _report(self, demand_by_target: dict[str, float], now: float) -> HeadroomReport:
        """Return a report with as many runners as fit into a datagram."""
        names = [name for name in demand_by_target if len(name) <= MAX_NAME_CHARACTERS]
        names = self._random.sample(names, min(len(names), MAX_TARGETS_TOLD))
        demand_by_target = {name: demand_by_target[name] for name in names}
        newest = newest_reports(
            (
                candidate
                for target in demand_by_target
                for candidate in self._directory.candidates(target)
                if len(candidate.entry.id) <= MAX_NAME_CHARACTERS
            ),
            now,
        )
        most = DATAGRAM_BYTES - SEAL_BYTES
        while True:
            report = _encode(self._holdings.host, demand_by_target, newest, now)
            size = len(codec.encode(report))
            if size <= most or not newest:
                return report
            newest = newest[: fitting_count(len(newest), size, most)]

    def _handle_report(self, report: Report) -> None:
        """Use the reports of another host that are newer than the own ones."""
        if not isinstance(report, HeadroomReport):
            return
        self._metrics.headroom_reports.labels("received").inc()
        now = time.monotonic()
        demand_by_target = {each.target: each.demand for each in report.targets}
        self._queues.peer_demands.record(report.host, demand_by_target, now)
        for target in report.targets:
            known = self._directory.candidates_by_target.get(target.target, {})
            for load in target.runners:
                candidate = known.get(load.runner)
                if candidate is not None:
                    self._use(candidate, load, now)

    def _use(self, candidate: Candidate, load: RunnerLoad, now: float) -> None:
        at = now - load.age
        if not is_newer(candidate, at):
            return
        if self._queues.uses_reports(candidate.entry.target, load.percent):
            candidate.reported(load.running, load.waiting, at, load.slots, load.percent)
            self._queues.record_load_report(candidate)


def _encode(
    host: str, demand_by_target: dict[str, float], newest: list[Candidate], now: float
) -> HeadroomReport:
    loads_by_target: dict[str, list[RunnerLoad]] = {
        target: [] for target in demand_by_target
    }
    for each in newest:
        load = RunnerLoad(
            each.entry.id,
            _count(each.reported_running),
            _count(each.waiting),
            _count(each.reported_slots),
            None if each.work_percent is None else round(each.work_percent) or 1,
            round(now - each.others_at, 3),
        )
        loads_by_target[each.entry.target].append(load)
    return HeadroomReport(
        host,
        [
            TargetLoad(target, round(demand, 1), loads_by_target[target])
            for target, demand in demand_by_target.items()
        ],
    )


def _count(value: int) -> int:
    """Return a number of requests within what a report may hold."""
    return min(max(0, value), MAX_COUNT)
