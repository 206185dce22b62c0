"""Sends a slow request to a second runner and passes on the answer that comes first.

Both attempts run in greenlets of their own; the greenlet that serves the caller waits
for them and ends them when it ends.  Requests are sent this way only where the operator
allows second attempts; all others run in the serving greenlet alone.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from types import TracebackType
from typing import Final, Self

import gevent
from gevent import Greenlet

from godwitrudder.connection.http import CallerDisconnected
from godwitrudder.process.decisions import DecisionLog
from godwitrudder.process.directory import Directory
from godwitrudder.process.entry_metrics import EntryMetrics
from godwitrudder.process.forwarding.attempt import Race
from godwitrudder.process.forwarding.forwarded_request import (
    AttemptResult,
    ForwardedRequest,
    Lost,
    NotRun,
    Whole,
)
from godwitrudder.process.forwarding.responder import NOT_RUN_STATUSES
from godwitrudder.process.forwarding.runner_choice import RunnerChoice
from godwitrudder.process.forwarding.sender import Sender
from godwitrudder.process.quarantine import FleetQuarantine
from godwitrudder.process.reservations import ReservationTask
from godwitrudder.request.hedging.attempt_bucket import AttemptBucket
from godwitrudder.request.hedging.first_byte_times import (
    AnswerKind,
    Delay,
    FirstByteTimes,
)
from godwitrudder.request.hedging.headroom import has_headroom, would_wait
from godwitrudder.request.hedging.obstacle import Obstacle, Situation, find_obstacle
from godwitrudder.request.placing.candidate import Candidate
from godwitrudder.request.quarantine import Free
from godwitrudder.request.retry_window import RetryWindow

MAX_KINDS: Final = 1_000
"""Kinds of requests whose times are remembered; those first seen are forgotten first.
The configuration names kinds, and each version may name others."""


class RunningAttempts:
    """The attempts at one request, as a context manager that ends those still running.

    Attributes
    ----------
    race : Race
        Decides which of them may answer the caller.
    """

    def __init__(self, sender: Sender, forwarded: ForwardedRequest) -> None:
        self._sender = sender
        self._forwarded = forwarded
        self._greenlets_by_runner: dict[str, Greenlet] = {}
        self.race = Race()

    def __enter__(self) -> Self:
        """Return self; attempts begin with ``start``."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End the attempts that still run and wait until they have cleaned up."""
        gevent.killall(list(self._greenlets_by_runner.values()), CallerDisconnected)

    def start(self, candidate: Candidate) -> None:
        """Begin an attempt at a runner."""
        greenlet = gevent.spawn(self._run, candidate)
        greenlet.rawlink(lambda _: self.race.changed.set())
        self._greenlets_by_runner[candidate.entry.id] = greenlet

    def wait_for_decision(self, seconds: float | None = None) -> bool:
        """Wait until an attempt has won or all have ended.

        Returns
        -------
        bool
            False if neither happened within ``seconds``.
        """
        deadline = None if seconds is None else time.monotonic() + seconds
        while self.race.winner is None and not self._all_ended:
            left = None if deadline is None else deadline - time.monotonic()
            if left is not None and left <= 0:
                return False
            self.race.changed.wait(left)
            self.race.changed.clear()
        return True

    def result(self) -> AttemptResult:
        """Wait for the winner, or for all attempts if none has won.

        The winner does not wait for the others, which may be opening a connection.

        Raises
        ------
        OSError
            If the answer could not be written to the caller.
        """
        winner = self.race.winner
        if winner is None:
            ended = [each.get() for each in self._greenlets_by_runner.values()]
            return _best_failure(self._forwarded, ended)
        result: AttemptResult | OSError
        result = self._greenlets_by_runner[winner.candidate.entry.id].get()
        if isinstance(result, OSError):
            raise result
        return result

    @property
    def _all_ended(self) -> bool:
        return all(greenlet.ready() for greenlet in self._greenlets_by_runner.values())

    def _run(self, candidate: Candidate) -> AttemptResult | OSError:
        try:
            return self._sender.send(self._forwarded, candidate, self.race)
        except OSError as error:
            return error


class SecondAttempts:
    """Sends requests to a second runner if the first is slow; one per process.

    Parameters
    ----------
    share : callable
        Returns the number of second attempts per request; 0 for none.

    Attributes
    ----------
    draining : bool
        Whether the process is stopping, so that no second attempt starts.
    queued : callable
        Returns the number of requests in the queue of a target.
    """

    def __init__(
        self,
        sender: Sender,
        choice: RunnerChoice,
        directory: Directory,
        reservations: ReservationTask,
        quarantine: FleetQuarantine,
        log: DecisionLog,
        metrics: EntryMetrics,
        share: Callable[[], float],
    ) -> None:
        self._sender = sender
        self._choice = choice
        self._directory = directory
        self._reservations = reservations
        self._quarantine = quarantine
        self._log = log
        self._metrics = metrics
        self._share = share
        self._buckets_by_target: dict[str, AttemptBucket] = {}
        self._times_by_kind: dict[AnswerKind, FirstByteTimes] = {}
        self.draining = False
        self.queued: Callable[[str], int] = lambda target: 0

    def record_request(self, target: str) -> None:
        """Record a request of any kind to a target, which fills its bucket."""
        share = self._share()
        if share > 0:
            self._bucket(target).request(share)

    def may_have_one(self, forwarded: ForwardedRequest) -> bool:
        """Whether the next attempt may get another one beside it."""
        route = forwarded.route
        return (
            self._share() > 0
            and route.repeatable
            and not forwarded.answer_begun
            and not forwarded.trial_parts
            and forwarded.possible_runs + 1 < route.max_attempts
        )

    def send(
        self,
        forwarded: ForwardedRequest,
        candidate: Candidate,
        window: RetryWindow,
        hosts: int,
    ) -> AttemptResult:
        """Send the request to a runner, and to another one if it is silent for long.

        Parameters
        ----------
        window : RetryWindow
            The retries of this host to the target.
        hosts : int
            Number of hosts that share the retries.
        """
        times = self._times(forwarded)
        objective = forwarded.route.latency_objective_seconds
        delay = times.delay(objective, time.monotonic())
        with RunningAttempts(self._sender, forwarded) as attempts:
            attempts.start(candidate)
            second = None
            if not attempts.wait_for_decision(delay.seconds):
                with self._second_reserved(forwarded, window, hosts) as second:
                    if second is not None:
                        window.take(hosts, time.monotonic())
                        self._bucket(forwarded.target.name).take()
                        self._count(forwarded, "started")
                        attempts.start(second)
                    attempts.wait_for_decision()
            if attempts.race.winner is not None:
                times.record(attempts.race.won_after, time.monotonic())
            if second is not None:
                self._note(forwarded, attempts.race, candidate, second, delay)
            return attempts.result()

    @contextmanager
    def _second_reserved(
        self, forwarded: ForwardedRequest, window: RetryWindow, hosts: int
    ) -> Iterator[Candidate | None]:
        """Yield the runner of a second attempt, None if there must be none.

        Its tokens are reserved while the context lasts and returned in full at its end.
        """
        obstacle = find_obstacle(self._situation(forwarded, window, hosts))
        if obstacle is not None:
            self._count_obstacle(forwarded, obstacle)
            yield None
            return
        with self._tokens_reserved(forwarded) as reserved:
            if not reserved:
                self._count_obstacle(forwarded, Obstacle.TOKENS)
                yield None
                return
            now = time.monotonic()
            # What was checked for the attempt would not hold after a wait.
            second = self._choice.choose(
                forwarded,
                accepts=lambda candidate: not would_wait(candidate, now),
                may_wait=False,
            )
            if second is None:
                self._count_obstacle(forwarded, Obstacle.NO_RUNNER)
            yield second

    @contextmanager
    def _tokens_reserved(self, forwarded: ForwardedRequest) -> Iterator[bool]:
        """Reserve the tokens of a second attempt; yield whether that was possible."""
        workspace, tokens = forwarded.workspace, forwarded.prepaid_tokens
        if workspace is None or not tokens:
            yield True
            return
        reservation = self._reservations.reserve_now(workspace.name, tokens)
        try:
            yield reservation is not None
        finally:
            if reservation is not None:
                self._reservations.settle(reservation, 0)

    def _situation(
        self, forwarded: ForwardedRequest, window: RetryWindow, hosts: int
    ) -> Situation:
        target, now = forwarded.target.name, time.monotonic()
        return Situation(
            self.draining,
            forwarded.route.max_attempts - forwarded.possible_runs,
            self._bucket(target).has_one,
            window.suffices_for_second(hosts, now),
            isinstance(self._quarantine.check(forwarded.shared_parts), Free),
            self.queued(target),
            has_headroom(self._directory.candidates(target), now),
        )

    def _note(
        self,
        forwarded: ForwardedRequest,
        race: Race,
        first: Candidate,
        second: Candidate,
        delay: Delay,
    ) -> None:
        """Count and log a second attempt once its outcome is known."""
        won = "none"
        if race.winner is not None:
            won = "second" if race.winner.candidate is second else "first"
        outcome = {"first": "lost", "second": "won", "none": "failed"}[won]
        self._count(forwarded, outcome)
        self._log.note(
            "second_attempt",
            forwarded.request_id,
            reason=str(delay.trigger),
            after=round(delay.seconds, 4),
            first=first.entry.id,
            second=second.entry.id,
            won=won,
            won_after=round(race.won_after, 4),
        )

    def _count(self, forwarded: ForwardedRequest, outcome: str) -> None:
        name = forwarded.target.name
        self._metrics.second_attempts.labels(name, outcome).inc()

    def _count_obstacle(self, forwarded: ForwardedRequest, obstacle: Obstacle) -> None:
        name = forwarded.target.name
        self._metrics.second_attempts_not_started.labels(name, str(obstacle)).inc()

    def _bucket(self, target: str) -> AttemptBucket:
        return self._buckets_by_target.setdefault(target, AttemptBucket())

    def _times(self, forwarded: ForwardedRequest) -> FirstByteTimes:
        route = forwarded.route
        kind = AnswerKind(
            forwarded.target.name, route.kind, route.latency_objective_seconds
        )
        if kind not in self._times_by_kind and len(self._times_by_kind) >= MAX_KINDS:
            del self._times_by_kind[next(iter(self._times_by_kind))]
        return self._times_by_kind.setdefault(kind, FirstByteTimes())


def _best_failure(
    forwarded: ForwardedRequest, results: list[AttemptResult]
) -> AttemptResult:
    """Return the result that the retries go on from if no attempt has won.

    A rejection that is not returned counts as one here.
    """
    best = min(results, key=_rank)
    forwarded.rejections += sum(
        isinstance(result, NotRun) and result is not best for result in results
    )
    return best


def _rank(result: AttemptResult) -> int:
    """Return 0 for a failed answer, more for an end that tells the caller less."""
    match result:
        case Whole(head) if head.status not in NOT_RUN_STATUSES:
            return 0
        case Lost():
            return 1
        case Whole():
            return 2
        case _:
            return 3
