"""Tests of runners that report that they leave, and of counts of others' requests."""

from __future__ import annotations

from bench.loopback import IP
from godwitrudder.clock import SystemClock
from godwitrudder.connection.runner import Broken, RunnerLinks
from godwitrudder.connection.shares import ShareAnswer
from godwitrudder.request.answer import Prompt
from godwitrudder.request.choice import Runner
from godwitrudder.request.runner_selector import apply_share_answer
from godwitrudder.validation import Address
from standins.engine import Engine

ADDRESS = Address(IP, 8710)


def test_a_leaving_engine_took_nothing() -> None:
    """The refusal of a leaving engine counts as a request that was not sent."""
    prompt = Prompt(({"role": "user", "content": "pot"},), "m", 4, 0.0)
    engine = Engine(ADDRESS)
    engine.leaving = True
    with engine, RunnerLinks(SystemClock()) as links:
        events = list(links.start(ADDRESS, "a", prompt, 0))
    assert len(events) == 1
    assert isinstance(events[0], Broken)
    assert events[0].leaving and not events[0].sent


def test_a_complete_share_answer_confirms_omitted_counts() -> None:
    """An answer with all changes confirms the counts that it omits.

    If it answers a full report, counts that it omits are zero.
    """
    runner = Runner("a", "t", ADDRESS, "home")
    runner.reported_others = 3
    apply_share_answer([runner], ShareAnswer(False, current=True), False, 5.0)
    assert (runner.others, runner.others_at) == (3.0, 5.0)
    apply_share_answer([runner], ShareAnswer(False, current=True), True, 6.0)
    assert (runner.others, runner.others_at) == (0.0, 6.0)
