"""The ledger task: reads every partition, appends this daemon's records.

A writer learns what its records did by reading them back: the fold's effect is
the answer, whoever appended first.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from random import Random
from types import TracebackType
from typing import Final, Self

import gevent
import xxhash
from gevent import Greenlet
from gevent.queue import Queue

from godwitrudder.platform.log import POLL_SECONDS, Log, LogUnavailable
from godwitrudder.process.metrics import Metrics
from godwitrudder.version import records
from godwitrudder.version.fold import Budget, Effect, LedgerFold
from godwitrudder.version.records import Entry

WINDOW_SECONDS: Final = 0.02
BATCH_ENTRIES: Final = 500
BACKOFF_FIRST_SECONDS: Final = 0.05
BACKOFF_MOST_SECONDS: Final = 2.0

logger = logging.getLogger(__name__)
Listener = Callable[[Effect], None]


def partition_of(key: str, partitions: int) -> int:
    """Return the partition of a budget or a request."""
    return xxhash.xxh64_intdigest(key.encode()) % partitions


def stream_of(partition: int) -> str:
    """Return the log stream of a partition."""
    return f"ledger-{partition}"


class Ledger:
    """All partitions of the ledger, followed and written by one daemon.

    Parameters
    ----------
    log : Log
        The platform's log.
    writer : str
        This incarnation.
    partitions : int
        Number of partitions of the fleet.
    """

    def __init__(
        self, log: Log, writer: str, partitions: int, metrics: Metrics, random: Random
    ) -> None:
        self._log = log
        self._writer = writer
        self._metrics = metrics
        self._random = random
        self.folds = [LedgerFold() for _ in range(partitions)]
        self._queues: list[Queue[Entry]] = [Queue() for _ in range(partitions)]
        self._listeners: list[Listener] = []
        self._tasks: list[Greenlet] = []
        self.pending = 0
        self.reachable = True

    def __enter__(self) -> Self:
        """Start a reader and an appender per partition."""
        for partition in range(len(self.folds)):
            self._tasks.append(gevent.spawn(self._follow, partition))
            self._tasks.append(gevent.spawn(self._append_all, partition))
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop the tasks; records not yet appended are lost."""
        gevent.killall(self._tasks)

    def listen(self, listener: Listener) -> None:
        """Call ``listener`` with every effect, in log order per partition."""
        self._listeners.append(listener)

    def submit(self, key: str, entry: Entry) -> None:
        """Queue a record for the partition of ``key``."""
        self.pending += 1
        self._queues[partition_of(key, len(self.folds))].put(entry)

    def submit_everywhere(self, entry: Entry) -> None:
        """Queue a record for every partition."""
        self.pending += len(self._queues)
        for queue in self._queues:
            queue.put(entry)

    def fold_of(self, key: str) -> LedgerFold:
        """Return the fold that holds ``key``."""
        return self.folds[partition_of(key, len(self.folds))]

    def budget(self, budget: str) -> Budget | None:
        """Return the state of a budget, as read so far."""
        return self.fold_of(budget).budgets_by_id.get(budget)

    def settled(self) -> bool:
        """Whether every queued record was appended."""
        return self.pending == 0

    def _follow(self, partition: int) -> None:
        fold = self.folds[partition]
        backoff = BACKOFF_FIRST_SECONDS
        while True:
            page = self._log.read(stream_of(partition), fold.next_offset, POLL_SECONDS)
            self.reachable = not isinstance(page, LogUnavailable)
            if isinstance(page, LogUnavailable):
                backoff = self._sleep(backoff)
                continue
            backoff = BACKOFF_FIRST_SECONDS
            for record in page.records:
                for effect in fold.apply(record.offset, record.time, record.data):
                    self._tell(effect)

    def _tell(self, effect: Effect) -> None:
        for listener in self._listeners:
            listener(effect)

    def _append_all(self, partition: int) -> None:
        queue = self._queues[partition]
        while True:
            entries = [queue.get()]
            gevent.sleep(WINDOW_SECONDS)
            while queue.qsize() and len(entries) < BATCH_ENTRIES:
                entries.append(queue.get())
            self._append(partition, records.encode_batch(self._writer, entries))
            self.pending -= len(entries)

    def _append(self, partition: int, data: bytes) -> None:
        """Append until the log answers; the fold ignores a second record."""
        backoff = BACKOFF_FIRST_SECONDS
        while isinstance(self._log.append(stream_of(partition), data), LogUnavailable):
            self._metrics.appends.labels("unavailable").inc()
            backoff = self._sleep(backoff)
        self._metrics.appends.labels("accepted").inc()

    def _sleep(self, backoff: float) -> float:
        """Sleep with full jitter and return the next back-off, in seconds."""
        gevent.sleep(self._random.uniform(0, backoff))
        return min(backoff * 2, BACKOFF_MOST_SECONDS)
