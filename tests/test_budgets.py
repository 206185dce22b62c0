"""Grants, witnesses and hand-overs under faults, in seeded runs without I/O."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench import budget_run, measure_budgets
from bench.budget_run import PENGHU, SERRA, Deployment, Run
from godwitrudder.connection.escrow import (
    Announce,
    FenceAsk,
    Fenced,
    OpenIntent,
    Transfer,
)
from godwitrudder.request import events
from godwitrudder.request.announcement import (
    Acknowledged,
    Announcements,
    SendAnnouncement,
    Unwitnessed,
)
from godwitrudder.request.grant_allocator import GrantAllocator
from godwitrudder.request.sizing import BudgetTotals, DrawSizing
from godwitrudder.request.witness import FENCE_SECONDS, CloseHolder, Witness
from godwitrudder.request.witnesses import WitnessSet

HOLDER = "router-1/a+1"
NAMES = ("router-2/b", "router-3/c")
INTENT = OpenIntent("r", "b", 50, "runner", "attempt")


@pytest.fixture(autouse=True)
def _short_runs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten load and faults; a run stays longer than the fence timeout."""
    monkeypatch.setattr(budget_run, "LOAD_SECONDS", 120.0)
    monkeypatch.setattr(budget_run, "TOP_UP_SECONDS", 60.0)
    monkeypatch.setattr(measure_budgets, "FAULT_SECONDS", 20.0)
    monkeypatch.setattr(measure_budgets, "LONG_SECONDS", 60.0)
    monkeypatch.setattr(measure_budgets, "PAUSE_SECONDS", 40.0)


def combined(*faults: Callable[[Run], None]) -> Callable[[Run], None]:
    """Return one fault that applies several."""

    def apply(run: Run) -> None:
        for fault in faults:
            fault(run)

    return apply


FAULTS = {
    "no fault": measure_budgets.no_fault,
    "half partition": measure_budgets.half_partition,
    "domain cut off": measure_budgets.domain_cut_off,
    "log outage": measure_budgets.log_outage,
    "lost answers": measure_budgets.lost_answers,
    "router killed": measure_budgets.router_killed,
    "router paused": measure_budgets.router_paused,
    "killed in an outage": combined(
        measure_budgets.router_killed, measure_budgets.log_outage
    ),
    "paused, answers lost": combined(
        measure_budgets.router_paused, measure_budgets.lost_answers
    ),
    "paused in a partition": combined(
        measure_budgets.router_paused, measure_budgets.half_partition
    ),
}


@pytest.mark.parametrize("deployment", [PENGHU, SERRA], ids=lambda d: d.name)
@pytest.mark.parametrize("fault", FAULTS)
def test_nothing_is_served_beyond_paid(deployment: Deployment, fault: str) -> None:
    """No fault lets a budget be overspent or a request be billed twice."""
    run = Run(deployment, seed=7).with_nodes(0.5)
    FAULTS[fault](run)
    truth = run.simulate()
    assert truth.requests > 0
    assert truth.overspent == 0
    assert run.shared_log.violations == 0
    assert run.count_wrong_bills()[0] == 0
    if fault == "no fault":
        assert (truth.false_refusals, truth.stranded) == (0, 0)
        assert run.count_wrong_bills()[1] == 0


@settings(max_examples=8, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 10_000),
    loss=st.sampled_from([0.0, 0.05, 0.3]),
    lost_answers=st.sampled_from([0.0, 0.3]),
    faults=st.lists(
        st.tuples(
            st.floats(1.0, 60.0),
            st.floats(1.0, 60.0),
            st.sampled_from(["pause", "cut", "outage", "kill"]),
            st.integers(0, 5),
        ),
        max_size=4,
    ),
)
def test_any_faults_together(
    seed: int,
    loss: float,
    lost_answers: float,
    faults: list[tuple[float, float, str, int]],
) -> None:
    """Any mix of loss, pauses, cuts, outages and crashes is safe."""
    run = Run(SERRA, seed).with_nodes(0.5)
    run.network.loss = loss
    run.log.lost_answers = lost_answers
    for start, seconds, kind, number in faults:
        _schedule_fault(run, start, seconds, kind, number)
    truth = run.simulate()
    assert truth.overspent == 0
    assert run.shared_log.violations == 0
    assert run.count_wrong_bills()[0] == 0


def _schedule_fault(
    run: Run, start: float, seconds: float, kind: str, number: int
) -> None:
    node = run.shared_log.nodes[number]
    after = run.world.after
    if kind == "pause":
        after(start, node.pause)
        after(start + seconds, node.resume)
    elif kind == "cut":
        others = [host for host in run.domain_by_host if host != node.host]
        after(start, lambda: run.network.disconnect([node.host], [*others, "log"]))
        after(start + seconds, run.network.heal)
    elif kind == "outage":
        after(start, lambda: setattr(run.log, "down", True))
        after(start + seconds, lambda: setattr(run.log, "down", False))
    elif number:
        after(start, lambda: setattr(node, "dead", True))


def test_fence_holds_for_good() -> None:
    """A holder that resumes after its fence gets no acknowledgement."""
    witness = Witness(NAMES[0])
    message = Announce(HOLDER, NAMES[0], (INTENT,), witnesses=NAMES)
    assert witness.announce(message, 0.0)
    witness.tick(FENCE_SECONDS - 1, True)
    for second in range(3):
        witness.tick(FENCE_SECONDS + second, True)
    assert not witness.announce(message, FENCE_SECONDS + 4)
    assert not witness.beat(HOLDER, NAMES, FENCE_SECONDS + 4)


def test_closing_waits_for_every_witness() -> None:
    """A single witness never closes a holder; together they list every intent."""
    witness = Witness(NAMES[0])
    witness.beat(HOLDER, NAMES, 0.0)
    actions = [a for s in range(23) for a in witness.tick(float(s), True)]
    assert not any(isinstance(action, CloseHolder) for action in actions)
    refused = Fenced(HOLDER, NAMES[1], False, (), ())
    assert witness.fenced(refused, 23.0) == []
    agreed = Fenced(HOLDER, NAMES[1], True, (INTENT,), ())
    assert witness.fenced(agreed, 24.0) == [CloseHolder(HOLDER, (INTENT,), ())]
    assert witness.find("r") == (HOLDER, INTENT)


def test_witness_that_was_paused_or_has_no_log_does_not_fence() -> None:
    """Silence counts only while the witness itself runs and reaches the log."""
    witness = Witness(NAMES[0])
    witness.beat(HOLDER, (NAMES[0],), 0.0)
    witness.tick(0.0, True)
    assert witness.tick(60.0, True) == []
    assert [a for s in range(61, 90) for a in witness.tick(float(s), False)] == []


def test_new_incarnation_of_a_witness_knows_nothing() -> None:
    """A restarted witness neither acknowledges intents nor confirms a fence."""
    witness = Witness("router-2/new")
    assert not witness.announce(Announce(HOLDER, NAMES[0], (), witnesses=NAMES), 0.0)
    assert not witness.answer(FenceAsk(HOLDER, NAMES[0])).done


def test_first_acknowledgement_counts() -> None:
    """One witness is enough to dispatch; with none left the intent fails."""
    announcements = Announcements()
    announcements.set_holder(HOLDER, NAMES)
    tells = announcements.announce(INTENT)
    first, second = (tell for tell in tells if isinstance(tell, SendAnnouncement))
    assert announcements.failed(first.message) == []
    assert announcements.acked(second.message) == [Acknowledged("r")]
    other = announcements.announce(OpenIntent("s", "b", 1))[0]
    assert isinstance(other, SendAnnouncement)
    assert announcements.failed(other.message) == [Unwitnessed("s")]


def test_witness_of_each_other_domain() -> None:
    """The set has one host of each other domain; those that answer stay in it."""
    domains = {"a": "x", "b": "x", "c": "y", "d": "z", "e": "z"}
    names = WitnessSet()
    names.set_candidate_hosts(["c", "d", "e", "b"], domains, "x")
    for host in names.hosts_to_probe(0.0):
        names.record_standing(host, f"{host}/1", False, 0.0)
    chosen = names.proposal(1.0)
    assert chosen == ("c/1", "d/1")
    names.confirm(chosen)
    assert names.proposal(1.0) is None
    names.record_standing("e", "e/1", False, 9.0)
    names.record_standing("c", "c/1", False, 9.0)
    assert names.proposal(9.0) == ("c/1", "e/1")


class AllocatorFixture:
    """A grant allocator with a settable view of one budget."""

    def __init__(self, view: BudgetTotals | None) -> None:
        self.view = view
        self.numbers = iter(range(1000))
        self.allocator = GrantAllocator(
            "router-1/a",
            lambda budget: self.view,
            lambda budget: DrawSizing(0.5, 2),
            lambda: ["router-2"],
            lambda: f"op-{next(self.numbers)}",
        )

    def want(self, tokens: int, now: float = 0.0) -> list[events.Action]:
        """Request tokens with a deadline in ten seconds."""
        return self.allocator.handle(events.Wanted("r", "b", tokens, now + 10.0), now)


def names_of(actions: list[events.Action]) -> list[str]:
    """Return the class names of actions."""
    return [type(action).__name__ for action in actions]


def test_cold_budget_waits_for_its_draw_and_unknown_one_is_bounded() -> None:
    """The first request draws what it needs and waits no longer than its deadline."""
    book = AllocatorFixture(None)
    draw = book.want(60)[0]
    assert isinstance(draw, events.Draw)
    assert (draw.needed, draw.tokens) == (60, 60)
    asked = book.allocator.handle(events.Tick(), 1.0)
    assert names_of(asked) == ["Ask"]
    assert names_of(book.allocator.handle(events.Tick(), 1.9)) == []
    assert names_of(book.allocator.handle(events.Tick(), 10.0)) == ["Refuse"]


def test_refusal_needs_evidence_and_top_up_wakes() -> None:
    """Tokens of others are called back; only billed tokens refuse; a top-up serves."""
    book = AllocatorFixture(BudgetTotals(100, 0, 0, {"router-2/b+0": 100}))
    assert names_of(book.want(60)) == ["Ask"]
    answered = events.Answered("b", "router-2/b+0", 0, 0)
    assert "Refuse" not in names_of(book.allocator.handle(answered, 0.1))
    book.view = BudgetTotals(160, 100, 60, {})
    draw = book.allocator.handle(events.Changed("b"), 0.2)[0]
    assert isinstance(draw, events.Draw)
    granted = events.Granted(draw.op, draw.holder, "b", 60, 0)
    assert names_of(book.allocator.handle(granted, 0.3)) == ["Serve"]
    book.view = BudgetTotals(160, 101, 0, {})
    book.allocator.handle(events.Ended("r", 60, True), 0.4)
    refusal = book.want(60, 0.5)[0]
    assert isinstance(refusal, events.Refuse) and refusal.exhausted


def test_hand_over_names_its_origin_and_counts_once() -> None:
    """Tokens from a hand-over are passed on with the record of that hand-over."""
    book = AllocatorFixture(BudgetTotals(100, 0, 0, {"router-2/b+0": 100}))
    book.want(60)
    came = Transfer("t", "b", "router-2/b+0", book.allocator.holder, 80)
    received = events.Received((came,))
    assert names_of(book.allocator.handle(received, 0.1)) == ["Append", "Serve"]
    assert names_of(book.allocator.handle(received, 0.1)) == []
    assert names_of(book.allocator.handle(events.Transferred(came), 0.1)) == []
    book.allocator.balances_by_budget["b"].unlogged_transfers_by_op[came.op] = came
    asked = events.Asked("b", "router-3/c+0", 10, 1)
    handed = book.allocator.handle(asked, 0.2)[0]
    assert isinstance(handed, events.HandOver)
    assert [transfer.op for transfer in handed.transfers][0] == "t"
    assert handed.last.tokens <= 20
    undone = events.Undone(handed.last.op)
    for _ in range(2):
        book.allocator.handle(undone, 0.3)
        assert book.allocator.balances_by_budget["b"].witnessed.idle == 20


def test_rest_of_a_settled_request_pays_for_the_next() -> None:
    """A witness learns a request's final amount before its unused tokens are spent."""
    announcements = Announcements()
    announcements.set_holder(HOLDER, (NAMES[0],))
    first = announcements.announce(INTENT)[0]
    assert isinstance(first, SendAnnouncement)
    announcements.acked(first.message)
    announcements.settle(OpenIntent("r", "b", 10))
    second = announcements.announce(OpenIntent("s", "b", 40))[0]
    assert isinstance(second, SendAnnouncement)
    witness = Witness(NAMES[0])
    for tell in (first, second):
        assert witness.announce(tell.message, 0.0)
    held = witness.watched_by_holder[HOLDER].intents_by_request
    assert {name: intent.tokens for name, intent in held.items()} == {"r": 10, "s": 40}


def test_an_intent_of_an_old_holder_stays_with_it() -> None:
    """A request of a former holder is not announced under the new holder's name."""
    announcements = Announcements()
    announcements.set_holder(HOLDER, (NAMES[0],))
    first = announcements.announce(INTENT)[0]
    assert isinstance(first, SendAnnouncement)
    announcements.acked(first.message)
    announcements.set_holder("router-1/a+2", (NAMES[0],))
    announcements.settle(OpenIntent("r", "b", 10))
    assert announcements.flush() == []
