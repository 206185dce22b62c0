"""Kept connections to runners: the freshest idle one first, none trusted for long."""

from __future__ import annotations

import time
from typing import Final

from godwitrudder.connection.http import RunnerLink
from godwitrudder.connection.traffic import Traffic
from godwitrudder.sections import Address

CONNECT_SECONDS: Final = 0.4
"""A connection within the region takes some milliseconds and one handshake."""
IDLE_SECONDS: Final = 4.0
"""How long an idle connection is trusted where the runner tells nothing."""
IDLE_SHARE: Final = 0.9
"""Part of the time told by the runner for which it is trusted."""


class LinkPool:
    """Idle connections by runner.

    Parameters
    ----------
    echo : bytes
        Header by which an answer names its request.
    traffic : Traffic
        Counts the bytes of all of them.
    """

    def __init__(self, echo: bytes, traffic: Traffic) -> None:
        self._echo = echo
        self._traffic = traffic
        self._idle_by_runner: dict[tuple[str, Address], list[RunnerLink]] = {}
        self.opened = 0

    def take(self, runner: str, address: Address) -> RunnerLink | str:
        """Return a connection, or why none could be had; nothing was sent then."""
        idle = self._idle_by_runner.get((runner, address), [])
        while idle:
            link = idle.pop()
            if link.idle_until > time.monotonic() and link.quiet:
                return link
            link.close()
        try:
            self.opened += 1
            return RunnerLink(address, CONNECT_SECONDS, self._echo, self._traffic)
        except OSError as error:
            return f"{type(error).__name__}: {error}"

    def give(
        self,
        runner: str,
        address: Address,
        link: RunnerLink,
        idle_seconds: float | None,
    ) -> None:
        """Keep a connection for later, or close it."""
        if not link.reusable:
            link.close()
            return
        seconds = IDLE_SECONDS if idle_seconds is None else idle_seconds * IDLE_SHARE
        link.idle_until = time.monotonic() + seconds
        self._idle_by_runner.setdefault((runner, address), []).append(link)

    @property
    def idle(self) -> int:
        """Connections that are kept for later."""
        return sum(len(links) for links in self._idle_by_runner.values())

    def connected(self) -> set[str]:
        """Return the runners to which a connection can be used again."""
        now = time.monotonic()
        return {
            runner
            for (runner, _), links in self._idle_by_runner.items()
            if links and links[-1].idle_until > now
        }

    def forget(self, runner: str) -> None:
        """Close the idle connections of a runner that is gone."""
        for key in [key for key in self._idle_by_runner if key[0] == runner]:
            for link in self._idle_by_runner.pop(key):
                link.close()
