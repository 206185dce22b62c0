"""Chooses the runner of a request among those that it may be sent to now."""

from __future__ import annotations

import time
from collections.abc import Callable, Collection
from random import Random
from typing import Final

from godwitrudder.process.decisions import DecisionLog
from godwitrudder.process.directory import Directory
from godwitrudder.process.forwarding.forwarded_request import ForwardedRequest
from godwitrudder.process.forwarding.sender import Sender
from godwitrudder.process.rate_limits import FleetLimits
from godwitrudder.request.placing.candidate import Candidate, Part
from godwitrudder.request.placing.placement import Weighed, cheapest, weigh
from godwitrudder.version.catalogue import Target

MIN_CONNECTIONS_PER_RUNNER: Final = 4
"""Least limit on this host's requests at one runner, however many hosts share the
runner's connections."""


class RunnerChoice:
    """Chooses runners; one per process.

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
        log: DecisionLog,
        random: Random,
    ) -> None:
        self._failure_domain = failure_domain
        self._directory = directory
        self._sender = sender
        self._limits = limits
        self._log = log
        self._random = random
        self.host_count: Callable[[], int] = lambda: 1

    def choose(
        self,
        forwarded: ForwardedRequest,
        accepts: Callable[[Candidate], bool] = lambda candidate: True,
    ) -> Candidate | None:
        """Return the runner for the next attempt, None if there is none now.

        Parameters
        ----------
        accepts : callable
            Returns whether a runner may be chosen.
        """
        target = forwarded.target
        candidates = self._directory.candidates(target.name)
        now = time.monotonic()
        permitted = self._limits.permitted(candidates)
        weighed = self._weigh(
            list(filter(accepts, permitted)),
            target,
            forwarded.caller_headers.parts,
            forwarded.excluded,
            bool(forwarded.trial_parts),
            now,
        )
        candidate = cheapest(weighed, self._random)
        if candidate is not None:
            self._limits.take(candidate.entry.id)
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
        )
        return candidate

    def preview(
        self, target: Target, parts: tuple[Part, ...], on_trial: bool
    ) -> list[Weighed]:
        """Return all runners of a target as ``choose`` weighs them for a new request.

        Nothing changes: no slot of a rate limit is taken and no chance drawn.
        """
        candidates = self._directory.candidates(target.name)
        permitted = self._limits.permitted(candidates)
        ids = {each.entry.id for each in permitted}
        limited = [each for each in candidates if each.entry.id not in ids]
        now = time.monotonic()
        weighed = self._weigh(permitted, target, parts, (), on_trial, now)
        return [*weighed, *(Weighed(each, None, "rate_limit") for each in limited)]

    def _weigh(
        self,
        permitted: list[Candidate],
        target: Target,
        parts: tuple[Part, ...],
        excluded: Collection[str],
        on_trial: bool,
        now: float,
    ) -> list[Weighed]:
        share = (
            target.max_connections // max(1, self.host_count())
            or MIN_CONNECTIONS_PER_RUNNER
        )
        return weigh(
            permitted,
            parts,
            self._failure_domain,
            excluded,
            max(MIN_CONNECTIONS_PER_RUNNER, share),
            now,
            self._sender.connected_runners(),
            on_trial,
        )
