"""Hosts whose store comes back from an older copy.

The copy lacks the newest records, and their offsets are given out again.
"""

from __future__ import annotations

import math
from typing import Any

import gevent
import pytest

from godwitrudder import codec
from godwitrudder.platform import names
from godwitrudder.request.holding import MIN_INTERVAL_SECONDS, Policy
from godwitrudder.request.host_holdings import HostHoldings
from godwitrudder.version.statement_table import StatementTable
from godwitrudder.version.statements import (
    ALLOWANCE_SECONDS,
    EPOCHS_PER_ERA,
    UNBOUNDED_TOKENS,
    RememberedRows,
    Row,
    Statement,
    first_epoch,
)
from tests.entry_setup import (
    EntrySetup,
    configuration,
    good,
    run_entry,
    run_fleet,
    status_of,
)

FOLLOW_SECONDS = 1.5
"""Time in which a host reads what the store has, after a store that was down."""


def restore_unseen(setup: EntrySetup, topic: str, *values: object) -> None:
    """Restore the state before the first value; replace it while the host is cut off.

    The later values are then at the offsets of the first ones.
    """
    copied = setup.store.copy_topics()
    setup.store.put(topic, *values[0])  # type: ignore[misc]
    gevent.sleep(FOLLOW_SECONDS)
    setup.store.faults.set({"down": True})
    gevent.sleep(0.1)
    setup.store.restore(copied)
    for value in values[1:]:
        setup.store.put(topic, *value)  # type: ignore[misc]
    setup.store.faults.set({"down": False})
    gevent.sleep(FOLLOW_SECONDS)


def runner_record(setup: EntrySetup, state: str, sequence: int) -> dict[str, object]:
    address = setup.runners[1].address
    return {"service": "s", "address": address, "state": state, "seq": sequence}


def test_a_version_at_an_offset_that_was_read_before_comes_into_force() -> None:
    """CONFIG: a host that was cut off during the restore kept an older version."""
    with run_entry(good) as setup:
        key = names.CONFIGURATION_KEY
        restore_unseen(
            setup,
            names.OPERATOR_TOPIC,
            (key, configuration(2)),
            (key, configuration(3)),
        )
        catalogue = setup.entry.directory.catalogue
        assert catalogue is not None
        assert catalogue.version == 3


def test_a_version_does_not_come_back_older() -> None:
    with run_entry(good) as setup:
        key = names.CONFIGURATION_KEY
        restore_unseen(setup, names.OPERATOR_TOPIC, (key, configuration(2)))
        catalogue = setup.entry.directory.catalogue
        assert catalogue is not None
        assert catalogue.version == 2


def test_an_entry_at_an_offset_that_was_read_before_ends_new_requests() -> None:
    """DRAIN: the host would not have read that the runner leaves."""
    with run_entry(good, good) as setup:
        restore_unseen(
            setup,
            names.RUNNERS_TOPIC,
            ("i-1", runner_record(setup, "ready", 2)),
            ("i-1", runner_record(setup, "draining", 3)),
        )
        entries = {
            each.entry.id: each for each in setup.entry.directory.candidates("s")
        }
        assert entries["i-1"].entry.leaving


def test_a_runner_that_leaves_is_not_used_by_its_older_entry() -> None:
    """DRAIN: the older copy lists it as ready."""
    with run_entry(good, good) as setup:
        setup.store.put(names.RUNNERS_TOPIC, "i-1", runner_record(setup, "ready", 2))
        restore_unseen(
            setup, names.RUNNERS_TOPIC, ("i-1", runner_record(setup, "draining", 3))
        )
        before = len(setup.runners[1].received_requests)
        for _ in range(8):
            assert status_of(setup.ask()) == 200
        assert len(setup.runners[1].received_requests) == before
        setup.store.put(names.RUNNERS_TOPIC, "i-1", runner_record(setup, "ready", 4))
        gevent.sleep(FOLLOW_SECONDS)
        entries = {
            each.entry.id: each for each in setup.entry.directory.candidates("s")
        }
        assert not entries["i-1"].entry.leaving


def test_a_runner_that_is_gone_is_not_used_by_its_older_entry() -> None:
    with run_entry(good, good) as setup:
        gevent.sleep(2.5)  # entries that are removed have not just expired
        restore_unseen(setup, names.RUNNERS_TOPIC, ("i-1", None))
        listed = [each.entry.id for each in setup.entry.directory.candidates("s")]
        assert listed == ["i-0"]


def test_runners_that_the_older_copy_lacks_are_kept_until_they_are_listed_again() -> (
    None
):
    with run_entry(good, good) as setup:
        copied = setup.store.copy_topics()
        del copied[names.RUNNERS_TOPIC]
        setup.store.restore(copied)
        gevent.sleep(0.7)
        assert len(setup.entry.directory.candidates("s")) == 2
        assert status_of(setup.ask()) == 200


def stated(setup: EntrySetup) -> dict[str, Statement]:
    """Return the newest statement of each host in the store."""
    found: dict[str, Statement] = {}
    newest_by_key = setup.store.topics[names.LEDGER_TOPIC].newest_by_key
    for host, (_offset, data) in newest_by_key.items():
        statement = codec.decode(data, Statement)
        assert isinstance(statement, Statement)
        found[host] = statement
    return found


def test_hosts_state_again_what_the_older_copy_lacks() -> None:
    """BUDGET: other hosts granted themselves what the copy did not show."""
    with run_fleet(2, good) as fleet:
        copied = fleet.store.copy_topics()
        gevent.sleep(FOLLOW_SECONDS)
        fleet.store.faults.set({"down": True})
        gevent.sleep(0.5)
        fleet.store.restore(copied)
        fleet.store.faults.set({"down": False})
        gevent.sleep(FOLLOW_SECONDS)
        newest = stated(fleet.hosts[0])
        assert [each.era for each in newest.values()] == [1, 1]
        for host in fleet.hosts:
            holdings = host.entry.reservations.host_holdings
            granted = holdings.holding("w").granted
            assert newest[holdings.host].rows_by_workspace["w"].limit >= granted > 0


def test_a_restored_store_gets_one_statement_of_each_host_in_an_interval() -> None:
    """195 hosts that state again and again would use up the store's appends."""
    with run_fleet(3, good) as fleet:
        copied = fleet.store.copy_topics()
        gevent.sleep(2 * FOLLOW_SECONDS)
        fleet.store.restore(copied)
        before = fleet.store.topics[names.LEDGER_TOPIC].end
        gevent.sleep(2.0)
        appends = fleet.store.topics[names.LEDGER_TOPIC].end - before
        assert 3 <= appends <= 3 * (2.0 / MIN_INTERVAL_SECONDS + 3)


def statement_bytes(era: int, limit: int, sent: float, **more: Any) -> bytes:
    row = Row(limit, limit, allowance=100, allowance_in_force=100)
    return codec.encode(Statement(1, sent, 0.0, {"w": row}, era=era, **more))


def table_with_history() -> StatementTable:
    """Return a table that has read statements of ``h1``, the last one at 12 s.

    It can't be older than 10 s, when the one before it had not been stored.
    """
    table = StatementTable()
    for at, limit in ((9.0, 400), (10.0, 400), (11.0, 500), (12.0, 600)):
        table.begin_read(at)
        table.put("h1", statement_bytes(0, limit, at - 0.1), at)
        table.end_read()
    return table


@pytest.mark.parametrize(("trusted", "limit"), [(True, 800), (False, UNBOUNDED_TOKENS)])
def test_a_host_that_has_not_stated_again_counts_with_its_bound(
    trusted: bool, limit: int
) -> None:
    """The newest statement, of limit 600, is at most ``ALLOWANCE_SECONDS`` old."""
    table = table_with_history()
    table.begin_era(1, 10.0 + ALLOWANCE_SECONDS, trusted)
    table.put("h1", statement_bytes(0, 500, 9.9), 15.1)  # from the older copy
    assert table.totals_excluding("h0", "w").limit == limit
    table.put("h1", statement_bytes(1, 650, 15.2), 15.3)
    assert table.totals_excluding("h0", "w").limit == 650


def test_a_host_that_started_since_counts_what_others_pass_on() -> None:
    table = StatementTable(era=1)
    table.put("h1", statement_bytes(0, 500, 9.9), 15.1)
    assert table.totals_excluding("h0", "w").limit == UNBOUNDED_TOKENS
    bounds = {"h1": {"w": 800}, "h3": {"w": 70}}
    table.put("h2", statement_bytes(1, 50, 15.2, bounds_by_host=bounds), 15.3)
    assert table.totals_excluding("h0", "w").limit == 800 + 70 + 50


def test_a_successor_takes_over_the_bound_that_others_pass_on() -> None:
    """Half of the allowance had flowed in again when the former process ended."""
    remembered = {"h0": RememberedRows(20.0, 0.0, {"w": Row(600, 0, allowance=100)})}
    ended = 20.0 + ALLOWANCE_SECONDS / 2
    for started, spent in ((ended, 750), (math.inf, 900)):
        holdings = HostHoldings("h0", Policy())
        holdings.statements.era = 1
        holdings.apply_statement("h0", statement_bytes(0, 500, 9.9), 30.0)
        assert holdings.needs_bound
        passed = statement_bytes(
            1,
            50,
            15.2,
            bounds_by_host={"h0": {"w": 900}},
            remembered_by_host=remembered,
        )
        holdings.apply_statement("h1", passed, 30.1)
        assert not holdings.needs_bound
        assert holdings.recover(50.0, 0.0, None, started).lost
        assert holdings.holding("w").spent == spent


def test_a_successor_that_nobody_remembers_counts_all_as_spent() -> None:
    holdings = HostHoldings("h0", Policy())
    holdings.configure({"w": 1000, "free": None})
    holdings.statements.era = 1
    holdings.apply_statement("h0", statement_bytes(0, 500, 9.9), 30.0)
    holdings.recover(31.0, 0.0)
    assert holdings.holding("w").spent == 1000


def test_an_allowance_counts_once_all_active_hosts_have_read_it() -> None:
    table = StatementTable()
    table.put("h1", statement_bytes(0, 5, 1.0, read_to=7), 10.0)
    table.put("h2", statement_bytes(0, 5, 1.0, read_to=3), 10.0)
    assert not table.read_by_active_hosts("h0", 5)
    table.put("h2", statement_bytes(0, 5, 1.0, stopping=True), 10.1)
    assert table.read_by_active_hosts("h0", 5)
    assert not table.read_by_active_hosts("h0", 8)


def test_epochs_of_a_new_era_are_above_those_that_may_be_lost() -> None:
    former = Statement(EPOCHS_PER_ERA + 9, 0.0, 0.0, {}, fence=EPOCHS_PER_ERA + 12)
    assert first_epoch(1, former) == EPOCHS_PER_ERA + 13
    assert first_epoch(2, former) == 2 * EPOCHS_PER_ERA


def test_limits_told_directly_count_though_sent_at_the_time_of_the_one_read() -> None:
    """The model found it: both were sent in the same instant."""
    table = table_with_history()
    assert table.notice("h1", 1, 0, 11.9, {"w": 900})
    table.begin_era(1, 10.0, True)
    assert table.totals_excluding("h0", "w").limit == 1000
