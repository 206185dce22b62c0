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
from gevent.event import Event

from godwitrudder.clock import Clock
from godwitrudder.platform.log import POLL_SECONDS, Log, LogPage, LogUnavailable
from godwitrudder.process import guard
from godwitrudder.process.metrics import Metrics
from godwitrudder.process.outbox import (
    BACKOFF_FIRST_SECONDS,
    BACKOFF_MOST_SECONDS,
    AppendRate,
    Outgoing,
)
from godwitrudder.process.partition import Partition
from godwitrudder.process.snapshots import SnapshotDesk
from godwitrudder.version import records
from godwitrudder.version.fold import Budget, Effect, LedgerFold
from godwitrudder.version.records import Entry

WINDOW_SECONDS: Final = 0.02
IDLE_SECONDS: Final = 1.0

logger = logging.getLogger(__name__)
Listener = Callable[[Effect], None]


def partition_of(key: str, partitions: int) -> int:
    """Return the partition of a budget or a request."""
    return xxhash.xxh64_intdigest(key.encode()) % partitions


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
    live : callable
        Returns the number of live daemons, which share the fleet's appends.
    retention : float
        Seconds for which the log keeps records.
    """

    def __init__(
        self,
        log: Log,
        writer: str,
        partitions: int,
        metrics: Metrics,
        random: Random,
        clock: Clock,
        live: Callable[[], int],
        retention: float,
    ) -> None:
        self._log = log
        self._writer = writer
        self._metrics = metrics
        self._random = random
        self._clock = clock
        self._live = live
        self._rate = AppendRate()
        self.partitions = [Partition(n, random) for n in range(partitions)]
        self._snapshots = SnapshotDesk(log, metrics, clock, retention, self._pace)
        self._woken = [Event() for _ in range(partitions)]
        self._listeners: list[Listener] = []
        self._tasks: list[Greenlet] = []
        self.reachable = True

    def __enter__(self) -> Self:
        """Start a reader, an appender and a snapshot writer per partition."""
        for partition in self.partitions:
            for task in (self._follow, self._append_all, self._keep_snapshots):
                self._tasks.append(guard.spawn(self._metrics, task, partition))
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
        self._put(self._partition(key), entry)

    def submit_everywhere(self, entry: Entry) -> None:
        """Queue a record for every partition."""
        for partition in self.partitions:
            self._put(partition, entry)

    def fold_of(self, key: str) -> LedgerFold:
        """Return the fold that holds ``key``."""
        return self._partition(key).fold

    def budget(self, budget: str) -> Budget | None:
        """Return the state of a budget, as read so far."""
        return self.fold_of(budget).budgets_by_id.get(budget)

    @property
    def pending(self) -> int:
        """Records whose effect was not read back yet."""
        return sum(len(p.outbox.pending_by_entry) for p in self.partitions)

    def settled(self) -> bool:
        """Whether the effect of every record was read back."""
        return self.pending == 0

    def _partition(self, key: str) -> Partition:
        return self.partitions[partition_of(key, len(self.partitions))]

    def _put(self, partition: Partition, entry: Entry) -> None:
        if partition.outbox.put(entry):
            self._woken[partition.number].set()
        else:
            self._dropped(entry)

    def _dropped(self, entry: Entry) -> None:
        kind = type(entry).__name__.lower()
        self._metrics.dropped_records.labels(kind).inc()
        if isinstance(entry, records.Bill):
            self._metrics.violations.labels("bill_dropped").inc()

    def _follow(self, partition: Partition) -> None:
        self._skip(partition)
        backoff = BACKOFF_FIRST_SECONDS
        while True:
            offset = partition.fold.next_offset
            page = self._log.read(partition.stream, offset, POLL_SECONDS)
            self.reachable = not isinstance(page, LogUnavailable)
            if isinstance(page, LogUnavailable):
                backoff = self._sleep(backoff)
            elif page.first > offset and not self._skip(partition):
                self._metrics.snapshots.labels("missing").inc()
                backoff = self._sleep(backoff)
            else:
                backoff = BACKOFF_FIRST_SECONDS
                self._read(partition, page)

    def _skip(self, partition: Partition) -> bool:
        """Continue at the newest snapshot; False where none is further."""
        lost = self._snapshots.load(partition)
        if lost is None:
            return False
        for _ in lost:
            self._metrics.violations.labels("append_outcome_unknown").inc()
        return True

    def _keep_snapshots(self, partition: Partition) -> None:
        mean = self._snapshots.check_seconds
        while True:
            gevent.sleep(mean * self._random.uniform(0.5, 1.5))
            self._snapshots.keep(partition)

    def _pace(self) -> None:
        """Wait until one more append is within this daemon's rate."""
        gevent.sleep(self._rate.take(self._clock.now(), self._live()))

    def _read(self, partition: Partition, page: LogPage) -> None:
        now = self._clock.now()
        for record in page.records:
            for effect in partition.read(record, now):
                self._tell(effect)

    def _tell(self, effect: Effect) -> None:
        if effect.violation:
            self._metrics.violations.labels("beyond_holding").inc()
        for listener in self._listeners:
            listener(effect)

    def _append_all(self, partition: Partition) -> None:
        woken = self._woken[partition.number]
        while True:
            self._await(partition, woken)
            gevent.sleep(WINDOW_SECONDS)
            self._pace()
            outgoing = partition.take(self._clock.now())
            if outgoing is not None:
                accepted = self._append(partition, outgoing)
                partition.outbox.answered(accepted, self._clock.now())

    def _await(self, partition: Partition, woken: Event) -> None:
        """Wait until a record is due."""
        while True:
            due = partition.outbox.due_at()
            wait = IDLE_SECONDS if due is None else due - self._clock.now()
            if wait <= 0:
                return
            woken.clear()
            woken.wait(wait)

    def _append(self, partition: Partition, outgoing: Outgoing) -> bool:
        data = records.encode_batch(self._writer, list(outgoing.entries), outgoing.seen)
        answer = self._log.append(partition.stream, data)
        accepted = not isinstance(answer, LogUnavailable)
        result = "accepted" if accepted else "unavailable"
        self._metrics.appends.labels(result).inc()
        return accepted

    def _sleep(self, backoff: float) -> float:
        """Sleep with full jitter and return the next back-off, in seconds."""
        gevent.sleep(self._random.uniform(0, backoff))
        return min(backoff * 2, BACKOFF_MOST_SECONDS)
