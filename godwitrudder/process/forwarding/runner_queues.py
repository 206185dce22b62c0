"""Requests that wait until a runner of their target has headroom.

A request waits in its own greenlet. It leaves the queue when it may start, when its
deadline passes, when this host drains, or when its caller leaves and the greenlet is
killed. In each case it leaves exactly once.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from itertools import count
from random import Random
from typing import Final

import gevent
from gevent.event import Event

from godwitrudder.options import Queueing
from godwitrudder.process.decisions import DecisionLog
from godwitrudder.process.directory import Directory
from godwitrudder.process.entry_metrics import EntryMetrics
from godwitrudder.process.forwarding.forwarded_request import ForwardedRequest
from godwitrudder.process.forwarding.runner_choice import RunnerChoice, Waits
from godwitrudder.process.forwarding.target_queue import (
    TargetQueue,
    Waiter,
    engine_memory,
)
from godwitrudder.request import retry_delay
from godwitrudder.request.outcome import Reason, Refused, refuse
from godwitrudder.request.placing.candidate import Candidate
from godwitrudder.request.queueing.admission import (
    Overload,
    may_wait,
    retry_seconds,
)
from godwitrudder.request.queueing.headroom import (
    fits_memory,
    has_room,
)
from godwitrudder.request.queueing.share import (
    MEASURE_SECONDS,
    PeerDemands,
    TargetRoom,
)
from godwitrudder.request.queueing.wait_queue import (
    QueueBounds,
    QueuedRequest,
    WaitQueue,
)
from godwitrudder.version.catalogue import Target

RECHECK_SECONDS: Final = 0.05
"""Interval between checks of the queues without an event: reports age and runners are
listed. It is a quarter of the shortest latency objective."""
CALM_SECONDS: Final = 1.0
"""Time without waiting requests after which a queue is logged as empty; without it an
overload would be logged at each gap between two requests."""


class RunnerQueues:
    """The queues of all targets of one process.

    Parameters
    ----------
    queueing : callable
        Returns the operator's option in force.
    bounds : QueueBounds
        Bounds of all queues together.

    Attributes
    ----------
    peer_demands : PeerDemands
        Demand that other hosts have stated.
    host_count : callable
        Returns the number of hosts that share the runners.
    """

    def __init__(
        self,
        directory: Directory,
        choice: RunnerChoice,
        queueing: Callable[[], Queueing],
        bounds: QueueBounds,
        log: DecisionLog,
        metrics: EntryMetrics,
        random: Random,
    ) -> None:
        self._directory = directory
        self._choice = choice
        self._queueing = queueing
        self._bounds = bounds
        self._log = log
        self._metrics = metrics
        self._random = random
        self._queues_by_target: dict[str, TargetQueue] = {}
        self._waiters_by_key: dict[str, Waiter] = {}
        self._keys = count(1)
        self._draining = False
        self._any_waiting = Event()
        self._peers_silent = False
        self.peer_demands = PeerDemands()
        self.host_count: Callable[[], int] = lambda: 1

    def run(self) -> None:
        """Check the queues at intervals while requests wait, until killed."""
        while True:
            self._any_waiting.wait()
            gevent.sleep(RECHECK_SECONDS)
            for target, queue in list(self._queues_by_target.items()):
                self._start_waiting(target)
                self._note_calm(target, queue)
            if not any(queue.busy for queue in self._queues_by_target.values()):
                self._any_waiting.clear()

    def wait(self, forwarded: ForwardedRequest) -> Refused | None:
        """Wait until a runner has headroom for a request.

        A request that a runner may have run does not wait: it has had its turn, and it
        could not be refused as not run.

        Returns
        -------
        Refused or None
            The refusal, or None if the request may be sent now.
        """
        queue, now = self._queue(forwarded.target.name), time.monotonic()
        if forwarded.possible_runs or not self._is_on(forwarded.target.name, queue):
            return None
        if not forwarded.sends:
            queue.demand.record(now)
        if not queue.waiting and self._has_share(forwarded, queue, now):
            room = self._find_room(forwarded, queue, now)
            if not isinstance(room, Waits):
                queue.rate.record(now)
                return None
        refused = self._refuse_on_arrival(forwarded, queue, now)
        if refused is not None:
            return refused
        with self._waiting(forwarded, queue, now) as waiter:
            waiter.left.wait(max(0.0, forwarded.seconds_left))
        return self._outcome(waiter, queue)

    def fits(self, forwarded: ForwardedRequest, candidate: Candidate) -> bool:
        """Whether a runner's memory has room for a request, where the queue is on."""
        queue = self._queue(forwarded.target.name)
        if not queue.is_on:
            return True
        memory = queue.memory(forwarded)
        return fits_memory(candidate, forwarded.max_tokens, memory, time.monotonic())

    def would_fit(self, target: Target, tokens: int, candidate: Candidate) -> bool:
        """Return what ``fits`` returns for a request, without any change of state.

        Parameters
        ----------
        tokens : int
            Tokens of the request's prompt and of its largest output.
        """
        queue = self._queues_by_target.get(target.name)
        if not self.would_queue(target.name):
            return True
        memory = engine_memory(target, 0.0 if queue is None else queue.mean_size.tokens)
        return fits_memory(candidate, tokens, memory, time.monotonic())

    @contextmanager
    def sending(
        self, forwarded: ForwardedRequest, candidate: Candidate
    ) -> Iterator[None]:
        """Count a request at its runner; start waiting ones once it has ended."""
        target, tokens = forwarded.target.name, forwarded.max_tokens
        queue = self._queue(target)
        queue.mean_size.record(tokens)
        forwarded.sent_at = time.monotonic()
        share_key = queue.share.start(forwarded.sent_at)
        candidate.assign(tokens)
        try:
            yield
        finally:
            candidate.release(tokens)
            queue.share.end(share_key)
            self._start_waiting(target, candidate)

    def queued(self, target: str) -> int:
        """Return the number of requests that wait for a target's runners."""
        queue = self._queues_by_target.get(target)
        return 0 if queue is None else len(queue.waiting)

    def is_on(self, target: str) -> bool:
        """Whether requests to a target queue."""
        return self._is_on(target, self._queue(target))

    def would_queue(self, target: str) -> bool:
        """Return what ``is_on`` returns, without any change of state."""
        queue = self._queues_by_target.get(target)
        option = self._queueing()
        if option is not Queueing.AUTO or queue is None:
            return option is Queueing.ON
        return self._reporting_now(target, queue) is not None

    def any_on(self) -> bool:
        """Whether requests to any target queue."""
        return any(queue.is_on for queue in self._queues_by_target.values())

    def record_answer(self, forwarded: ForwardedRequest) -> None:
        """Record how long the complete answer to a request took."""
        seconds = time.monotonic() - forwarded.sent_at
        self._queue(forwarded.target.name).service.record(forwarded.route.name, seconds)

    def record_load_report(self, candidate: Candidate) -> None:
        """Act on a newer load report of a runner."""
        target = candidate.entry.target
        if candidate.work_percent is not None:
            self._queue(target).reporting = candidate
        self._start_waiting(target, candidate)

    def demand_by_target(self) -> dict[str, float]:
        """Return the requests per second for each target whose queue is on."""
        now = time.monotonic()
        return {
            target: queue.demand.per_second(now) or 0.0
            for target, queue in self._queues_by_target.items()
            if self._is_on(target, queue)
        }

    def uses_reports(self, target: str, percent: float | None) -> bool:
        """Whether other hosts' load reports on a target count here.

        Parameters
        ----------
        percent : float or None
            How long work takes on the runner by such a report.
        """
        option = self._queueing()
        if option is Queueing.AUTO:
            return percent is not None or self._queue(target).reporting is not None
        return option is Queueing.ON

    def drain(self) -> None:
        """Refuse the requests that wait, and from now on all that would have to."""
        self._draining = True
        for waiter in list(self._waiters_by_key.values()):
            waiter.draining = True
            waiter.left.set()

    def set_gauges(self) -> None:
        """Set the gauges of the queues' lengths."""
        for target, queue in self._queues_by_target.items():
            self._metrics.queue_length.labels(target).set(len(queue.waiting))
            if queue.is_on:
                share = queue.share
                self._metrics.headroom.labels(target).set(share.room.free)
                self._metrics.headroom_share.labels(target).set(share.fraction.value)

    def _queue(self, target: str) -> TargetQueue:
        queue = self._queues_by_target.get(target)
        if queue is None:
            queue = TargetQueue(WaitQueue(self._bounds))
            self._queues_by_target[target] = queue
        return queue

    def _is_on(self, target: str, queue: TargetQueue) -> bool:
        """Whether requests to a target queue; a change is logged."""
        option = self._queueing()
        is_on = option is Queueing.ON
        if option is Queueing.AUTO:
            queue.reporting = self._reporting_now(target, queue)
            is_on = queue.reporting is not None
        if is_on is not queue.is_on:
            queue.is_on = is_on
            self._log.note("queueing", target=target, on=is_on, option=option.value)
        return is_on

    def _reporting_now(self, target: str, queue: TargetQueue) -> Candidate | None:
        """Return the runner that keeps the queue on, None if none does."""
        reporting = queue.reporting
        if reporting is None or (
            not reporting.gone and reporting.work_percent is not None
        ):
            return reporting
        return self._reporting(target)

    def _reporting(self, target: str) -> Candidate | None:
        """Return a listed runner that says how long work takes, None if none does."""
        candidates = self._directory.candidates(target)
        return next(
            (each for each in candidates if each.work_percent is not None), None
        )

    def _find_room(
        self,
        forwarded: ForwardedRequest,
        queue: TargetQueue,
        now: float,
        changed: Candidate | None = None,
    ) -> Candidate | Waits | None:
        """Return a runner with room, of all or only one whose load has changed.

        A host without any request at the target may start one at a full runner with
        enough memory, which queues it: where hosts outnumber slots, each would else
        wait for reports while slots are free.
        """
        tokens, memory = forwarded.max_tokens, queue.memory(forwarded)
        check = has_room if queue.share.running else fits_memory
        if changed is not None:
            room = check(changed, tokens, memory, now)
            usable = room and self._choice.may_use(forwarded, changed)
            return changed if usable else Waits.FOR_ROOM
        return self._choice.find_room(
            forwarded, lambda candidate: check(candidate, tokens, memory, now)
        )

    def _has_share(
        self, forwarded: ForwardedRequest, queue: TargetQueue, now: float
    ) -> bool:
        """Whether this host may start one more request at a target."""
        share, target = queue.share, forwarded.target.name
        if now - share.measured_at >= MEASURE_SECONDS:
            candidates = self._directory.candidates_by_target.get(target, {}).values()
            room = TargetRoom.of(candidates, queue.memory(forwarded), now)
            own, hosts = queue.demand.per_second(now) or 0.0, self.host_count()
            fraction = self.peer_demands.fraction(target, own, hosts, now)
            share.measure(room, fraction, now)
            if fraction.silent is not self._peers_silent and hosts > 1:
                self._peers_silent = fraction.silent
                self._log.note("headroom_peers", silent=fraction.silent, hosts=hosts)
        return share.allows(now)

    def _refuse_on_arrival(
        self, forwarded: ForwardedRequest, queue: TargetQueue, now: float
    ) -> Refused | None:
        """Return the refusal of a request that may not wait, None if it may."""
        if self._draining:
            return self._refuse(forwarded, queue, Overload.DRAINING, 0.0)
        if not self._bounds.admits(forwarded.size_bytes):
            return self._refuse(forwarded, queue, Overload.FULL, 0.0)
        workspace = forwarded.workspace_name
        wait = queue.rate.wait(queue.waiting.ahead(forwarded.rank, workspace), now)
        route = forwarded.route
        service = queue.service.expected(route.name, route.latency_objective_seconds)
        if may_wait(wait, service, forwarded.seconds_left):
            return None
        return self._refuse(forwarded, queue, Overload.EXPECTED_WAIT, 0.0)

    @contextmanager
    def _waiting(
        self, forwarded: ForwardedRequest, queue: TargetQueue, now: float
    ) -> Iterator[Waiter]:
        """Queue a request while the block runs, unless it starts."""
        queued = QueuedRequest(
            str(next(self._keys)),
            forwarded.rank,
            forwarded.workspace_name,
            now,
            forwarded.route.latency_objective_seconds,
            forwarded.size_bytes,
        )
        waiter = self._waiters_by_key[queued.key] = Waiter(forwarded, queued)
        target = forwarded.target.name
        if not queue.busy:
            queue.busy, queue.began_at, queue.longest = True, now, 0
            self._log.note("queue_begins", target=target, rank=queued.rank)
        queue.waiting.push(queued)
        queue.longest = max(queue.longest, len(queue.waiting))
        self._any_waiting.set()
        outcome = "caller_gone"
        try:
            yield waiter
            outcome = "started" if waiter.started else "unserved"
        finally:
            self._leave(waiter, queue, outcome)

    def _leave(self, waiter: Waiter, queue: TargetQueue, outcome: str) -> None:
        """Take a request out of the queue, or release the runner it was assigned."""
        forwarded, target = waiter.forwarded, waiter.forwarded.target.name
        del self._waiters_by_key[waiter.queued.key]
        queue.waiting.remove(waiter.queued)
        if waiter.started:
            queue.share.end(waiter.share_key)
        if waiter.runner is not None:
            waiter.runner.release(forwarded.max_tokens)
            if outcome == "caller_gone":
                self._start_waiting(target, waiter.runner)
        queue.left_at = time.monotonic()
        seconds = queue.left_at - waiter.queued.arrived
        self._metrics.queue_seconds.labels(target).observe(seconds)
        self._metrics.queue_outcomes.labels(target, outcome).inc()

    def _note_calm(self, target: str, queue: TargetQueue) -> None:
        """Log that no request has waited for a while."""
        calm = time.monotonic() - queue.left_at >= CALM_SECONDS
        if queue.busy and not queue.waiting and calm:
            queue.busy = False
            self._log.note(
                "queue_ends",
                target=target,
                seconds=round(queue.left_at - queue.began_at, 3),
                longest=queue.longest,
            )

    def _outcome(self, waiter: Waiter, queue: TargetQueue) -> Refused | None:
        forwarded = waiter.forwarded
        if waiter.started and forwarded.seconds_left > 0:
            return None
        waited = time.monotonic() - waiter.queued.arrived
        why = Overload.DRAINING if waiter.draining else Overload.DEADLINE
        return self._refuse(forwarded, queue, why, waited)

    def _start_waiting(self, target: str, changed: Candidate | None = None) -> None:
        """Start the waiting requests that runners have headroom for, in order.

        Parameters
        ----------
        changed : Candidate or None
            The only runner whose load has changed since the last check; None if the
            age of the reports may have changed any.
        """
        queue = self._queue(target)
        if not queue.waiting:
            return
        now = time.monotonic()
        is_on = self._is_on(target, queue)
        while (queued := queue.waiting.next(now)) is not None:
            waiter = self._waiters_by_key[queued.key]
            forwarded = waiter.forwarded
            if is_on and not self._has_share(forwarded, queue, now):
                return
            room = self._find_room(forwarded, queue, now, changed) if is_on else None
            if isinstance(room, Waits):
                return
            queue.waiting.start(now)
            queue.rate.record(now)
            if room is not None:
                room.assign(forwarded.max_tokens)
            waiter.share_key = queue.share.start(now)
            waiter.runner, waiter.started = room, True
            waiter.left.set()

    def _refuse(
        self,
        forwarded: ForwardedRequest,
        queue: TargetQueue,
        why: Overload,
        waited: float,
    ) -> Refused:
        """Return a refusal with its retry time; log and count it."""
        target, now = forwarded.target.name, time.monotonic()
        ahead = queue.waiting.ahead(forwarded.rank, forwarded.workspace_name)
        wait = queue.rate.wait(max(1, ahead), now)
        left = forwarded.seconds_left
        self._metrics.queue_outcomes.labels(target, str(why)).inc()
        self._log.note(
            "queue_refused",
            forwarded.request_id,
            target=target,
            why=str(why),
            rank=forwarded.rank,
            ahead=ahead,
            wait=round(wait, 3),
            waited=round(waited, 3),
            left=round(left, 3),
        )
        if why is Overload.DRAINING:
            seconds = retry_delay.DRAINING_RETRY_SECONDS
            seconds = retry_delay.jitter(seconds, self._random)
            return refuse(Reason.DRAINING, seconds)
        seconds = retry_seconds(wait, waited, left, self._random)
        return refuse(Reason.OVERLOADED, seconds, target=target)
