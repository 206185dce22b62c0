"""A loopback address of its own for each run, so that runs can share a machine.

The examples have fixed ports, so two runs on one address would conflict. Each run
takes an address of 127.0.0.0/8 that no other run uses, and reserves it with a
listening socket on ``RESERVATION_PORT``. Child processes inherit the address in
``IP_VARIABLE``.
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
    """Return the address of this run, from the environment or newly reserved.

    Raises
    ------
    RuntimeError
        No free address was found in ``MAX_TRIES`` tries.
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
    raise RuntimeError("no free loopback address found")


IP: Final = _reserve_ip()
