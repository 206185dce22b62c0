"""What the evidence of runner crashes costs a host, however many parts prompts have."""

from __future__ import annotations

import time
from typing import NoReturn

import pytest

from godwitrudder import codec
from godwitrudder.process.quarantine import FleetQuarantine
from godwitrudder.request.crash_evidence import MAX_SUSPECT_PARTS, Crash
from godwitrudder.request.holding import Policy
from godwitrudder.request.host_holdings import HostHoldings
from godwitrudder.request.quarantine import Free, Quarantine, Quarantined
from godwitrudder.request.statement_size import fitted
from godwitrudder.version.statements import Row, RunnerCrash, Statement
from tests.entry_setup import good, run_entry

CRASHES = 40
PARTS = 4_000
"""Parts of the prompts that one runner had not begun to answer."""


def crash(number: int, own: bool = True, began: float = 1000.0) -> Crash:
    """Return a crash whose prompts have parts of their own and one in common."""
    at = began + 2 * number
    parts = [f"{number:04x}{part:08x}" for part in range(PARTS)]
    return Crash(f"i-{number}", at, dict.fromkeys([*parts, "deadly"], at - 0.2), own)


def statement(crashes: list[Crash]) -> Statement:
    """Return another host's statement of some crashes."""
    stated = tuple(
        RunnerCrash(each.runner, each.at, dict(each.sent_at_by_part))
        for each in crashes
    )
    return Statement(1, 1.0, 1.0, {"w": Row(0, 0)}, crashes=stated)


class Untouched(dict[str, float]):
    """Parts of a crash that nobody may walk through."""

    def __iter__(self) -> NoReturn:
        raise AssertionError("all parts of a crash were walked through")

    keys = items = values = __iter__


def test_a_crash_that_was_read_before_is_not_recorded_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """CONFIG: hosts recorded all crashes in each statement and answered nobody."""
    with run_entry(good) as setup:
        handle = setup.entry.reservations.exchange.statement_handlers[0]
        crashes = [crash(number, own=False) for number in range(3)]
        recorded: list[int] = []
        record = FleetQuarantine._record_crash

        def count(self: FleetQuarantine, seen: Crash) -> None:
            recorded.append(len(seen.sent_at_by_part))
            record(self, seen)

        monkeypatch.setattr(FleetQuarantine, "_record_crash", count)
        handle("front-9", statement(crashes[:2]))
        handle("front-9", statement(crashes[:2]))
        assert recorded == [PARTS + 1, PARTS + 1]
        handle("front-9", statement(crashes))
        assert recorded == [PARTS + 1] * 3
        crashes[0].sent_at_by_part["new"] = 999.9
        del crashes[1].sent_at_by_part["deadly"]
        handle("front-9", statement(crashes))
        assert recorded == [PARTS + 1] * 3 + [1]


def test_requests_do_not_walk_through_the_evidence() -> None:
    """CONFIG: each request walked through all parts of all crashes."""
    quarantine = Quarantine()
    for number in range(2):
        quarantine.record_crash(crash(number), 1000.0 + 2 * number)
    for known in quarantine._evidence.crashes:
        known.sent_at_by_part = Untouched(known.sent_at_by_part)
    assert quarantine.admit(["sound"], 1003.0) == Free()
    assert isinstance(quarantine.admit(["deadly"], 1003.0), Quarantined)
    assert quarantine.record_answer(["sound"], 1003.0) == []


def test_evidence_is_bounded_and_keeps_what_several_crashes_have_in_common() -> None:
    quarantine = Quarantine()
    for number in range(CRASHES):
        quarantine.record_crash(crash(number), 1000.0 + 2 * number)
    crashes = quarantine.own_crashes()
    parts = sum(len(each.sent_at_by_part) for each in crashes)
    assert parts <= MAX_SUSPECT_PARTS
    assert quarantine.blamed() == {"deadly"}
    assert len(crashes) == CRASHES


def test_a_statement_with_evidence_of_many_crashes_fits_into_a_record() -> None:
    """The store refused a statement of 269,392 bytes, again and again."""
    began = time.time() - 2 * CRASHES
    with run_entry(good) as setup:
        reservations = setup.entry.reservations
        handle = reservations.exchange.statement_handlers[0]
        own = reservations.host_holdings.host
        for number in range(CRASHES):
            handle(own, statement([crash(number, began=began)]))
        for prepare in reservations.before_statement:
            prepare()
        stated = reservations.host_holdings.crashes
        assert len(codec.encode(stated)) <= reservations.host_holdings.record_bytes / 2
        assert all("deadly" in each.sent_at_by_part for each in stated)
        assert len(stated) == CRASHES


def test_bounds_that_do_not_fit_are_passed_on_in_the_next_statements() -> None:
    holdings = HostHoldings("h0", Policy())
    holdings.record_bytes = 20_000
    holdings.configure({f"w-{number}": 1000 for number in range(20)})
    rows = {f"w-{number}": Row(100, 50) for number in range(20)}
    table = holdings.statements
    dead = {f"dead-{number}" for number in range(40)}
    for host in ["h0", *dead]:
        table.put(host, codec.encode(Statement(1, 1.0, 1.0, rows)), 1.0)
        table.sent_after_by_host[host] = 0.5
    holdings._confirmed_at = 1.0
    holdings.begin_era(1, 2.0)
    passed: set[str] = set()
    now = 2.0
    while not passed >= dead:
        now += 0.5
        assert now < 20.0
        made = holdings.statement(now, 1.0, 2)
        assert made is not None
        assert len(codec.encode(made)) <= holdings.record_bytes
        assert made.bounds_by_host.keys() == made.remembered_by_host.keys()
        holdings.statement_sent(made)
        passed |= made.bounds_by_host.keys()


def test_a_statement_leaves_out_anything_but_its_rows_to_fit_into_a_record() -> None:
    """A record that the store refuses would be appended for ever."""
    made = statement([crash(number) for number in range(CRASHES)])
    limit = HostHoldings("h0", Policy()).record_bytes
    assert len(codec.encode(made)) > limit
    fitting = fitted(made, limit)
    assert len(fitting.data) <= limit
    assert fitting.left_out == ("crashes",)
    assert fitting.data == codec.encode(fitting.statement)
    assert fitting.statement.rows_by_workspace == made.rows_by_workspace
    assert fitted(fitting.statement, limit).left_out == ()
