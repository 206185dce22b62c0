"""Tokens that a host holds ahead, under the load pattern that each bound is for."""

from __future__ import annotations

from dataclasses import replace

import pytest

from godwitrudder import codec
from godwitrudder.request.holding import (
    APPEND_SECONDS,
    APPEND_SHARE,
    Holding,
    Policy,
    interval_seconds,
)
from godwitrudder.version.statement_table import StatementTable, Totals
from godwitrudder.version.statements import UNBOUNDED_TOKENS, Row, Statement, max_spent

POLICY = Policy()


def test_hosts_that_have_seen_nothing_share_what_may_be_held() -> None:
    aim = Holding().tokens_ahead(0.0, 900_000, Totals(hosts=8), POLICY)
    assert aim * 9 == pytest.approx(900_000 * POLICY.first_share, rel=0.01)


def test_less_of_what_is_left_is_held_towards_the_end() -> None:
    early = Holding().tokens_ahead(0.0, 900_000, Totals(hosts=8, cap=100_000), POLICY)
    late = Holding().tokens_ahead(0.0, 900_000, Totals(hosts=8, cap=800_000), POLICY)
    assert late / 100_000 < early / 800_000


def ahead_by_host(seen: int, new: int, idle: int) -> list[int]:
    """Return the tokens ahead of hosts with traffic, just restarted, and idle."""
    holdings = [Holding() for _ in range(seen + new + idle)]
    for index, holding in enumerate(holdings):
        if not seen <= index < seen + new:
            holding.demand.began = 0.0
        for at in range(60 if index < seen else 0):
            holding.demand.record(5000, float(at))
    rows = [(0.0, 0.0)] * len(holdings)
    policy = Policy(horizon_seconds=1e6)
    aims: list[int] = []
    for _ in range(5):
        aims = []
        for index, holding in enumerate(holdings):
            rest = rows[:index] + rows[index + 1 :]
            others = Totals(
                demand=sum(row[0] for row in rest),
                expected=sum(row[1] for row in rest),
                hosts=len(rest),
            )
            rows[index] = (
                holding.demand.per_second(60.0),
                holding.expected(60.0, others),
            )
            aims.append(holding.tokens_ahead(60.0, 900_000, others, policy))
    return aims


@pytest.mark.parametrize("hosts", [(1, 2, 0), (1, 0, 8), (4, 4, 1)])
def test_parts_add_up_though_hosts_have_just_restarted(
    hosts: tuple[int, int, int],
) -> None:
    """In a rolling restart, new hosts took equal parts on top of the measured parts."""
    expected = 900_000 * POLICY.first_share
    assert sum(ahead_by_host(*hosts)) == pytest.approx(expected, rel=0.01)


def test_a_workspace_of_one_host_is_held_there() -> None:
    """Hosts without its callers counted each other's expected demand as traffic."""
    aims = ahead_by_host(1, 0, 8)
    assert aims[0] > 0.5 * sum(aims)


@pytest.mark.parametrize(("held_elsewhere", "yields"), [(0, False), (898_000, True)])
def test_a_host_holds_less_while_another_lacks_tokens(
    held_elsewhere: int, yields: bool
) -> None:
    """Of 58 hosts, one always waits for a statement: all others held only a third."""
    limit = Totals(limit=held_elsewhere, hosts=8)
    calm = Holding().tokens_ahead(0.0, 900_000, limit, POLICY)
    short = Holding().tokens_ahead(
        0.0, 900_000, replace(limit, waiting_tokens=5000), POLICY
    )
    assert (short < calm / 2) == yields


def test_only_what_has_opened_is_spent() -> None:
    """As a cut began, hosts held enough but could spend only the cap for 1.7 s."""
    holding = Holding(granted=1000)
    holding.stated, holding.stated_at = Row(1000, 100, rate=200.0), 5.0
    assert holding.spendable(5.0) == 100
    assert holding.spendable(6.0) == 300
    assert holding.spendable(60.0) == 1000
    assert holding.opens_at(300) == 6.0


def test_a_lower_statement_applies_before_it_is_stored() -> None:
    holding = Holding(granted=1000)
    holding.stated, holding.stated_at = Row(1000, 1000), 5.0
    holding.statement_sent(Row(300, 300), 6.0)
    assert holding.spendable(60.0) == 300


def test_a_grant_is_what_others_leave() -> None:
    holding = Holding()
    holding.statement_sent(Row(500, 500), 0.0)
    holding.statement_stored()
    holding.update_grant(1000, Totals(limit=800))
    assert holding.granted == 200


@pytest.mark.parametrize(
    ("now", "booted", "age", "spent"),
    [
        (11.0, 0.0, None, 300),
        (11.0, 0.0, 0.5, 300),
        (60.0, 0.0, None, 1000),
        (11.0, 50.0, None, 1000),
        (9.0, 0.0, None, 1000),
        (11.0, 50.0, 2.0, 500),
        (9.0, 0.0, 2.0, 500),
        (11.0, 50.0, 60.0, 1000),
    ],
)
def test_a_successor_counts_what_may_be_spent(
    now: float, booted: float, age: float | None, spent: int
) -> None:
    """The next process counts what was spendable; after a reboot a peer bounds the age.

    Without a bound on the age, the whole limit counts as spent.
    """
    statement = Statement(1, 10.0, 0.0, {"w": Row(1000, 100, rate=200.0)})
    row = statement.rows_by_workspace["w"]
    assert max_spent(row, statement, now, booted, age) == spent


def test_a_peer_bounds_the_age_of_a_statement_by_its_readings() -> None:
    """The age of a statement is unknown if it was listed or is the first one seen."""
    book = StatementTable()
    first, second, third = (
        codec.encode(Statement(1, sent, 0.0, {})) for sent in (100.0, 101.0, 102.0)
    )
    book.begin_read(10.0, newest_only=True)
    book.put("h1", first, 10.1)
    book.end_read()
    assert book.max_age("h1", 1, 100.0, 10.2) is None
    book.begin_read(11.0)
    book.put("h1", second, 11.1)
    book.end_read()
    assert book.max_age("h1", 1, 101.0, 11.2) is None
    book.begin_read(12.0)
    book.put("h1", third, 12.1)
    book.end_read()
    assert book.max_age("h1", 1, 102.0, 13.0) == 3.0
    assert book.max_age("h1", 1, 101.0, 13.0) is None
    book.begin_read(13.0)
    book.put("h1", third, 13.1)
    assert book.max_age("h1", 1, 102.0, 14.0) == 4.0


def test_a_statement_that_cannot_be_read_stops_all_grants() -> None:
    """Between two versions, an undecodable statement counted as nothing held."""
    book = StatementTable()
    assert book.put("h1", codec.encode(["other", "format"]), 0.0) is not None
    assert book.totals_excluding("h0", "w").limit == UNBOUNDED_TOKENS
    good = Statement(1, 0.0, 0.0, {"w": Row(10, 5)})
    assert book.put("h1", codec.encode(good), 1.0) is None
    assert book.totals_excluding("h0", "w").limit == 10


@pytest.mark.parametrize("hosts", [6, 9, 58, 81, 350])
def test_statements_take_a_bounded_part_of_the_store(hosts: int) -> None:
    """81 hosts stated every 0.5 s, so requests waited 0.1 s for their own statement."""
    appends_per_second = hosts / interval_seconds(hosts)
    assert appends_per_second * APPEND_SECONDS <= APPEND_SHARE


@pytest.mark.parametrize(("restart", "part"), [(1.6, 0.35), (2.6, 0.5)])
def test_a_killed_process_has_not_opened_what_it_held(
    restart: float, part: float
) -> None:
    """A killed process strands only the part of its holding that was spendable.

    A restart 1.6 s after the predecessor's last statement stranded 654,001 tokens. A
    power loss of a machine stranded 789,233 of 789,233 tokens.
    """
    holding = Holding(granted=700_000)
    holding.demand.began = 0.0
    holding.demand.record(9_000, 0.0)
    row = holding.plan(8.0, 3_000_000, Totals(hosts=5, expected=10_000.0), POLICY)
    statement = Statement(1, 8.0, 0.0, {"w": row})
    assert row.cap < row.limit
    spent = max_spent(row, statement, 8.0 + restart, 0.0)
    assert spent - row.cap <= part * (row.limit - row.cap)


def test_a_host_holds_as_much_as_its_largest_recent_request() -> None:
    """Later requests of that size waited for a statement, or were refused in a cut."""
    others = Totals(hosts=57, expected=5_000_000.0)
    holding = Holding()
    holding.demand.record(12_000, 5.0)
    assert holding.tokens_ahead(6.0, 3_000_000, others, POLICY) == 12_000
    assert holding.tokens_ahead(60.0, 3_000_000, others, POLICY) < 12_000
    assert holding.tokens_ahead(6.0, 300_000, others, POLICY) < 12_000


def test_the_largest_recent_request_is_open_at_once() -> None:
    holding = Holding(granted=14_000)
    holding.demand.record(12_000, 5.0)
    others = Totals(hosts=57, expected=5_000_000.0)
    row = holding.plan(6.0, 3_000_000, others, POLICY)
    assert row.cap - holding.spent == 12_000
