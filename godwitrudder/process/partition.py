"""One ledger partition in one daemon: its fold, outbox and seen log time."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from random import Random
from typing import Final

from godwitrudder.platform.log import LogRecord
from godwitrudder.process.outbox import Outbox, Outgoing
from godwitrudder.version.fold import Effect, LedgerFold
from godwitrudder.version.records import Entry

# A local clock may run faster than the log's clock.  Counting only this part of the
# local time keeps the seen log time from being ahead of the log's clock.
CLOCK_FACTOR: Final = 0.9
MAX_RECENT_BYTES: Final = 500_000


def stream_of(partition: int) -> str:
    """Return the name of a partition's log stream."""
    return f"ledger-{partition}"


class Partition:
    """State of one partition, without I/O, which the ledger task does."""

    def __init__(self, number: int, random: Random) -> None:
        self.number = number
        self.fold = LedgerFold()
        self.outbox = Outbox(random)
        self._log_time_read_at = 0.0
        self._recent: deque[LogRecord] = deque()
        self._recent_bytes = 0

    @property
    def stream(self) -> str:
        """Name of the partition's log stream."""
        return stream_of(self.number)

    def seen_log_time(self, now: float) -> float:
        """Return a recent log time in seconds that has certainly passed."""
        if not self.fold.next_offset:
            return 0.0
        return self.fold.time + CLOCK_FACTOR * max(0.0, now - self._log_time_read_at)

    def next_append(self, now: float) -> Outgoing | None:
        """Return the next append to make, or None."""
        return self.outbox.next_append(now, self.seen_log_time(now), self.fold.is_stale)

    def apply(self, record: LogRecord, now: float) -> list[Effect]:
        """Apply the record at the next offset; ignore one at any other offset."""
        if record.offset != self.fold.next_offset:
            return []
        before = self.fold.time
        effects = self.fold.apply(record.offset, record.time, record.data)
        if self.fold.time > before:
            self._log_time_read_at = now
        self._keep_recent(record)
        for effect in effects:
            self.outbox.apply_effect(effect)
        return effects

    def restore(self, fold: LedgerFold, now: float) -> list[Entry]:
        """Restore a snapshot and return the records whose effect is unknown.

        A snapshot that is not ahead of the records read so far changes nothing.
        """
        if fold.next_offset <= self.fold.next_offset:
            return []
        self.fold = fold
        self._log_time_read_at = now
        self._recent.clear()
        self._recent_bytes = 0
        return self.outbox.drop_unknown(fold.is_stale)

    def recent_from(self, offset: int, max_bytes: int) -> Iterator[LogRecord]:
        """Yield recent records from an offset on, up to ``max_bytes``.

        Yields none if the record at the offset is no longer kept.
        """
        if not self._recent or self._recent[0].offset > offset:
            return
        size = 0
        for record in list(self._recent):
            if record.offset >= offset:
                size += len(record.data)
                if size > max_bytes:
                    return
                yield record

    def _keep_recent(self, record: LogRecord) -> None:
        self._recent.append(record)
        self._recent_bytes += len(record.data)
        while self._recent_bytes > MAX_RECENT_BYTES and len(self._recent) > 1:
            self._recent_bytes -= len(self._recent.popleft().data)
