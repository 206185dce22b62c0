"""The whole path in one process: answers and ledger agree."""

from __future__ import annotations

from bench import demo


def test_the_ledger_agrees_with_the_callers() -> None:
    """Every answer is whole, the second transfer never ran, bills match."""
    assert demo.main() == 0
