"""The relay: reads ledger records from peers while the log is unreachable.

Records carry their offsets and go through the same fold as those from the log.  So
records from a peer that is behind have no effect.  A gap in the offsets is not
filled; the missing records come from the log or a snapshot.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Final

import gevent

from godwitrudder.connection.ledgers import RecordsAnswer, RecordsAsk
from godwitrudder.connection.peer import Handlers, PeerLinks
from godwitrudder.process.guard import Loop, TaskOwner
from godwitrudder.process.ledger import Ledger
from godwitrudder.process.metrics import Metrics
from godwitrudder.process.partition import Partition

POLL_INTERVAL_SECONDS: Final = 0.5
ANSWER_TIMEOUT_SECONDS: Final = 1.0
MAX_ANSWER_BYTES: Final = 500_000


class Relay(TaskOwner):
    """Asks peers for records while the log is unreachable, and answers their requests.

    Parameters
    ----------
    other_hosts : callable
        Returns the other hosts that are reachable.
    """

    def __init__(
        self,
        ledger: Ledger,
        peers: PeerLinks,
        handlers: Handlers,
        other_hosts: Callable[[], list[str]],
        metrics: Metrics,
        random: Random,
    ) -> None:
        self._ledger = ledger
        self._peers = peers
        self._other_hosts = other_hosts
        super().__init__(metrics)
        self._random = random
        handlers.register(RecordsAsk, self._answer)

    def loops(self) -> tuple[Loop, ...]:
        """Return the loop that asks the peers."""
        return (self._poll_peers,)

    def _poll_peers(self) -> None:
        while True:
            gevent.sleep(POLL_INTERVAL_SECONDS * self._random.uniform(0.5, 1.5))
            hosts = self._other_hosts()
            if hosts and not self._ledger.log_reachable:
                host = self._random.choice(hosts)
                for partition in self._ledger.partitions:
                    self._fetch_from(host, partition)

    def _fetch_from(self, host: str, partition: Partition) -> None:
        """Read records from one peer until it has no more."""
        while True:
            ask = RecordsAsk(partition.number, partition.fold.next_offset)
            answer = self._peers.ask(host, ask, ANSWER_TIMEOUT_SECONDS)
            if not isinstance(answer, RecordsAnswer) or not answer.records:
                return
            before = partition.fold.next_offset
            self._ledger.apply_records(partition, answer.records)
            applied = partition.fold.next_offset - before
            self._metrics.relayed_records.inc(applied)
            if not applied:
                return

    def _answer(self, ask: RecordsAsk) -> RecordsAnswer:
        if not 0 <= ask.partition < len(self._ledger.partitions):
            return RecordsAnswer(ask.partition, ())
        partition = self._ledger.partitions[ask.partition]
        records = partition.recent_from(ask.next_offset, MAX_ANSWER_BYTES)
        return RecordsAnswer(ask.partition, tuple(records))
