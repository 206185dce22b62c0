"""Configuration from peers: spreads records to daemons that can't reach the log.

Records spread in two ways.  A daemon that applied new records announces it to a few
random peers at once.  Every daemon also asks one random peer about every second for
the records that it lacks.  Announcements and requests carry only offsets; records are
sent only to a daemon that lacks them.
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
from godwitrudder.version.config_fold import Result

POLL_INTERVAL_SECONDS: Final = 1.0
ANSWER_TIMEOUT_SECONDS: Final = 2.0
LOG_WAIT_SECONDS: Final = 0.3
GOSSIP_FANOUT: Final = 3
MAX_ANSWERS_PER_FETCH: Final = 16
# Wait at the start before the configuration may count as loaded from peers.
LOG_START_SECONDS: Final = 3.0
MIN_AGREEING_PEERS: Final = 2


class ConfigSync(TaskOwner):
    """Reads configuration records from peers and announces new ones.

    Parameters
    ----------
    hosts : callable
        Returns the hosts of all daemons.
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
        self._agreeing_hosts: set[str] = set()
        handlers.register(ConfigAsk, self._answer)
        handlers.register(ConfigHave, self._handle_announcement)
        configuration.add_result_listener(self._announce)

    def loops(self) -> tuple[Loop, ...]:
        """Return the loop that asks peers and the one that loads without the log."""
        return (self._poll_peers, self._load_without_log)

    def _poll_peers(self) -> None:
        while True:
            gevent.sleep(POLL_INTERVAL_SECONDS * self._random.uniform(0.5, 1.5))
            hosts = self._other_hosts()
            if hosts:
                self._fetch_from(self._random.choice(hosts))

    def _fetch_from(self, host: str) -> None:
        """Read records from one peer until it has no more."""
        for _ in range(MAX_ANSWERS_PER_FETCH):
            answer = self._peers.ask(host, self._catch_up.ask(), ANSWER_TIMEOUT_SECONDS)
            if not isinstance(answer, ConfigAnswer):
                return
            self._configuration.put_in_force(
                self._catch_up.apply_answer(answer), "peer"
            )
            if not self._catch_up.is_behind(answer):
                self._agreeing_hosts.add(host)
                return

    def _load_without_log(self) -> None:
        """Mark the configuration as loaded from peers if the log does not supply it.

        This requires ``MIN_AGREEING_PEERS`` peers that have no more records, or every
        peer if there are fewer.
        """
        gevent.sleep(LOG_START_SECONDS)
        loaded = self._configuration.loaded
        while not loaded.is_set():
            hosts = self._other_hosts()
            for host in self._random.sample(hosts, min(MIN_AGREEING_PEERS, len(hosts))):
                self._fetch_from(host)
            wanted = min(MIN_AGREEING_PEERS, len(hosts))
            if wanted and len(self._agreeing_hosts) >= wanted:
                self._configuration.load_from_peers()
            gevent.sleep(POLL_INTERVAL_SECONDS)

    def _answer(self, ask: ConfigAsk) -> ConfigAnswer:
        return catchup.answer(self._configuration.fold, ask)

    def _handle_announcement(self, announcement: ConfigHave) -> None:
        """Give the log time to supply announced records, then ask the announcer."""
        fold = self._configuration.fold
        if announcement.next_offset <= fold.next_offset:
            return
        gevent.sleep(LOG_WAIT_SECONDS)
        if announcement.next_offset > fold.next_offset:
            self._fetch_from(announcement.host)

    def _announce(self, results: list[Result]) -> None:
        """Announce the newest offset to some random peers."""
        announcement = ConfigHave(self._host, self._configuration.fold.next_offset)
        hosts = self._other_hosts()
        for host in self._random.sample(hosts, min(GOSSIP_FANOUT, len(hosts))):
            gevent.spawn(self._peers.tell, host, announcement)

    def _other_hosts(self) -> list[str]:
        return [host for host in self._hosts() if host != self._host]
