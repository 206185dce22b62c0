"""The spread task: configuration from peers, for a daemon cut off from the log.

News travels twice: a daemon that advanced tells a few peers at once, and every
daemon asks one random peer a second what it lacks.  Both carry offsets only;
records follow when somebody lacks them.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Final

import gevent

from godwitrudder.connection.peer import Handlers, PeerLinks
from godwitrudder.connection.queries import ConfigAnswer, ConfigAsk, ConfigHave
from godwitrudder.process.configuration import Configuration
from godwitrudder.process.guard import Loop, TaskOwner
from godwitrudder.version import catchup
from godwitrudder.version.catchup import CatchUp
from godwitrudder.version.revisions import Result

POLL_INTERVAL_SECONDS: Final = 1.0
ANSWER_SECONDS: Final = 2.0
LOG_WAIT_SECONDS: Final = 0.3
GOSSIP_FANOUT: Final = 3
ANSWERS_PER_TURN: Final = 16
LOG_FIRST_SECONDS: Final = 3.0
WITNESSES: Final = 2


class ConfigSync(TaskOwner):
    """Takes configuration from peers and tells them of it.

    Parameters
    ----------
    hosts : callable
        Returns the other daemons.
    """

    def __init__(
        self,
        host: str,
        configuration: Configuration,
        peers: PeerLinks,
        handlers: Handlers,
        hosts: Callable[[], list[str]],
        random: Random,
    ) -> None:
        self._host = host
        super().__init__(handlers.metrics)
        self._configuration = configuration
        self._peers = peers
        self._hosts = hosts
        self._random = random
        self._catch_up = CatchUp(configuration.fold)
        self._agreed: set[str] = set()
        handlers.register(ConfigAsk, self._answer)
        handlers.register(ConfigHave, self._hear)
        configuration.add_result_listener(self._tell)

    def loops(self) -> tuple[Loop, ...]:
        """Return the loops of this owner."""
        return (self._ask_all, self._start_alone)

    def _ask_all(self) -> None:
        while True:
            gevent.sleep(POLL_INTERVAL_SECONDS * self._random.uniform(0.5, 1.5))
            hosts = self._others()
            if hosts:
                self._ask(self._random.choice(hosts))

    def _ask(self, host: str) -> None:
        """Ask one peer until it has nothing more."""
        for _ in range(ANSWERS_PER_TURN):
            given = self._peers.ask(host, self._catch_up.ask(), ANSWER_SECONDS)
            if not isinstance(given, ConfigAnswer):
                return
            self._configuration.put_in_force(self._catch_up.apply_answer(given), "peer")
            if not self._catch_up.is_behind(given):
                self._agreed.add(host)
                return

    def _start_alone(self) -> None:
        """Count as loaded by the peers' word where the log says nothing."""
        gevent.sleep(LOG_FIRST_SECONDS)
        loaded = self._configuration.loaded
        while not loaded.is_set():
            hosts = self._others()
            for host in self._random.sample(hosts, min(WITNESSES, len(hosts))):
                self._ask(host)
            wanted = min(WITNESSES, len(hosts))
            if wanted and len(self._agreed) >= wanted:
                self._configuration.load_from_peers()
            gevent.sleep(POLL_INTERVAL_SECONDS)

    def _answer(self, ask: ConfigAsk) -> ConfigAnswer:
        return catchup.answer(self._configuration.fold, ask)

    def _hear(self, have: ConfigHave) -> None:
        """Leave the log a moment, then ask who has more."""
        fold = self._configuration.fold
        if have.next_offset <= fold.next_offset:
            return
        gevent.sleep(LOG_WAIT_SECONDS)
        if have.next_offset > fold.next_offset:
            self._ask(have.host)

    def _tell(self, results: list[Result]) -> None:
        """Tell some peers that this daemon has news."""
        have = ConfigHave(self._host, self._configuration.fold.next_offset)
        hosts = self._others()
        for host in self._random.sample(hosts, min(GOSSIP_FANOUT, len(hosts))):
            gevent.spawn(self._peers.tell, host, have)

    def _others(self) -> list[str]:
        return [host for host in self._hosts() if host != self._host]
