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

from godwitrudder.connection.http import (
    CallerDisconnected,
    CallerLink,
    CallerRequest,
    Headers,
)
from godwitrudder.connection.shape import error_body
from godwitrudder.platform import headers as wire
from godwitrudder.process.decisions import DecisionLog
from godwitrudder.process.directory import Directory
from godwitrudder.process.entry_metrics import EntryMetrics
from godwitrudder.process.forwarded_request import Forwarding, NotRun, Streamed, Whole
from godwitrudder.process.reservations import NoTokens, PurseTask, Reservation
from godwitrudder.process.sender import Sender
from godwitrudder.request import retry_delay
from godwitrudder.request.outcome import (
    Failed,
    Ran,
    Reason,
    Refused,
    fail,
    refuse,
)
from godwitrudder.request.placement import Candidate, place
from godwitrudder.request.retry_window import RetryWindow
from godwitrudder.version.catalogue import Route, RouteKind, Target

REJECTIONS_MOST: Final = 3
"""Runners that may turn a request away before it is refused."""
TOKEN_PATIENCE: Final = 0.7
"""Part of the aim for which a request waits for tokens."""
STREAM_SECONDS: Final = 4.5
"""Time that a stream is given when this process is about to end: over twice what one
takes at a busy engine (55 events of 7 tokens, the users' sheet)."""
BEGIN_SECONDS: Final = 0.8
"""Longest wait for the first configuration; a start takes about half a second."""
BEGIN_SHARE: Final = 0.3
"""Part of a request's time that it waits for that."""
CONNECTIONS_LEAST: Final = 4
"""Requests of this host that one runner takes, however many hosts share its
connections."""
PROMISES: Final = frozenset({408, 421, 429, 503})
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
        purse: PurseTask,
        sender: Sender,
        log: DecisionLog,
        metrics: EntryMetrics,
        random: Random,
        window: Callable[[], RetryWindow],
    ) -> None:
        self._failure_domain = failure_domain
        self._directory = directory
        self._purse = purse
        self._sender = sender
        self._log = log
        self._metrics = metrics
        self._random = random
        self._window = window
        self._windows_by_target: dict[str, RetryWindow] = {}
        self.in_flight = 0
        self.begun = Event()
        self.ends_at = math.inf
        self.hosts: Callable[[], int] = lambda: 1

    def serve(self, link: CallerLink, request: CallerRequest) -> bool:
        """Answer one request; False where the connection must be closed."""
        self.in_flight += 1
        began = time.monotonic()
        try:
            return self._serve(link, request)
        except CallerDisconnected:
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
        ask = wire.parse_caller_headers(request)
        if isinstance(ask, str):
            refused = refuse(Reason.BAD_REQUEST, problem=ask)
            return self._refuse(link, "", refused, None)
        forwarding = self._admit(link, request, ask, now)
        if isinstance(forwarding, Refused):
            left = ask.deadline_seconds
            return self._refuse(link, ask.request.decode("latin-1"), forwarding, left)
        return self._reserved(forwarding)

    def _admit(
        self,
        link: CallerLink,
        request: CallerRequest,
        ask: wire.CallerHeaders,
        now: float,
    ) -> Forwarding | Refused:
        """Find route, target and workspace, or say why there is none."""
        if not self.begun.is_set():
            self.begun.wait(_begin_patience(ask))
        catalogue = self._directory.current()
        if catalogue is None:
            return refuse(Reason.LOG_UNREACHABLE, retry_delay.NO_RUNNER_RETRY_SECONDS)
        route = catalogue.route(ask.host, ask.path)
        if route is None:
            return refuse(Reason.UNKNOWN_PATH, path=ask.path)
        workspace = catalogue.workspaces_by_key.get(ask.key)
        if workspace is None and not route.public:
            return refuse(Reason.UNKNOWN_KEY)
        seconds = route.timeout_seconds
        if ask.deadline_seconds is not None:
            seconds = min(seconds, ask.deadline_seconds)
        if not self._finishes(route, now, seconds):
            seconds = retry_delay.jitter(
                retry_delay.DRAINING_RETRY_SECONDS, self._random
            )
            return refuse(Reason.DRAINING, seconds)
        name = self._share(route)
        target = catalogue.targets_by_name.get(name) or Target(name, 0, None)
        return Forwarding(
            link, request, ask, route, target, workspace, now, now + seconds
        )

    def _finishes(self, route: Route, now: float, seconds: float) -> bool:
        """Whether a request that has so long can be served before the process ends."""
        if route.kind is RouteKind.STREAM:
            seconds = min(seconds, STREAM_SECONDS)
        return now + seconds <= self.ends_at

    def _share(self, route: Route) -> str:
        shares = route.shares
        if len(shares) == 1:
            return shares[0].target
        weights = [max(0.0, share.weight) for share in shares]
        if not sum(weights):
            return shares[0].target
        return self._random.choices(shares, weights)[0].target

    def _reserved(self, forwarding: Forwarding) -> bool:
        """Reserve tokens around the attempts, where the request has a price."""
        ask, workspace = forwarding.ask, forwarding.workspace
        most = ask.prompt_tokens + ask.output_tokens
        if workspace is None or workspace.prepaid is None or not most:
            return self._attempts(forwarding)
        patience = forwarding.route.latency_objective_seconds * TOKEN_PATIENCE
        reservation = self._purse.reserve(
            forwarding.name,
            workspace.name,
            most,
            min(patience, forwarding.left),
            forwarding.route.rank,
        )
        forwarding.token_seconds = time.monotonic() - forwarding.started_at
        if isinstance(reservation, NoTokens):
            left = forwarding.left
            refused = self._no_tokens(reservation, workspace.name, most, left)
            return self._refuse(forwarding.link, forwarding.name, refused, left)
        with self._settled(forwarding, reservation):
            return self._attempts(forwarding)

    @contextmanager
    def _settled(
        self, forwarding: Forwarding, reservation: Reservation
    ) -> Iterator[None]:
        """Give back what was not used, however the request ends."""
        try:
            yield
        finally:
            used = 0
            if forwarding.ran_on or forwarding.events:
                engine = forwarding.target.engine
                per_event = 1 if engine is None else engine.tokens_per_event
                used = forwarding.ask.prompt_tokens + forwarding.events * per_event
            self._purse.settle(reservation, used)
            self._log.note(
                "settled",
                forwarding.name,
                workspace=reservation.workspace,
                reserved=reservation.tokens,
                used=used,
                events=forwarding.events,
            )

    def _no_tokens(
        self, none: NoTokens, workspace: str, needed: int, left: float
    ) -> Refused:
        if none.exhausted:
            return refuse(
                Reason.BUDGET_EXHAUSTED,
                None,
                budget=workspace,
                needed=needed,
                left=max(0, none.free),
            )
        seconds = retry_delay.token_retry_seconds(
            none.silent_seconds, left, self._random
        )
        return refuse(Reason.BUDGET_UNREACHABLE, seconds, budget=workspace)

    def _attempts(self, forwarding: Forwarding) -> bool:
        """Try runners until there is an answer or none can be had."""
        window = self._retries(forwarding.target.name)
        window.request(time.monotonic())
        while True:
            if forwarding.left <= 0:
                return self._give_up(forwarding)
            if forwarding.arrivals and not window.take(self.hosts(), time.monotonic()):
                forwarding.problem = forwarding.problem or "no retries left"
                return self._give_up(forwarding)
            candidate = self._place(forwarding)
            if candidate is None:
                return self._give_up(forwarding)
            result = self._sender.send(forwarding, candidate)
            if isinstance(result, Streamed):
                return self._done(forwarding, 200)
            if isinstance(result, Whole):
                if self._again_after(forwarding, result):
                    if result.head.status not in PROMISES:
                        forwarding.kept = result
                    continue
                return self._answer(forwarding, result)
            forwarding.problem = result.reason
            if isinstance(result, NotRun):
                forwarding.rejections += 1
                if forwarding.rejections > REJECTIONS_MOST:
                    return self._give_up(forwarding)
                continue
            if not forwarding.route.repeatable:
                return self._give_up(forwarding)
            if forwarding.ran_on >= forwarding.route.max_attempts:
                return self._give_up(forwarding)

    def _again_after(self, forwarding: Forwarding, whole: Whole) -> bool:
        """Whether a failed answer is better asked for once more."""
        route = forwarding.route
        if whole.head.status < 500 or not route.repeatable:
            return False
        if (
            forwarding.ran_on >= route.max_attempts
            or forwarding.left < route.latency_objective_seconds / 2
        ):
            return False
        window = self._retries(forwarding.target.name)
        return window.left(self.hosts(), time.monotonic()) > 1

    def _place(self, forwarding: Forwarding) -> Candidate | None:
        target = forwarding.target
        candidates = self._directory.candidates(target.name)
        share = target.max_connections // max(1, self.hosts()) or CONNECTIONS_LEAST
        now = time.monotonic()
        candidate = place(
            candidates,
            forwarding.ask.parts,
            self._failure_domain,
            forwarding.excluded,
            max(CONNECTIONS_LEAST, share),
            self._random,
            now,
            self._sender.connected(),
        )
        self._log.note(
            "place",
            forwarding.name,
            target=target.name,
            candidates=len(candidates),
            excluded=len(forwarding.excluded),
            runner=None if candidate is None else candidate.entry.id,
            load=None if candidate is None else round(candidate.load(now), 1),
            entries_age=round(now - self._directory.answered_at, 3),
            left=round(forwarding.left, 3),
        )
        return candidate

    def _retries(self, target: str) -> RetryWindow:
        if target not in self._windows_by_target:
            self._windows_by_target[target] = self._window()
        return self._windows_by_target[target]

    def _answer(self, forwarding: Forwarding, whole: Whole) -> bool:
        """Pass a runner's answer on; a promise only if it was the runner's."""
        status = whole.head.status
        if status in PROMISES:
            forwarding.problem = f"status {status} without proof of not running"
            return self._give_up(forwarding)
        forwarding.link.answer(status, whole.head.headers, whole.body)
        return self._done(forwarding, status)

    def _done(self, forwarding: Forwarding, status: int) -> bool:
        seconds = time.monotonic() - forwarding.started_at
        name = forwarding.target.name
        self._metrics.requests.labels(name, str(status)).inc()
        self._metrics.seconds.labels(name).observe(seconds)
        self._log.note(
            "answered",
            forwarding.name,
            status=status,
            events=forwarding.events,
            arrivals=forwarding.arrivals,
            tokens_after=round(forwarding.token_seconds, 4),
            first_after=forwarding.first_seconds,
            seconds=round(seconds, 4),
        )
        return True

    def _give_up(self, forwarding: Forwarding) -> bool:
        """Tell the caller that no runner answered, and whether one may have run it."""
        if forwarding.kept is not None and not forwarding.begun:
            return self._answer(forwarding, forwarding.kept)
        if forwarding.ran_on or forwarding.begun:
            if forwarding.left <= 0:
                return self._fail(forwarding, fail(Reason.DEADLINE, Ran.UNKNOWN))
            problem = forwarding.problem
            failed = fail(Reason.RUNNER_FAILED, Ran.UNKNOWN, problem=problem)
            return self._fail(forwarding, failed)
        seconds = retry_delay.jitter(retry_delay.NO_RUNNER_RETRY_SECONDS, self._random)
        refused = refuse(Reason.NO_RUNNER, seconds, target=forwarding.target.name)
        return self._refuse(forwarding.link, forwarding.name, refused, forwarding.left)

    def _refuse(
        self, link: CallerLink, request: str, refused: Refused, left: float | None
    ) -> bool:
        status = wire.STATUS_BY_REASON[refused.reason]
        headers: Headers = [(b"content-type", b"application/json")]
        after = refused.retry_after
        if after is not None:
            if left is not None:
                after = retry_delay.cap_retry_seconds(after, left)
            headers += wire.retry_after(after)
        link.answer(status, headers, msgspec.json.encode(error_body(refused)))
        self._metrics.refused.labels(str(refused.reason)).inc()
        self._log.note(
            "refused",
            request,
            reason=str(refused.reason),
            status=status,
            retry_after=after,
            detail=refused.detail,
        )
        return True

    def _fail(self, forwarding: Forwarding, failed: Failed) -> bool:
        self._metrics.failed.labels(str(failed.reason)).inc()
        self._log.note(
            "failed",
            forwarding.name,
            reason=str(failed.reason),
            problem=forwarding.problem,
            begun=forwarding.begun,
            events=forwarding.events,
        )
        if forwarding.begun:
            return False
        status = wire.STATUS_BY_REASON[failed.reason]
        headers: Headers = [(b"content-type", b"application/json")]
        body = msgspec.json.encode(error_body(failed))
        forwarding.link.answer(status, headers, body)
        return True


def _begin_patience(ask: wire.CallerHeaders) -> float:
    """Return how long a request waits for a process that has just begun, seconds."""
    if ask.deadline_seconds is None:
        return BEGIN_SECONDS
    return min(BEGIN_SECONDS, ask.deadline_seconds * BEGIN_SHARE)
