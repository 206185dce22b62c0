"""Applies the placement constraints to requests: evacuations, homes, cold runners.

A request for which only cold runners remain, and no slot of this host is free, waits
for the host's next slot if that begins soon enough for its latency objective; otherwise
it is refused at once, so that its caller can try another host.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final

import gevent

from godwitrudder.process.decisions import DecisionLog
from godwitrudder.process.directory import Directory
from godwitrudder.process.entry_metrics import EntryMetrics
from godwitrudder.process.forwarding.forwarded_request import ForwardedRequest
from godwitrudder.request.places.cold_slots import Slot
from godwitrudder.request.places.constraints import Constraints, Exclusion, Selection
from godwitrudder.request.placing.candidate import Candidate
from godwitrudder.version.catalogue import Homes, Route, Target, Workspace

SLOT_WAIT_SHARE: Final = 0.5
"""Share of the latency objective, counted from a request's arrival, by which a slot
must begin to be waited for; the rest is for the answer."""


class Eligibility:
    """Which runners a request may be sent to; one per process.

    Parameters
    ----------
    known_hosts : callable
        Returns the names of all hosts, None if they are not known.
    """

    def __init__(
        self,
        constraints: Constraints,
        directory: Directory,
        known_hosts: Callable[[], tuple[str, ...] | None],
        log: DecisionLog,
        metrics: EntryMetrics,
    ) -> None:
        self._constraints = constraints
        self._directory = directory
        self._known_hosts = known_hosts
        self._log = log
        self._metrics = metrics

    def constrains(self, forwarded: ForwardedRequest) -> bool:
        """Whether any constraint may exclude a runner of the request's target."""
        return (
            forwarded.target.cold_per_second > 0
            or bool(self._directory.evacuations.in_force)
            or any(_homes(forwarded))
        )

    def select(
        self,
        forwarded: ForwardedRequest,
        candidates: list[Candidate],
        reserved: Slot | None = None,
    ) -> Selection:
        """Separate the runners of the request's target."""
        if not self.constrains(forwarded):
            return Selection(candidates)
        target, now = forwarded.target, time.monotonic()
        if target.cold_per_second > 0:
            for candidate in candidates:
                self._note_cold(candidate, target, now)
        return self._constraints.select(
            candidates, target, _homes(forwarded), self._hosts(target), now, reserved
        )

    def preview(
        self, target: Target, homes: tuple[Homes, ...], candidates: list[Candidate]
    ) -> dict[str, Exclusion]:
        """Return why ``select`` would separate runners, by id; nothing changes."""
        hosts, now = self._hosts(target), time.monotonic()
        found = {
            each.entry.id: self._constraints.preview(each, target, homes, hosts, now)
            for each in candidates
        }
        return {runner: why for runner, why in found.items() if why is not None}

    @contextmanager
    def next_slot(
        self, forwarded: ForwardedRequest, selection: Selection
    ) -> Iterator[Slot | None]:
        """Wait for the next slot at a cold runner, if it begins soon enough.

        The slot is reserved for the request meanwhile, and given back if the request is
        not sent in it.
        """
        slot = self._reserve(forwarded, selection)
        if slot is None:
            yield None
            return
        try:
            begins_at = self._constraints.begin_of(slot)
            gevent.sleep(max(0.0, begins_at - time.monotonic()))
            yield slot
        finally:
            if not self._is_used(forwarded, slot):
                self._constraints.release(slot)

    def take(
        self, forwarded: ForwardedRequest, candidate: Candidate, selection: Selection
    ) -> None:
        """Record that a request is sent to a runner, in a slot if that is cold."""
        forwarded.slot_ends_at = -math.inf
        slot = selection.slots_by_runner.get(candidate.entry.id)
        if slot is not None:
            self._constraints.take(slot)
            forwarded.slot_ends_at = self._constraints.end_of(slot)
            self._metrics.cold_requests.labels(forwarded.target.name).inc()

    def note_no_runner(self, selection: Selection) -> None:
        """Count a request for which no runner was left."""
        for reason in selection.exclusions:
            self._metrics.constrained.labels(str(reason)).inc()

    def obstacle(self, forwarded: ForwardedRequest, candidate: Candidate) -> str | None:
        """Return what came up since the choice of the runner, None if nothing."""
        now = time.monotonic()
        exclusion = self._constraints.exclusion(candidate, _homes(forwarded))
        if exclusion is not None:
            return f"the runner is {exclusion}"
        if not self._constraints.is_cold(candidate, forwarded.target, now):
            return None
        if now < forwarded.slot_ends_at:
            return None
        return "the slot at the cold runner is over"

    def cold_runners(self) -> int:
        """Return the number of runners that are cold now."""
        now, catalogue = time.monotonic(), self._directory.current()
        targets = {} if catalogue is None else catalogue.targets_by_name
        return sum(
            self._constraints.is_cold(candidate, target, now)
            for name, target in targets.items()
            for candidate in self._directory.candidates(name)
        )

    def _hosts(self, target: Target) -> tuple[str, ...] | None:
        return self._known_hosts() if target.cold_per_second > 0 else None

    def _reserve(
        self, forwarded: ForwardedRequest, selection: Selection
    ) -> Slot | None:
        now = time.monotonic()
        objective = forwarded.route.latency_objective_seconds
        latest = forwarded.started_at + SLOT_WAIT_SHARE * objective
        candidates = [
            candidate
            for candidate in selection.cold
            if candidate.entry.id not in forwarded.excluded
            and now >= candidate.directives.backoff_until
        ]
        until = min(latest, forwarded.deadline)
        if not candidates or until <= now:
            return None
        target = forwarded.target
        return self._constraints.reserve(
            candidates, target, self._hosts(target), now, until
        )

    def _is_used(self, forwarded: ForwardedRequest, slot: Slot) -> bool:
        return forwarded.slot_ends_at == self._constraints.end_of(slot)

    def _note_cold(self, candidate: Candidate, target: Target, now: float) -> None:
        """Log a change of whether a runner is cold."""
        cold_until = self._constraints.cold_until(candidate, target)
        if candidate.cold_noted == (now < cold_until):
            return
        candidate.cold_noted = not candidate.cold_noted
        self._log.note(
            "runner_cold",
            runner=candidate.entry.id,
            target=target.name,
            cold=candidate.cold_noted,
            seconds=round(max(0.0, cold_until - now), 3),
        )


def _homes(forwarded: ForwardedRequest) -> tuple[Homes, ...]:
    return homes_of(forwarded.route, forwarded.workspace)


def homes_of(route: Route, workspace: Workspace | None) -> tuple[Homes, ...]:
    """Return the homes of a request's route and workspace."""
    if workspace is None:
        return (route.homes,)
    return route.homes, workspace.homes
