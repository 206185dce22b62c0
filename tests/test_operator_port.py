"""Answers of the operator port to malformed and unauthorized requests."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from gevent import socket

from bench.fleet import Fleet
from godwitrudder.process import operator

EDIT = b"POST /config/edits"
KEY = b"penghu-admin-team-key"

# Request line, key, headers and body, expected status.
CASES = [
    (b"GET /config", b"wrong", b"\r\n", b"401"),
    (b"GET /config", b"\xff\xfe", b"\r\n", b"401"),
    (b"GET /config", KEY, b"\r\n", b"200"),
    (b"PUT /config", KEY, b"\r\n", b"404"),
    (b"GET /budgets/%2e%2e%2f", KEY, b"\r\n", b"404"),
    (EDIT, KEY, b"Content-Length: 99999999\r\n\r\n", b"413"),
    (EDIT, KEY, b"Content-Length: 4\r\n\r\n\xff\xfe{}", b"422"),
    (
        EDIT,
        KEY,
        b"Content-Length: 25\r\n\r\n" + b'{"op": "x", "changes": {}}'[:25],
        b"422",
    ),
    (EDIT, KEY, b"Content-Length: 50\r\n\r\n{", b"408"),
]


@pytest.fixture(scope="module")
def fleet() -> Iterator[Fleet]:
    """Run one daemon."""
    with Fleet(1, 1, 0) as running:
        yield running


@pytest.mark.parametrize(("line", "key", "rest", "status"), CASES)
def test_it_is_refused_in_time(
    fleet: Fleet,
    monkeypatch: pytest.MonkeyPatch,
    line: bytes,
    key: bytes,
    rest: bytes,
    status: bytes,
) -> None:
    """Every invalid request gets its status, also one whose body never arrives."""
    monkeypatch.setattr(operator, "BODY_TIMEOUT_SECONDS", 0.1)
    address = fleet.daemons[0].settings.operator
    sock = socket.create_connection((address.ip, address.port))
    head = line + b" HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + key + b"\r\n"
    sock.sendall(head + rest)
    assert sock.recv(4096).split()[1] == status
    sock.close()
