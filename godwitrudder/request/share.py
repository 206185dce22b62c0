"""Shares of a target's slots: fair over workspaces, wherever their requests enter.

Each target has an aggregator, the daemon that rendezvous hashing picks among the
reachable ones. Routers report changes of their demand to it. It fills the slots max-min
fairly over *workspaces*, then splits the slots of each workspace over the routers in
proportion to the demand that entered there. A workspace thus gets the same share
whether its requests enter at one router or at all. The state is soft: a new aggregator
asks for full reports.
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

MIN_PERIOD_SECONDS: Final = 0.1
PERIOD_SECONDS_PER_ROUTER: Final = 0.0143
# Periods without a report after which the demand of a router is dropped.
STALE_PERIODS: Final = 4.0
SERVICE_RATE_HALF_LIFE_SECONDS: Final = 10.0
# Largest factor by which the time per unit raises or lowers a weight.
MAX_SERVICE_RATE_SPREAD: Final = 8.0
MIN_RESERVE_SHARE: Final = 0.03
RESERVE_DEVIATIONS: Final = 3.0
MAX_RESERVE_SHARE: Final = 0.25
# Runner counts sent to all routers in a period, and at least to each router.
FLIGHTS_SENT_PER_PERIOD: Final = 2048
MIN_FLIGHTS_SENT: Final = 4
# Largest number of routers to which the byte rate of a small fleet applies.
SMALL_FLEET_ROUTERS: Final = 16
SMALL_FLEET_BYTES_PER_SECOND: Final = 30_000.0
# Rate of reports and answers that an aggregator keeps to by a longer period.
EXCHANGE_BYTES_PER_SECOND: Final = 9000.0
# Estimated bytes of a report with its answer, and of each entry in them.
EXCHANGE_BYTES: Final = 150.0
NEED_BYTES: Final = 30.0
HELD_BYTES: Final = 36.0
FLIGHT_BYTES: Final = 14.0
# Weight of the newest exchange in the mean size.
SIZE_GAIN: Final = 0.05


def period_seconds(routers: int) -> float:
    """Return the seconds between reports; grows with the fleet to bound the load."""
    return max(MIN_PERIOD_SECONDS, routers * PERIOD_SECONDS_PER_ROUTER)


def aggregator(target: str, hosts: Collection[str]) -> str | None:
    """Return the host that aggregates the demand on a target."""
    return max(
        hosts,
        key=lambda host: xxhash.xxh64_intdigest(f"{target}\0{host}".encode()),
        default=None,
    )


def water_level(demands: Iterable[tuple[float, float]], slots: float) -> float:
    """Return the slots per unit of weight of a max-min fair allocation.

    Parameters
    ----------
    demands : iterable of (float, float)
        Demand in slots, and weight, of each workspace.
    slots : float
        Slots to be filled.

    Returns
    -------
    float
        Infinity if the slots cover all demand.
    """
    by_level = sorted(demands, key=lambda pair: pair[0] / pair[1])
    weights = sum(weight for _, weight in by_level)
    left = slots
    for demand, weight in by_level:
        level = left / weights
        if demand / weight > level:
            return level
        left -= demand
        weights -= weight
    return float("inf")


def reserve(
    demands: Iterable[tuple[float, float]], level: float, slots: float
) -> float:
    """Return the slots to keep free for workspaces below their share.

    This is a few standard deviations of their requests in flight, so that their next
    request finds a free slot although another workspace could use all slots.
    """
    light = sum(demand for demand, weight in demands if demand <= level * weight)
    wanted = MIN_RESERVE_SHARE * slots + RESERVE_DEVIATIONS * math.sqrt(light)
    return min(MAX_RESERVE_SHARE * slots, wanted)


@dataclass(slots=True)
class RouterState:
    """The state of one router according to its reports.

    Attributes
    ----------
    at : float
        Time of its last report, a clock reading in seconds.
    number : int
        Number of its last report.
    leaving : tuple of str
        Ids of the runners that it reports as leaving.
    sent_by_runner : dict
        Other routers' requests in flight at each runner, as last sent to it.
    """

    at: float
    number: int = 0
    demand_by_workspace: dict[str, int] = field(default_factory=dict)
    count_by_runner: dict[str, int] = field(default_factory=dict)
    leaving: tuple[str, ...] = ()
    sent_by_runner: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class ServiceRate:
    """Units served and slot seconds used, as exponentially decaying sums."""

    served: float = 0.0
    busy_seconds: float = 0.0
    at: float = 0.0

    def add(self, need: WorkspaceDemand, now: float) -> None:
        """Add the units and slot seconds of a report."""
        kept = 0.5 ** ((now - self.at) / SERVICE_RATE_HALF_LIFE_SECONDS)
        self.served = self.served * kept + need.served
        self.busy_seconds = self.busy_seconds * kept + need.busy_seconds
        self.at = now


class ShareAggregator:
    """Aggregates the demand on one target."""

    def __init__(self) -> None:
        self.states_by_router: dict[str, RouterState] = {}
        self._demand_by_workspace: dict[str, int] = defaultdict(int)
        self._count_by_runner: dict[str, int] = defaultdict(int)
        self._service_rate_by_workspace: dict[str, ServiceRate] = {}
        self._level = float("inf")
        self._slot_weight_by_workspace: dict[str, float] = {}
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
        """Process a report and return the router's share.

        Parameters
        ----------
        slots : float
            Slots of the target's runners that the reachable part of the fleet may fill.
        weights : mapping
            Weight of each workspace; 1 if it is missing.
        routers : int
            Number of routers that may report.
        now : float
            Clock reading in seconds.
        """
        state = self.states_by_router.get(report.router)
        if report.number == 0 or state is None:
            self._drop_router(report.router)
            if report.number:
                return ShareAnswer(whole=True)
            state = self.states_by_router[report.router] = RouterState(now)
        elif report.number != state.number + 1:
            return ShareAnswer(whole=True)
        state.number = report.number
        state.at = now
        state.leaving = report.leaving
        self._apply(report, state, now)
        size = NEED_BYTES * len(report.needs) + FLIGHT_BYTES * len(report.flights)
        self._exchange_bytes *= 1.0 - SIZE_GAIN
        self._exchange_bytes += SIZE_GAIN * (EXCHANGE_BYTES + size)
        self._fill(slots, weights, routers, now)
        return self._answer(state, slots, weights, routers)

    def period_seconds(self, routers: int) -> float:
        """Return the seconds between reports that keep within the byte rate."""
        busy = len(self.states_by_router) * self._exchange_bytes
        most = EXCHANGE_BYTES_PER_SECOND
        if routers <= SMALL_FLEET_ROUTERS:
            most = SMALL_FLEET_BYTES_PER_SECOND
        return max(period_seconds(routers), busy / most)

    def _apply(self, report: ShareReport, state: RouterState, now: float) -> None:
        for need in report.needs:
            self._set_demand(state.demand_by_workspace, self._demand_by_workspace, need)
            if need.busy_seconds > 0 and need.workspace in self._demand_by_workspace:
                service_rate = self._service_rate_by_workspace.setdefault(
                    need.workspace, ServiceRate(at=now)
                )
                service_rate.add(need, now)
        for flight in report.flights:
            old = state.count_by_runner.pop(flight.runner, 0)
            self._count_by_runner[flight.runner] += flight.count - old
            if flight.count:
                state.count_by_runner[flight.runner] = flight.count
            if not self._count_by_runner[flight.runner]:
                del self._count_by_runner[flight.runner]

    def _set_demand(
        self,
        demand_by_workspace: dict[str, int],
        totals: dict[str, int],
        need: WorkspaceDemand,
    ) -> None:
        totals[need.workspace] += need.demand - demand_by_workspace.pop(
            need.workspace, 0
        )
        if need.demand:
            demand_by_workspace[need.workspace] = need.demand
        if totals[need.workspace] <= 0:
            del totals[need.workspace]
            self._service_rate_by_workspace.pop(need.workspace, None)

    def _drop_router(self, router: str) -> None:
        state = self.states_by_router.pop(router, None)
        if state is None:
            return
        for workspace in list(state.demand_by_workspace):
            gone = WorkspaceDemand(workspace, 0)
            self._set_demand(state.demand_by_workspace, self._demand_by_workspace, gone)
        for runner, count in state.count_by_runner.items():
            self._count_by_runner[runner] -= count

    def _fill(
        self, slots: float, weights: Mapping[str, float], routers: int, now: float
    ) -> None:
        fresh = now - self._filled_at < MIN_PERIOD_SECONDS / 2
        if fresh and slots == self._filled_slots:
            return
        stale = now - STALE_PERIODS * self.period_seconds(routers)
        for router, state in list(self.states_by_router.items()):
            if state.at < stale:
                self._drop_router(router)
        self._slot_weight_by_workspace = self._slot_weights(weights)
        demands = [
            (float(demand), self._slot_weight_by_workspace[workspace])
            for workspace, demand in self._demand_by_workspace.items()
        ]
        self._level = water_level(demands, slots)
        if self._level < float("inf"):
            usable = slots - reserve(demands, self._level, slots)
            self._level = water_level(demands, usable)
        self._filled_at = now
        self._filled_slots = slots

    def _slot_weights(self, weights: Mapping[str, float]) -> dict[str, float]:
        """Return the slot weight of each workspace; it grows with the time per unit."""
        served = sum(
            service_rate.served
            for service_rate in self._service_rate_by_workspace.values()
        )
        busy = sum(
            service_rate.busy_seconds
            for service_rate in self._service_rate_by_workspace.values()
        )
        rates = {}
        for workspace in self._demand_by_workspace:
            rate = weights.get(workspace, 1.0)
            service_rate = self._service_rate_by_workspace.get(workspace)
            if (
                service_rate is not None
                and service_rate.served > 0
                and busy > 0
                and served > 0
            ):
                factor = (service_rate.busy_seconds / service_rate.served) * (
                    served / busy
                )
                rate *= min(
                    max(factor, 1 / MAX_SERVICE_RATE_SPREAD), MAX_SERVICE_RATE_SPREAD
                )
            rates[workspace] = rate
        return rates

    def _answer(
        self,
        state: RouterState,
        slots: float,
        weights: Mapping[str, float],
        routers: int,
    ) -> ShareAnswer:
        own_slots = 0.0
        held: list[LimitedWorkspace] = []
        for workspace, demand in state.demand_by_workspace.items():
            total = self._demand_by_workspace[workspace]
            rate = self._slot_weight_by_workspace.get(
                workspace, weights.get(workspace, 1.0)
            )
            load = total / (self._level * rate) if self._level else 1.0
            own_slots += demand / max(load, 1.0)
            if load > 1.0:
                held.append(
                    LimitedWorkspace(
                        workspace, round(demand / total, 3), round(load, 2)
                    ),
                )
        spare = max(0.0, slots - sum(self._demand_by_workspace.values()))
        own_slots += spare / max(1, routers)
        level = 0.0 if self._level == float("inf") else self._level
        flights, current = self._flights(state, routers)
        leaving_by_router = (one.leaving for one in self.states_by_router.values())
        leaving = tuple(sorted(set(chain.from_iterable(leaving_by_router))))
        size = HELD_BYTES * len(held) + FLIGHT_BYTES * len(flights)
        self._exchange_bytes += SIZE_GAIN * size
        return ShareAnswer(
            whole=False,
            slots=round(own_slots, 2),
            level=round(level, 3),
            held=tuple(held),
            flights=flights,
            leaving=leaving,
            current=current,
            period_seconds=round(self.period_seconds(routers), 2),
        )

    def _flights(
        self, state: RouterState, routers: int
    ) -> tuple[tuple[RunnerInFlight, ...], bool]:
        """Return changed counts of other routers' requests, and whether all fitted."""
        own = state.count_by_runner
        sent = state.sent_by_runner
        changes = []
        for runner in sent.keys() | self._count_by_runner.keys():
            count = self._count_by_runner.get(runner, 0) - own.get(runner, 0)
            if count != sent.get(runner, 0):
                changes.append(RunnerInFlight(runner, count))
        most = max(MIN_FLIGHTS_SENT, FLIGHTS_SENT_PER_PERIOD // max(1, routers))
        changes.sort(key=lambda one: -abs(one.count - sent.get(one.runner, 0)))
        for change in changes[:most]:
            sent[change.runner] = change.count
        return tuple(changes[:most]), len(changes) <= most
