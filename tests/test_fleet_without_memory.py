"""All hosts restart while the store comes back from an older copy: nobody remembers."""

from __future__ import annotations

from typing import Any

import pytest

from godwitrudder import codec
from godwitrudder.request.ceiling import CEILING_SECONDS, Ceilings, floor
from godwitrudder.request.holding import Policy
from godwitrudder.request.host_holdings import HostHoldings
from godwitrudder.request.stored_statements import LATE_APPENDS
from godwitrudder.version.statements import CeilingRecord, Row, Statement

PREPAID = 100_000_000
LIMITS = {"h0": 1_000_000, "h1": 2_000_000, "h2": 0}
READ_TO = 40


def copied(limit: int, ceiling: int, **more: Any) -> Statement:
    """Return a statement of era 0, as it stands in the copy."""
    raised = ceiling != floor(PREPAID)
    row = Row(limit, limit, ceiling=ceiling, raised=raised)
    fields: dict[str, Any] = {
        "read_to": READ_TO,
        "ceilings": CeilingRecord(read_sent=98.0),
        **more,
    }
    return Statement(1, 100.0, 0.0, {"w": row}, **fields)


def put(holdings: HostHoldings, host: str, statement: Statement) -> None:
    problem = holdings.apply_statement(host, codec.encode(statement), 110.0)
    assert problem is None


def started(host: str, ceiling: int = floor(PREPAID), **more: Any) -> HostHoldings:
    """Return the holdings of a process that has read the copy in era 1."""
    holdings = HostHoldings(host, Policy())
    holdings.configure({"w": PREPAID})
    holdings.statements.era = 1
    for name, limit in LIMITS.items():
        put(holdings, name, copied(limit, ceiling, **more))
    holdings.stored_statements.note_read(1, READ_TO)
    assert holdings.needs_bound
    return holdings


def counted(holdings: HostHoldings) -> int:
    """Return what a host counts as spent by all hosts."""
    totals = holdings.statements.totals_excluding(holdings.host, "w")
    return totals.limit + holdings.holding("w").spent


def test_a_fleet_that_nobody_remembers_has_spent_no_more_than_its_ceiling() -> None:
    """RECOVER: every request got 402, with less than 0.1% of the budget spent."""
    holdings = started("h0")
    assert holdings.bound_by_ceilings(110.0, 0.0)
    assert not holdings.needs_bound
    holdings.recover(111.0, 0.0)
    assert holdings.holding("w").spent == LIMITS["h0"]
    assert counted(holdings) == floor(PREPAID)


def test_a_raised_ceiling_counts_as_spent() -> None:
    """BUDGET: what is found again must not have been spent."""
    record = CeilingRecord({"w": 60_000_000}, read_sent=98.0)
    holdings = started("h0", ceiling=50_000_000, ceilings=record)
    assert holdings.bound_by_ceilings(110.0, 0.0)
    assert counted(holdings) + LIMITS["h0"] == 60_000_000


@pytest.mark.parametrize(
    ("answered_at", "end", "booted", "more"),
    [
        (98.0 + CEILING_SECONDS + 0.1, READ_TO, 0.0, {}),
        (110.0, READ_TO - 1, 0.0, {}),
        (110.0, READ_TO, 5.0, {}),
        (110.0, READ_TO, 0.0, {"ceilings": CeilingRecord()}),
        (110.0, READ_TO, 0.0, {"era": -1}),
        (110.0, READ_TO, 0.0, {"ceilings": None}),
    ],
    ids=[
        "old",
        "short log",
        "rebooted",
        "no earlier statement",
        "two restores",
        "no ceilings",
    ],
)
def test_a_copy_that_is_not_shown_to_be_young_bounds_nothing(
    answered_at: float, end: int, booted: float, more: dict[str, Any]
) -> None:
    """BUDGET: the copy may lack a ceiling that was in force."""
    holdings = started("h0", **more)
    holdings.stored_statements.era_end = end
    assert not holdings.bound_by_ceilings(answered_at, booted)
    holdings.recover(111.0, booted)
    assert holdings.holding("w").spent == PREPAID


def test_what_is_not_lost_is_granted_at_once() -> None:
    """RECOVER: a raise would have been in force only 20 s later."""
    holdings = started("h0")
    assert holdings.bound_by_ceilings(110.0, 0.0)
    holdings.recover(111.0, 0.0)
    lost = counted(holdings) - sum(LIMITS.values())
    assert holdings.ceiling("w") == floor(PREPAID, lost) > counted(holdings)
    put(holdings, "h1", copied(LIMITS["h1"], 50_000_000))
    assert holdings.ceiling("w") == floor(PREPAID, lost)


def test_a_host_takes_over_what_another_one_found_to_be_lost() -> None:
    """BUDGET: it has been granted tokens since, so the sum is no longer in the copy."""
    first, second = started("h0"), started("h1")
    assert first.bound_by_ceilings(110.0, 0.0)
    first.recover(111.0, 0.0)
    statement = first.statement(111.0, 0.0, 2**20)
    assert statement is not None
    row = Row(4_000_000, 4_000_000, ceiling=floor(PREPAID, 17_000_000))
    stated = Statement(
        2**20, 111.0, 0.0, {"w": row}, era=1, lost=statement.lost, read_to=41
    )
    put(second, "h0", stated)
    assert second.bound_by_ceilings(112.0, 5.0)
    second.recover(113.0, 0.0)
    assert counted(second) == floor(PREPAID) + 4_000_000 - LIMITS["h0"]


@pytest.mark.parametrize(("era_end", "bounded"), [(READ_TO, True), (30, False)])
def test_hosts_may_have_stated_again_before_they_died(
    era_end: int, bounded: bool
) -> None:
    """RECOVER: the kill came just after the store was back, so one had stated again.

    BUDGET: what it has appended makes the log no proof of the copy's age.
    """
    holdings = started("h0")
    again = copied(
        5_000_000, 70_000_000, era=1, ceilings=CeilingRecord(era_end=era_end)
    )
    put(holdings, "h1", again)
    assert holdings.bound_by_ceilings(110.0, 0.0) is bounded
    if bounded:
        assert counted(holdings) + LIMITS["h0"] == 70_000_000
        assert holdings.ceiling("w") == floor(PREPAID, 64_000_000)


def test_a_statement_names_an_earlier_one_below_those_that_may_come_late() -> None:
    holdings = HostHoldings("h0", Policy())
    holdings.configure({"w": PREPAID})
    named: list[float | None] = []
    for number in range(6):
        now = 10.0 + number
        statement = holdings.statement(now, 0.0, 1)
        assert statement is not None
        assert statement.ceilings is not None
        named.append(statement.ceilings.read_sent)
        holdings.statement_sent(statement)
        holdings.begin_read(now)
        holdings.apply_statement("h0", codec.encode(statement), now)
        holdings.statement_stored(statement, number + 1)
        holdings.apply_read(number + 1, now)
        holdings.record_demand("w", 1000 + 900 * number, now)
    assert LATE_APPENDS == 1
    assert named == [None, None, 10.0, 11.0, 12.0, 13.0]


def test_a_raise_is_in_force_for_reads_that_begin_long_after_it_was_read() -> None:
    ceilings = Ceilings()
    assert ceilings.in_force("w", PREPAID) == floor(PREPAID)
    raises = CeilingRecord({"w": 40_000})
    ceilings.read(copied(0, floor(PREPAID), ceilings=raises), 10.0)
    ceilings.begin_read(10.0 + CEILING_SECONDS - 0.1)
    ceilings.end_read()
    assert ceilings.in_force("w", PREPAID) == floor(PREPAID)
    ceilings.begin_read(10.0 + CEILING_SECONDS)
    assert ceilings.in_force("w", PREPAID) == floor(PREPAID)
    ceilings.end_read()
    assert ceilings.in_force("w", PREPAID) == 40_000
    assert ceilings.in_force("w", 30_000) == 30_000


def test_a_raise_that_the_store_may_have_lost_never_comes_into_force() -> None:
    ceilings = Ceilings()
    raises = CeilingRecord({"w": 40_000})
    ceilings.read(copied(0, floor(PREPAID), ceilings=raises), 10.0)
    ceilings.begin_era()
    ceilings.begin_read(100.0)
    ceilings.end_read()
    assert ceilings.in_force("w", PREPAID) == floor(PREPAID)


def test_a_raised_ceiling_voids_the_floor() -> None:
    """Of a large budget little is lost."""
    ceilings = Ceilings()
    ceilings.read(copied(0, 40_000), 10.0)
    assert ceilings.in_force("w", PREPAID) == 40_000
    ceilings.read(copied(0, 30_000), 11.0)
    assert ceilings.in_force("w", PREPAID) == 40_000


def test_a_ceiling_is_raised_long_before_the_demand_reaches_it() -> None:
    ceilings = Ceilings()
    ceilings.plan("w", 0, 0.0)
    assert not ceilings.own_raises
    ceilings.plan("w", 10_000, 1_000.0)
    assert ceilings.own_raises == {"w": 410_000}
    ceilings.plan("w", 110_000, 1_000.0)
    assert ceilings.own_raises == {"w": 410_000}
    ceilings.plan("w", 111_000, 1_000.0)
    assert ceilings.own_raises == {"w": 511_000}
