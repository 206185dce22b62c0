"""Fleet membership from the host list and from peer traffic.

There is no central daemon.  Each daemon keeps its own view, in which a router that
it can't reach counts as absent until the router sends again.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from types import TracebackType
from typing import Final, Self

import gevent
from gevent.pool import Group

from godwitrudder.clock import Clock
from godwitrudder.codec import Malformed
from godwitrudder.connection.liveness import Liveness
from godwitrudder.platform.hosts import HostEntry, HostList
from godwitrudder.request.choice import Runner
from godwitrudder.validation import Address, Problem, parse_address

REFRESH_SECONDS: Final = 1.0
PROBE_SECONDS: Final = 1.0
MAX_PROBES: Final = 3


class Members:
    """Runners and routers from the host list, and which routers are reachable.

    Parameters
    ----------
    hosts : HostList
        Client for the host list.
    host : str
        This daemon's host.

    Attributes
    ----------
    listed : bool
        Whether the host list has been read at least once.
    """

    def __init__(self, hosts: HostList, host: str, clock: Clock) -> None:
        self._hosts = hosts
        self.host = host
        self._clock = clock
        self.runners_by_id: dict[str, Runner] = {}
        self.routers_by_id: dict[str, HostEntry] = {}
        self.listed = False
        self.liveness = Liveness(host)
        self._leaving: set[str] = set()
        self._is_drained: Callable[[Runner], bool] = lambda runner: False
        self._tasks = Group()

    def __enter__(self) -> Self:
        """Start the task that refreshes the members."""
        self._tasks.spawn(self._refresh_loop)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop all tasks."""
        self._tasks.kill()

    def set_drain_check(self, is_drained: Callable[[Runner], bool]) -> None:
        """Treat the runners for which ``is_drained`` is true as leaving."""
        self._is_drained = is_drained

    def start_probes(self, probe: Callable[[str], object], random: Random) -> None:
        """Start the task that probes silent routers.

        Parameters
        ----------
        probe : callable
            Sends a probe to a host; its link calls ``heard`` or ``lost``.
        random : Random
            Source of randomness for the choice of hosts.
        """
        self._tasks.spawn(self._probe_loop, probe, random)

    def record_contact(self, host: str) -> None:
        """Record traffic from a router."""
        self.liveness.record_contact(host, self._clock.now())

    def lost(self, host: str) -> None:
        """Record that a router did not answer."""
        self.liveness.record_failure(host, self._clock.now())

    def reachable_routers(self) -> list[str]:
        """Return the hosts of the reachable routers, including this one."""
        return self.liveness.reachable()

    def reachable_share(self) -> float:
        """Return the reachable share, 0 to 1, of the routers probed recently."""
        return self.liveness.reachable_fraction(self._clock.now())

    def runners_of(self, target: str) -> list[Runner]:
        """Return the runners of a target."""
        return [r for r in self.runners_by_id.values() if r.target == target]

    def peer_address(self, host: str) -> Address | None:
        """Return the address for peer links of a host, or None if unknown."""
        entry = self.routers_by_id.get(host)
        if entry is None:
            return None
        address = parse_address("host list", host, entry.address)
        return None if isinstance(address, Problem) else address

    def _refresh_loop(self) -> None:
        while True:
            entries = self._hosts.fetch()
            if not isinstance(entries, Malformed):
                self._refresh(entries)
                self.listed = True
            self._mark_leaving()
            gevent.sleep(REFRESH_SECONDS)

    def _probe_loop(self, probe: Callable[[str], object], random: Random) -> None:
        while True:
            gevent.sleep(PROBE_SECONDS)
            now = self._clock.now()
            for host in self.liveness.to_probe(now, MAX_PROBES, random):
                self._tasks.spawn(probe, host)

    def _refresh(self, entries: list[HostEntry]) -> None:
        listed = {entry.id for entry in entries}
        leaving_by_host = {
            entry.id: entry.state == "leaving"
            for entry in entries
            if entry.role == "router"
        }
        for host in self.liveness.update_hosts(leaving_by_host, self._clock.now()):
            self.routers_by_id.pop(host, None)
        for entry in entries:
            if entry.role == "router":
                self.routers_by_id[entry.id] = entry
            else:
                self._refresh_runner(entry)
        for unlisted in [name for name in self.runners_by_id if name not in listed]:
            del self.runners_by_id[unlisted]

    def _refresh_runner(self, entry: HostEntry) -> None:
        address = parse_address("host list", entry.id, entry.address)
        if isinstance(address, Problem):
            return
        runner = self.runners_by_id.get(entry.id)
        if runner is None:
            runner = Runner(entry.id, entry.target, address, entry.failure_domain)
            self.runners_by_id[entry.id] = runner
        if entry.state == "leaving":
            self._leaving.add(entry.id)
        else:
            self._leaving.discard(entry.id)

    def _mark_leaving(self) -> None:
        """Mark runners that leave or are drained, so that they get no new requests.

        Runs also if the host list can't be read.
        """
        self._leaving &= self.runners_by_id.keys()
        for runner in self.runners_by_id.values():
            runner.leaving = runner.id in self._leaving or self._is_drained(runner)
