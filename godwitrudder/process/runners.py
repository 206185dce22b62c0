"""Runner state of one daemon: polls the runners, tracks requests and chooses runners.

Polls of every runner by every router would not scale.  Each router therefore polls
only ``POLLS_PER_SECOND`` runners a second.  Of the runners of recently used targets,
the one whose last poll is oldest comes first.  With 350 routers and 630 runners, a
runner answers two polls a second.  The answers of the targets' aggregators carry more
recent counts of the other routers' requests.  Cache events of the engines are read
within a byte budget.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from random import Random
from typing import Final

import gevent

from godwitrudder.clock import Clock
from godwitrudder.connection import probe
from godwitrudder.connection.probe import CacheEvents, PollFailed
from godwitrudder.connection.shares import ShareAnswer
from godwitrudder.process.guard import Loop, TaskOwner
from godwitrudder.process.members import Members
from godwitrudder.process.metrics import Metrics
from godwitrudder.request.choice import (
    LEAVING_SECONDS,
    NEVER,
    REPORT_LAG_SECONDS,
    Runner,
)
from godwitrudder.request.prefix import prefix_names
from godwitrudder.request.runner_selector import RunnerSelector, apply_share_answer

POLLS_PER_SECOND: Final = 4
EVENT_BYTES_PER_SECOND: Final = 3000.0
MAX_EVENT_BUDGET_BYTES: Final = 12_000.0
TARGET_IDLE_SECONDS: Final = 60.0


class RunnerManager(TaskOwner):
    """Chooses runners for one daemon and tracks their load and health.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this daemon.
    slots_of : callable
        Returns the number of slots that each runner of a target has.
    """

    def __init__(
        self,
        members: Members,
        metrics: Metrics,
        clock: Clock,
        random: Random,
        failure_domain: str,
        slots_of: Callable[[str], int],
    ) -> None:
        self._members = members
        super().__init__(metrics)
        self._clock = clock
        self._slots_of = slots_of
        self._selector = RunnerSelector(failure_domain, random)
        self._used_at_by_target: dict[str, float] = {}
        self._polled_at_by_runner: dict[str, float] = {}
        self._next_event_by_runner: dict[str, int] = {}
        self._event_budget_bytes = MAX_EVENT_BUDGET_BYTES

    def loops(self) -> tuple[Loop, ...]:
        """Return the loop that polls the runners."""
        return (self._poll_all,)

    def choose(
        self, target: str, prompt_text: str, excluded: Collection[str]
    ) -> Runner | None:
        """Return the runner for a request, or None if none is left.

        A choice with excluded runners is a retry and consumes the retry budget.
        """
        now = self._clock.now()
        self._used_at_by_target[target] = now
        runners = self._members.runners_of(target)
        for slow in self._selector.eject_outliers(runners, now):
            self._metrics.ejections.labels(slow.target, "slow").inc()
        names = prefix_names(prompt_text)
        slots = self._slots_of(target)
        return self._selector.choose(target, runners, names, excluded, now, slots)

    def record_start(self, runner: Runner) -> None:
        """Count a request as sent to a runner."""
        runner.started(self._clock.now())

    def record_first_token(self, runner: Runner, seconds: float) -> None:
        """Record the time to the first token of a request, in seconds."""
        runner.first_token(seconds, self._clock.now())

    def record_end(self, runner: Runner, ok: bool) -> None:
        """Record the end of a request; a disconnected caller is not a failure."""
        if runner.ended(ok, self._clock.now()):
            self._metrics.ejections.labels(runner.target, "failed").inc()

    def mark_leaving(self, runner: Runner) -> None:
        """Send a runner no new requests for ``LEAVING_SECONDS``, as it asked."""
        runner.left_until = self._clock.now() + LEAVING_SECONDS

    def in_flight_by_runner(self, target: str) -> dict[str, int]:
        """Return the number of this daemon's requests in flight by runner."""
        runners = self._members.runners_of(target)
        return {runner.id: runner.in_flight for runner in runners if runner.in_flight}

    def leaving_runners(self, target: str) -> list[str]:
        """Return the runners of a target that said that they take no new requests."""
        now = self._clock.now()
        runners = self._members.runners_of(target)
        return [runner.id for runner in runners if now < runner.left_until]

    def update_from_aggregator(
        self, target: str, answer: ShareAnswer, whole_report: bool
    ) -> None:
        """Apply an aggregator's counts of the other routers' requests.

        Parameters
        ----------
        whole_report : bool
            Whether the answer is for a whole report; its counts then start from zero.
        """
        now = self._clock.now()
        runners = self._members.runners_of(target)
        apply_share_answer(runners, answer, whole_report, now)
        for runner in runners:
            if runner.id in answer.leaving and now >= runner.left_until:
                self.mark_leaving(runner)

    def _poll_all(self) -> None:
        while True:
            gevent.sleep(1.0 / POLLS_PER_SECOND)
            earned = (
                self._event_budget_bytes + EVENT_BYTES_PER_SECOND / POLLS_PER_SECOND
            )
            self._event_budget_bytes = min(MAX_EVENT_BUDGET_BYTES, earned)
            runner = self._next_to_poll()
            if runner is not None:
                self._poll(runner)

    def _next_to_poll(self) -> Runner | None:
        """Return the runner of a used target whose last poll is oldest, if any."""
        now = self._clock.now()
        listed = self._members.runners_by_id
        for removed in self._polled_at_by_runner.keys() - listed.keys():
            del self._polled_at_by_runner[removed]
            self._next_event_by_runner.pop(removed, None)
        used_at = self._used_at_by_target
        candidates = (
            runner
            for runner in listed.values()
            if used_at.get(runner.target, NEVER) > now - TARGET_IDLE_SECONDS
        )
        return min(
            candidates,
            key=lambda runner: self._polled_at_by_runner.get(runner.id, NEVER),
            default=None,
        )

    def _poll(self, runner: Runner) -> None:
        self._polled_at_by_runner[runner.id] = self._clock.now()
        own_in_flight = runner.in_flight
        load = probe.load(runner.address)
        if isinstance(load, PollFailed):
            self._metrics.polls.labels("failed").inc()
            if load.silent:
                self._record_silence(runner)
            return
        self._metrics.polls.labels("load").inc()
        seen_at = self._clock.now() - REPORT_LAG_SECONDS
        runner.update_others(load.running + load.waiting - own_in_flight, seen_at)
        if self._event_budget_bytes > 0:
            self._follow_events(runner)

    def _record_silence(self, runner: Runner) -> None:
        if runner.record_failure(self._clock.now()):
            self._metrics.ejections.labels(runner.target, "silent").inc()

    def _follow_events(self, runner: Runner) -> None:
        start = self._next_event_by_runner.get(runner.id, 0)
        events = probe.cache_events(runner.address, start)
        if not isinstance(events, CacheEvents):
            return
        self._metrics.polls.labels("events").inc()
        self._event_budget_bytes -= events.size_bytes
        self._next_event_by_runner[runner.id] = events.next
        now = self._clock.now()
        for stored, name in events.changes:
            if stored:
                self._selector.prefixes.record_stored(runner.id, [name], now)
            else:
                self._selector.prefixes.record_evicted(runner.id, name)
