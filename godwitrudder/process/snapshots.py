"""Reads and writes snapshots of ledger partitions."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Final

from godwitrudder.clock import Clock
from godwitrudder.platform.log import Log, LogUnavailable
from godwitrudder.process.metrics import Metrics
from godwitrudder.process.partition import Partition
from godwitrudder.version import snapshot
from godwitrudder.version.records import Entry
from godwitrudder.version.snapshot import SnapshotAssembler

CHECKS_PER_RETENTION: Final = 64

logger = logging.getLogger(__name__)


def snapshot_stream_of(partition: int) -> str:
    """Return the name of the log stream of a partition's snapshots."""
    return f"ledger-{partition}-snapshot"


class SnapshotStore:
    """Loads and writes the snapshots of the partitions that this daemon reads.

    Parameters
    ----------
    retention_seconds : float
        Seconds for which the log keeps records.
    wait_for_rate : callable
        Waits until the rate limit allows one more append.
    """

    def __init__(
        self,
        log: Log,
        metrics: Metrics,
        clock: Clock,
        retention_seconds: float,
        wait_for_rate: Callable[[], None],
    ) -> None:
        self._log = log
        self._metrics = metrics
        self._clock = clock
        self._retention_seconds = retention_seconds
        self._wait_for_rate = wait_for_rate

    @property
    def check_seconds(self) -> float:
        """Mean interval in seconds between checks of the newest snapshot."""
        return self._retention_seconds / CHECKS_PER_RETENTION

    def load(self, partition: Partition) -> list[Entry] | None:
        """Advance a partition to the newest complete snapshot.

        Returns
        -------
        list of Entry or None
            Pending records whose effect can't be known any more.  None if no
            snapshot is ahead of the partition.
        """
        collector = self._read_snapshots(partition)
        fold = None if collector is None else collector.newest()
        if fold is None or fold.next_offset <= partition.fold.next_offset:
            return None
        self._metrics.snapshots.labels("loaded").inc()
        logger.info(
            "%s: restored a snapshot; reading continues at offset %d",
            partition.stream,
            fold.next_offset,
        )
        return partition.restore(fold, self._clock.now())

    def write_if_due(self, partition: Partition) -> None:
        """Write a snapshot if the newest one is not fresh.

        See ``Collector.fresh``; a snapshot older than a quarter of the log's retention
        is not fresh.
        """
        collector = self._read_snapshots(partition)
        if collector is None or not partition.fold.next_offset:
            return
        now, reached = self._clock.wall(), partition.fold.next_offset
        if not collector.has_current_snapshot(now, self._retention_seconds, reached):
            self._write(partition)

    def _write(self, partition: Partition) -> None:
        stream = snapshot_stream_of(partition.number)
        for data in snapshot.chunks_of(partition.fold):
            self._wait_for_rate()
            if isinstance(self._log.append(stream, data), LogUnavailable):
                self._metrics.snapshots.labels("unfinished").inc()
                return
        self._metrics.snapshots.labels("written").inc()

    def _read_snapshots(self, partition: Partition) -> SnapshotAssembler | None:
        """Read the snapshot stream to its end; None if the log is unavailable."""
        collector = SnapshotAssembler()
        offset = 0
        while True:
            page = self._log.read(snapshot_stream_of(partition.number), offset)
            if isinstance(page, LogUnavailable):
                return None
            for record in page.records:
                collector.add(record.data, record.time)
                offset = record.offset + 1
            if not page.records or offset >= page.next:
                return collector
