"""Demand reports of a router to a target's aggregator; they contain only changes."""

from __future__ import annotations

from collections.abc import Iterator

from godwitrudder.connection.shares import RunnerInFlight, ShareReport, WorkspaceDemand
from godwitrudder.request.slots import ServedWork, Slots


class ShareReporter:
    """Builds the reports of one router to the aggregator of one target.

    Parameters
    ----------
    router : str
        Incarnation of the router.
    """

    def __init__(self, slots: Slots, router: str) -> None:
        self._slots = slots
        self._router = router
        self._number = 0
        self._sent_by_workspace: dict[str, int] = {}
        self._sent_by_runner: dict[str, int] = {}

    @property
    def idle(self) -> bool:
        """Whether no request runs or waits and none was last reported."""
        slots = self._slots
        return not (slots.running or len(slots.queue) or self._sent_by_workspace)

    @property
    def whole(self) -> bool:
        """Whether the next report is a full one."""
        return self._number == 0

    def restart(self) -> None:
        """Make the next report a full one."""
        self._number = 0
        self._sent_by_workspace = {}
        self._sent_by_runner = {}

    def next(self, flights: dict[str, int], leaving: list[str]) -> ShareReport:
        """Return the next report: the changes since the last one."""
        needs = tuple(self._needs())
        report = ShareReport(
            self._slots.target,
            self._router,
            self._number,
            needs,
            tuple(self._flights(flights)),
            tuple(leaving),
        )
        self._number += 1
        return report

    def _needs(self) -> Iterator[WorkspaceDemand]:
        slots = self._slots
        backlogs = slots.queue.backlogs_by_workspace
        demands = {name: one.demand for name, one in backlogs.items() if one.demand}
        served = slots.served_by_workspace
        slots.served_by_workspace = {}
        for workspace in (
            demands.keys() | self._sent_by_workspace.keys() | served.keys()
        ):
            demand = demands.get(workspace, 0)
            done = served.get(workspace)
            if done is None and demand == self._sent_by_workspace.get(workspace, 0):
                continue
            done = done or ServedWork()
            busy = round(done.busy_seconds, 2)
            yield WorkspaceDemand(workspace, demand, round(done.units), busy)
        self._sent_by_workspace = demands

    def _flights(self, flights: dict[str, int]) -> Iterator[RunnerInFlight]:
        for runner in flights.keys() | self._sent_by_runner.keys():
            count = flights.get(runner, 0)
            if count != self._sent_by_runner.get(runner, 0):
                yield RunnerInFlight(runner, count)
        self._sent_by_runner = {name: count for name, count in flights.items() if count}
