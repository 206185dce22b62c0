"""The router: admits a call, reserves its tokens, sends it and records the outcome.

The order is fixed.  A call first waits for its turn, that is for one of the target's
slots, so that a waiting request reserves no tokens.  Then its tokens are reserved,
so that nothing is sent to a runner that could not be billed.  Then it is dispatched.
Each answer is produced in its own greenlet; callers read it through an exchange.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

from godwitrudder.clock import Clock
from godwitrudder.connection.runner import Broken, RunnerLinks
from godwitrudder.process.attempts import MAX_ATTEMPTS, Dispatcher
from godwitrudder.process.budgets import ActiveReservation, BudgetManager
from godwitrudder.process.claims import ClaimManager
from godwitrudder.process.configuration import Configuration
from godwitrudder.process.exchanges import AnswerSource, ExchangeManager
from godwitrudder.process.metrics import Metrics
from godwitrudder.process.runners import RunnerManager
from godwitrudder.process.takeover import Takeover
from godwitrudder.process.timeline import Timeline
from godwitrudder.process.turns import TurnManager
from godwitrudder.request.admission import Reservation
from godwitrudder.request.answer import Call, Piece, ServiceAnswer, ServiceCall
from godwitrudder.request.choice import Runner
from godwitrudder.request.exchange import Exchange, Reader
from godwitrudder.request.outcome import (
    Completed,
    Failed,
    Outcome,
    Ran,
    Reason,
    Refused,
    fail,
    refuse,
)
from godwitrudder.version.document import TurnModel


class Router:
    """Serves calls; one per daemon."""

    def __init__(
        self,
        configuration: Configuration,
        turns: TurnManager,
        runners: RunnerManager,
        budgets: BudgetManager,
        claims: ClaimManager,
        links: RunnerLinks,
        exchanges: ExchangeManager,
        takeover: Takeover,
        timeline: Timeline,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._configuration = configuration
        self._turns = turns
        self._runners = runners
        self._budgets = budgets
        self._claims = claims
        self._links = links
        self._timeline = timeline
        self._metrics = metrics
        self._clock = clock
        self._dispatcher = Dispatcher(
            links, runners, self._note, self._record_dispatch, metrics, clock
        )
        self.exchanges = exchanges
        self._takeover = takeover
        self.closed = False

    @property
    def in_flight(self) -> int:
        """Number of requests whose answers are not complete."""
        return self.exchanges.in_flight

    def open(self, call: Call) -> Reader | Refused | Failed:
        """Return a reader of the answer; a repeated call reads the running answer."""
        if call.keyed:
            return self._open(
                call,
                lambda exchange: self._takeover.answer(call, exchange, self._answer),
            )
        return self._open(call, lambda exchange: self._answer(call, exchange))

    def open_service(self, call: ServiceCall) -> Reader | Refused | Failed:
        """Return a reader of a plain service's answer."""
        return self._open(call, lambda exchange: self._answer_service(call, exchange))

    def _open(
        self, call: Call | ServiceCall, run: AnswerSource
    ) -> Reader | Refused | Failed:
        if self.closed:
            return refuse(Reason.DRAINING, 1.0)
        return self.exchanges.open(call.request, call.fingerprint, call.keyed, run)

    def _answer(self, call: Call, exchange: Exchange) -> Iterator[Piece]:
        """Yield the chunks of an answer, then its outcome, and record the outcome."""
        outcome: Outcome = fail(Reason.CALLER_GONE, Ran.UNKNOWN)
        try:
            for piece in self._run_admitted(call, exchange):
                if isinstance(piece, Completed | Failed | Refused):
                    outcome = piece
                yield piece
        finally:
            self._record_outcome(call.request, call.workspace, call.target, outcome)

    def _run_admitted(self, call: Call, exchange: Exchange) -> Iterator[Piece]:
        rules = self._turn_rules(call.target)
        deadline = self._clock.now() + rules.deadline_seconds
        gate = self._turns.gate(call.target)
        with gate.turn(call.request, call.workspace, call.bound, rules) as turn:
            if isinstance(turn, Refused):
                yield turn
                return
            with self._budgets.spend(
                call.request, call.budget, call.bound, deadline
            ) as reservation:
                if isinstance(reservation, Refused):
                    yield reservation
                    return
                prompt = replace(call.prompt, priority=turn.priority)
                call = replace(call, prompt=prompt)
                try:
                    yield from self._dispatcher.dispatch(call, reservation, exchange)
                finally:
                    turn.used_tokens = reservation.tokens

    def _answer_service(self, call: ServiceCall, exchange: Exchange) -> Iterator[Piece]:
        """Yield the answer of a plain service and its outcome.

        A call that may not be repeated runs at most once, under a claim in the log,
        and continues without a reader.
        """
        outcome: Outcome = fail(Reason.CALLER_GONE, Ran.UNKNOWN)
        try:
            if call.rule.repeatable:
                answer = self._run_service_call(call, exchange)
            else:
                exchange.runs_unattended = True
                answer = self._claims.run_once(
                    call.request,
                    call.fingerprint,
                    lambda: self._run_service_call(call, exchange),
                )
            if isinstance(answer, ServiceAnswer):
                outcome = Completed(answer.tokens)
                yield answer
            else:
                outcome = answer
            yield outcome
        finally:
            self._record_outcome(call.request, call.workspace, call.target, outcome)

    def _run_service_call(
        self, call: ServiceCall, exchange: Exchange
    ) -> ServiceAnswer | Refused | Failed:
        rules = self._turn_rules(call.target)
        deadline = self._clock.now() + rules.deadline_seconds
        gate = self._turns.gate(call.target)
        with gate.turn(call.request, call.workspace, 1.0, rules) as turn:
            if isinstance(turn, Refused):
                return turn
            with self._budgets.spend(
                call.request, call.budget, call.rule.cost_tokens, deadline
            ) as reservation:
                if isinstance(reservation, Refused):
                    return reservation
                return self._call_runner(call, reservation, exchange)

    def _call_runner(
        self, call: ServiceCall, reservation: ActiveReservation, exchange: Exchange
    ) -> ServiceAnswer | Refused | Failed:
        """Try runners one after another and return the first answer.

        After an attempt that may have reached a runner, the call is retried only if
        its rule says that it is repeatable.
        """
        excluded: set[str] = set()
        problem = ""
        for _ in range(MAX_ATTEMPTS):
            runner = self._runners.choose(call.target, "", excluded)
            if runner is None:
                break
            refused = reservation.announce(runner.id)
            if refused is not None and not problem:
                return refused
            if refused is not None:
                break
            reply = self._call_once(call, runner, reservation, exchange, bool(problem))
            if isinstance(reply, ServiceAnswer):
                return reply
            if reply.sent:
                problem = reply.reason
            if reply.sent and not call.rule.repeatable:
                break
            excluded.add(runner.id)
        if problem:
            return fail(Reason.RUNNER_FAILED, Ran.UNKNOWN, problem=problem)
        return refuse(Reason.NO_RUNNER, 1.0, target=call.target)

    def _call_once(
        self,
        call: ServiceCall,
        runner: Runner,
        reservation: ActiveReservation,
        exchange: Exchange,
        maybe_ran: bool,
    ) -> ServiceAnswer | Broken:
        """Call one runner; ``maybe_ran`` says that an earlier one may have run it."""
        self._timeline.note("dispatch", call.request, call.workspace, runner.id)
        headers = {"X-Request-Id": call.request}
        if call.content_type:
            headers["Content-Type"] = call.content_type
        exchange.dispatched = True
        reservation.tokens = call.rule.cost_tokens
        self._runners.record_start(runner)
        ok = True
        try:
            reply = self._links.call(
                runner.address, call.method, call.path, call.body, headers
            )
            ok = not isinstance(reply, Broken)
        finally:
            self._runners.record_end(runner, ok)
        if not isinstance(reply, Broken):
            return ServiceAnswer(
                reply.status, reply.body, reservation.tokens, reply.content_type
            )
        if not reply.sent and not maybe_ran:
            exchange.dispatched = False
            reservation.tokens = 0
        return reply

    def _turn_rules(self, target: str) -> TurnModel:
        turns = self._configuration.document.turns_by_target
        return turns.get(target, TurnModel())

    def _record_dispatch(
        self, call: Call, runner: str, attempt: str, start: int, reserved: Reservation
    ) -> None:
        if call.keyed:
            self._takeover.record_dispatch(call, runner, attempt, start, reserved)

    def _note(self, kind: str, call: Call, detail: str = "") -> None:
        self._timeline.note(kind, call.request, call.workspace, detail)

    def _record_outcome(
        self, request: str, workspace: str, target: str, outcome: Outcome
    ) -> None:
        code = "completed" if isinstance(outcome, Completed) else str(outcome.reason)
        self._metrics.requests.labels(target, code).inc()
        self._timeline.note("outcome", request, workspace, f"{code} {outcome.ran}")
