"""Reserves tokens for forwarded requests, and returns what they did not use."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import Random
from typing import Final

from godwitrudder.process.decisions import DecisionLog
from godwitrudder.process.entry_metrics import EntryMetrics
from godwitrudder.process.forwarding.forwarded_request import ForwardedRequest
from godwitrudder.process.reservations import ReservationTask
from godwitrudder.request import retry_delay
from godwitrudder.request.charge import charged_tokens
from godwitrudder.request.outcome import Reason, Refused, refuse
from godwitrudder.request.tokens.reservation import Reservation, ReservationRefused
from godwitrudder.request.tokens.waiting import (
    ServiceTimes,
    longest_wait_seconds,
    retry_seconds,
)

TOKEN_WAIT_SHARE: Final = 0.7
"""Share of the route's latency objective that a request may wait for tokens where
requests to its target do not queue."""


class TokenDesk:
    """Reserves and settles the tokens of requests; one per process.

    Parameters
    ----------
    queues_requests : callable
        Whether requests to a target queue; then they wait longer for tokens.
    """

    def __init__(
        self,
        reservations: ReservationTask,
        queues_requests: Callable[[str], bool],
        log: DecisionLog,
        metrics: EntryMetrics,
        random: Random,
    ) -> None:
        self._reservations = reservations
        self._queues_requests = queues_requests
        self._log = log
        self._metrics = metrics
        self._random = random
        self._service_times = ServiceTimes()

    def reserve(
        self, forwarded: ForwardedRequest, workspace: str, tokens: int
    ) -> Reservation | Refused:
        """Reserve the most tokens that a request can use, waiting if need be."""
        long_wait = self._queues_requests(forwarded.target.name)
        reservation = self._reservations.reserve(
            forwarded.request_id,
            workspace,
            tokens,
            self._max_wait_seconds(forwarded, long_wait),
            forwarded.rank if long_wait else None,
        )
        forwarded.token_wait_seconds = time.monotonic() - forwarded.started_at
        self._metrics.record_token_wait(reservation)
        if isinstance(reservation, Reservation):
            return reservation
        left = forwarded.seconds_left
        return self._refusal(reservation, workspace, tokens, left, long_wait)

    @contextmanager
    def settling(
        self, forwarded: ForwardedRequest, reservation: Reservation
    ) -> Iterator[None]:
        """Return unused tokens when the request ends, also on errors."""
        began = time.monotonic()
        try:
            yield
        finally:
            engine = forwarded.target.engine
            used = charged_tokens(
                forwarded.caller_headers.prompt_tokens,
                forwarded.caller_headers.output_tokens,
                forwarded.events,
                1 if engine is None else engine.tokens_per_event,
                forwarded.succeeded_whole,
            )
            self._reservations.settle(reservation, used)
            if forwarded.succeeded_whole or forwarded.events:
                name = forwarded.route.name
                self._service_times.record(name, time.monotonic() - began)
            self._log.note(
                "settled",
                forwarded.request_id,
                workspace=reservation.workspace,
                reserved=reservation.tokens,
                used=used,
                events=forwarded.events,
            )

    def _max_wait_seconds(self, forwarded: ForwardedRequest, long_wait: bool) -> float:
        """Return how long a request may wait for tokens."""
        route = forwarded.route
        objective = route.latency_objective_seconds
        if not long_wait:
            return min(objective * TOKEN_WAIT_SHARE, forwarded.seconds_left)
        return longest_wait_seconds(
            forwarded.started_at,
            forwarded.deadline,
            time.monotonic(),
            self._service_times.expected(route.name, objective),
        )

    def _refusal(
        self,
        refusal: ReservationRefused,
        workspace: str,
        needed: int,
        left: float,
        long_wait: bool,
    ) -> Refused:
        if refusal.exhausted:
            return refuse(
                Reason.BUDGET_EXHAUSTED,
                None,
                budget=workspace,
                needed=needed,
                left=max(0, refusal.remaining),
            )
        if refusal.draining:
            seconds = retry_delay.DRAINING_RETRY_SECONDS
            return refuse(Reason.DRAINING, retry_delay.jitter(seconds, self._random))
        silent = refusal.silent_seconds
        if long_wait:
            seconds = retry_seconds(silent, left, refusal.waited_seconds, self._random)
        else:
            seconds = retry_delay.token_retry_seconds(silent, left, self._random)
        return refuse(Reason.BUDGET_UNREACHABLE, seconds, budget=workspace)
