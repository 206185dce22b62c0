"""Test that a daemon keeps serving after random bytes on all of its ports."""

from __future__ import annotations

from random import Random

from gevent import socket

from bench.callers import chat
from bench.fleet import Fleet
from godwitrudder.validation import Address

CONNECTIONS = 5
BYTES = 3000


def send_noise(address: Address, random: Random) -> None:
    """Send random bytes, after a valid request line on every other connection."""
    for number in range(CONNECTIONS):
        head = b"POST /v1/chat/completions HTTP/1.1\r\n" if number % 2 else b""
        with socket.create_connection((address.ip, address.port), 5) as sock:
            sock.sendall(head + random.randbytes(BYTES) + b"\r\n\r\n")
            sock.shutdown(socket.SHUT_WR)
            try:
                while sock.recv(BYTES):
                    pass
            except OSError:
                pass


def test_a_daemon_stays_up_under_noise() -> None:
    """A call and a status query succeed after random bytes on every port."""
    with Fleet() as fleet:
        settings = fleet.daemons[0].settings
        for address in (settings.caller, settings.peer, settings.operator):
            send_noise(address, Random(7))
        seen = chat(fleet, 0, "registry", "still there")
        status = fleet.daemons[0].status()
    assert (seen.code, seen.is_correct) == ("completed", True)
    assert status.in_flight == 0
