"""The router: carries a call through turn, budget, runner and answer.

The order is fixed: the turn comes first, so that a waiting request holds no
tokens; then the reservation, so that nothing is sent that could not be billed;
then the dispatch.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Final
from uuid import uuid4

from godwitrudder.clock import Clock
from godwitrudder.connection import runner as runner_link
from godwitrudder.connection.runner import Broken, Chunk, Prompt, Usage
from godwitrudder.process.budgets import BudgetDesk, Spend
from godwitrudder.process.claims import ClaimDesk
from godwitrudder.process.configuration import Configuration
from godwitrudder.process.metrics import Metrics
from godwitrudder.process.runners import RunnerDesk
from godwitrudder.process.timeline import Timeline
from godwitrudder.process.turns import TurnDesk
from godwitrudder.request.choice import Runner
from godwitrudder.request.outcome import (
    Completed,
    Failed,
    Outcome,
    Ran,
    Reason,
    Refused,
    refuse,
)
from godwitrudder.version.document import CallModel, TurnModel

ATTEMPTS_MOST: Final = 3


@dataclass(frozen=True, slots=True)
class Call:
    """A request to a model engine.

    Attributes
    ----------
    request : str
        Id under which it is billed once.
    prompt_bound : int
        Upper bound of the prompt, in tokens.
    """

    request: str
    workspace: str
    budget: str
    target: str
    prompt: Prompt
    prompt_bound: int

    @property
    def bound(self) -> int:
        """Upper bound of prompt and answer, in tokens."""
        return self.prompt_bound + self.prompt.max_tokens


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A request to a plain service."""

    request: str
    workspace: str
    budget: str
    target: str
    method: str
    path: str
    body: bytes
    rule: CallModel
    fingerprint: str


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """The whole answer of a plain service."""

    status: int
    body: bytes
    tokens: int


class Router:
    """Serves calls; one per daemon."""

    def __init__(
        self,
        configuration: Configuration,
        turns: TurnDesk,
        runners: RunnerDesk,
        budgets: BudgetDesk,
        claims: ClaimDesk,
        timeline: Timeline,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._configuration = configuration
        self._turns = turns
        self._runners = runners
        self._budgets = budgets
        self._claims = claims
        self._timeline = timeline
        self._metrics = metrics
        self._clock = clock
        self.in_flight = 0

    def answer(self, call: Call) -> Iterator[Chunk | Usage | Outcome]:
        """Yield the chunks of an answer, then its outcome."""
        self.in_flight += 1
        outcome: Outcome = Failed(Reason.CALLER_GONE, "", Ran.UNKNOWN)
        try:
            for event in self._admitted(call):
                if isinstance(event, Completed | Failed | Refused):
                    outcome = event
                yield event
        finally:
            self.in_flight -= 1
            self._close(call.request, call.workspace, call.target, outcome)

    def call_service(self, call: ServiceCall) -> ServiceAnswer | Refused | Failed:
        """Run a call of a plain service, at most once where it must be."""
        self.in_flight += 1
        try:
            if call.rule.repeatable:
                answer = self._spend_on_service(call)
            else:
                answer = self._claims.run_once(
                    call.request,
                    call.fingerprint,
                    lambda: self._spend_on_service(call),
                )
        finally:
            self.in_flight -= 1
        outcome: Outcome
        if isinstance(answer, ServiceAnswer):
            outcome = Completed(answer.tokens)
        else:
            outcome = answer
        self._close(call.request, call.workspace, call.target, outcome)
        return answer

    def _admitted(self, call: Call) -> Iterator[Chunk | Usage | Outcome]:
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
                try:
                    yield from self._dispatch(replace(call, prompt=prompt), spend)
                finally:
                    turn.used = spend.tokens

    def _dispatch(self, call: Call, spend: Spend) -> Iterator[Chunk | Usage | Outcome]:
        """Try runners in turn; each goes on where the last one ended."""
        sent = 0
        started = False
        excluded: set[str] = set()
        problem = ""
        for _ in range(ATTEMPTS_MOST):
            text = prompt_text(call.prompt)
            runner = self._runners.choose(call.target, text, excluded)
            if runner is None:
                break
            for event in self._attempt(call, runner, sent, spend):
                if isinstance(event, Broken):
                    if event.leaving:
                        self._runners.left(runner)
                    problem = event.reason
                    started = started or event.sent
                    continue
                if isinstance(event, Chunk):
                    sent += 1
                yield event
                if isinstance(event, Completed):
                    return
            excluded.add(runner.id)
        if not started:
            yield refuse(Reason.NO_RUNNER, 1.0, target=call.target)
            return
        yield Failed(Reason.RUNNER_FAILED, problem, Ran.RAN)

    def _attempt(
        self, call: Call, runner: Runner, start: int, spend: Spend
    ) -> Iterator[Chunk | Usage | Completed | Broken]:
        attempt = uuid4().hex
        self._note("dispatch", call, f"{runner.id} from token {start}")
        self._runners.started(runner)
        started_at = self._clock.now()
        ended = False
        ok = True
        index = start
        try:
            for event in runner_link.stream(
                runner.address, attempt, call.prompt, start
            ):
                if isinstance(event, Chunk):
                    if event.index != index:
                        continue
                    if index == start:
                        seconds = self._clock.now() - started_at
                        self._runners.first_token(runner, seconds)
                    index += 1
                    spend.tokens = max(spend.tokens, call.prompt_bound + index)
                elif isinstance(event, Usage):
                    spend.tokens = event.prompt_tokens + event.completion_tokens
                    ended = True
                    yield event
                    yield Completed(spend.tokens)
                    return
                else:
                    ended = not event.sent
                    ok = event.leaving
                yield event
        finally:
            self._runners.ended(runner, ok)
            if not ended:
                self._cancel(runner, attempt, spend)

    def _cancel(self, runner: Runner, attempt: str, spend: Spend) -> None:
        """End the engine's stream and bill its own count, where it tells."""
        usage = runner_link.cancel(runner.address, attempt)
        if isinstance(usage, Usage):
            spend.tokens = usage.prompt_tokens + usage.completion_tokens
        else:
            spend.tokens = spend.reserved.tokens

    def _spend_on_service(self, call: ServiceCall) -> ServiceAnswer | Refused | Failed:
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
                return self._call_runner(call, spend)

    def _call_runner(
        self, call: ServiceCall, spend: Spend
    ) -> ServiceAnswer | Refused | Failed:
        runner = self._runners.choose(call.target, "", set())
        if runner is None:
            return refuse(Reason.NO_RUNNER, 1.0, target=call.target)
        self._timeline.note("dispatch", call.request, call.workspace, runner.id)
        self._runners.started(runner)
        answer = runner_link.call(
            runner.address, call.method, call.path, call.body, call.request
        )
        self._runners.ended(runner, not isinstance(answer, Broken))
        if isinstance(answer, Broken):
            if not answer.sent:
                return refuse(Reason.NO_RUNNER, 1.0, target=call.target)
            spend.tokens = call.rule.cost_tokens
            return Failed(Reason.RUNNER_FAILED, answer.reason, Ran.UNKNOWN)
        spend.tokens = call.rule.cost_tokens
        return ServiceAnswer(*answer, tokens=spend.tokens)

    def _rules(self, target: str) -> TurnModel:
        turns = self._configuration.document.turns_by_target
        return turns.get(target, TurnModel())

    def _note(self, kind: str, call: Call, detail: str = "") -> None:
        self._timeline.note(kind, call.request, call.workspace, detail)

    def _close(
        self, request: str, workspace: str, target: str, outcome: Outcome
    ) -> None:
        word = "completed" if isinstance(outcome, Completed) else str(outcome.reason)
        self._metrics.requests.labels(target, word).inc()
        self._timeline.note("outcome", request, workspace, f"{word} {outcome.ran}")


def prompt_text(prompt: Prompt) -> str:
    """Return the text by which engines cache a prompt."""
    return "\n".join(message["content"] for message in prompt.messages)
