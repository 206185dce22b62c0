"""The turn gate: a slot is returned exactly once, however a wait or a turn ends."""

from __future__ import annotations

import gevent
import pytest
from gevent import Greenlet
from gevent.event import Event

from godwitrudder.clock import SystemClock
from godwitrudder.connection.shares import LimitedWorkspace, ShareAnswer
from godwitrudder.process.gate import Turn, TurnGate
from godwitrudder.request.outcome import Reason, Refused
from godwitrudder.version.document import TurnModel

RULES = TurnModel(unit="requests", deadline_seconds=60.0)


class Caller:
    """A greenlet that waits for a turn and holds it until ``done`` is set."""

    def __init__(self, gate: TurnGate, name: str, rules: TurnModel = RULES) -> None:
        self.done = Event()
        self.result: Turn | Refused | None = None
        self.task: Greenlet = gevent.spawn(self._run, gate, name, rules)
        gevent.idle()

    def _run(self, gate: TurnGate, name: str, rules: TurnModel) -> None:
        with gate.turn(name, name[0], 1.0, rules) as self.result:
            if isinstance(self.result, Turn):
                self.done.wait()


@pytest.fixture
def gate() -> TurnGate:
    """Return a gate with one slot, where workspace ``a`` is limited to its share."""
    gate = TurnGate("t", SystemClock())
    gate.apply_shares(ShareAnswer(False, 1.0, 1.0, (LimitedWorkspace("a", 1.0, 2.0),)))
    return gate


def test_a_killed_waiter_leaves_the_queue(gate: TurnGate) -> None:
    """A caller that disconnects while it waits is removed from the queue."""
    first = Caller(gate, "a1")
    waiter = Caller(gate, "a2")
    waiter.task.kill()
    assert len(gate.slots.queue) == 0
    first.done.set()
    gevent.idle()
    assert gate.slots.running == 0


def test_a_waiter_killed_as_its_turn_comes_gives_the_slot_back(gate: TurnGate) -> None:
    """The next waiter gets the slot, though the killed one never ran."""
    first = Caller(gate, "a1")
    killed = Caller(gate, "a2")
    last = Caller(gate, "a3")
    first.done.set()
    first.task.join()
    assert gate.slots.running == 1
    killed.task.kill()
    gevent.idle()
    assert isinstance(last.result, Turn)
    assert gate.slots.running == 1


def test_a_turn_that_comes_at_the_deadline_is_a_turn(gate: TurnGate) -> None:
    """A request gets either a turn or a refusal at its deadline, never both."""
    first = Caller(gate, "a1")
    rules = TurnModel(unit="requests", deadline_seconds=0.01)
    late = [Caller(gate, f"a{number}", rules) for number in range(2, 8)]
    gevent.sleep(0.01)
    first.done.set()
    gevent.joinall([caller.task for caller in late], timeout=0.05)
    turns = [caller for caller in late if isinstance(caller.result, Turn)]
    assert gate.slots.running == len([one for one in turns if not one.task.dead])
    for caller in turns:
        caller.done.set()
    gevent.joinall([caller.task for caller in late])
    assert gate.slots.running == 0
    assert len(gate.slots.queue) == 0


def test_an_expired_request_has_left_the_queue(gate: TurnGate) -> None:
    """The request has left the queue when the caller gets the refusal."""
    Caller(gate, "a1")
    rules = TurnModel(unit="requests", deadline_seconds=0.01)
    with gate.turn("a2", "a", 1.0, rules) as got:
        assert isinstance(got, Refused) and got.reason is Reason.DEADLINE
        assert len(gate.slots.queue) == 0


def test_a_full_queue_refuses_at_once(gate: TurnGate) -> None:
    """The refusal comes before the deadline and carries a retry delay."""
    rules = TurnModel(unit="requests", deadline_seconds=60.0, queue_limit=1)
    Caller(gate, "a1", rules)
    Caller(gate, "a2", rules)
    with gate.turn("a3", "a", 1.0, rules) as got:
        assert isinstance(got, Refused) and got.reason is Reason.OVERLOADED
        assert got.retry_after is not None


def test_short_work_passes_long_work(gate: TurnGate) -> None:
    """A workspace below its share need not wait for another's requests to end."""
    Caller(gate, "a1")
    Caller(gate, "a2")
    short = Caller(gate, "b1")
    assert isinstance(short.result, Turn)


def test_a_held_workspace_gets_a_higher_number(gate: TurnGate) -> None:
    """The priority at the engine is the demand in multiples of the share."""
    gate.apply_shares(ShareAnswer(False, 4.0, 2.0, (LimitedWorkspace("a", 0.5, 6.0),)))
    held, light = Caller(gate, "a1"), Caller(gate, "b1")
    assert isinstance(held.result, Turn) and isinstance(light.result, Turn)
    assert light.result.priority < held.result.priority == 6.0
