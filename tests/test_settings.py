"""Faulty settings, as data: the error names file, key path and expected value."""

from __future__ import annotations

import pytest

from bench.fleet import EXAMPLES
from godwitrudder.process.settings import load_text
from godwitrudder.validation import Problem

TEXT = (EXAMPLES / "penghu" / "router-1.json5").read_text()

# text to replace, its replacement, the start of the error
CASES = [
    ('"host"', '"hots"', "f: hots: expected a known key"),
    ('"host": "router-1",', "", "f: host: expected this key"),
    ('"router-1"', "1", "f: host: expected `str`, got `int`"),
    ("127.0.0.1:8110", "localhost:8110", "f: caller_address: expected an IP number"),
    ("127.0.0.1:8110", "127.0.0.1", "f: caller_address: expected an IP number"),
    ("127.0.0.1:8110", "127.0.0.1:99999", "f: caller_address: expected a port 1"),
    ("127.0.0.1:8111", "127.0.0.1:8110", "f: peer_address: expected another port"),
    ('"log": "127.0.0.1', '"log": "log', "f: platform.log: expected an IP number"),
    ('"log":', '"lug":', "f: platform.lug: expected a known key"),
    ("example-peer-key-change-me", "short", "f: peer_key: expected at least 16"),
    ("{", "[", "f: (whole file): expected commented JSON"),
    ('"host"', '"drain_seconds": 0, "host"', "f: drain_seconds: expected seconds"),
    ('"host"', '"drain_seconds": "9 s", "host"', "f: drain_seconds: expected `float`"),
    ('"host"', '"ledger_partitions": 0, "host"', "f: ledger_partitions: expected"),
    ('"host"', '"log_retention_seconds": 0, "host"', "f: log_retention_seconds: "),
    ('"host"', '"log_level": "LOUD", "host"', "f: log_level: expected one of DEBUG"),
    (
        '"budgets": "',
        '"budgets": "x',
        "f: operator_keys_by_team.budgets: expected a SHA",
    ),
    ('"budgets": "', '"x": "', "f: operator_keys_by_team.x: expected a team of"),
]


@pytest.mark.parametrize(("old", "new", "expected"), CASES)
def test_a_fault_is_named(old: str, new: str, expected: str) -> None:
    """The first problem names the place; nothing is started."""
    assert old in TEXT
    problem = load_text("f", TEXT.replace(old, new, 1))
    assert isinstance(problem, Problem)
    assert str(problem).startswith(expected)
