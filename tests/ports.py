"""Free ports assigned by the system, so that test runs can share a machine."""

from __future__ import annotations

import socket

from bench.loopback import IP


def free_port(ip: str = IP) -> int:
    """Return a TCP port that is free now."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return int(sock.getsockname()[1])


def free_datagram_port(ip: str = IP) -> int:
    """Return a UDP port that is free now."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((ip, 0))
        return int(sock.getsockname()[1])
