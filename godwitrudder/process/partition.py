"""One partition in one daemon: its fold, its outbox and the log time seen."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from random import Random
from typing import Final

from godwitrudder.platform.log import LogRecord
from godwitrudder.process.outbox import Outbox, Outgoing
from godwitrudder.version.fold import Effect, LedgerFold
from godwitrudder.version.records import Entry

# Local clocks may run faster than the log's; a stamp must never be ahead of it.
CLOCK_SHARE: Final = 0.9
RECENT_BYTES: Final = 500_000


def stream_of(partition: int) -> str:
    """Return the log stream of a partition."""
    return f"ledger-{partition}"


class Partition:
    """State of one partition; decides, and leaves I/O to the ledger task."""

    def __init__(self, number: int, random: Random) -> None:
        self.number = number
        self.fold = LedgerFold()
        self.outbox = Outbox(random)
        self._read_at = 0.0
        self._recent: deque[LogRecord] = deque()
        self._recent_bytes = 0

    @property
    def stream(self) -> str:
        """Log stream of the partition."""
        return stream_of(self.number)

    def stamp(self, now: float) -> float:
        """Return a log time that has surely passed, close to the present one."""
        if not self.fold.next_offset:
            return 0.0
        return self.fold.time + CLOCK_SHARE * max(0.0, now - self._read_at)

    def next_append(self, now: float) -> Outgoing | None:
        """Return the next append."""
        return self.outbox.next_append(now, self.stamp(now), self.fold.is_stale)

    def apply(self, record: LogRecord, now: float) -> list[Effect]:
        """Apply a record; one below or beyond the next offset does nothing."""
        if record.offset != self.fold.next_offset:
            return []
        before = self.fold.time
        effects = self.fold.apply(record.offset, record.time, record.data)
        if self.fold.time > before:
            self._read_at = now
        self._keep(record)
        for effect in effects:
            self.outbox.apply_effect(effect)
        return effects

    def restore(self, fold: LedgerFold, now: float) -> list[Entry]:
        """Take the state of a snapshot; return records given up.

        A snapshot that covers no more than what was read changes nothing.
        """
        if fold.next_offset <= self.fold.next_offset:
            return []
        self.fold = fold
        self._read_at = now
        self._recent.clear()
        self._recent_bytes = 0
        return self.outbox.jumped(fold.is_stale)

    def recent_from(self, offset: int, most_bytes: int) -> Iterator[LogRecord]:
        """Yield the kept records from an offset on; none where it is not kept."""
        if not self._recent or self._recent[0].offset > offset:
            return
        size = 0
        for record in list(self._recent):
            if record.offset >= offset:
                size += len(record.data)
                if size > most_bytes:
                    return
                yield record

    def _keep(self, record: LogRecord) -> None:
        self._recent.append(record)
        self._recent_bytes += len(record.data)
        while self._recent_bytes > RECENT_BYTES and len(self._recent) > 1:
            self._recent_bytes -= len(self._recent.popleft().data)
