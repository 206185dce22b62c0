"""The turn queue: order, fairness, charges and memory."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitrudder.request.turn import Ticket, TurnQueue

FAR = 1e9


def push(queue: TurnQueue, name: str, cost: float = 1.0, weight: float = 1.0) -> Ticket:
    """Queue a request named ``workspace/number``."""
    ticket = Ticket(name, name.partition("/")[0], cost, FAR)
    queue.push(ticket, weight, 0.0)
    return ticket


def serve(queue: TurnQueue, turns: int) -> Counter[str]:
    """Start and end some requests; return their count by workspace."""
    counts: Counter[str] = Counter()
    for _ in range(turns):
        ticket = queue.pop(0.0)
        assert ticket is not None
        queue.end(ticket, ticket.cost)
        counts[ticket.workspace] += 1
    return counts


SHARES = [
    ("equal demand", {"a": 1.0, "b": 1.0}, {}, {"a": 10, "b": 10}),
    ("weights", {"a": 3.0, "b": 1.0}, {}, {"a": 15, "b": 5}),
    ("held over the fleet", {"a": 1.0, "b": 1.0}, {"a": 0.25}, {"a": 4, "b": 16}),
]


@pytest.mark.parametrize(("name", "weights", "fractions", "expected"), SHARES)
def test_shares(
    name: str,
    weights: dict[str, float],
    fractions: dict[str, float],
    expected: dict[str, int],
) -> None:
    """Backlogged workspaces are served by weight, whichever came first."""
    queue = TurnQueue()
    queue.fraction_by_workspace = fractions
    for workspace, weight in weights.items():
        for number in range(40):
            push(queue, f"{workspace}/{number}", weight=weight)
    assert serve(queue, 20) == expected


def test_an_idle_workspace_gets_no_credit() -> None:
    """A new workspace is served from now on and gets no credit for the past."""
    queue = TurnQueue()
    for number in range(100):
        push(queue, f"a/{number}")
    serve(queue, 50)
    for number in range(20):
        push(queue, f"b/{number}")
    counts = serve(queue, 10)
    assert counts["a"] >= 4


def test_the_true_cost_is_charged() -> None:
    """A workspace whose request cost ten times the estimate waits that much longer."""
    queue = TurnQueue()
    for number in range(20):
        push(queue, f"a/{number}")
        push(queue, f"b/{number}")
    first = queue.pop(0.0)
    assert first is not None
    queue.end(first, 10.0)
    counts = serve(queue, 10)
    assert counts["b"] >= 9


def test_light_work_only() -> None:
    """A workspace limited to its share is skipped if only others may start."""
    queue = TurnQueue()
    queue.fraction_by_workspace = {"held": 0.5}
    push(queue, "held/1")
    push(queue, "a/1")
    first = queue.pop(0.0, light_only=True)
    assert first is not None and first.request == "a/1"
    assert queue.pop(0.0, light_only=True) is None


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.sampled_from(["push", "pop", "cancel", "expire"]), max_size=80))
def test_memory_is_bounded_by_what_is_queued_or_running(steps: list[str]) -> None:
    """Cancelled and expired requests leave nothing behind."""
    queue = TurnQueue()
    waiting: list[Ticket] = []
    running: list[Ticket] = []
    for number, step in enumerate(steps):
        if step == "push":
            waiting.append(push(queue, f"{number % 5}/{number}", cost=1 + number % 3))
        elif step == "cancel" and waiting:
            assert queue.cancel(waiting.pop())
        elif step == "expire" and waiting:
            waiting[0].deadline = -1.0
        elif step == "pop":
            ticket = queue.pop(0.0)
            waiting = [one for one in waiting if queue.queued(one.workspace)]
            if ticket is not None:
                running.append(ticket)
        waiting = [
            one
            for one in waiting
            if one.request
            in queue.backlogs_by_workspace[one.workspace].tickets_by_request
        ]
        assert len(queue) == len(waiting)
    for ticket in waiting:
        queue.cancel(ticket)
    for ticket in running:
        queue.end(ticket, ticket.cost)
    assert not queue.backlogs_by_workspace
