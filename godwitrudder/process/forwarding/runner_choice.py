"""Chooses the runner of a request among those that it may be sent to now."""

from __future__ import annotations

import time
from collections.abc import Callable
from random import Random
from typing import Final

from godwitrudder.process.decisions import DecisionLog
from godwitrudder.process.directory import Directory
from godwitrudder.process.forwarding.eligibility import Eligibility
from godwitrudder.process.forwarding.forwarded_request import ForwardedRequest
from godwitrudder.process.forwarding.sender import Sender
from godwitrudder.process.rate_limits import FleetLimits
from godwitrudder.request.places.cold_slots import Slot
from godwitrudder.request.places.constraints import Selection
from godwitrudder.request.placing.candidate import Candidate
from godwitrudder.request.placing.placement import place, trusted

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
        eligibility: Eligibility,
        log: DecisionLog,
        random: Random,
    ) -> None:
        self._failure_domain = failure_domain
        self._directory = directory
        self._sender = sender
        self._limits = limits
        self._eligibility = eligibility
        self._log = log
        self._random = random
        self.host_count: Callable[[], int] = lambda: 1

    def choose(self, forwarded: ForwardedRequest) -> Candidate | None:
        """Return the runner for the next attempt, None if there is none now."""
        candidate, selection = self._choose_now(forwarded)
        if candidate is None and selection.cold:
            with self._eligibility.next_slot(forwarded, selection) as slot:
                if slot is not None:
                    candidate, selection = self._choose_now(forwarded, slot)
        if candidate is None:
            self._eligibility.note_no_runner(selection)
        return candidate

    def _choose_now(
        self, forwarded: ForwardedRequest, reserved: Slot | None = None
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
        share = (
            target.max_connections // max(1, self.host_count())
            or MIN_CONNECTIONS_PER_RUNNER
        )
        now = time.monotonic()
        permitted = self._limits.permitted(selection.usable)
        candidate = place(
            permitted,
            forwarded.caller_headers.parts,
            self._failure_domain,
            forwarded.excluded,
            max(MIN_CONNECTIONS_PER_RUNNER, share),
            self._random,
            now,
            self._sender.connected_runners(),
            bool(forwarded.trial_parts),
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


def _constraints_for_log(selection: Selection) -> dict[str, dict[str, int]]:
    """Return how many runners were excluded by which constraint, if any were."""
    excluded = {str(reason): count for reason, count in selection.exclusions.items()}
    return {"constraints": excluded} if excluded else {}
