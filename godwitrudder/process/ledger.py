"""The ledger task: reads all partitions and appends this daemon's records.

A writer reads its records back to learn their result.  The effect that the fold
computes is authoritative, whichever daemon appended the record first.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from random import Random
from types import TracebackType
from typing import Final, Self

import gevent
import xxhash
from gevent import Greenlet
from gevent.event import AsyncResult, Event

from godwitrudder.clock import Clock
from godwitrudder.codec import Malformed
from godwitrudder.connection.ledgers import Offer, Taken
from godwitrudder.platform.log import POLL_SECONDS, Log, LogRecord, LogUnavailable
from godwitrudder.process import guard
from godwitrudder.process.metrics import Metrics
from godwitrudder.process.outbox import (
    FIRST_BACKOFF_SECONDS,
    MAX_BACKOFF_SECONDS,
    AppendRateLimiter,
    Outgoing,
)
from godwitrudder.process.owners import PartitionOwners
from godwitrudder.process.partition import Partition
from godwitrudder.process.snapshots import SnapshotStore
from godwitrudder.version import records
from godwitrudder.version.fold import Budget, Effect, LedgerFold
from godwitrudder.version.records import Entry

# Time to collect records for a batch that is appended, or offered to an owner.
BATCH_WINDOW_SECONDS: Final = 0.02
OFFER_WINDOW_SECONDS: Final = 0.002
MAX_UNANSWERED_APPENDS: Final = 6
IDLE_CHECK_SECONDS: Final = 1.0

logger = logging.getLogger(__name__)
Listener = Callable[[Effect], None]


def partition_of(key: str, partitions: int) -> int:
    """Return the partition number of a budget name or a request id."""
    return xxhash.xxh64_intdigest(key.encode()) % partitions


class Ledger:
    """Reads and writes all partitions of the ledger for one daemon.

    Parameters
    ----------
    log : Log
        The platform's log.
    writer : str
        Incarnation of this daemon.
    partitions : int
        Number of ledger partitions of the fleet.
    live_daemons : callable
        Returns the number of known daemons, which share the fleet's append rate.
    retention_seconds : float
        Seconds for which the log keeps records.
    owners : PartitionOwners, optional
        Partition owners that append for other daemons.  Without it, this daemon
        appends all its records itself.

    Attributes
    ----------
    log_reachable : bool
        Whether the last read of a partition reached the log.
    """

    def __init__(
        self,
        log: Log,
        writer: str,
        partitions: int,
        metrics: Metrics,
        random: Random,
        clock: Clock,
        live_daemons: Callable[[], int],
        retention_seconds: float,
        owners: PartitionOwners | None = None,
    ) -> None:
        self._log = log
        self._writer = writer
        self._metrics = metrics
        self._random = random
        self._clock = clock
        self._live_daemons = live_daemons
        self._append_limiter = AppendRateLimiter()
        self._owners = owners
        self.partitions = [Partition(n, random) for n in range(partitions)]
        self._snapshots = SnapshotStore(
            log, metrics, clock, retention_seconds, self._wait_for_rate
        )
        self._queued_events = [Event() for _ in range(partitions)]
        self._offer_results: list[list[AsyncResult[bool]]] = [
            [] for _ in self.partitions
        ]
        self._read_events = [Event() for _ in self.partitions]
        self._unanswered_appends: set[Greenlet] = set()
        self._listeners: list[Listener] = []
        self._tasks: list[Greenlet] = []
        self.log_reachable = True

    def __enter__(self) -> Self:
        """Start a reader, an appender and a snapshot writer per partition."""
        for partition in self.partitions:
            for task in (self._follow, self._append_all, self._keep_snapshots):
                self._tasks.append(guard.spawn_critical(self._metrics, task, partition))
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop the tasks and discard records that are not yet appended."""
        gevent.killall(self._tasks)

    def listen(self, listener: Listener) -> None:
        """Call ``listener`` with each effect, in log order within a partition."""
        self._listeners.append(listener)

    def submit(self, key: str, entry: Entry) -> None:
        """Queue a record for the partition of ``key``."""
        self._queue(self._partition_for(key), entry)

    def submit_everywhere(self, entry: Entry) -> None:
        """Queue a record for every partition."""
        for partition in self.partitions:
            self._queue(partition, entry)

    def apply_records(self, partition: Partition, page: Iterable[LogRecord]) -> None:
        """Apply records from the log or a peer and pass effects to the listeners."""
        now = self._clock.now()
        for record in page:
            for effect in partition.apply(record, now):
                self._notify(effect)
        self._read_events[partition.number].set()

    def append_offered(self, offer: Offer) -> Taken:
        """Append a batch from another daemon together with this daemon's next one."""
        batch = records.decode_batch(offer.data)
        if isinstance(batch, Malformed) or not self._is_partition(offer.partition):
            return Taken(False)
        partition = self.partitions[offer.partition]
        for plain in batch.entries:
            entry = records.decode_entry(plain)
            if isinstance(entry, Malformed) or not partition.outbox.put(
                entry, batch.seen
            ):
                return Taken(False)
        result: AsyncResult[bool] = AsyncResult()
        self._offer_results[offer.partition].append(result)
        self._queued_events[offer.partition].set()
        return Taken(bool(result.get()))

    def _is_partition(self, partition: int) -> bool:
        return 0 <= partition < len(self.partitions)

    def fold_of(self, key: str) -> LedgerFold:
        """Return the fold of the partition that holds ``key``."""
        return self._partition_for(key).fold

    def budget(self, budget: str) -> Budget | None:
        """Return the state of a budget after the records read so far."""
        return self.fold_of(budget).budgets_by_id.get(budget)

    @property
    def pending(self) -> int:
        """Number of records whose effect is not yet read back."""
        return sum(len(p.outbox.pending_by_entry) for p in self.partitions)

    def settled(self) -> bool:
        """Whether the effects of all submitted records are read back."""
        return self.pending == 0

    def _partition_for(self, key: str) -> Partition:
        return self.partitions[partition_of(key, len(self.partitions))]

    def _queue(self, partition: Partition, entry: Entry) -> None:
        if partition.outbox.put(entry):
            self._queued_events[partition.number].set()
        else:
            self._count_dropped(entry)

    def _count_dropped(self, entry: Entry) -> None:
        kind = type(entry).__name__.lower()
        self._metrics.dropped_records.labels(kind).inc()
        if isinstance(entry, records.Bill):
            self._metrics.violations.labels("bill_dropped").inc()

    def _follow(self, partition: Partition) -> None:
        self._skip_to_snapshot(partition)
        backoff = FIRST_BACKOFF_SECONDS
        while True:
            offset = partition.fold.next_offset
            page = self._log.read(partition.stream, offset, POLL_SECONDS)
            self.log_reachable = not isinstance(page, LogUnavailable)
            if isinstance(page, LogUnavailable):
                backoff = self._sleep(backoff)
            elif page.first > offset and not self._skip_to_snapshot(partition):
                self._metrics.snapshots.labels("missing").inc()
                backoff = self._sleep(backoff)
            else:
                backoff = FIRST_BACKOFF_SECONDS
                self.apply_records(partition, page.records)

    def _skip_to_snapshot(self, partition: Partition) -> bool:
        """Restore the newest snapshot; return False if none is ahead of the fold."""
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
            self._snapshots.write_if_due(partition)

    def _wait_for_rate(self) -> None:
        """Wait until this daemon's rate limit allows one more append."""
        share = 1.0 / max(1, self._live_daemons())
        if self._owners is not None:
            share = max(share, self._owners.owned_share(len(self.partitions)))
        gevent.sleep(self._append_limiter.acquire(self._clock.now(), share))

    def _notify(self, effect: Effect) -> None:
        if effect.violation:
            self._metrics.violations.labels("beyond_holding").inc()
        for listener in self._listeners:
            listener(effect)

    def _append_all(self, partition: Partition) -> None:
        queued = self._queued_events[partition.number]
        while True:
            self._wait_until_due(partition, queued)
            owner = self._owner(partition)
            gevent.sleep(
                BATCH_WINDOW_SECONDS if owner is None else OFFER_WINDOW_SECONDS
            )
            if owner is None:
                self._wait_for_rate()
            offer_results = self._offer_results[partition.number]
            self._offer_results[partition.number] = []
            accepted = self._send(partition, owner)
            for result in offer_results:
                result.set(accepted)

    def _owner(self, partition: Partition) -> str | None:
        """Return the daemon that appends this batch, or None for this daemon."""
        if self._owners is None or self._offer_results[partition.number]:
            return None
        return self._owners.owner(partition.number)

    def _send(self, partition: Partition, owner: str | None) -> bool:
        outgoing = partition.next_append(self._clock.now())
        if outgoing is None:
            return True
        data = records.encode_batch(self._writer, list(outgoing.entries), outgoing.seen)
        if self._owners is None or owner is None or outgoing.foreign:
            accepted = self._append(partition, outgoing, data)
        else:
            accepted = self._owners.offer(owner, partition.number, data)
        partition.outbox.record_answer(accepted, self._clock.now())
        return accepted

    def _wait_until_due(self, partition: Partition, queued: Event) -> None:
        """Wait until a record is due for an append."""
        while True:
            due = partition.outbox.due_at()
            wait = IDLE_CHECK_SECONDS if due is None else due - self._clock.now()
            if wait <= 0:
                return
            queued.clear()
            queued.wait(wait)

    def _append(self, partition: Partition, outgoing: Outgoing, data: bytes) -> bool:
        """Append a batch; stop waiting for the answer once all of it is read back.

        At most ``MAX_UNANSWERED_APPENDS`` such appends stay open; beyond that,
        waits for the answer.
        """
        task = gevent.spawn(self._log.append, partition.stream, data)
        read_event = self._read_events[partition.number]
        while not task.ready() and not partition.outbox.is_read_back(outgoing):
            read_event.clear()
            gevent.wait([task, read_event], count=1)
        if not task.ready() and len(self._unanswered_appends) >= MAX_UNANSWERED_APPENDS:
            task.join()
        if task.ready():
            accepted = not isinstance(task.get(), LogUnavailable)
            result = "accepted" if accepted else "unavailable"
        else:
            accepted, result = True, "read_back"
            self._unanswered_appends.add(task)
            task.rawlink(self._unanswered_appends.discard)
        self._metrics.appends.labels(result).inc()
        return accepted

    def _sleep(self, backoff: float) -> float:
        """Sleep with full jitter and return the next back-off in seconds."""
        gevent.sleep(self._random.uniform(0, backoff))
        return min(backoff * 2, MAX_BACKOFF_SECONDS)
