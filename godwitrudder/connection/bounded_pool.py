"""Connections of HTTP clients that limit the size and the time of each answer.

A faulty server may send without end, in a head, a line, a trailer or a body.  The
client library keeps what it reads, and a read that always finds data never lets another
greenlet run.  A timeout of each read is no deadline either.  So all limits are in the
sockets, of which a pool makes every connection of its kind.
"""

from __future__ import annotations

import math
import time
import weakref
from contextlib import suppress
from typing import Any, Final

import gevent
from gevent import socket
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool

from godwitrudder.validation import Address

BYTES_PER_PAUSE: Final = 65_536
"""Bytes of an answer after which the event loop runs its timers."""
PAUSE_SECONDS: Final = 0.001


class BoundedSocket(socket.socket):  # type: ignore[misc]
    """A connection that limits each answer, or each part of an answer.

    Attributes
    ----------
    max_bytes : int
        Bytes that may be received between two restarts.
    max_seconds : float
        Time in which they must be received.
    """

    max_bytes = 0
    max_seconds = math.inf
    _received_bytes = 0
    _pause_at = BYTES_PER_PAUSE
    _ends_at = math.inf

    def restart(self) -> None:
        """Begin to count anew: another part of the answer is complete."""
        self._received_bytes = 0
        self._pause_at = BYTES_PER_PAUSE
        self._ends_at = time.monotonic() + self.max_seconds

    def sendall(self, *args: Any) -> Any:
        """Send a request and begin to count its answer."""
        self.restart()
        return super().sendall(*args)

    def recv(self, *args: Any) -> Any:
        """Receive after a yield, as an endless answer never blocks ``recv``."""
        if self._received_bytes < self._pause_at:
            gevent.sleep(0)
        else:
            # The event loop runs up to 1,000 callbacks, of which a sleep of 0 is one,
            # before it looks at its timers.
            gevent.sleep(PAUSE_SECONDS)
            self._pause_at = self._received_bytes + BYTES_PER_PAUSE
        left = self._ends_at - time.monotonic()
        if left <= 0:
            raise TimeoutError(f"no answer within {self.max_seconds} s")
        timeout = self.gettimeout()
        if timeout is None or left < timeout:
            self.settimeout(left)
        try:
            data = super().recv(*args)
        finally:
            self.settimeout(timeout)
        self._received_bytes += len(data)
        if self._received_bytes > self.max_bytes:
            raise OSError(f"the answer is larger than {self.max_bytes} bytes")
        return data


class BoundedPool(ConnectionPool):
    """Pool of connections that limit the answers.

    Parameters
    ----------
    max_bytes, max_seconds : int, float
        See ``BoundedSocket``.
    """

    def __init__(
        self,
        *args: Any,
        max_bytes: int,
        max_seconds: float = math.inf,
        **options: Any,
    ) -> None:
        super().__init__(*args, **options)
        self._max_bytes = max_bytes
        self._max_seconds = max_seconds
        self._sockets: weakref.WeakSet[BoundedSocket] = weakref.WeakSet()

    def _create_tcp_socket(self, family: int, kind: int, protocol: int) -> Any:
        created = BoundedSocket(family, kind, protocol)
        created.max_bytes = self._max_bytes
        created.max_seconds = self._max_seconds
        self._sockets.add(created)
        return created

    def interrupt(self) -> None:
        """Shut down all connections, which ends the reads that wait on them."""
        for each in list(self._sockets):
            with suppress(OSError):  # it is closed or not connected yet
                each.shutdown(socket.SHUT_RDWR)


def bounded_client(
    address: Address,
    max_bytes: int,
    seconds: float,
    pool: type[BoundedPool] = BoundedPool,
    size: int = 1,
    connect_seconds: float | None = None,
    max_seconds: float | None = None,
    **options: Any,
) -> HTTPClient:
    """Return a client whose connections limit the answers.

    Parameters
    ----------
    max_bytes : int
        Largest answer.
    seconds : float
        Timeout of each read, and of an answer unless ``max_seconds`` differs.
    size : int
        Concurrent connections.
    connect_seconds : float, optional
        Timeout of connecting, if it differs from ``seconds``.
    max_seconds : float, optional
        Longest time of an answer.
    """
    client = HTTPClient(address.ip, address.port, **options)
    client._connection_pool = pool(
        address.ip,
        address.port,
        address.ip,
        address.port,
        size=size,
        connection_timeout=seconds if connect_seconds is None else connect_seconds,
        network_timeout=seconds,
        max_bytes=max_bytes,
        max_seconds=seconds if max_seconds is None else max_seconds,
    )
    return client
