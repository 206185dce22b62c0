"""Dispatch to runners: retries a call on other runners until its answer is complete.

Each attempt continues at the token after the last one received.  A complete answer
is billed by the token count that the engine of the last attempt reports.  If the
answer stays incomplete, the attempts are cancelled and the largest count of the
engines is billed, or the whole reservation if any engine reports none.
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
from godwitrudder.process.runners import RunnerManager
from godwitrudder.request.admission import Reservation
from godwitrudder.request.answer import Call, Chunk, Piece, Prompt, Usage
from godwitrudder.request.choice import Runner
from godwitrudder.request.exchange import Exchange
from godwitrudder.request.outcome import Completed, Ran, Reason, Refused, fail, refuse

MAX_ATTEMPTS: Final = 3

EventNoter = Callable[[str, Call, str], None]
DispatchRecorder = Callable[[Call, str, str, int, Reservation], None]


class Dispatcher:
    """Sends calls to model engines, one attempt after another.

    Parameters
    ----------
    links : RunnerLinks
        Connections to the runners.
    runners : RunnerManager
        Chooses the runner of an attempt, excluding those that failed the call.
    note : callable
        Writes an event of a call to the timeline.
    record_dispatch : callable
        Called before each attempt with call, runner, attempt id, index of the first
        token and reservation.
    """

    def __init__(
        self,
        links: RunnerLinks,
        runners: RunnerManager,
        note: EventNoter,
        record_dispatch: DispatchRecorder,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._links = links
        self._runners = runners
        self._clock = clock
        self._note = note
        self._record_dispatch = record_dispatch
        self._metrics = metrics

    def dispatch(
        self, call: Call, reservation: ActiveReservation, exchange: Exchange
    ) -> Iterator[Piece]:
        """Yield the chunks that the exchange lacks, then the usage and the outcome."""
        state = _CallState(call, reservation, exchange)
        text = prompt_text(call.prompt)
        try:
            for _ in range(MAX_ATTEMPTS):
                runner = self._runners.choose(call.target, text, state.excluded)
                if runner is None:
                    break
                yield from self._attempt(state, runner)
                if state.completed:
                    return
                if state.refused is not None:
                    break
                state.excluded.add(runner.id)
            yield self._incomplete_outcome(state)
        finally:
            if not state.completed:
                self._set_billed_tokens(state)

    def _attempt(self, state: _CallState, runner: Runner) -> Iterator[Piece]:
        attempt = uuid4().hex
        call = state.call
        state.refused = state.reservation.announce(runner.id, attempt)
        if state.refused is not None:
            return
        self._record_dispatch(
            call, runner.id, attempt, state.next_index, state.reservation.reserved
        )
        self._note("dispatch", call, f"{runner.id} from token {state.next_index}")
        self._runners.record_start(runner)
        started_at = self._clock.now()
        first, healthy = True, True
        state.attempts.append((runner, attempt))
        state.exchange.dispatched = True
        try:
            for event in self._links.start(
                runner.address, attempt, call.prompt, state.next_index
            ):
                if isinstance(event, Broken):
                    healthy = event.leaving
                    if event.leaving:
                        self._runners.mark_leaving(runner)
                    self._record_break(state, event)
                    return
                if first:
                    seconds = self._clock.now() - started_at
                    self._runners.record_first_token(runner, seconds)
                    first = False
                yield event
                state.record_event(event)
            if state.completed:
                yield Completed(state.reservation.tokens)
        finally:
            self._runners.record_end(runner, healthy)
            self._metrics.attempts.labels(
                "whole" if state.completed else "broken"
            ).inc()

    def _record_break(self, state: _CallState, broken: Broken) -> None:
        state.last_problem = broken.reason
        runner, attempt = state.attempts.pop()
        if broken.sent:
            state.sent = True
            address = runner.address
            state.cancels.append(gevent.spawn(self._links.cancel, address, attempt))
        elif not state.sent:
            state.exchange.dispatched = False

    def _incomplete_outcome(self, state: _CallState) -> Piece:
        if not state.sent and state.refused is not None:
            return state.refused
        if not state.sent:
            return refuse(Reason.NO_RUNNER, 1.0, target=state.call.target)
        ran = Ran.RAN if state.next_index else Ran.UNKNOWN
        return fail(Reason.RUNNER_FAILED, ran, problem=state.last_problem)

    def _set_billed_tokens(self, state: _CallState) -> None:
        """Cancel the attempts of an incomplete answer and set the tokens to bill.

        Nothing is billed if no attempt can have reached a runner.  Otherwise the
        largest token count among the engines is billed, or the whole reservation if
        any engine returns no count.
        """
        for runner, attempt in state.attempts:
            state.cancels.append(
                gevent.spawn(self._links.cancel, runner.address, attempt)
            )
        if not state.cancels:
            state.reservation.tokens = 0
            return
        gevent.joinall(state.cancels)
        counts = [cancel.value for cancel in state.cancels]
        if all(isinstance(count, Usage) for count in counts):
            state.reservation.tokens = max(
                c.prompt_tokens + c.completion_tokens for c in counts
            )
        else:
            state.reservation.tokens = state.reservation.reserved.tokens


class _CallState:
    """State of one call over its attempts."""

    def __init__(
        self, call: Call, reservation: ActiveReservation, exchange: Exchange
    ) -> None:
        self.call = call
        self.reservation = reservation
        self.exchange = exchange
        self.next_index = exchange.next
        self.sent = exchange.dispatched
        self.completed = False
        self.refused: Refused | None = None
        self.last_problem = ""
        self.excluded: set[str] = set()
        self.attempts: list[tuple[Runner, str]] = []
        self.cancels: list[Greenlet] = []

    def record_event(self, event: Chunk | Usage) -> None:
        """Advance the token index, or set the billed tokens from the final usage."""
        if isinstance(event, Chunk):
            self.next_index = event.index + 1
            return
        self.reservation.tokens = event.prompt_tokens + event.completion_tokens
        self.completed = True


def prompt_text(prompt: Prompt) -> str:
    """Return the text whose prefixes identify a prompt in the engines' caches."""
    return "\n".join(message["content"] for message in prompt.messages)
