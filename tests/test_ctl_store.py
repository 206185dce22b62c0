"""``godwitctl store``: budgets and runners, read from the platform's store."""

from __future__ import annotations

import json
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
from cleo.testers.command_tester import CommandTester

from bench.loopback import IP
from godwitrudder import codec
from godwitrudder.ctl.command import ExitCode
from godwitrudder.ctl.store import BudgetsCommand, StatusCommand
from godwitrudder.platform import names
from godwitrudder.platform.store import KeyedRecord, Producer
from godwitrudder.platform.store import Store as StoreClient
from godwitrudder.validation import Address
from godwitrudder.version.statements import Row, Statement
from standins.store import Store
from tests.ports import free_port

CONFIGURATION = {
    "version": 7,
    "tenants": [{"name": "paid", "prepaid": 1000}, {"name": "free"}],
}


@contextmanager
def store_with(*statements: bytes) -> Iterator[str]:
    """Run a store with a configuration, two runners and statements; yield its address.

    The record of one runner is malformed.
    """
    with Store(Address(IP, free_port())) as store:
        store.put(names.OPERATOR_TOPIC, "config", CONFIGURATION)
        entry = {"service": "s", "address": "10.0.0.1:80", "state": "draining"}
        store.put(names.RUNNERS_TOPIC, "i-1", entry)
        store.put(names.RUNNERS_TOPIC, "i-2", {"service": 5})
        client = StoreClient(store.address)
        for number, data in enumerate(statements):
            record = KeyedRecord(f"h{number}", data)
            client.append_keyed(names.LEDGER_TOPIC, record, Producer(record.key, 1, 0))
        client.close()
        yield str(store.address)


def statement(limit: int, cap: int) -> bytes:
    return codec.encode(Statement(1, 0.0, 0.0, {"paid": Row(limit, cap)}))


def test_budgets_show_spent_held_and_free_tokens() -> None:
    with store_with(statement(300, 100), statement(250, 250)) as address:
        tester = CommandTester(BudgetsCommand())
        assert tester.execute(f"{address} --json") == ExitCode.DONE
        output = json.loads(tester.io.fetch_output())
        tester.execute(address)
        assert "paid" in tester.io.fetch_output()
    assert output["unread"] == []
    assert output["budgets"] == [
        {
            "workspace": "free",
            "prepaid": None,
            "spent_at_most": 0,
            "held": 0,
            "free": None,
            "hosts": 0,
        },
        {
            "workspace": "paid",
            "prepaid": 1000,
            "spent_at_most": 350,
            "held": 200,
            "free": 450,
            "hosts": 2,
        },
    ]


def test_an_unreadable_statement_is_reported() -> None:
    with store_with(codec.encode(["other", "format"])) as address:
        tester = CommandTester(BudgetsCommand())
        assert tester.execute(address) == ExitCode.FAILED
        assert "h0 can't be read" in tester.io.fetch_error()


def test_status_shows_version_and_runners() -> None:
    with store_with() as address:
        tester = CommandTester(StatusCommand())
        assert tester.execute(address) == ExitCode.DONE
        output = tester.io.fetch_output()
    assert "version 7" in output
    assert "leaving" in output
    assert "i-2 can't be read" in output


@pytest.mark.parametrize(
    ("address", "code"),
    [("nonsense", ExitCode.USAGE), (f"{IP}:1", ExitCode.UNREACHABLE)],
)
def test_an_unreachable_store_is_reported(address: str, code: ExitCode) -> None:
    assert CommandTester(StatusCommand()).execute(address) == code
