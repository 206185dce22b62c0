"""Void rules of the ledger fold, as data."""

from __future__ import annotations

import pytest

from godwitrudder.version import records
from godwitrudder.version.fold import Applied, LedgerFold, Void, Voided
from godwitrudder.version.records import Entry

BASE = records.Base("b", 100, 1)
GRANT = records.Grant("g", "b", "i", 60, 0, ("w",))

CASES: list[tuple[str, list[Entry], int | str]] = [
    ("grant trimmed", [BASE, records.Grant("g", "b", "i", 500)], 100),
    ("nothing free", [BASE, GRANT, records.Grant("h", "b", "j", 50)], 40),
    ("same operation", [BASE, GRANT, GRANT], Void.REPEATED),
    ("bill beyond holding", [BASE, GRANT, records.Bill("r", "b", "i", 61)], "not_held"),
    (
        "bill twice",
        [BASE, GRANT, records.Bill("r", "b", "i", 5), records.Bill("r", "b", "i", 5)],
        "repeated",
    ),
    ("base below grants", [BASE, GRANT, records.Base("b", 50, 2)], "below_committed"),
    ("older document", [BASE, records.Base("b", 500, 0)], Void.STALE),
    (
        "closing keeps open intents",
        [BASE, GRANT, records.Closing("c", "i", "w", (records.Intent("r", "b", 20),))],
        40,
    ),
]


@pytest.mark.parametrize(("name", "entries", "expected"), CASES)
def test_last_record(name: str, entries: list[Entry], expected: int | str) -> None:
    """The last record of a list does what the case says."""
    fold = LedgerFold()
    effects = fold.apply(0, 0.0, records.encode_batch("w", entries))
    last = effects[-1]
    if isinstance(last, Applied):
        assert last.tokens == expected
    else:
        assert isinstance(last, Voided)
        assert last.reason == expected
    for budget in fold.budgets_by_id.values():
        assert budget.billed + budget.open <= budget.paid
