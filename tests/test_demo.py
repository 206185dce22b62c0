"""The demo: callers' answers and the ledger agree, in one process."""

from __future__ import annotations

from bench import demo


def test_the_ledger_agrees_with_the_callers() -> None:
    """Every answer is complete, the transfer ran once, and bills match the answers."""
    assert demo.main() == 0
