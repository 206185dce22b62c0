"""A loopback number of its own for each run, so that runs share a machine.

The examples name ports; two runs at once would meet on them.  Each run takes a
number of 127.0.0.0/8 that no other run has, and holds it by a bound socket.
"""

from __future__ import annotations

import os
import socket
from random import SystemRandom
from typing import Final

VARIABLE: Final = "GODWITRUDDER_IP"
GUARD_PORT: Final = 7999
TRIES: Final = 100

_guards: list[socket.socket] = []


def _own_ip() -> str:
    """Return the number of this run, and of the processes that it starts.

    Raises
    ------
    RuntimeError
        No free number was found.
    """
    given = os.environ.get(VARIABLE)
    if given:
        return given
    random = SystemRandom()
    for _ in range(TRIES):
        ip = f"127.{random.randint(1, 250)}.{random.randint(0, 250)}.1"
        guard = socket.socket()
        try:
            guard.bind((ip, GUARD_PORT))
            guard.listen(1)
        except OSError:
            guard.close()
            continue
        _guards.append(guard)
        os.environ[VARIABLE] = ip
        return ip
    raise RuntimeError("no free loopback number")


IP: Final = _own_ip()
