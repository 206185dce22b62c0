"""The example fleet in one process: stand-ins and daemons as greenlets."""

from __future__ import annotations

from contextlib import ExitStack
from pathlib import Path
from types import TracebackType
from typing import Final, Self

import gevent

from bench.loopback import IP
from godwitrudder.platform.hosts import HostEntry
from godwitrudder.process.daemon import Daemon
from godwitrudder.process.partition import stream_of
from godwitrudder.process.settings import Settings, load_text
from godwitrudder.validation import Address, Problem
from godwitrudder.version.document import SECTIONS
from godwitrudder.version.fold import LedgerFold
from standins.document import publish_document
from standins.engine import Engine
from standins.platform import Platform
from standins.service import Service

EXAMPLES: Final = Path(__file__).parent.parent / "examples"
DOMAINS: Final = ("magong", "budai", "anping", "donggang")
PLATFORM_PORT: Final = 8090
PLATFORM: Final = Address(IP, PLATFORM_PORT)


class Fleet:
    """The Penghu example, as a context manager.

    Parameters
    ----------
    daemons, engines, services : int
        Number of each.
    """

    def __init__(self, daemons: int = 3, engines: int = 3, services: int = 2) -> None:
        self.engines = [Engine(Address(IP, 8200 + number)) for number in range(engines)]
        self.services = [
            Service(Address(IP, 8300 + number)) for number in range(services)
        ]
        self.daemons = [
            Daemon(daemon_settings(number + 1)) for number in range(daemons)
        ]
        self.platform = Platform(PLATFORM, self._hosts())
        self._stack = ExitStack()

    def __enter__(self) -> Self:
        """Start the stand-ins, publish the document, start the daemons."""
        for server in [self.platform, *self.engines, *self.services]:
            self._stack.enter_context(server)
        files = {section: f"{section}.json5" for section in SECTIONS}
        publish_document(self.platform, EXAMPLES / "penghu", files)
        # A daemon is ready only when others witness for it, so all start in parallel.
        starts = [gevent.spawn(d.__enter__) for d in self.daemons]
        gevent.joinall(starts, raise_error=True)
        for daemon in self.daemons:
            self._stack.push(daemon.__exit__)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop everything."""
        self._stack.close()

    def drain(self) -> None:
        """Drain all daemons in parallel; all requests are billed afterwards."""
        gevent.joinall([gevent.spawn(d.drain) for d in self.daemons], raise_error=True)

    def refold(self) -> list[LedgerFold]:
        """Return a new fold of each partition, made from the log's records."""
        folds = []
        for partition in range(self.daemons[0].settings.ledger_partitions):
            fold = LedgerFold()
            for record in self.platform.streams_by_name[stream_of(partition)].records:
                fold.apply(record.offset, record.time, record.data)
            folds.append(fold)
        return folds

    def _hosts(self) -> list[HostEntry]:
        hosts = [
            HostEntry(
                id=daemon.settings.host,
                role="router",
                address=str(daemon.settings.peer),
                failure_domain=daemon.settings.failure_domain,
            )
            for daemon in self.daemons
        ]
        for number, engine in enumerate(self.engines):
            hosts.append(_entry("engine", number, "rudder-llm", engine.address))
        for number, service in enumerate(self.services):
            hosts.append(_entry("service", number, "registry-app", service.address))
        return hosts


def _entry(kind: str, number: int, target: str, address: Address) -> HostEntry:
    return HostEntry(
        id=f"{kind}-{number}",
        role="runner",
        address=str(address),
        failure_domain=DOMAINS[number % len(DOMAINS)],
        target=target,
    )


def daemon_settings(number: int) -> Settings:
    """Return the settings of an example daemon, with its addresses on ``IP``.

    Parameters
    ----------
    number : int
        Number of the daemon, from 1.

    Raises
    ------
    ValueError
        The settings file is invalid.
    """
    path = EXAMPLES / "penghu" / f"router-{number}.json5"
    text = path.read_text(encoding="utf-8").replace("127.0.0.1", IP)
    loaded = load_text(str(path), text)
    if isinstance(loaded, Problem):
        raise ValueError(str(loaded))
    return loaded
