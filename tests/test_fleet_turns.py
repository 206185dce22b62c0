"""Decisions of seven routers together: fair turns, and the failure of a runner."""

from __future__ import annotations

import pytest

from bench import measure_runners, measure_turns
from bench.report import Row


@pytest.mark.parametrize("entry", ["one", "all"])
def test_equal_turns_beside_twenty_times_the_demand(entry: str) -> None:
    """The number of routers that the large workspace enters makes no difference."""
    rows: list[Row] = list(measure_turns._fairness("fleet", entry))
    assert [row.line() for row in rows if not row.ok] == []


@pytest.mark.parametrize("fault", ["silent", "dead"])
def test_no_request_fails_with_a_runner(fault: str) -> None:
    """Repeatable requests continue at another runner."""
    apply_fault = measure_runners.FAULTS[fault]
    rows: list[Row] = list(measure_runners._fault(fault, apply_fault, "fleet"))
    assert [row.line() for row in rows if not row.ok] == []
