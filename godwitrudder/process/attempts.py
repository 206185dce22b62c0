"""The attempt desk: tries runners until the answer is whole.

Each runner goes on where the last one ended.  What is billed is the engine's
own count of the last attempt; where no engine tells, the whole reservation.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Final
from uuid import uuid4

import gevent
from gevent import Greenlet

from godwitrudder.clock import Clock
from godwitrudder.connection.runner import Broken, RunnerLinks
from godwitrudder.process.budgets import ActiveReservation
from godwitrudder.process.metrics import Metrics
from godwitrudder.process.runners import RunnerDesk
from godwitrudder.request.admission import Reservation
from godwitrudder.request.answer import Call, Chunk, Piece, Prompt, Usage
from godwitrudder.request.choice import Runner
from godwitrudder.request.exchange import Exchange
from godwitrudder.request.outcome import Completed, Ran, Reason, Refused, fail, refuse

ATTEMPTS_MOST: Final = 3

Note = Callable[[str, Call, str], None]
Dispatched = Callable[[Call, str, str, int, Reservation], None]


class AttemptDesk:
    """Carries calls to engines.

    Parameters
    ----------
    links : RunnerLinks
        Connections to the runners.
    runners : RunnerDesk
        Chooses the runner, given those that failed the call.
    note : callable
        Writes to the time line.
    dispatched : callable
        Told call, runner, attempt, first token and reservation before a dispatch.
    """

    def __init__(
        self,
        links: RunnerLinks,
        runners: RunnerDesk,
        note: Note,
        dispatched: Dispatched,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._links = links
        self._runners = runners
        self._clock = clock
        self._note = note
        self._dispatched = dispatched
        self._metrics = metrics

    def dispatch(
        self, call: Call, spend: ActiveReservation, exchange: Exchange
    ) -> Iterator[Piece]:
        """Yield the chunks that the exchange lacks, the usage and the outcome."""
        run = _Run(call, spend, exchange)
        text = prompt_text(call.prompt)
        try:
            for _ in range(ATTEMPTS_MOST):
                runner = self._runners.choose(call.target, text, run.excluded)
                if runner is None:
                    break
                yield from self._attempt(run, runner)
                if run.completed:
                    return
                if run.refused is not None:
                    break
                run.excluded.add(runner.id)
            yield self._end(run)
        finally:
            if not run.completed:
                self._settle(run)

    def _attempt(self, run: _Run, runner: Runner) -> Iterator[Piece]:
        attempt = uuid4().hex
        call = run.call
        run.refused = run.spend.announce(runner.id, attempt)
        if run.refused is not None:
            return
        self._dispatched(call, runner.id, attempt, run.next, run.spend.reserved)
        self._note("dispatch", call, f"{runner.id} from token {run.next}")
        self._runners.started(runner)
        started_at = self._clock.now()
        first, ok = True, True
        run.attempts.append((runner, attempt))
        run.exchange.dispatched = True
        try:
            for event in self._links.start(
                runner.address, attempt, call.prompt, run.next
            ):
                if isinstance(event, Broken):
                    ok = event.leaving
                    if event.leaving:
                        self._runners.left(runner)
                    self._broken(run, event)
                    return
                if first:
                    seconds = self._clock.now() - started_at
                    self._runners.first_token(runner, seconds)
                    first = False
                yield event
                run.take(event)
            if run.completed:
                yield Completed(run.spend.tokens)
        finally:
            self._runners.ended(runner, ok)
            self._metrics.attempts.labels("whole" if run.completed else "broken").inc()

    def _broken(self, run: _Run, broken: Broken) -> None:
        run.problem = broken.reason
        runner, attempt = run.attempts.pop()
        if broken.sent:
            run.sent = True
            address = runner.address
            run.cancels.append(gevent.spawn(self._links.cancel, address, attempt))
        elif not run.sent:
            run.exchange.dispatched = False

    def _end(self, run: _Run) -> Piece:
        if not run.sent and run.refused is not None:
            return run.refused
        if not run.sent:
            return refuse(Reason.NO_RUNNER, 1.0, target=run.call.target)
        ran = Ran.RAN if run.next else Ran.UNKNOWN
        return fail(Reason.RUNNER_FAILED, ran, problem=run.problem)

    def _settle(self, run: _Run) -> None:
        """End the engines' streams and bill their own count, where they tell."""
        for runner, attempt in run.attempts:
            run.cancels.append(
                gevent.spawn(self._links.cancel, runner.address, attempt)
            )
        if not run.cancels:
            run.spend.tokens = 0
            return
        gevent.joinall(run.cancels)
        counts = [cancel.value for cancel in run.cancels]
        if all(isinstance(count, Usage) for count in counts):
            run.spend.tokens = max(
                c.prompt_tokens + c.completion_tokens for c in counts
            )
        else:
            run.spend.tokens = run.spend.reserved.tokens


class _Run:
    """What one call has come to."""

    def __init__(
        self, call: Call, spend: ActiveReservation, exchange: Exchange
    ) -> None:
        self.call = call
        self.spend = spend
        self.exchange = exchange
        self.next = exchange.next
        self.sent = exchange.dispatched
        self.completed = False
        self.refused: Refused | None = None
        self.problem = ""
        self.excluded: set[str] = set()
        self.attempts: list[tuple[Runner, str]] = []
        self.cancels: list[Greenlet] = []

    def take(self, event: Chunk | Usage) -> None:
        """Count what was passed on."""
        if isinstance(event, Chunk):
            self.next = event.index + 1
            return
        self.spend.tokens = event.prompt_tokens + event.completion_tokens
        self.completed = True


def prompt_text(prompt: Prompt) -> str:
    """Return the text by which engines cache a prompt."""
    return "\n".join(message["content"] for message in prompt.messages)
