"""Shares of slots: max-min fair over workspaces, wherever their requests enter."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitrudder.connection.shares import (
    RunnerInFlight,
    ShareAnswer,
    ShareReport,
    WorkspaceDemand,
)
from godwitrudder.request.share import STALE_PERIODS, ShareAggregator, water_level

SPLITS = [
    ("room for all", {"r": {"a": 3}, "s": {"b": 3}}, 12.0, {"r": 6.0, "s": 6.0}),
    ("one entry each", {"r": {"a": 90}, "s": {"b": 9}}, 12.0, {"r": 5.82, "s": 5.82}),
    (
        "one enters everywhere",
        {"r": {"a": 50, "b": 20}, "s": {"a": 50}},
        12.0,
        {"r": 8.73, "s": 2.91},
    ),
    ("small demand first", {"r": {"a": 90}, "s": {"b": 2}}, 12.0, {"r": 7, "s": 2}),
]


def report(
    book: ShareAggregator, router: str, needs: dict[str, int], now: float = 0.0
) -> ShareAnswer:
    """Send a full report to an aggregator with 12 slots and two routers."""
    rows = tuple(
        WorkspaceDemand(workspace, demand) for workspace, demand in needs.items()
    )
    return book.take(ShareReport("t", router, 0, rows), 12.0, {}, 2, now)


@pytest.mark.parametrize(("name", "needs_by_router", "slots", "expected"), SPLITS)
def test_split(
    name: str,
    needs_by_router: dict[str, dict[str, int]],
    slots: float,
    expected: dict[str, float],
) -> None:
    """Each router gets the sum of its workspaces' slots; some slots stay free."""
    book = ShareAggregator()
    for now in (0.0, 0.1):
        answers = {
            router: report(book, router, needs, now)
            for router, needs in needs_by_router.items()
        }
    for router, share in expected.items():
        assert answers[router].slots == pytest.approx(share, abs=0.02)


def test_a_router_that_fell_silent_holds_no_slots() -> None:
    """The demand of such a router expires; the other routers get its slots."""
    book = ShareAggregator()
    report(book, "r", {"a": 90})
    assert report(book, "s", {"b": 90}, 0.1).slots == pytest.approx(5.82)
    assert report(book, "s", {"b": 90}, 1.0 + STALE_PERIODS).slots == pytest.approx(
        11.64
    )


def test_a_missed_report_is_asked_for_whole() -> None:
    """After a gap in the report numbers, the aggregator asks for a full report."""
    book = ShareAggregator()
    report(book, "r", {"a": 1})
    gap = ShareReport("t", "r", 2, (WorkspaceDemand("a", 5),))
    assert book.take(gap, 12.0, {}, 2, 0.1).whole


def test_slow_units_get_more_slots() -> None:
    """Workspaces get equal request rates although the requests of one take longer."""
    book = ShareAggregator()
    needs = (WorkspaceDemand("a", 90, 10, 10.0), WorkspaceDemand("b", 90, 10, 30.0))
    book.take(ShareReport("t", "r", 0, needs), 12.0, {}, 2, 0.0)
    answer = book.take(ShareReport("t", "r", 1), 12.0, {}, 2, 0.1)
    loads = {held.workspace: held.load for held in answer.held}
    assert loads["a"] == pytest.approx(3 * loads["b"], rel=0.01)


def test_others_work_is_told() -> None:
    """An answer has the other routers' requests in flight and the leaving runners."""
    book = ShareAggregator()
    flights = (RunnerInFlight("e", 3),)
    one = ShareReport("t", "r", 0, (WorkspaceDemand("a", 1),), flights, ("e",))
    book.take(one, 12.0, {}, 2, 0.0)
    two = ShareReport(
        "t", "s", 0, (WorkspaceDemand("a", 1),), (RunnerInFlight("e", 2),)
    )
    answer = book.take(two, 12.0, {}, 2, 0.1)
    assert answer.flights == flights
    assert answer.leaving == ("e",)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.lists(st.tuples(st.integers(1, 50), st.sampled_from([0.5, 1.0, 2.0]))),
    st.integers(1, 60),
)
def test_the_level_fills_the_slots(
    demands: list[tuple[int, float]], slots: int
) -> None:
    """All slots are used, or all demand is met; nothing is used twice."""
    level = water_level(((float(d), w) for d, w in demands), slots)
    used = sum(min(demand, level * weight) for demand, weight in demands)
    assert used == pytest.approx(min(slots, sum(demand for demand, _ in demands)))
