"""The router: carries a call through turn, budget, runner and answer.

The order is fixed: the turn comes first, so that a waiting request holds no
tokens; then the reservation, so that nothing is sent that could not be billed;
then the dispatch.  Each answer is made in a run of its own and read through an
exchange.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

from godwitrudder.clock import Clock
from godwitrudder.connection.runner import Broken, RunnerLinks
from godwitrudder.process.attempts import ATTEMPTS_MOST, AttemptDesk
from godwitrudder.process.budgets import ActiveReservation, BudgetManager
from godwitrudder.process.claims import ClaimManager
from godwitrudder.process.configuration import Configuration
from godwitrudder.process.exchanges import ExchangeManager, Run
from godwitrudder.process.metrics import Metrics
from godwitrudder.process.runners import RunnerDesk
from godwitrudder.process.takeover import Takeover
from godwitrudder.process.timeline import Timeline
from godwitrudder.process.turns import TurnDesk
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
        turns: TurnDesk,
        runners: RunnerDesk,
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
        self._attempts = AttemptDesk(
            links, runners, self._note, self._dispatched, metrics, clock
        )
        self.exchanges = exchanges
        self._takeover = takeover
        self.closed = False

    @property
    def in_flight(self) -> int:
        """Requests under way."""
        return self.exchanges.in_flight

    def open(self, call: Call) -> Reader | Refused | Failed:
        """Return a reader of the answer; a repeated call joins its run."""
        if call.keyed:
            return self._open(
                call,
                lambda exchange: self._takeover.answer(call, exchange, self._answer),
            )
        return self._open(call, lambda exchange: self._answer(call, exchange))

    def open_service(self, call: ServiceCall) -> Reader | Refused | Failed:
        """Return a reader of a plain service's answer."""
        return self._open(call, lambda exchange: self._serve(call, exchange))

    def _open(self, call: Call | ServiceCall, run: Run) -> Reader | Refused | Failed:
        if self.closed:
            return refuse(Reason.DRAINING, 1.0)
        return self.exchanges.open(call.request, call.fingerprint, call.keyed, run)

    def _answer(self, call: Call, exchange: Exchange) -> Iterator[Piece]:
        """Yield the chunks of an answer, then its outcome."""
        outcome: Outcome = fail(Reason.CALLER_GONE, Ran.UNKNOWN)
        try:
            for piece in self._admitted(call, exchange):
                if isinstance(piece, Completed | Failed | Refused):
                    outcome = piece
                yield piece
        finally:
            self._close(call.request, call.workspace, call.target, outcome)

    def _admitted(self, call: Call, exchange: Exchange) -> Iterator[Piece]:
        rules = self._rules(call.target)
        deadline = self._clock.now() + rules.deadline_seconds
        gate = self._turns.gate(call.target)
        with gate.turn(call.request, call.workspace, call.bound, rules) as turn:
            if isinstance(turn, Refused):
                yield turn
                return
            with self._budgets.spend(
                call.request, call.budget, call.bound, deadline
            ) as spend:
                if isinstance(spend, Refused):
                    yield spend
                    return
                prompt = replace(call.prompt, priority=turn.priority)
                call = replace(call, prompt=prompt)
                try:
                    yield from self._attempts.dispatch(call, spend, exchange)
                finally:
                    turn.used = spend.tokens

    def _serve(self, call: ServiceCall, exchange: Exchange) -> Iterator[Piece]:
        """Yield the answer of a plain service, run at most once where it must be."""
        outcome: Outcome = fail(Reason.CALLER_GONE, Ran.UNKNOWN)
        try:
            if call.rule.repeatable:
                answer = self._spend_on_service(call, exchange)
            else:
                exchange.runs_unattended = True
                answer = self._claims.run_once(
                    call.request,
                    call.fingerprint,
                    lambda: self._spend_on_service(call, exchange),
                )
            if isinstance(answer, ServiceAnswer):
                outcome = Completed(answer.tokens)
                yield answer
            else:
                outcome = answer
            yield outcome
        finally:
            self._close(call.request, call.workspace, call.target, outcome)

    def _spend_on_service(
        self, call: ServiceCall, exchange: Exchange
    ) -> ServiceAnswer | Refused | Failed:
        rules = self._rules(call.target)
        deadline = self._clock.now() + rules.deadline_seconds
        gate = self._turns.gate(call.target)
        with gate.turn(call.request, call.workspace, 1.0, rules) as turn:
            if isinstance(turn, Refused):
                return turn
            with self._budgets.spend(
                call.request, call.budget, call.rule.cost_tokens, deadline
            ) as spend:
                if isinstance(spend, Refused):
                    return spend
                return self._call_runner(call, spend, exchange)

    def _call_runner(
        self, call: ServiceCall, spend: ActiveReservation, exchange: Exchange
    ) -> ServiceAnswer | Refused | Failed:
        """Try runners; a call that may have been sent is only repeated if it may be."""
        excluded: set[str] = set()
        problem = ""
        for _ in range(ATTEMPTS_MOST):
            runner = self._runners.choose(call.target, "", excluded)
            if runner is None:
                break
            refused = spend.announce(runner.id)
            if refused is not None and not problem:
                return refused
            if refused is not None:
                break
            reply = self._call_once(call, runner, spend, exchange, bool(problem))
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
        spend: ActiveReservation,
        exchange: Exchange,
        sent: bool,
    ) -> ServiceAnswer | Broken:
        """Call one runner; ``sent`` says whether an earlier one may have run it."""
        self._timeline.note("dispatch", call.request, call.workspace, runner.id)
        headers = {"X-Request-Id": call.request}
        if call.content_type:
            headers["Content-Type"] = call.content_type
        exchange.dispatched = True
        spend.tokens = call.rule.cost_tokens
        self._runners.started(runner)
        ok = True
        try:
            reply = self._links.call(
                runner.address, call.method, call.path, call.body, headers
            )
            ok = not isinstance(reply, Broken)
        finally:
            self._runners.ended(runner, ok)
        if not isinstance(reply, Broken):
            return ServiceAnswer(
                reply.status, reply.body, spend.tokens, reply.content_type
            )
        if not reply.sent and not sent:
            exchange.dispatched = False
            spend.tokens = 0
        return reply

    def _rules(self, target: str) -> TurnModel:
        turns = self._configuration.document.turns_by_target
        return turns.get(target, TurnModel())

    def _dispatched(
        self, call: Call, runner: str, attempt: str, start: int, reserved: Reservation
    ) -> None:
        if call.keyed:
            self._takeover.record_dispatch(call, runner, attempt, start, reserved)

    def _note(self, kind: str, call: Call, detail: str = "") -> None:
        self._timeline.note(kind, call.request, call.workspace, detail)

    def _close(
        self, request: str, workspace: str, target: str, outcome: Outcome
    ) -> None:
        word = "completed" if isinstance(outcome, Completed) else str(outcome.reason)
        self._metrics.requests.labels(target, word).inc()
        self._timeline.note("outcome", request, workspace, f"{word} {outcome.ran}")
