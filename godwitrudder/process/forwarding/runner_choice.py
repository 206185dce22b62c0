"""Chooses the runner of a request among those that it may be sent to now."""

from __future__ import annotations

import enum
import time
from collections.abc import Callable, Collection
from random import Random
from typing import Final

from godwitrudder.options import Options
from godwitrudder.process.decisions import DecisionLog
from godwitrudder.process.directory import Directory
from godwitrudder.process.forwarding.eligibility import Eligibility
from godwitrudder.process.forwarding.forwarded_request import ForwardedRequest
from godwitrudder.process.forwarding.sender import Sender
from godwitrudder.process.rate_limits import FleetLimits
from godwitrudder.request.places.cold_slots import Slot
from godwitrudder.request.places.constraints import Selection
from godwitrudder.request.placing.candidate import Candidate, Part
from godwitrudder.request.placing.placement import (
    Weighed,
    cheapest,
    distrust,
    is_usable,
    trusted,
    usable_runners,
    weigh,
)
from godwitrudder.version.catalogue import Homes, Target

MIN_CONNECTIONS_PER_RUNNER: Final = 4
"""Least limit on this host's requests at one runner, however many hosts share the
runner's connections."""


class Waits(enum.Enum):
    """What a request waits for."""

    FOR_ROOM = enum.auto()


class RunnerChoice:
    """Chooses runners; one per process.

    Parameters
    ----------
    options : callable
        Returns the operator's options in force.

    Attributes
    ----------
    host_count : callable
        Returns the number of hosts that share the runners' connections.
    """

    def __init__(
        self,
        failure_domain: str,
        directory: Directory,
        sender: Sender,
        limits: FleetLimits,
        eligibility: Eligibility,
        log: DecisionLog,
        random: Random,
        options: Callable[[], Options],
    ) -> None:
        self._failure_domain = failure_domain
        self._directory = directory
        self._sender = sender
        self._limits = limits
        self._eligibility = eligibility
        self._log = log
        self._random = random
        self._options = options
        self.host_count: Callable[[], int] = lambda: 1

    def find_room(
        self, forwarded: ForwardedRequest, has_room: Callable[[Candidate], bool]
    ) -> Candidate | Waits | None:
        """Return a usable runner with room for a request, found first.

        Returns
        -------
        Candidate, Waits or None
            The runner, ``Waits.FOR_ROOM`` if all usable runners lack room, and None if
            no runner is usable.
        """
        target, now = forwarded.target, time.monotonic()
        most = self._most_connections(target)
        crowded = unlisted = False
        candidates = self._directory.candidates_by_target.get(target.name, {})
        if self._eligibility.constrains(forwarded):
            return self._find_constrained(forwarded, has_room)
        for candidate in candidates.values():
            unlisted = unlisted or candidate.unlisted
            if not is_usable(candidate, forwarded.excluded, most, now):
                continue
            if not has_room(candidate):
                crowded = True
            elif self._limits.permitted([candidate]):
                return candidate
        if crowded and not unlisted:
            return Waits.FOR_ROOM
        permitted = self._limits.permitted(list(candidates.values()))
        usable = usable_runners(permitted, forwarded.excluded, most, now)
        if not usable:
            return None
        return next((each for each in usable if has_room(each)), Waits.FOR_ROOM)

    def _find_constrained(
        self, forwarded: ForwardedRequest, has_room: Callable[[Candidate], bool]
    ) -> Candidate | Waits | None:
        """Return what ``find_room`` does, where constraints on placement apply."""
        candidates = trusted(self._directory.candidates(forwarded.target.name))
        selection = self._eligibility.select(forwarded, candidates)
        usable = usable_runners(
            self._limits.permitted(selection.usable),
            forwarded.excluded,
            self._most_connections(forwarded.target),
            time.monotonic(),
        )
        if not usable:
            return None
        return next((each for each in usable if has_room(each)), Waits.FOR_ROOM)

    def may_use(self, forwarded: ForwardedRequest, candidate: Candidate) -> bool:
        """Whether a request may be sent to a listed runner now."""
        most = self._most_connections(forwarded.target)
        usable = is_usable(candidate, forwarded.excluded, most, time.monotonic())
        if not usable or self._eligibility.obstacle(forwarded, candidate) is not None:
            return False
        return bool(self._limits.permitted([candidate]))

    def choose(
        self,
        forwarded: ForwardedRequest,
        fits: Callable[[Candidate], bool] = lambda candidate: True,
        accepts: Callable[[Candidate], bool] = lambda candidate: True,
        may_wait: bool = True,
    ) -> Candidate | None:
        """Return the runner for the next attempt, None if there is none now.

        Parameters
        ----------
        fits : callable
            Whether a runner has memory for the request; one that has not is chosen only
            if none has.
        accepts : callable
            Returns whether a runner may be chosen at all.
        may_wait : bool
            Whether to wait for a slot at a cold runner.
        """
        candidate, selection = self._choose_now(forwarded, fits, accepts)
        if candidate is None and selection.cold and may_wait:
            with self._eligibility.next_slot(forwarded, selection) as slot:
                if slot is not None:
                    candidate, selection = self._choose_now(
                        forwarded, fits, accepts, slot
                    )
        if candidate is None:
            self._eligibility.note_no_runner(selection)
        return candidate

    def _choose_now(
        self,
        forwarded: ForwardedRequest,
        fits: Callable[[Candidate], bool],
        accepts: Callable[[Candidate], bool],
        reserved: Slot | None = None,
    ) -> tuple[Candidate | None, Selection]:
        """Choose without a wait; return also how the runners were separated.

        Parameters
        ----------
        reserved : Slot or None
            Slot at a cold runner that was reserved for the request.
        """
        target = forwarded.target
        candidates = self._directory.candidates(target.name)
        # Whether an unlisted runner may have left is told by all runners of the target.
        selection = self._eligibility.select(forwarded, trusted(candidates), reserved)
        now = time.monotonic()
        permitted = list(filter(accepts, self._limits.permitted(selection.usable)))
        parts, on_trial = forwarded.caller_headers.parts, bool(forwarded.trial_parts)

        def weigh_for_request(runners: list[Candidate]) -> list[Weighed]:
            return self._weigh(
                runners, target, parts, forwarded.excluded, on_trial, now
            )

        candidate = _cheapest_fitting(
            weigh_for_request(permitted), fits, weigh_for_request, self._random
        )
        if candidate is not None:
            self._limits.take(candidate.entry.id)
            self._eligibility.take(forwarded, candidate, selection)
        else:
            backoffs = [
                each.directives.backoff_until - now
                for each in permitted
                if each.may_be_used
            ]
            forwarded.backoff_seconds = max(0.0, min(backoffs, default=0.0))
        self._log.note(
            "place",
            forwarded.request_id,
            target=target.name,
            candidates=len(candidates),
            permitted=len(permitted),
            excluded=len(forwarded.excluded),
            runner=None if candidate is None else candidate.entry.id,
            load=None if candidate is None else round(candidate.load(now), 1),
            entries_age=round(now - self._directory.answered_at, 3),
            left=round(forwarded.seconds_left, 3),
            **_constraints_for_log(selection),
        )
        return candidate, selection

    def preview(
        self,
        target: Target,
        homes: tuple[Homes, ...],
        parts: tuple[Part, ...],
        on_trial: bool,
        fits: Callable[[Candidate], bool],
        random: Random,
    ) -> tuple[list[Weighed], Candidate | None]:
        """Return all runners of a target as ``choose`` weighs them, and its choice.

        It is the choice for a new request that doesn't wait. Nothing changes: no slot
        of a rate limit or of a cold runner is taken and no chance of ``choose`` drawn.

        Parameters
        ----------
        homes : tuple
            Homes of the route and of the workspace.
        fits : callable
            Whether a runner has memory for the request.
        random : Random
            Not the one of requests, whose choices the query would change.
        """
        now = time.monotonic()
        candidates = self._directory.candidates(target.name)
        reasons = dict(
            zip(
                (each.entry.id for each in candidates),
                distrust(candidates),
                strict=True,
            )
        )
        constrained = self._eligibility.preview(target, homes, trusted(candidates))
        reasons.update((runner, str(why)) for runner, why in constrained.items())
        usable = [each for each in candidates if not reasons[each.entry.id]]
        permitted = self._limits.permitted(usable)
        ids = {each.entry.id for each in permitted}
        reasons.update(
            (each.entry.id, "rate_limit") for each in usable if each.entry.id not in ids
        )

        def weigh_for_query(runners: list[Candidate]) -> list[Weighed]:
            return self._weigh(runners, target, parts, (), on_trial, now)

        weighed = weigh_for_query(permitted)
        chosen = _cheapest_fitting(weighed, fits, weigh_for_query, random)
        others = [each for each in candidates if each.entry.id not in ids]
        weighed += [Weighed(each, None, reasons[each.entry.id]) for each in others]
        return weighed, chosen

    def _weigh(
        self,
        candidates: list[Candidate],
        target: Target,
        parts: tuple[Part, ...],
        excluded: Collection[str],
        on_trial: bool,
        now: float,
    ) -> list[Weighed]:
        return weigh(
            candidates,
            parts,
            self._failure_domain,
            excluded,
            self._most_connections(target),
            now,
            self._sender.connected_runners(),
            on_trial,
            self._options().domain_tokens,
        )

    def _most_connections(self, target: Target) -> int:
        """Return the most requests of this host at one runner of a target."""
        share = target.max_connections // max(1, self.host_count())
        return max(MIN_CONNECTIONS_PER_RUNNER, share)


def _cheapest_fitting(
    weighed: list[Weighed],
    fits: Callable[[Candidate], bool],
    weigh_runners: Callable[[list[Candidate]], list[Weighed]],
    random: Random,
) -> Candidate | None:
    """Return the cheapest runner that fits; the cheapest of all if none fits."""
    chosen = cheapest(weighed, random)
    if chosen is None or fits(chosen):
        return chosen
    fitting = [each.candidate for each in weighed if fits(each.candidate)]
    return cheapest(weigh_runners(fitting), random) or chosen


def _constraints_for_log(selection: Selection) -> dict[str, dict[str, int]]:
    """Return how many runners were excluded by which constraint, if any were."""
    excluded = {str(reason): count for reason, count in selection.exclusions.items()}
    return {"constraints": excluded} if excluded else {}
