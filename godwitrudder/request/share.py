"""Shares of a target's slots: equal turns over the fleet, whatever the entry.

Each target has an aggregator, any daemon that rendezvous hashing picks among the
reachable ones.  Routers report to it what changed in their demand.  It fills the
slots max-min fairly over *workspaces*, then splits each workspace's slots over
the routers as its demand entered there.  So a workspace gets no more for entering
everywhere, and no less for entering at one place.  The state is soft: a new
aggregator asks for whole reports.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from itertools import chain
from typing import Final

import xxhash

from godwitrudder.connection.shares import (
    LimitedWorkspace,
    RunnerInFlight,
    ShareAnswer,
    ShareReport,
    WorkspaceDemand,
)

PERIOD_LEAST_SECONDS: Final = 0.1
PERIOD_SECONDS_PER_ROUTER: Final = 0.0143
STALE_PERIODS: Final = 4.0
PACE_HALF_LIFE_SECONDS: Final = 10.0
PACE_SPREAD_MOST: Final = 8.0
RESERVE_LEAST_SHARE: Final = 0.03
RESERVE_DEVIATIONS: Final = 3.0
RESERVE_MOST_SHARE: Final = 0.25
FLIGHTS_TOLD_ROUTERS: Final = 2048
FLIGHTS_TOLD_LEAST: Final = 4
SMALL_FLEET_ROUTERS: Final = 16
SMALL_FLEET_BYTES_PER_SECOND: Final = 30_000.0
EXCHANGE_BYTES_PER_SECOND: Final = 9000.0
EXCHANGE_BYTES: Final = 150.0
NEED_BYTES: Final = 30.0
HELD_BYTES: Final = 36.0
FLIGHT_BYTES: Final = 14.0
SIZE_GAIN: Final = 0.05


def period_seconds(routers: int) -> float:
    """Return the seconds between reports; an aggregator's load stays bounded."""
    return max(PERIOD_LEAST_SECONDS, routers * PERIOD_SECONDS_PER_ROUTER)


def aggregator(target: str, hosts: Collection[str]) -> str | None:
    """Return the host that adds up the demand on a target."""
    return max(
        hosts,
        key=lambda host: xxhash.xxh64_intdigest(f"{target}\0{host}".encode()),
        default=None,
    )


def water_level(demands: Iterable[tuple[float, float]], slots: float) -> float:
    """Return the slots per unit of weight that a max-min fair filling reaches.

    Parameters
    ----------
    demands : iterable of (float, float)
        Demand in slots, and weight, per workspace.
    slots : float
        What is to be filled.

    Returns
    -------
    float
        Infinity where the slots cover all demand.
    """
    rising = sorted(demands, key=lambda pair: pair[0] / pair[1])
    weights = sum(weight for _, weight in rising)
    left = slots
    for demand, weight in rising:
        level = left / weights
        if demand / weight > level:
            return level
        left -= demand
        weights -= weight
    return float("inf")


def reserve(
    demands: Iterable[tuple[float, float]], level: float, slots: float
) -> float:
    """Return the slots to keep free for those who stay under their share.

    A few standard deviations of what they have under way, so that their next
    request finds a slot, though another workspace would fill all.
    """
    light = sum(demand for demand, weight in demands if demand <= level * weight)
    wanted = RESERVE_LEAST_SHARE * slots + RESERVE_DEVIATIONS * math.sqrt(light)
    return min(RESERVE_MOST_SHARE * slots, wanted)


@dataclass(slots=True)
class Reporter:
    """What one router reported last."""

    at: float
    number: int = 0
    demand_by_workspace: dict[str, int] = field(default_factory=dict)
    count_by_runner: dict[str, int] = field(default_factory=dict)
    leaving: tuple[str, ...] = ()
    told_by_runner: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class Pace:
    """Units served per second of a slot, an exponentially aged mean."""

    served: float = 0.0
    busy_seconds: float = 0.0
    at: float = 0.0

    def add(self, need: WorkspaceDemand, now: float) -> None:
        """Add what a report says."""
        kept = 0.5 ** ((now - self.at) / PACE_HALF_LIFE_SECONDS)
        self.served = self.served * kept + need.served
        self.busy_seconds = self.busy_seconds * kept + need.busy_seconds
        self.at = now


class ShareAggregator:
    """The aggregator's book of one target."""

    def __init__(self) -> None:
        self.reporters_by_router: dict[str, Reporter] = {}
        self._demand_by_workspace: dict[str, int] = defaultdict(int)
        self._count_by_runner: dict[str, int] = defaultdict(int)
        self._pace_by_workspace: dict[str, Pace] = {}
        self._level = float("inf")
        self._rate_by_workspace: dict[str, float] = {}
        self._exchange_bytes = EXCHANGE_BYTES
        self._filled_at = float("-inf")
        self._filled_slots = 0.0

    def take(
        self,
        report: ShareReport,
        slots: float,
        weights: Mapping[str, float],
        routers: int,
        now: float,
    ) -> ShareAnswer:
        """Take a report and return the router's share.

        Parameters
        ----------
        slots : float
            Slots of the target's runners that this side of the fleet may fill.
        routers : int
            Routers that may report.
        """
        reporter = self.reporters_by_router.get(report.router)
        if report.number == 0 or reporter is None:
            self._drop(report.router)
            if report.number:
                return ShareAnswer(whole=True)
            reporter = self.reporters_by_router[report.router] = Reporter(now)
        elif report.number != reporter.number + 1:
            return ShareAnswer(whole=True)
        reporter.number = report.number
        reporter.at = now
        reporter.leaving = report.leaving
        self._note(report, reporter, now)
        size = NEED_BYTES * len(report.needs) + FLIGHT_BYTES * len(report.flights)
        self._exchange_bytes *= 1.0 - SIZE_GAIN
        self._exchange_bytes += SIZE_GAIN * (EXCHANGE_BYTES + size)
        self._fill(slots, weights, routers, now)
        return self._answer(reporter, slots, weights, routers)

    def period_seconds(self, routers: int) -> float:
        """Return the seconds between reports that keep within the byte rate."""
        busy = len(self.reporters_by_router) * self._exchange_bytes
        most = EXCHANGE_BYTES_PER_SECOND
        if routers <= SMALL_FLEET_ROUTERS:
            most = SMALL_FLEET_BYTES_PER_SECOND
        return max(period_seconds(routers), busy / most)

    def _note(self, report: ShareReport, reporter: Reporter, now: float) -> None:
        for need in report.needs:
            self._put(reporter.demand_by_workspace, self._demand_by_workspace, need)
            if need.busy_seconds > 0 and need.workspace in self._demand_by_workspace:
                pace = self._pace_by_workspace.setdefault(need.workspace, Pace(at=now))
                pace.add(need, now)
        for flight in report.flights:
            old = reporter.count_by_runner.pop(flight.runner, 0)
            self._count_by_runner[flight.runner] += flight.count - old
            if flight.count:
                reporter.count_by_runner[flight.runner] = flight.count
            if not self._count_by_runner[flight.runner]:
                del self._count_by_runner[flight.runner]

    def _put(
        self, own: dict[str, int], totals: dict[str, int], need: WorkspaceDemand
    ) -> None:
        totals[need.workspace] += need.demand - own.pop(need.workspace, 0)
        if need.demand:
            own[need.workspace] = need.demand
        if totals[need.workspace] <= 0:
            del totals[need.workspace]
            self._pace_by_workspace.pop(need.workspace, None)

    def _drop(self, router: str) -> None:
        reporter = self.reporters_by_router.pop(router, None)
        if reporter is None:
            return
        for workspace in list(reporter.demand_by_workspace):
            gone = WorkspaceDemand(workspace, 0)
            self._put(reporter.demand_by_workspace, self._demand_by_workspace, gone)
        for runner, count in reporter.count_by_runner.items():
            self._count_by_runner[runner] -= count

    def _fill(
        self, slots: float, weights: Mapping[str, float], routers: int, now: float
    ) -> None:
        fresh = now - self._filled_at < PERIOD_LEAST_SECONDS / 2
        if fresh and slots == self._filled_slots:
            return
        stale = now - STALE_PERIODS * self.period_seconds(routers)
        for router, reporter in list(self.reporters_by_router.items()):
            if reporter.at < stale:
                self._drop(router)
        self._rate_by_workspace = self._rates(weights)
        demands = [
            (float(demand), self._rate_by_workspace[workspace])
            for workspace, demand in self._demand_by_workspace.items()
        ]
        self._level = water_level(demands, slots)
        if self._level < float("inf"):
            room = slots - reserve(demands, self._level, slots)
            self._level = water_level(demands, room)
        self._filled_at = now
        self._filled_slots = slots

    def _rates(self, weights: Mapping[str, float]) -> dict[str, float]:
        """Return each workspace's weight in slots: slow units need more slots."""
        served = sum(pace.served for pace in self._pace_by_workspace.values())
        busy = sum(pace.busy_seconds for pace in self._pace_by_workspace.values())
        rates = {}
        for workspace in self._demand_by_workspace:
            rate = weights.get(workspace, 1.0)
            pace = self._pace_by_workspace.get(workspace)
            if pace is not None and pace.served > 0 and busy > 0 and served > 0:
                factor = (pace.busy_seconds / pace.served) * (served / busy)
                rate *= min(max(factor, 1 / PACE_SPREAD_MOST), PACE_SPREAD_MOST)
            rates[workspace] = rate
        return rates

    def _answer(
        self,
        reporter: Reporter,
        slots: float,
        weights: Mapping[str, float],
        routers: int,
    ) -> ShareAnswer:
        mine = 0.0
        held: list[LimitedWorkspace] = []
        for workspace, demand in reporter.demand_by_workspace.items():
            total = self._demand_by_workspace[workspace]
            rate = self._rate_by_workspace.get(workspace, weights.get(workspace, 1.0))
            load = total / (self._level * rate) if self._level else 1.0
            mine += demand / max(load, 1.0)
            if load > 1.0:
                held.append(
                    LimitedWorkspace(
                        workspace, round(demand / total, 3), round(load, 2)
                    ),
                )
        spare = max(0.0, slots - sum(self._demand_by_workspace.values()))
        mine += spare / max(1, routers)
        level = 0.0 if self._level == float("inf") else self._level
        flights, current = self._flights(reporter, routers)
        told = (one.leaving for one in self.reporters_by_router.values())
        leaving = tuple(sorted(set(chain.from_iterable(told))))
        size = HELD_BYTES * len(held) + FLIGHT_BYTES * len(flights)
        self._exchange_bytes += SIZE_GAIN * size
        return ShareAnswer(
            whole=False,
            slots=round(mine, 2),
            level=round(level, 3),
            held=tuple(held),
            flights=flights,
            leaving=leaving,
            current=current,
            period_seconds=round(self.period_seconds(routers), 2),
        )

    def _flights(
        self, reporter: Reporter, routers: int
    ) -> tuple[tuple[RunnerInFlight, ...], bool]:
        """Return what changed in the others' work, and whether that is all."""
        own = reporter.count_by_runner
        told = reporter.told_by_runner
        changes = []
        for runner in told.keys() | self._count_by_runner.keys():
            count = self._count_by_runner.get(runner, 0) - own.get(runner, 0)
            if count != told.get(runner, 0):
                changes.append(RunnerInFlight(runner, count))
        most = max(FLIGHTS_TOLD_LEAST, FLIGHTS_TOLD_ROUTERS // max(1, routers))
        changes.sort(key=lambda one: -abs(one.count - told.get(one.runner, 0)))
        for change in changes[:most]:
            told[change.runner] = change.count
        return tuple(changes[:most]), len(changes) <= most
