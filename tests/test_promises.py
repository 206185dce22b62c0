"""Steps of ``promises.feature``: faults, callers, and what they must have seen."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Final

import gevent
import pytest
from gevent import Greenlet
from pytest_bdd import given, parsers, scenarios, then, when

from bench.callers import MAX_TOKENS, CallerResult, budget_totals, chat, transfer
from bench.fleet import Fleet

scenarios("features/promises.feature")

BUDGETS: Final = ("registry", "patrol")
TRANSFER: Final = "transfer-7"
TRANSFER_TOKENS: Final = 5
# The longest prompt in bytes, and a message's overhead.
PROMPT_BOUND: Final = len("claim 19") + 8
LEAVING_SECONDS: Final = 3.0


class Run:
    """One scenario: its fleet and what the callers saw."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.seen_by_prompt: dict[str, CallerResult] = {}
        self.transfers: list[CallerResult] = []
        self.streams_before = 0

    def ask(self, count: int, workspaces: tuple[str, ...]) -> list[Greenlet]:
        """Start so many chats through all daemons."""
        routers = len(self.fleet.daemons)
        return [
            gevent.spawn(
                self._chat, f"claim {n}", n % routers, workspaces[n % len(workspaces)]
            )
            for n in range(count)
        ]

    def _chat(self, prompt: str, router: int, workspace: str) -> None:
        stream = len(prompt) % 2 == 0
        seen = chat(self.fleet, router, workspace, prompt, stream)
        self.seen_by_prompt[prompt] = seen

    def ran(self) -> int:
        """Return how often the transfer ran."""
        return sum(sum(s.runs_by_request.values()) for s in self.fleet.services)


@pytest.fixture(name="run")
def make_run() -> Iterator[Run]:
    """Yield a running fleet of three daemons."""
    with Fleet() as fleet:
        yield Run(fleet)


def lose_answers(fleet: Fleet) -> None:
    """Let half of the appends take effect and answer nothing."""
    fleet.platform.faults.set({"lost_answers": 0.5})


def stop_log(fleet: Fleet) -> None:
    """Take the platform down for a second."""
    fleet.platform.faults.set({"down": True})
    gevent.spawn_later(1.0, fleet.platform.faults.set, {"down": False})


def kill_engine(fleet: Fleet) -> None:
    """Let one engine die as soon as it has made some tokens."""

    def kill() -> None:
        while not any(
            s.generated_tokens > 2 for s in fleet.engines[0].streams_by_attempt.values()
        ):
            gevent.sleep(0.001)
        fleet.engines[0].crash()

    gevent.spawn(kill)


def silence_engine(fleet: Fleet) -> None:
    """Let one engine take connections and say nothing."""
    fleet.engines[0].faults.set({"silent": True})


def silence_connections(fleet: Fleet) -> None:
    """Let what is open soon fall silent at every engine."""
    for engine in fleet.engines:
        gevent.spawn_later(0.05, engine.faults.set, {"silent_open": True})


FAULTS: Final[dict[str, Callable[[Fleet], None]]] = {
    "nothing fails": lambda fleet: None,
    "the log loses half of its answers": lose_answers,
    "the log is down for a second": stop_log,
    "one engine dies in mid-stream": kill_engine,
    "one engine falls silent": silence_engine,
    "open connections to engines fall silent": silence_connections,
}

NAMES: Final = "|".join(FAULTS)


@given("a fleet of 3 daemons")
def _fleet(run: Run) -> None:
    assert len(run.fleet.daemons) == 3


@when(parsers.re(f"(?P<first>{NAMES})(, and (?P<second>{NAMES}))?"))
def _strike(run: Run, first: str, second: str | None) -> None:
    FAULTS[first](run.fleet)
    if second is not None:
        FAULTS[second](run.fleet)


@when(parsers.parse("{count:d} chats are asked through all daemons"))
def _ask(run: Run, count: int) -> None:
    gevent.joinall(run.ask(count, BUDGETS))


@when(parsers.parse("the small workspace asks {count:d} chats through all daemons"))
def _ask_small(run: Run, count: int) -> None:
    gevent.joinall(run.ask(count, ("harbour",)))


@when("one transfer is asked through all daemons at once")
def _transfer(run: Run) -> None:
    calls = [
        gevent.spawn(transfer, run.fleet, router, "registry", TRANSFER)
        for router in range(len(run.fleet.daemons))
    ]
    gevent.joinall(calls)
    run.transfers = [call.value for call in calls]


@when("the faults end")
def _heal(run: Run) -> None:
    run.fleet.platform.faults.set({"lost_answers": 0.0, "down": False})


@when("an engine leaves and 3 seconds pass")
def _leave(run: Run) -> None:
    engine = run.fleet.engines[0]
    engine.leaving = True
    gevent.sleep(LEAVING_SECONDS)
    run.streams_before = len(engine.streams_by_attempt)


@when(parsers.parse("a daemon drains while {count:d} chats are under way"))
def _drain(run: Run, count: int) -> None:
    chats = run.ask(count, BUDGETS)
    daemon = run.fleet.daemons[0]
    while not daemon.router.in_flight:
        gevent.sleep(0.001)
    daemon.drain()
    gevent.joinall(chats)


@then("every answer is whole and the caller's own")
def _whole(run: Run) -> None:
    assert all(seen.is_correct for seen in run.seen_by_prompt.values())


@then(parsers.parse("all {count:d} chats are completed"))
def _completed(run: Run, count: int) -> None:
    codes = {prompt: seen.code for prompt, seen in run.seen_by_prompt.items()}
    assert codes == {f"claim {number}": "completed" for number in range(count)}


@then("what was refused as not run never ran")
def _not_run(run: Run) -> None:
    refused = {p for p, seen in run.seen_by_prompt.items() if seen.ran == "not_run"}
    for engine in run.fleet.engines:
        prompts = {stream.prompt for stream in engine.streams_by_attempt.values()}
        assert not refused & prompts
    if run.transfers and all(seen.ran == "not_run" for seen in run.transfers):
        assert run.ran() == 0


@then("the ledger bills each workspace what its callers saw")
def _billed(run: Run) -> None:
    run.fleet.drain()
    folds = run.fleet.refold()
    for name in {seen.workspace for seen in run.seen_by_prompt.values()}:
        seen = [s for s in run.seen_by_prompt.values() if s.workspace == name]
        paid, spent, _ = budget_totals(folds, name)
        assert spent == sum(s.tokens for s in seen) <= paid


@then("the transfer ran at most once")
def _once(run: Run) -> None:
    assert run.ran() <= 1
    if any(seen.code == "completed" for seen in run.transfers):
        assert run.ran() == 1


@then("the transfer is billed as often as it ran")
def _transfer_billed(run: Run) -> None:
    run.fleet.drain()
    assert (
        budget_totals(run.fleet.refold(), "registry")[1] == TRANSFER_TOKENS * run.ran()
    )


@then("some chats are refused for lack of budget")
def _refused(run: Run) -> None:
    codes = {seen.code for seen in run.seen_by_prompt.values()}
    assert codes == {"completed", "insufficient_quota"}


@then("no refused chat would have fitted into what was left")
def _no_false_refusal(run: Run) -> None:
    spent = sum(seen.tokens for seen in run.seen_by_prompt.values())
    paid = budget_totals(run.fleet.refold(), "harbour")[0]
    assert paid - spent < MAX_TOKENS + PROMPT_BOUND


@then("the leaving engine got no new work")
def _no_new_work(run: Run) -> None:
    assert len(run.fleet.engines[0].streams_by_attempt) == run.streams_before


@then("the drained daemon holds no tokens")
def _nothing_held(run: Run) -> None:
    mine = run.fleet.daemons[0].incarnation
    for fold in run.fleet.refold():
        for budget in fold.budgets_by_id.values():
            assert mine not in budget.holdings_by_incarnation
