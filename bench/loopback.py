"""A loopback number of its own for each run, so that runs share a machine.

The examples name ports; two runs at once would meet on them.  Each run takes a
number of 127.0.0.0/8 that no other run has, and holds it by a bound socket.
"""

from __future__ import annotations

import os
import socket
from random import SystemRandom
from typing import Final

IP_VARIABLE: Final = "GODWITRUDDER_IP"
RESERVATION_PORT: Final = 7999
MAX_TRIES: Final = 100

_reservations: list[socket.socket] = []


def _reserve_ip() -> str:
    """Return the number of this run, and of the processes that it starts.

    Raises
    ------
    RuntimeError
        No free number was found.
    """
    given = os.environ.get(IP_VARIABLE)
    if given:
        return given
    random = SystemRandom()
    for _ in range(MAX_TRIES):
        ip = f"127.{random.randint(1, 250)}.{random.randint(0, 250)}.1"
        reservation = socket.socket()
        try:
            reservation.bind((ip, RESERVATION_PORT))
            reservation.listen(1)
        except OSError:
            reservation.close()
            continue
        _reservations.append(reservation)
        os.environ[IP_VARIABLE] = ip
        return ip
    raise RuntimeError("no free loopback number")


IP: Final = _reserve_ip()
