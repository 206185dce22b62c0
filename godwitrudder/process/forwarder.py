"""The forwarder: carries a caller's request to runners until it has its answer.

The tokens are reserved first, then a runner is placed, then the request is
sent.  What may be sent again follows from the route's kind; what a caller is
told follows from whether a runner can have run the request.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import Random
from typing import Final

import msgspec
from gevent.event import Event

from godwitrudder.connection.http import CallerGone, CallerLink, CallerRequest, Headers
from godwitrudder.connection.shape import error_body
from godwitrudder.platform import headers as wire
from godwitrudder.process.decisions import DecisionLog
from godwitrudder.process.directory import Directory
from godwitrudder.process.entry_metrics import EntryMetrics
from godwitrudder.process.forwarding import ForwardedRequest, NotRun, Streamed, Whole
from godwitrudder.process.purse import Reservation, ReservationRefused, ReservationTask
from godwitrudder.process.sender import Sender
from godwitrudder.request import comeback
from godwitrudder.request.outcome import (
    Failed,
    Ran,
    Reason,
    Refused,
    fail,
    refuse,
)
from godwitrudder.request.placement import Candidate, place
from godwitrudder.request.retries import RetryWindow
from godwitrudder.version.catalogue import Kind, Route, Target

MAX_REJECTIONS: Final = 3
"""Runners that may turn a request away before it is refused."""
TOKEN_WAIT_SHARE: Final = 0.7
"""Part of the aim for which a request waits for tokens."""
STREAM_DRAIN_SECONDS: Final = 4.5
"""Time that a stream is given when this process is about to end: over twice what one
takes at a busy engine (55 events of 7 tokens, the users' sheet)."""
STARTUP_WAIT_SECONDS: Final = 0.8
"""Longest wait for the first configuration; a start takes about half a second."""
STARTUP_WAIT_SHARE: Final = 0.3
"""Part of a request's time that it waits for that."""
MIN_CONNECTIONS_PER_RUNNER: Final = 4
"""Requests of this host that one runner takes, however many hosts share its
connections."""
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
"""Statuses by which a caller takes it that its request has not run and never will."""


class Forwarder:
    """Serves callers' requests; one per process.

    Attributes
    ----------
    begun : Event
        Set once configuration, runners and holdings are known.
    ends_at : float
        Monotonic seconds at which the process ends, once that is known.
    """

    def __init__(
        self,
        failure_domain: str,
        directory: Directory,
        reservations: ReservationTask,
        sender: Sender,
        log: DecisionLog,
        metrics: EntryMetrics,
        random: Random,
        new_retry_window: Callable[[], RetryWindow],
    ) -> None:
        self._failure_domain = failure_domain
        self._directory = directory
        self._reservations = reservations
        self._sender = sender
        self._log = log
        self._metrics = metrics
        self._random = random
        self._new_retry_window = new_retry_window
        self._retry_windows_by_target: dict[str, RetryWindow] = {}
        self.in_flight = 0
        self.started = Event()
        self.process_ends_at = math.inf
        self.host_count: Callable[[], int] = lambda: 1

    def serve(self, link: CallerLink, request: CallerRequest) -> bool:
        """Answer one request; False where the connection must be closed."""
        self.in_flight += 1
        began = time.monotonic()
        try:
            return self._serve(link, request)
        except CallerGone:
            self._log.note(
                "caller_gone",
                wire.request_id(request),
                why=link.problem or "closed",
                seconds=round(time.monotonic() - began, 4),
            )
            raise
        finally:
            self.in_flight -= 1

    def _serve(self, link: CallerLink, request: CallerRequest) -> bool:
        now = time.monotonic()
        ask = wire.ask(request)
        if isinstance(ask, str):
            refused = refuse(Reason.BAD_REQUEST, problem=ask)
            return self._refuse(link, "", refused, None)
        forwarding = self._admit(link, request, ask, now)
        if isinstance(forwarding, Refused):
            left = ask.deadline_seconds
            return self._refuse(link, ask.request.decode("latin-1"), forwarding, left)
        return self._forward_with_reservation(forwarding)

    def _admit(
        self, link: CallerLink, request: CallerRequest, ask: wire.Ask, now: float
    ) -> ForwardedRequest | Refused:
        """Find route, target and workspace, or say why there is none."""
        if not self.started.is_set():
            self.started.wait(_startup_wait_seconds(ask))
        catalogue = self._directory.current()
        if catalogue is None:
            return refuse(Reason.LOG_UNREACHABLE, comeback.RUNNER_SECONDS)
        route = catalogue.route(ask.host, ask.path)
        if route is None:
            return refuse(Reason.UNKNOWN_PATH, path=ask.path)
        workspace = catalogue.workspaces_by_key.get(ask.key)
        if workspace is None and not route.public:
            return refuse(Reason.UNKNOWN_KEY)
        seconds = route.timeout_seconds
        if ask.deadline_seconds is not None:
            seconds = min(seconds, ask.deadline_seconds)
        if not self._ends_before_exit(route, now, seconds):
            seconds = comeback.spread(comeback.ENDING_SECONDS, self._random)
            return refuse(Reason.DRAINING, seconds)
        name = self._choose_target(route)
        target = catalogue.targets_by_name.get(name) or Target(name, 0, None)
        return ForwardedRequest(
            link, request, ask, route, target, workspace, now, now + seconds
        )

    def _ends_before_exit(self, route: Route, now: float, seconds: float) -> bool:
        """Whether a request that has so long can be served before the process ends."""
        if route.kind is Kind.STREAM:
            seconds = min(seconds, STREAM_DRAIN_SECONDS)
        return now + seconds <= self.process_ends_at

    def _choose_target(self, route: Route) -> str:
        shares = route.shares
        if len(shares) == 1:
            return shares[0].target
        weights = [max(0.0, share.weight) for share in shares]
        if not sum(weights):
            return shares[0].target
        return self._random.choices(shares, weights)[0].target

    def _forward_with_reservation(self, forwarding: ForwardedRequest) -> bool:
        """Reserve tokens around the attempts, where the request has a price."""
        ask, workspace = forwarding.ask, forwarding.workspace
        most = ask.prompt_tokens + ask.output_tokens
        if workspace is None or workspace.prepaid is None or not most:
            return self._try_runners(forwarding)
        patience = forwarding.route.aim_seconds * TOKEN_WAIT_SHARE
        reservation = self._reservations.reserve(
            forwarding.request_id,
            workspace.name,
            most,
            min(patience, forwarding.seconds_left),
            forwarding.route.rank,
        )
        forwarding.token_wait_seconds = time.monotonic() - forwarding.started_at
        if isinstance(reservation, ReservationRefused):
            left = forwarding.seconds_left
            refused = self._token_refusal(reservation, workspace.name, most, left)
            return self._refuse(forwarding.link, forwarding.request_id, refused, left)
        with self._settling(forwarding, reservation):
            return self._try_runners(forwarding)

    @contextmanager
    def _settling(
        self, forwarding: ForwardedRequest, reservation: Reservation
    ) -> Iterator[None]:
        """Give back what was not used, however the request ends."""
        try:
            yield
        finally:
            used = 0
            if forwarding.possible_runs or forwarding.events:
                engine = forwarding.target.engine
                per_event = 1 if engine is None else engine.tokens_per_event
                used = forwarding.ask.prompt_tokens + forwarding.events * per_event
            self._reservations.settle(reservation, used)
            self._log.note(
                "settled",
                forwarding.request_id,
                workspace=reservation.workspace,
                reserved=reservation.tokens,
                used=used,
                events=forwarding.events,
            )

    def _token_refusal(
        self, none: ReservationRefused, workspace: str, needed: int, left: float
    ) -> Refused:
        if none.exhausted:
            return refuse(
                Reason.BUDGET_EXHAUSTED,
                None,
                budget=workspace,
                needed=needed,
                left=max(0, none.remaining),
            )
        seconds = comeback.for_tokens(none.silent_seconds, left, self._random)
        return refuse(Reason.BUDGET_UNREACHABLE, seconds, budget=workspace)

    def _try_runners(self, forwarding: ForwardedRequest) -> bool:
        """Try runners until there is an answer or none can be had."""
        window = self._retry_window(forwarding.target.name)
        window.request(time.monotonic())
        while True:
            if forwarding.seconds_left <= 0:
                return self._give_up(forwarding)
            if forwarding.sends and not window.take(
                self.host_count(), time.monotonic()
            ):
                forwarding.problem = forwarding.problem or "no retries left"
                return self._give_up(forwarding)
            candidate = self._choose_runner(forwarding)
            if candidate is None:
                return self._give_up(forwarding)
            result = self._sender.send(forwarding, candidate)
            if isinstance(result, Streamed):
                return self._record_answer(forwarding, 200)
            if isinstance(result, Whole):
                if self._should_retry(forwarding, result):
                    if result.head.status not in NOT_RUN_STATUSES:
                        forwarding.failed_answer = result
                    continue
                return self._pass_on(forwarding, result)
            forwarding.problem = result.reason
            if isinstance(result, NotRun):
                forwarding.rejections += 1
                if forwarding.rejections > MAX_REJECTIONS:
                    return self._give_up(forwarding)
                continue
            if not forwarding.route.repeatable:
                return self._give_up(forwarding)
            if forwarding.possible_runs >= forwarding.route.attempts_most:
                return self._give_up(forwarding)

    def _should_retry(self, forwarding: ForwardedRequest, whole: Whole) -> bool:
        """Whether a failed answer is better asked for once more."""
        route = forwarding.route
        if whole.head.status < 500 or not route.repeatable:
            return False
        if (
            forwarding.possible_runs >= route.attempts_most
            or forwarding.seconds_left < route.aim_seconds / 2
        ):
            return False
        window = self._retry_window(forwarding.target.name)
        return window.left(self.host_count(), time.monotonic()) > 1

    def _choose_runner(self, forwarding: ForwardedRequest) -> Candidate | None:
        target = forwarding.target
        candidates = self._directory.candidates(target.name)
        share = (
            target.connections_most // max(1, self.host_count())
            or MIN_CONNECTIONS_PER_RUNNER
        )
        now = time.monotonic()
        candidate = place(
            candidates,
            forwarding.ask.parts,
            self._failure_domain,
            forwarding.excluded,
            max(MIN_CONNECTIONS_PER_RUNNER, share),
            self._random,
            now,
            self._sender.connected_runners(),
        )
        self._log.note(
            "place",
            forwarding.request_id,
            target=target.name,
            candidates=len(candidates),
            excluded=len(forwarding.excluded),
            runner=None if candidate is None else candidate.entry.id,
            load=None if candidate is None else round(candidate.load(now), 1),
            entries_age=round(now - self._directory.answered_at, 3),
            left=round(forwarding.seconds_left, 3),
        )
        return candidate

    def _retry_window(self, target: str) -> RetryWindow:
        if target not in self._retry_windows_by_target:
            self._retry_windows_by_target[target] = self._new_retry_window()
        return self._retry_windows_by_target[target]

    def _pass_on(self, forwarding: ForwardedRequest, whole: Whole) -> bool:
        """Pass a runner's answer on; a promise only if it was the runner's."""
        status = whole.head.status
        if status in NOT_RUN_STATUSES:
            forwarding.problem = f"status {status} without proof of not running"
            return self._give_up(forwarding)
        forwarding.link.answer(status, whole.head.headers, whole.body)
        return self._record_answer(forwarding, status)

    def _record_answer(self, forwarding: ForwardedRequest, status: int) -> bool:
        seconds = time.monotonic() - forwarding.started_at
        name = forwarding.target.name
        self._metrics.answers.labels(name, str(status)).inc()
        self._metrics.answer_seconds.labels(name).observe(seconds)
        self._log.note(
            "answered",
            forwarding.request_id,
            status=status,
            events=forwarding.events,
            arrivals=forwarding.sends,
            tokens_after=round(forwarding.token_wait_seconds, 4),
            first_after=forwarding.first_event_seconds,
            seconds=round(seconds, 4),
        )
        return True

    def _give_up(self, forwarding: ForwardedRequest) -> bool:
        """Tell the caller that no runner answered, and whether one may have run it."""
        if forwarding.failed_answer is not None and not forwarding.answer_begun:
            return self._pass_on(forwarding, forwarding.failed_answer)
        if forwarding.possible_runs or forwarding.answer_begun:
            if forwarding.seconds_left <= 0:
                return self._fail(forwarding, fail(Reason.DEADLINE, Ran.UNKNOWN))
            problem = forwarding.problem
            failed = fail(Reason.RUNNER_FAILED, Ran.UNKNOWN, problem=problem)
            return self._fail(forwarding, failed)
        seconds = comeback.spread(comeback.RUNNER_SECONDS, self._random)
        refused = refuse(Reason.NO_RUNNER, seconds, target=forwarding.target.name)
        return self._refuse(
            forwarding.link, forwarding.request_id, refused, forwarding.seconds_left
        )

    def _refuse(
        self, link: CallerLink, request: str, refused: Refused, left: float | None
    ) -> bool:
        status = wire.STATUS_BY_REASON[refused.reason]
        headers: Headers = [(b"content-type", b"application/json")]
        after = refused.retry_after
        if after is not None:
            if left is not None:
                after = comeback.honoured(after, left)
            headers += wire.retry_after(after)
        link.answer(status, headers, msgspec.json.encode(error_body(refused)))
        self._metrics.refusals.labels(str(refused.reason)).inc()
        self._log.note(
            "refused",
            request,
            reason=str(refused.reason),
            status=status,
            retry_after=after,
            detail=refused.detail,
        )
        return True

    def _fail(self, forwarding: ForwardedRequest, failed: Failed) -> bool:
        self._metrics.failures.labels(str(failed.reason)).inc()
        self._log.note(
            "failed",
            forwarding.request_id,
            reason=str(failed.reason),
            problem=forwarding.problem,
            begun=forwarding.answer_begun,
            events=forwarding.events,
        )
        if forwarding.answer_begun:
            return False
        status = wire.STATUS_BY_REASON[failed.reason]
        headers: Headers = [(b"content-type", b"application/json")]
        body = msgspec.json.encode(error_body(failed))
        forwarding.link.answer(status, headers, body)
        return True


def _startup_wait_seconds(ask: wire.Ask) -> float:
    """Return how long a request waits for a process that has just begun, seconds."""
    if ask.deadline_seconds is None:
        return STARTUP_WAIT_SECONDS
    return min(STARTUP_WAIT_SECONDS, ask.deadline_seconds * STARTUP_WAIT_SHARE)
