"""The decisions of seven routers together: equal turns, and a runner that dies."""

from __future__ import annotations

import pytest

from bench import measure_runners, measure_turns
from bench.report import Row


@pytest.mark.parametrize("entry", ["one", "all"])
def test_equal_turns_beside_twenty_times_the_demand(entry: str) -> None:
    """It doesn't matter by how many routers the large workspace enters."""
    rows: list[Row] = list(measure_turns._fairness("fleet", entry))
    assert [row.line() for row in rows if not row.ok] == []


@pytest.mark.parametrize("fault", ["silent", "dead"])
def test_no_request_fails_with_a_runner(fault: str) -> None:
    """Requests that may be repeated go on at another runner."""
    ill = measure_runners.FAULTS[fault]
    rows: list[Row] = list(measure_runners._fault(fault, ill, "fleet"))
    assert [row.line() for row in rows if not row.ok] == []
