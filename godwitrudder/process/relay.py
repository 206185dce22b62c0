"""The relay: ledger records from peers, for a daemon cut off from the log.

Records travel with their offsets and go through the same fold, so a peer that
is behind moves nothing back and a gap is left for the log or a snapshot.
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

ASK_SECONDS: Final = 0.5
ANSWER_SECONDS: Final = 1.0
ANSWER_BYTES: Final = 500_000


class Relay(TaskOwner):
    """Asks peers for records while the log is away, and answers theirs.

    Parameters
    ----------
    others : callable
        Returns the reachable other hosts.
    """

    def __init__(
        self,
        ledger: Ledger,
        peers: PeerLinks,
        handlers: Handlers,
        others: Callable[[], list[str]],
        metrics: Metrics,
        random: Random,
    ) -> None:
        self._ledger = ledger
        self._peers = peers
        self._others = others
        super().__init__(metrics)
        self._random = random
        handlers.register(RecordsAsk, self._answer)

    def loops(self) -> tuple[Loop, ...]:
        """Return the loops of this owner."""
        return (self._ask_all,)

    def _ask_all(self) -> None:
        while True:
            gevent.sleep(ASK_SECONDS * self._random.uniform(0.5, 1.5))
            hosts = self._others()
            if hosts and not self._ledger.log_reachable:
                host = self._random.choice(hosts)
                for partition in self._ledger.partitions:
                    self._ask(host, partition)

    def _ask(self, host: str, partition: Partition) -> None:
        """Ask one peer until it has nothing more."""
        while True:
            question = RecordsAsk(partition.number, partition.fold.next_offset)
            answer = self._peers.ask(host, question, ANSWER_SECONDS)
            if not isinstance(answer, RecordsAnswer) or not answer.records:
                return
            before = partition.fold.next_offset
            self._ledger.apply_records(partition, answer.records)
            read = partition.fold.next_offset - before
            self._metrics.relayed_records.inc(read)
            if not read:
                return

    def _answer(self, question: RecordsAsk) -> RecordsAnswer:
        if not 0 <= question.partition < len(self._ledger.partitions):
            return RecordsAnswer(question.partition, ())
        partition = self._ledger.partitions[question.partition]
        records = partition.recent_from(question.next_offset, ANSWER_BYTES)
        return RecordsAnswer(question.partition, tuple(records))
