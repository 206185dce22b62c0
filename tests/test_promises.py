"""Steps of ``promises.feature``: inject faults, send requests and check the answers."""

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
# Length of the longest prompt in bytes, plus the overhead of one message.
MAX_PROMPT_TOKENS: Final = len("claim 19") + 8
LEAVING_SECONDS: Final = 3.0


class Run:
    """One scenario: its fleet and the answers that the callers got."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.results_by_prompt: dict[str, CallerResult] = {}
        self.transfers: list[CallerResult] = []
        self.streams_before = 0

    def start_chats(self, count: int, workspaces: tuple[str, ...]) -> list[Greenlet]:
        """Start ``count`` chats, spread over all daemons and the workspaces."""
        routers = len(self.fleet.daemons)
        return [
            gevent.spawn(
                self._chat, f"claim {n}", n % routers, workspaces[n % len(workspaces)]
            )
            for n in range(count)
        ]

    def _chat(self, prompt: str, router: int, workspace: str) -> None:
        stream = len(prompt) % 2 == 0
        result = chat(self.fleet, router, workspace, prompt, stream)
        self.results_by_prompt[prompt] = result

    def transfer_runs(self) -> int:
        """Return the number of times the transfer ran."""
        return sum(sum(s.runs_by_request.values()) for s in self.fleet.services)


@pytest.fixture(name="run")
def make_run() -> Iterator[Run]:
    """Yield a running fleet of three daemons."""
    with Fleet() as fleet:
        yield Run(fleet)


def lose_answers(fleet: Fleet) -> None:
    """Let half of the appends take effect without an answer."""
    fleet.platform.faults.set({"lost_answers": 0.5})


def stop_log(fleet: Fleet) -> None:
    """Take the platform down for a second."""
    fleet.platform.faults.set({"down": True})
    gevent.spawn_later(1.0, fleet.platform.faults.set, {"down": False})


def kill_engine(fleet: Fleet) -> None:
    """Kill one engine as soon as it has generated some tokens."""

    def kill() -> None:
        while not any(
            s.generated_tokens > 2 for s in fleet.engines[0].streams_by_attempt.values()
        ):
            gevent.sleep(0.001)
        fleet.engines[0].crash()

    gevent.spawn(kill)


def silence_engine(fleet: Fleet) -> None:
    """Let one engine accept connections and send nothing."""
    fleet.engines[0].faults.set({"silent": True})


def silence_connections(fleet: Fleet) -> None:
    """Let every engine stop sending on open connections after 50 ms."""
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

FAULT_PATTERN: Final = "|".join(FAULTS)


@given("a fleet of 3 daemons")
def _fleet(run: Run) -> None:
    assert len(run.fleet.daemons) == 3


@when(parsers.re(f"(?P<first>{FAULT_PATTERN})(, and (?P<second>{FAULT_PATTERN}))?"))
def _inject_faults(run: Run, first: str, second: str | None) -> None:
    FAULTS[first](run.fleet)
    if second is not None:
        FAULTS[second](run.fleet)


@when(parsers.parse("{count:d} chats are asked through all daemons"))
def _send_chats(run: Run, count: int) -> None:
    gevent.joinall(run.start_chats(count, BUDGETS))


@when(parsers.parse("the small workspace asks {count:d} chats through all daemons"))
def _send_small_chats(run: Run, count: int) -> None:
    gevent.joinall(run.start_chats(count, ("harbour",)))


@when("one transfer is asked through all daemons at once")
def _send_transfer(run: Run) -> None:
    calls = [
        gevent.spawn(transfer, run.fleet, router, "registry", TRANSFER)
        for router in range(len(run.fleet.daemons))
    ]
    gevent.joinall(calls)
    run.transfers = [call.value for call in calls]


@when("the faults end")
def _end_faults(run: Run) -> None:
    run.fleet.platform.faults.set({"lost_answers": 0.0, "down": False})


@when("an engine leaves and 3 seconds pass")
def _engine_leaves(run: Run) -> None:
    engine = run.fleet.engines[0]
    engine.leaving = True
    gevent.sleep(LEAVING_SECONDS)
    run.streams_before = len(engine.streams_by_attempt)


@when(parsers.parse("a daemon drains while {count:d} chats are under way"))
def _drain(run: Run, count: int) -> None:
    chats = run.start_chats(count, BUDGETS)
    daemon = run.fleet.daemons[0]
    while not daemon.router.in_flight:
        gevent.sleep(0.001)
    daemon.drain()
    gevent.joinall(chats)


@then("every answer is whole and the caller's own")
def _answers_whole(run: Run) -> None:
    assert all(result.is_correct for result in run.results_by_prompt.values())


@then(parsers.parse("all {count:d} chats are completed"))
def _completed(run: Run, count: int) -> None:
    codes = {prompt: result.code for prompt, result in run.results_by_prompt.items()}
    assert codes == {f"claim {number}": "completed" for number in range(count)}


@then("what was refused as not run never ran")
def _not_run(run: Run) -> None:
    refused = {
        p for p, result in run.results_by_prompt.items() if result.ran == "not_run"
    }
    for engine in run.fleet.engines:
        prompts = {stream.prompt for stream in engine.streams_by_attempt.values()}
        assert not refused & prompts
    if run.transfers and all(result.ran == "not_run" for result in run.transfers):
        assert run.transfer_runs() == 0


@then("the ledger bills each workspace what its callers saw")
def _billed(run: Run) -> None:
    run.fleet.drain()
    folds = run.fleet.refold()
    for name in {seen.workspace for seen in run.results_by_prompt.values()}:
        seen = [s for s in run.results_by_prompt.values() if s.workspace == name]
        paid, spent, _ = budget_totals(folds, name)
        assert spent == sum(s.tokens for s in seen) <= paid


@then("the transfer ran at most once")
def _transfer_at_most_once(run: Run) -> None:
    assert run.transfer_runs() <= 1
    if any(result.code == "completed" for result in run.transfers):
        assert run.transfer_runs() == 1


@then("the transfer is billed as often as it ran")
def _transfer_billed(run: Run) -> None:
    run.fleet.drain()
    assert (
        budget_totals(run.fleet.refold(), "registry")[1]
        == TRANSFER_TOKENS * run.transfer_runs()
    )


@then("some chats are refused for lack of budget")
def _some_refused(run: Run) -> None:
    codes = {result.code for result in run.results_by_prompt.values()}
    assert codes == {"completed", "insufficient_quota"}


@then("no refused chat would have fitted into what was left")
def _no_false_refusal(run: Run) -> None:
    spent = sum(result.tokens for result in run.results_by_prompt.values())
    paid = budget_totals(run.fleet.refold(), "harbour")[0]
    assert paid - spent < MAX_TOKENS + MAX_PROMPT_TOKENS


@then("the leaving engine got no new work")
def _no_new_work(run: Run) -> None:
    assert len(run.fleet.engines[0].streams_by_attempt) == run.streams_before


@then("the drained daemon holds no tokens")
def _holds_no_tokens(run: Run) -> None:
    incarnation = run.fleet.daemons[0].incarnation
    for fold in run.fleet.refold():
        for budget in fold.budgets_by_id.values():
            assert incarnation not in budget.holdings_by_incarnation
