"""A loopback proxy before the store: it silences, cuts one way, or resets."""

from __future__ import annotations

import enum
from typing import Final

import gevent
from gevent import socket
from gevent.server import StreamServer

from godwitrudder.sections import Address

READ_BYTES: Final = 65_536
POLL_SECONDS: Final = 0.02


class Cut(enum.StrEnum):
    """What the proxy does to the bytes of open and new connections."""

    NONE = "none"
    BOTH_DIRECTIONS = "silent"
    RESPONSES = "answers lost"


class Proxy:
    """Carries bytes to one address, as a context manager.

    Attributes
    ----------
    cut : Cut
        What is done to the bytes from now on.
    """

    def __init__(self, target: Address) -> None:
        self.cut = Cut.NONE
        self._upstream = target
        self._open_sockets: set[socket.socket] = set()
        self._server = StreamServer((target.ip, 0), self._serve)

    def __enter__(self) -> Proxy:
        """Start to listen."""
        self._server.start()
        return self

    def __exit__(self, *error: object) -> None:
        """Stop."""
        self._server.stop(timeout=0)
        self.reset()

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"{self._upstream.ip}:{self._server.server_port}"

    def reset(self) -> None:
        """Break all open connections."""
        for sock in list(self._open_sockets):
            sock.close()

    def _serve(self, near: socket.socket, _address: object) -> None:
        with socket.create_connection((self._upstream.ip, self._upstream.port)) as far:
            pair = {near, far}
            self._open_sockets |= pair
            ways = [
                gevent.spawn(self._forward, near, far, {Cut.BOTH_DIRECTIONS}),
                gevent.spawn(
                    self._forward, far, near, {Cut.BOTH_DIRECTIONS, Cut.RESPONSES}
                ),
            ]
            try:
                gevent.joinall(ways, count=1)
            finally:
                gevent.killall(ways)
                self._open_sockets -= pair

    def _forward(
        self, source: socket.socket, sink: socket.socket, stopped_by: set[Cut]
    ) -> None:
        try:
            while data := source.recv(READ_BYTES):
                while self.cut in stopped_by:
                    gevent.sleep(POLL_SECONDS)
                sink.sendall(data)
        except OSError:
            return  # one of the two has closed: the soak's own faults do that
