"""A loopback proxy in front of the store that injects network faults.

It blocks both directions, blocks only the responses, or resets the connections.
"""

from __future__ import annotations

import enum
from typing import Final

import gevent
from gevent import socket
from gevent.server import StreamServer

from godwitrudder.validation import Address

READ_BYTES: Final = 65_536
# Interval between checks whether a direction is still blocked.
POLL_SECONDS: Final = 0.02


class Cut(enum.StrEnum):
    """Which directions the proxy blocks, on open and new connections."""

    NONE = "none"
    BOTH_DIRECTIONS = "silent"
    RESPONSES = "answers lost"


class Proxy:
    """Forwards connections to one address; a context manager that starts and stops it.

    Parameters
    ----------
    target : Address
        Address to connect to.

    Attributes
    ----------
    cut : Cut
        Directions that are blocked now; blocked bytes are forwarded after the cut.
    """

    def __init__(self, target: Address) -> None:
        self.cut = Cut.NONE
        self._upstream = target
        self._open_sockets: set[socket.socket] = set()
        self._server = StreamServer((target.ip, 0), self._serve)

    def __enter__(self) -> Proxy:
        """Start listening."""
        self._server.start()
        return self

    def __exit__(self, *error: object) -> None:
        """Stop listening and close all connections."""
        self._server.stop(timeout=0)
        self.reset()

    @property
    def address(self) -> str:
        """Address that the proxy listens on, as ``ip:port``."""
        return f"{self._upstream.ip}:{self._server.server_port}"

    def reset(self) -> None:
        """Close all open connections."""
        for sock in list(self._open_sockets):
            sock.close()

    def _serve(self, client: socket.socket, _address: object) -> None:
        with socket.create_connection(
            (self._upstream.ip, self._upstream.port)
        ) as upstream:
            pair = {client, upstream}
            self._open_sockets |= pair
            tasks = [
                gevent.spawn(self._forward, client, upstream, {Cut.BOTH_DIRECTIONS}),
                gevent.spawn(
                    self._forward,
                    upstream,
                    client,
                    {Cut.BOTH_DIRECTIONS, Cut.RESPONSES},
                ),
            ]
            try:
                gevent.joinall(tasks, count=1)
            finally:
                gevent.killall(tasks)
                self._open_sockets -= pair

    def _forward(
        self, source: socket.socket, sink: socket.socket, blocked_by: set[Cut]
    ) -> None:
        try:
            while data := source.recv(READ_BYTES):
                while self.cut in blocked_by:
                    gevent.sleep(POLL_SECONDS)
                sink.sendall(data)
        except OSError:
            return  # the socket was closed, by its peer or by an injected fault
