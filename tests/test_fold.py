"""Rules of the ledger fold, as a table of records and the effect of the last one."""

from __future__ import annotations

import pytest

from godwitrudder.version import records
from godwitrudder.version.fold import Applied, LedgerFold, Void, Voided
from godwitrudder.version.records import Entry

BASE = records.Base("b", 100, 1)
GRANT = records.Grant("g", "b", "i", 60, 0, ("w",))

OTHER = records.Grant("h", "b", "j", 5)
MOST = records.Grant("h", "b", "j", 500)
BACK = records.Return("x", "b", "i", 55)
LOWERED: list[Entry] = [BASE, GRANT, records.Base("b", 50, 2)]
INTENT = records.Intent("r", "b", 20)
BILL = records.Bill("r", "b", "i", 15)
CLOSED: list[Entry] = [
    BASE,
    records.Base("c", 100, 1),
    records.Grant("g", "b", "i", 60, 10, ("w",)),
    records.Closing("c", "i", "w", (INTENT,)),
]
NEW = records.Witnesses("n", "i", 2, ("x",))
OLD = records.Witnesses("o", "i", 1, ("w",))
GRANTED = records.Grant("j", "b", "j", 5)
MOVE = records.Handover("m", "b", "i", "j", 25)
MOVE_MOST = records.Handover("m", "b", "i", "j", 61)
LISTED = records.Intent("m", "b", 30)
CLOSE_J = records.Closing("z", "j", "w", ())
SHARE = ("b", "j", 60, 0, (), 0)
CLAIM = records.Claim("r", "i", "f")
RESULT = records.Result("r", 200, b"x")


def closing(witness: str, intents: tuple[records.Intent, ...]) -> list[Entry]:
    """Return a closing of the incarnation ``i``, in a list."""
    return [records.Closing("c", "i", witness, intents)]


CASES: list[tuple[str, list[Entry], int | str]] = [
    ("grant limited to free tokens", [BASE, records.Grant("g", "b", "i", 500)], 100),
    (
        "grant of the remaining tokens",
        [BASE, GRANT, records.Grant("h", "b", "j", 50)],
        40,
    ),
    ("same operation", [BASE, GRANT, GRANT], Void.REPEATED),
    ("bill beyond holding", [BASE, GRANT, records.Bill("r", "b", "i", 61)], "not_held"),
    (
        "bill twice",
        [BASE, GRANT, records.Bill("r", "b", "i", 5), records.Bill("r", "b", "i", 5)],
        "repeated",
    ),
    ("base below grants", [BASE, GRANT, records.Base("b", 50, 2)], 60),
    ("nothing granted over a lowered base", [*LOWERED, OTHER], "nothing_free"),
    ("base follows a return", [*LOWERED, BACK, MOST], 45),
    ("older document", [BASE, records.Base("b", 500, 0)], Void.STALE),
    (
        "closing keeps open intents",
        [BASE, GRANT, records.Closing("c", "i", "w", (records.Intent("r", "b", 20),))],
        40,
    ),
    (
        "operation ids differ by type",
        [BASE, GRANT, records.Return("g", "b", "i", 9)],
        9,
    ),
    ("bill of a listed intent", [*CLOSED, records.Bill("r", "b", "i", 15)], 15),
    ("bill beyond its intent", [*CLOSED, records.Bill("r", "b", "i", 25)], 20),
    ("bill of no listed intent", [*CLOSED, records.Bill("s", "b", "i", 5)], "not_held"),
    ("isolated bill", [*CLOSED, records.Bill("s", "b", "i", 5, True)], 5),
    (
        "isolated beyond share",
        [*CLOSED, records.Bill("s", "b", "i", 11, True)],
        "not_held",
    ),
    ("grant after closing", [*CLOSED, records.Grant("h", "b", "i", 5)], "closed"),
    ("grant of another budget", [*CLOSED, records.Grant("h", "c", "i", 5)], "closed"),
    ("return after closing", [*CLOSED, records.Return("x", "b", "i", 5)], "closed"),
    ("isolated return", [*CLOSED, records.Return("x", "b", "i", 5, 5)], 5),
    (
        "return beyond holding",
        [BASE, GRANT, records.Return("x", "b", "i", 61)],
        "not_held",
    ),
    ("second closing", [*CLOSED, records.Closing("d", "i", "w", ())], "closed"),
    ("closing by a non-witness", [BASE, GRANT, *closing("x", ())], "not_a_witness"),
    (
        "closing by a former witness",
        [BASE, GRANT, NEW, *closing("w", ())],
        "not_a_witness",
    ),
    ("closing by a new witness", [BASE, GRANT, NEW, *closing("x", ())], 60),
    ("older witness set", [BASE, GRANT, NEW, OLD], "stale"),
    ("bill before closing", [BASE, GRANT, BILL, *closing("w", (INTENT,))], 45),
    ("hand-over", [BASE, GRANT, MOVE, records.Bill("r", "b", "j", 25)], 25),
    ("hand-over beyond holding", [BASE, GRANT, GRANTED, MOVE_MOST], "not_held"),
    ("hand-over listed", [BASE, GRANT, *closing("w", (LISTED,)), MOVE], 25),
    ("hand-over not listed", [BASE, GRANT, *closing("w", ()), MOVE], "not_held"),
    ("hand-over to a closed holder", [BASE, GRANT, CLOSE_J, MOVE], "closed"),
    ("share of what is free", [BASE, records.Grant("g", *SHARE, 0, 250)], 25),
    ("needed beyond its share", [BASE, records.Grant("g", *SHARE, 70, 250)], 70),
    ("open share", [BASE, GRANT, records.Grant("h", *SHARE, 0, 1000, 700)], 10),
    ("answer too large", [CLAIM, records.Result("r", 200, bytes(16385))], "too_large"),
    ("second answer", [CLAIM, RESULT, RESULT], "repeated"),
    ("later claim", [CLAIM, records.Claim("r", "j", "f")], "later_claim"),
]


@pytest.mark.parametrize(("name", "entries", "expected"), CASES)
def test_last_record(name: str, entries: list[Entry], expected: int | str) -> None:
    """The last record has the expected tokens, or is void for the expected reason."""
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
