"""Pool of persistent connections to runners; the most recently used is reused first."""

from __future__ import annotations

import time
from typing import Final

from godwitrudder.connection.http import RunnerLink
from godwitrudder.connection.traffic import Traffic
from godwitrudder.validation import Address

CONNECT_SECONDS: Final = 0.4
"""Connect timeout; within a region a handshake takes a few milliseconds."""
IDLE_SECONDS: Final = 4.0
"""How long an idle connection may be reused if the runner announces no timeout."""
IDLE_FRACTION: Final = 0.9
"""Fraction of the keep-alive timeout announced by the runner that is used."""


class LinkPool:
    """Idle connections by runner.

    Parameters
    ----------
    echo : bytes
        Name of the header in which a response repeats its request's id.
    traffic : Traffic
        Byte counters of all connections.

    Attributes
    ----------
    opened : int
        Attempts to open a connection so far.
    """

    def __init__(self, echo: bytes, traffic: Traffic) -> None:
        self._echo = echo
        self._traffic = traffic
        self._idle_by_runner: dict[tuple[str, Address], list[RunnerLink]] = {}
        self.opened = 0

    def take(self, runner: str, address: Address) -> RunnerLink | str:
        """Return a connection, or the error if none could be opened."""
        idle = self._idle_by_runner.get((runner, address), [])
        while idle:
            link = idle.pop()
            if link.idle_until > time.monotonic() and link.nothing_pending:
                return link
            link.close()
        try:
            self.opened += 1
            return RunnerLink(address, CONNECT_SECONDS, self._echo, self._traffic)
        except OSError as error:
            return f"{type(error).__name__}: {error}"

    def refuses(self, runner: str, address: Address) -> bool:
        """Whether no process listens at a runner's address; keeps the connection."""
        try:
            self.opened += 1
            link = RunnerLink(address, CONNECT_SECONDS, self._echo, self._traffic)
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        link.reusable = True
        self.give(runner, address, link, None)
        return False

    def give(
        self,
        runner: str,
        address: Address,
        link: RunnerLink,
        idle_seconds: float | None,
    ) -> None:
        """Return a connection to the pool, or close it if it is not reusable."""
        if not link.reusable:
            link.close()
            return
        seconds = IDLE_SECONDS if idle_seconds is None else idle_seconds * IDLE_FRACTION
        link.idle_until = time.monotonic() + seconds
        self._idle_by_runner.setdefault((runner, address), []).append(link)

    @property
    def idle(self) -> int:
        """Number of idle connections."""
        return sum(len(links) for links in self._idle_by_runner.values())

    def connected(self) -> set[str]:
        """Return the runners with a reusable connection."""
        now = time.monotonic()
        return {
            runner
            for (runner, _), links in self._idle_by_runner.items()
            if links and links[-1].idle_until > now
        }

    def close_idle(self, runner: str) -> None:
        """Close the idle connections of a runner that is no longer listed."""
        for key in [key for key in self._idle_by_runner if key[0] == runner]:
            for link in self._idle_by_runner.pop(key):
                link.close()
