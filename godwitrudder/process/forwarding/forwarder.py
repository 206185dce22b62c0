"""Forwards callers' requests to runners, with retries, until one answers.

For each request the forwarder reserves tokens, chooses a runner and sends the
request there.  The kind of the route decides whether an attempt may be retried.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Final

from gevent.event import Event

from godwitrudder.connection.http import CallerDisconnected, CallerLink
from godwitrudder.connection.messages import CallerRequest
from godwitrudder.platform import headers as wire
from godwitrudder.process.decisions import DecisionLog
from godwitrudder.process.directory import Directory
from godwitrudder.process.forwarding.forwarded_request import (
    AttemptResult,
    ForwardedRequest,
    NotRun,
    Streamed,
    Whole,
)
from godwitrudder.process.forwarding.responder import NOT_RUN_STATUSES, Responder
from godwitrudder.process.forwarding.runner_choice import RunnerChoice
from godwitrudder.process.forwarding.runner_queues import RunnerQueues
from godwitrudder.process.forwarding.second_attempts import SecondAttempts
from godwitrudder.process.forwarding.sender import Sender
from godwitrudder.process.forwarding.token_desk import TokenDesk
from godwitrudder.process.quarantine import FleetQuarantine
from godwitrudder.request import retry_delay
from godwitrudder.request.outcome import (
    Reason,
    Refused,
    refuse,
)
from godwitrudder.request.quarantine import Quarantined
from godwitrudder.request.queueing.processor_load import ProcessorLoad
from godwitrudder.request.retry_window import RetryWindow
from godwitrudder.version.catalogue import Route, RouteKind, Target

MAX_REJECTIONS: Final = 3
"""Runners that may reject a request before the caller gets a refusal."""
STREAM_DRAIN_SECONDS: Final = 4.5
"""Time reserved for a stream that begins while this process drains: over twice what one
takes at a busy engine (55 events of 7 tokens, from the users' specification)."""
STARTUP_WAIT_SECONDS: Final = 0.8
"""Longest wait for a process that is still starting; a start takes about 0.5 s."""
STARTUP_WAIT_SHARE: Final = 0.3
"""Share of a request's deadline that it may spend on that wait."""


class Forwarder:
    """Serves callers' requests; one per process.

    Attributes
    ----------
    in_flight : int
        Requests that are being served.
    started : Event
        Set once configuration, runners and holdings are known.
    process_ends_at : float
        Monotonic seconds at which the process exits; infinite until it drains.
    host_count : callable
        Returns the number of hosts that share retry budgets and connections.
    queues : RunnerQueues
        Requests that wait for a runner with headroom.
    """

    def __init__(
        self,
        directory: Directory,
        tokens: TokenDesk,
        choice: RunnerChoice,
        sender: Sender,
        responder: Responder,
        log: DecisionLog,
        random: Random,
        new_retry_window: Callable[[], RetryWindow],
        quarantine: FleetQuarantine,
        queues: RunnerQueues,
        processor: ProcessorLoad,
        second_attempts: SecondAttempts,
    ) -> None:
        self._directory = directory
        self._tokens = tokens
        self._choice = choice
        self._sender = sender
        self._responder = responder
        self._log = log
        self._random = random
        self._new_retry_window = new_retry_window
        self._quarantine = quarantine
        self.queues = queues
        self._processor = processor
        self._second_attempts = second_attempts
        self._retry_windows_by_target: dict[str, RetryWindow] = {}
        self.in_flight = 0
        self.started = Event()
        self.process_ends_at = math.inf
        self.host_count: Callable[[], int] = lambda: 1

    def serve(self, link: CallerLink, request: CallerRequest) -> bool:
        """Answer one request; return False if the connection must be closed."""
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
        caller_headers = wire.parse_caller_headers(request)
        if isinstance(caller_headers, str):
            refused = refuse(Reason.BAD_REQUEST, problem=caller_headers)
            return self._responder.refuse(link, "", refused, None)
        forwarded = self._admit(link, request, caller_headers, now)
        if isinstance(forwarded, Refused):
            left = caller_headers.deadline_seconds
            return self._responder.refuse(
                link, caller_headers.request.decode("latin-1"), forwarded, left
            )
        if self._is_overloaded(forwarded):
            return self._refuse_overloaded(forwarded)
        return self._forward_with_reservation(forwarded)

    def _admit(
        self,
        link: CallerLink,
        request: CallerRequest,
        caller_headers: wire.CallerHeaders,
        now: float,
    ) -> ForwardedRequest | Refused:
        """Resolve route, target and workspace, or return why the request is refused."""
        if not self.started.is_set():
            self.started.wait(_startup_wait_seconds(caller_headers))
        catalogue = self._directory.current()
        if catalogue is None:
            return refuse(Reason.LOG_UNREACHABLE, retry_delay.NO_RUNNER_RETRY_SECONDS)
        route = catalogue.route(caller_headers.host, caller_headers.path)
        if route is None:
            return refuse(Reason.UNKNOWN_PATH, path=caller_headers.path)
        workspace = catalogue.workspaces_by_key.get(caller_headers.key)
        if workspace is None and not route.public:
            return refuse(Reason.UNKNOWN_KEY)
        seconds = route.timeout_seconds
        if caller_headers.deadline_seconds is not None:
            seconds = min(seconds, caller_headers.deadline_seconds)
        if not self._ends_before_exit(route, now, seconds):
            seconds = retry_delay.jitter(
                retry_delay.DRAINING_RETRY_SECONDS, self._random
            )
            return refuse(Reason.DRAINING, seconds)
        name = self._choose_target(route)
        target = catalogue.targets_by_name.get(name) or Target(name, 0, None)
        return ForwardedRequest(
            link, request, caller_headers, route, target, workspace, now, now + seconds
        )

    def _is_overloaded(self, forwarded: ForwardedRequest) -> bool:
        """Whether this host's processor is too busy to answer a request in time."""
        objective = forwarded.route.latency_objective_seconds
        left = forwarded.seconds_left
        if self._processor.can_answer(forwarded.rank, objective, left):
            return False
        return self.queues.is_on(forwarded.target.name)

    def _refuse_overloaded(self, forwarded: ForwardedRequest) -> bool:
        """Refuse a request; its caller's next try reaches another host."""
        forwarded.link.closing = True
        seconds = retry_delay.jitter(
            retry_delay.OVERLOADED_HOST_RETRY_SECONDS, self._random
        )
        target = forwarded.target.name
        refused = refuse(Reason.OVERLOADED, seconds, target=target)
        return self._responder.refuse(
            forwarded.link, forwarded.request_id, refused, forwarded.seconds_left
        )

    def _ends_before_exit(self, route: Route, now: float, seconds: float) -> bool:
        """Whether a request with this timeout, in seconds, ends before the process."""
        if route.kind is RouteKind.STREAM:
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

    def _forward_with_reservation(self, forwarded: ForwardedRequest) -> bool:
        """Reserve tokens for a request of a prepaid workspace, then try runners."""
        workspace = forwarded.workspace
        verdict = self._quarantine.check(forwarded.shared_parts)
        if isinstance(verdict, Quarantined):
            forwarded.quarantine_seconds = verdict.seconds
            return self._responder.give_up(forwarded)
        max_tokens = forwarded.prepaid_tokens
        if workspace is None or not max_tokens:
            return self._try_runners(forwarded)
        reservation = self._tokens.reserve(forwarded, workspace.name, max_tokens)
        if isinstance(reservation, Refused):
            return self._responder.refuse(
                forwarded.link,
                forwarded.request_id,
                reservation,
                forwarded.seconds_left,
            )
        with self._tokens.settling(forwarded, reservation):
            return self._try_runners(forwarded)

    def _try_runners(self, forwarded: ForwardedRequest) -> bool:
        """Try runners until one answers or no further attempt is possible."""
        window = self._retry_window(forwarded.target.name)
        window.request(time.monotonic())
        self._second_attempts.record_request(forwarded.target.name)
        while True:
            if forwarded.link.closed_by_caller:
                raise CallerDisconnected
            if forwarded.seconds_left <= 0:
                return self._responder.give_up(forwarded)
            if forwarded.sends and not window.take(self.host_count(), time.monotonic()):
                forwarded.problem = forwarded.problem or "the retry budget is exhausted"
                return self._responder.give_up(forwarded)
            overloaded = self.queues.wait(forwarded)
            if overloaded is not None:
                return self._responder.refuse(
                    forwarded.link,
                    forwarded.request_id,
                    overloaded,
                    forwarded.seconds_left,
                )
            result = self._attempt(forwarded)
            if result is None:
                return self._responder.give_up(forwarded)
            if isinstance(result, Streamed | Whole):
                self.queues.record_answer(forwarded)
            if isinstance(result, Streamed):
                return self._responder.record_answer(forwarded, 200)
            if isinstance(result, Whole):
                if self._should_retry(forwarded, result):
                    if result.head.status not in NOT_RUN_STATUSES:
                        forwarded.failed_answer = result
                    continue
                return self._responder.pass_on(forwarded, result)
            forwarded.problem = result.reason
            if isinstance(result, NotRun):
                forwarded.rejections += 1
                if forwarded.rejections > MAX_REJECTIONS:
                    return self._responder.give_up(forwarded)
                continue
            if not forwarded.route.repeatable:
                return self._responder.give_up(forwarded)
            if forwarded.possible_runs >= forwarded.route.max_attempts:
                return self._responder.give_up(forwarded)

    def _attempt(self, forwarded: ForwardedRequest) -> AttemptResult | None:
        """Send the request to one runner; return None if that is not possible now."""
        max_wait = forwarded.route.latency_objective_seconds / 2
        with self._quarantine.admitted(forwarded.shared_parts, max_wait) as verdict:
            if isinstance(verdict, Quarantined):
                forwarded.quarantine_seconds = verdict.seconds
                forwarded.problem = "its prompt is quarantined"
                return None
            forwarded.trial_parts = () if verdict is None else verdict.parts
            candidate = self._choice.choose(
                forwarded, partial(self.queues.fits, forwarded)
            )
            if candidate is None:
                return None
            with self.queues.sending(forwarded, candidate):
                if not self._second_attempts.may_have_one(forwarded):
                    return self._sender.send(forwarded, candidate)
                window = self._retry_window(forwarded.target.name)
                return self._second_attempts.send(
                    forwarded, candidate, window, self.host_count()
                )

    def _should_retry(self, forwarded: ForwardedRequest, whole: Whole) -> bool:
        """Whether to retry a request that a runner answered with a server error."""
        route = forwarded.route
        if whole.head.status < 500 or not route.repeatable:
            return False
        if (
            forwarded.possible_runs >= route.max_attempts
            or forwarded.seconds_left < route.latency_objective_seconds / 2
        ):
            return False
        window = self._retry_window(forwarded.target.name)
        return window.left(self.host_count(), time.monotonic()) > 1

    def _retry_window(self, target: str) -> RetryWindow:
        if target not in self._retry_windows_by_target:
            self._retry_windows_by_target[target] = self._new_retry_window()
        return self._retry_windows_by_target[target]


def _startup_wait_seconds(caller_headers: wire.CallerHeaders) -> float:
    """Return how long a request waits for a process that is starting, in seconds."""
    if caller_headers.deadline_seconds is None:
        return STARTUP_WAIT_SECONDS
    return min(
        STARTUP_WAIT_SECONDS, caller_headers.deadline_seconds * STARTUP_WAIT_SHARE
    )
