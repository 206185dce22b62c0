"""The ledger task: reads every partition, appends this daemon's records.

A writer learns what its records did by reading them back: the fold's effect is
the answer, whoever appended first.
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
    BACKOFF_FIRST_SECONDS,
    BACKOFF_MOST_SECONDS,
    AppendRateLimiter,
    Outgoing,
)
from godwitrudder.process.owners import PartitionOwners
from godwitrudder.process.partition import Partition
from godwitrudder.process.snapshots import SnapshotStore
from godwitrudder.version import records
from godwitrudder.version.fold import Budget, Effect, LedgerFold
from godwitrudder.version.records import Entry

BATCH_WINDOW_SECONDS: Final = 0.02
OFFER_WINDOW_SECONDS: Final = 0.002
UNANSWERED_MOST: Final = 6
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
    owners : Owners, optional
        Daemons that append for others; without, this one appends all itself.
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
        owners: PartitionOwners | None = None,
    ) -> None:
        self._log = log
        self._writer = writer
        self._metrics = metrics
        self._random = random
        self._clock = clock
        self._live = live
        self._rate = AppendRateLimiter()
        self._owners = owners
        self.partitions = [Partition(n, random) for n in range(partitions)]
        self._snapshots = SnapshotStore(log, metrics, clock, retention, self._pace)
        self._woken = [Event() for _ in range(partitions)]
        self._offers: list[list[AsyncResult[bool]]] = [[] for _ in self.partitions]
        self._news = [Event() for _ in self.partitions]
        self._unanswered: set[Greenlet] = set()
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

    def apply_records(self, partition: Partition, page: Iterable[LogRecord]) -> None:
        """Apply records, from the log or from a peer, and tell their effects."""
        now = self._clock.now()
        for record in page:
            for effect in partition.apply(record, now):
                self._tell(effect)
        self._news[partition.number].set()

    def append_offered(self, offer: Offer) -> Taken:
        """Append the batch of another daemon with the next of this one's own."""
        batch = records.decode_batch(offer.data)
        if isinstance(batch, Malformed) or not self._known(offer.partition):
            return Taken(False)
        partition = self.partitions[offer.partition]
        for plain in batch.entries:
            entry = records.decode_entry(plain)
            if isinstance(entry, Malformed) or not partition.outbox.put(
                entry, batch.seen
            ):
                return Taken(False)
        result: AsyncResult[bool] = AsyncResult()
        self._offers[offer.partition].append(result)
        self._woken[offer.partition].set()
        return Taken(bool(result.get()))

    def _known(self, partition: int) -> bool:
        return 0 <= partition < len(self.partitions)

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
                self.apply_records(partition, page.records)

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
            self._snapshots.write_if_due(partition)

    def _pace(self) -> None:
        """Wait until one more append is within this daemon's rate."""
        share = 1.0 / max(1, self._live())
        if self._owners is not None:
            share = max(share, self._owners.owned_share(len(self.partitions)))
        gevent.sleep(self._rate.acquire(self._clock.now(), share))

    def _tell(self, effect: Effect) -> None:
        if effect.violation:
            self._metrics.violations.labels("beyond_holding").inc()
        for listener in self._listeners:
            listener(effect)

    def _append_all(self, partition: Partition) -> None:
        woken = self._woken[partition.number]
        while True:
            self._await(partition, woken)
            owner = self._owner(partition)
            gevent.sleep(
                BATCH_WINDOW_SECONDS if owner is None else OFFER_WINDOW_SECONDS
            )
            if owner is None:
                self._pace()
            offers = self._offers[partition.number]
            self._offers[partition.number] = []
            accepted = self._send(partition, owner)
            for result in offers:
                result.set(accepted)

    def _owner(self, partition: Partition) -> str | None:
        """Return who appends for this daemon; None to append oneself."""
        if self._owners is None or self._offers[partition.number]:
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

    def _await(self, partition: Partition, woken: Event) -> None:
        """Wait until a record is due."""
        while True:
            due = partition.outbox.due_at()
            wait = IDLE_SECONDS if due is None else due - self._clock.now()
            if wait <= 0:
                return
            woken.clear()
            woken.wait(wait)

    def _append(self, partition: Partition, outgoing: Outgoing, data: bytes) -> bool:
        """Append; reading all of it back is as good as an answer."""
        task = gevent.spawn(self._log.append, partition.stream, data)
        news = self._news[partition.number]
        while not task.ready() and not partition.outbox.settled(outgoing):
            news.clear()
            gevent.wait([task, news], count=1)
        if not task.ready() and len(self._unanswered) >= UNANSWERED_MOST:
            task.join()
        if task.ready():
            accepted = not isinstance(task.get(), LogUnavailable)
            result = "accepted" if accepted else "unavailable"
        else:
            accepted, result = True, "read_back"
            self._unanswered.add(task)
            task.rawlink(self._unanswered.discard)
        self._metrics.appends.labels(result).inc()
        return accepted

    def _sleep(self, backoff: float) -> float:
        """Sleep with full jitter and return the next back-off, in seconds."""
        gevent.sleep(self._random.uniform(0, backoff))
        return min(backoff * 2, BACKOFF_MOST_SECONDS)
