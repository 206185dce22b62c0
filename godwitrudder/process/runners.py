"""The runner desk: keeps the news of all runners and chooses among them.

Every router polling every runner each second would not scale.  A router polls
``POLLS_PER_SECOND`` runners a second, the longest unpolled of the targets it uses
first; at 350 routers and 630 runners a runner answers two polls a second.  Fresher
news of the others' work rides on the answers of the targets' aggregators.  Cache
events are followed within a byte budget.
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
EVENT_BYTES_MOST: Final = 12_000.0
IDLE_SECONDS: Final = 60.0


class RunnerDesk(TaskOwner):
    """Choice of runners for one daemon.

    Parameters
    ----------
    failure_domain : str
        Of this daemon.
    slots_of : callable
        Returns the slots that a runner of a target has.
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
        self._board = RunnerSelector(failure_domain, random)
        self._used_at_by_target: dict[str, float] = {}
        self._polled_at_by_runner: dict[str, float] = {}
        self._next_by_runner: dict[str, int] = {}
        self._event_bytes = EVENT_BYTES_MOST

    def loops(self) -> tuple[Loop, ...]:
        """Return the loops of this owner."""
        return (self._poll_all,)

    def choose(
        self, target: str, prompt_text: str, excluded: Collection[str]
    ) -> Runner | None:
        """Return the runner for a request, None where there is none left.

        A choice with runners excluded is a retry, and needs one from the budget.
        """
        now = self._clock.now()
        self._used_at_by_target[target] = now
        runners = self._members.runners_of(target)
        for slow in self._board.eject_outliers(runners, now):
            self._metrics.ejections.labels(slow.target, "slow").inc()
        names = prefix_names(prompt_text)
        slots = self._slots_of(target)
        return self._board.choose(target, runners, names, excluded, now, slots)

    def started(self, runner: Runner) -> None:
        """Note that a request goes to a runner."""
        runner.started(self._clock.now())

    def first_token(self, runner: Runner, seconds: float) -> None:
        """Note the time to a first token."""
        runner.first_token(seconds, self._clock.now())

    def ended(self, runner: Runner, ok: bool) -> None:
        """Note the end of a request; a caller that hangs up is no failure."""
        if runner.ended(ok, self._clock.now()):
            self._metrics.ejections.labels(runner.target, "failed").inc()

    def left(self, runner: Runner) -> None:
        """Note that a runner says it takes no new work."""
        runner.left_until = self._clock.now() + LEAVING_SECONDS

    def flights(self, target: str) -> dict[str, int]:
        """Return this daemon's requests in flight by runner."""
        runners = self._members.runners_of(target)
        return {runner.id: runner.in_flight for runner in runners if runner.in_flight}

    def leaving(self, target: str) -> list[str]:
        """Return the runners of a target that said they leave."""
        now = self._clock.now()
        runners = self._members.runners_of(target)
        return [runner.id for runner in runners if now < runner.left_until]

    def hear(self, target: str, answer: ShareAnswer, whole: bool) -> None:
        """Take what the other routers know, from an aggregator's answer."""
        now = self._clock.now()
        runners = self._members.runners_of(target)
        apply_share_answer(runners, answer, whole, now)
        for runner in runners:
            if runner.id in answer.leaving and now >= runner.left_until:
                self.left(runner)

    def _poll_all(self) -> None:
        while True:
            gevent.sleep(1.0 / POLLS_PER_SECOND)
            earned = self._event_bytes + EVENT_BYTES_PER_SECOND / POLLS_PER_SECOND
            self._event_bytes = min(EVENT_BYTES_MOST, earned)
            runner = self._to_poll()
            if runner is not None:
                self._poll(runner)

    def _to_poll(self) -> Runner | None:
        """Return the longest unpolled runner of the engines in use."""
        now = self._clock.now()
        known = self._members.runners_by_id
        for gone in self._polled_at_by_runner.keys() - known.keys():
            del self._polled_at_by_runner[gone]
            self._next_by_runner.pop(gone, None)
        used = self._used_at_by_target
        wanted = (
            runner
            for runner in known.values()
            if used.get(runner.target, NEVER) > now - IDLE_SECONDS
        )
        return min(
            wanted,
            key=lambda runner: self._polled_at_by_runner.get(runner.id, NEVER),
            default=None,
        )

    def _poll(self, runner: Runner) -> None:
        self._polled_at_by_runner[runner.id] = self._clock.now()
        own = runner.in_flight
        load = probe.load(runner.address)
        if isinstance(load, PollFailed):
            self._metrics.polls.labels("failed").inc()
            if load.silent:
                self._missed(runner)
            return
        self._metrics.polls.labels("load").inc()
        seen = self._clock.now() - REPORT_LAG_SECONDS
        runner.update_others(load.running + load.waiting - own, seen)
        if self._event_bytes > 0:
            self._follow_events(runner)

    def _missed(self, runner: Runner) -> None:
        if runner.record_failure(self._clock.now()):
            self._metrics.ejections.labels(runner.target, "silent").inc()

    def _follow_events(self, runner: Runner) -> None:
        start = self._next_by_runner.get(runner.id, 0)
        events = probe.cache_events(runner.address, start)
        if not isinstance(events, CacheEvents):
            return
        self._metrics.polls.labels("events").inc()
        self._event_bytes -= events.size_bytes
        self._next_by_runner[runner.id] = events.next
        now = self._clock.now()
        for stored, name in events.changes:
            if stored:
                self._board.prefixes.stored(runner.id, [name], now)
            else:
                self._board.prefixes.evicted(runner.id, name)
