"""The members task: who is live, from the platform's host list."""

from __future__ import annotations

from types import TracebackType
from typing import Final, Self

import gevent
from gevent import Greenlet

from godwitrudder.codec import Malformed
from godwitrudder.platform.hosts import HostEntry, HostList
from godwitrudder.request.choice import Runner
from godwitrudder.sections import Address, Problem, parse_address

REFRESH_SECONDS: Final = 1.0


class Members:
    """Runners and routers, refreshed from the host list."""

    def __init__(self, hosts: HostList) -> None:
        self._hosts = hosts
        self.runners_by_id: dict[str, Runner] = {}
        self.routers_by_id: dict[str, HostEntry] = {}
        self._task: Greenlet | None = None

    def __enter__(self) -> Self:
        """Start to refresh."""
        self._task = gevent.spawn(self._refresh_all)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop."""
        if self._task is not None:
            self._task.kill()

    def runners_of(self, target: str) -> list[Runner]:
        """Return the runners of a target."""
        return [r for r in self.runners_by_id.values() if r.target == target]

    def peer_address(self, host: str) -> Address | None:
        """Return where a daemon takes links, or None for an unknown host."""
        entry = self.routers_by_id.get(host)
        if entry is None:
            return None
        address = parse_address("host list", host, entry.address)
        return None if isinstance(address, Problem) else address

    def _refresh_all(self) -> None:
        while True:
            entries = self._hosts.fetch()
            if not isinstance(entries, Malformed):
                self._refresh(entries)
            gevent.sleep(REFRESH_SECONDS)

    def _refresh(self, entries: list[HostEntry]) -> None:
        listed = {entry.id for entry in entries}
        for entry in entries:
            if entry.role == "router":
                self.routers_by_id[entry.id] = entry
            else:
                self._refresh_runner(entry)
        for gone in [name for name in self.runners_by_id if name not in listed]:
            del self.runners_by_id[gone]

    def _refresh_runner(self, entry: HostEntry) -> None:
        address = parse_address("host list", entry.id, entry.address)
        if isinstance(address, Problem):
            return
        runner = self.runners_by_id.get(entry.id)
        if runner is None:
            runner = Runner(entry.id, entry.target, address, entry.failure_domain)
            self.runners_by_id[entry.id] = runner
        runner.leaving = entry.state == "leaving"
