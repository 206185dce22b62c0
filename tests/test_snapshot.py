"""Ledger snapshots: a snapshot and later records equal a fold of the whole log.

This also holds if the snapshot stream has faulty records.
"""

from __future__ import annotations

from collections import defaultdict
from random import Random

import pytest

from godwitrudder.clock import VirtualClock
from godwitrudder.platform.log import Log, LogPage, LogRecord, LogUnavailable
from godwitrudder.process.metrics import Metrics
from godwitrudder.process.partition import Partition
from godwitrudder.process.snapshots import SnapshotStore, snapshot_stream_of
from godwitrudder.version import records, snapshot
from godwitrudder.version.fold import LedgerFold
from godwitrudder.version.records import Entry
from godwitrudder.version.snapshot import SnapshotAssembler

STEP_SECONDS = 40.0
RETENTION_SECONDS = 8000.0


class MemoryLog(Log):
    """A log that drops records older than ``RETENTION_SECONDS``."""

    def __init__(self, clock: VirtualClock) -> None:
        self.clock = clock
        self.down = False
        self.streams: dict[str, list[LogRecord]] = defaultdict(list)

    def append(self, stream: str, data: bytes) -> int | LogUnavailable:
        """Append one record."""
        if self.down:
            return LogUnavailable("down")
        offset = len(self.streams[stream])
        self.streams[stream].append(LogRecord(offset, self.clock.now(), data))
        return offset

    def read(
        self, stream: str, offset: int, wait: float = 0.0
    ) -> LogPage | LogUnavailable:
        """Read up to 7 of the records that are still kept."""
        if self.down:
            return LogUnavailable("down")
        found = self.streams[stream]
        before = self.clock.now() - RETENTION_SECONDS
        kept = [record for record in found if record.time >= before]
        page = tuple(record for record in kept if record.offset >= offset)[:7]
        return LogPage(len(found) - len(kept), len(found), page)


def random_entry(random: Random, number: int) -> Entry:
    """Return a random record; many such records are void."""
    op, budget = str(random.randrange(number + 1)), random.choice("xyz")
    holder, tokens = random.choice("abcd") + str(number // 60), random.randrange(90)
    grant = records.Grant(op, budget, holder, tokens, 5, ("w",), 1, 3, 300, 900)
    intents = (records.Intent(op, budget, 9),)
    return random.choice(
        (
            records.Base(budget, tokens * 20, number),
            records.TopUp(op, budget, tokens, "paid"),
            grant,
            grant,
            records.Bill(op, budget, holder, tokens // 4, number % 5 == 0),
            records.Return(op, budget, holder, tokens // 3),
            records.Closing(op, holder, "w", intents),
            records.Claim(op, holder, "f", op),
            records.Result(op, random.choice((0, 200)), bytes(tokens), op),
        )
    )


def append_records(log: MemoryLog, count: int) -> None:
    """Append ``count`` records from a fixed seed, and advance the clock for each."""
    random = Random(11)
    for number in range(count):
        log.clock.advance(STEP_SECONDS)
        # 9000 s is beyond the replay window: the fold voids such a batch as stale.
        seen = log.clock.now() - random.choice((0.0, 9000.0))
        data = records.encode_batch("w", [random_entry(random, number)], seen)
        log.append("ledger-0", data)


def read_until(log: MemoryLog, partition: Partition, until: int) -> None:
    """Read up to an offset, including records beyond the retention."""
    for record in log.streams["ledger-0"][partition.fold.next_offset : until]:
        partition.apply(record, log.clock.now())


def digest(fold: LedgerFold) -> bytes:
    """Return the digest of a fold's state."""
    return snapshot.digest_of(snapshot.encode(fold))


@pytest.fixture
def log() -> MemoryLog:
    """Return a log with 600 records, the oldest of which are no longer kept."""
    log = MemoryLog(VirtualClock(1000.0))
    append_records(log, 600)
    return log


def snapshot_store(log: MemoryLog) -> SnapshotStore:
    """Return a ``SnapshotStore`` on the log."""
    return SnapshotStore(
        log, Metrics(), log.clock, RETENTION_SECONDS, lambda: log.clock.advance(1.0)
    )


@pytest.mark.parametrize("covered", [1, 250, 599, 600])
@pytest.mark.parametrize("size", [500, snapshot.CHUNK_BYTES])
def test_catch_up_equals_the_full_fold(log: MemoryLog, covered: int, size: int) -> None:
    """A snapshot, each chunk written twice, and later records give the same state."""
    full, early = Partition(0, Random(1)), Partition(0, Random(1))
    read_until(log, full, 600)
    read_until(log, early, covered)
    collector = SnapshotAssembler()
    for data in snapshot.chunks_of(early.fold, size):
        collector.add(data, 0.0)
        collector.add(data, 0.0)
    fold = collector.newest()
    assert fold is not None
    late = Partition(0, Random(1))
    late.restore(fold, 0.0)
    read_until(log, late, 600)
    assert digest(late.fold) == digest(full.fold)


@pytest.mark.parametrize("fault", ["corrupt", "partial", "foreign", "lagging"])
def test_a_bad_snapshot_is_ignored(log: MemoryLog, fault: str) -> None:
    """The valid snapshot that covers the most records is restored.

    Faulty and lagging snapshots that are written after it are ignored.
    """
    collector, good, bad = (
        SnapshotAssembler(),
        Partition(0, Random(1)),
        Partition(0, Random(1)),
    )
    read_until(log, good, 300)
    read_until(log, bad, 100 if fault == "lagging" else 400)
    for data in snapshot.chunks_of(good.fold, 500):
        collector.add(data, 0.0)
    chunks = snapshot.chunks_of(bad.fold, 500)
    if fault == "corrupt":
        chunks[0] = chunks[0][:-1] + b"!"
    if fault == "partial":
        chunks.pop()
    if fault == "foreign":
        chunks = [b"", b"\xff", records.encode_batch("w", [])]
    for data in chunks:
        collector.add(data, 1.0)
    fold = collector.newest()
    assert fold is not None and digest(fold) == digest(good.fold)


def test_restores_a_snapshot_when_the_log_has_dropped_records(log: MemoryLog) -> None:
    """A new daemon continues from a snapshot when the log has dropped old records."""
    full, late = Partition(0, Random(1)), Partition(0, Random(1))
    read_until(log, full, 600)
    assert snapshot_store(log).load(late) is None
    snapshot_store(log).write_if_due(full)
    assert snapshot_store(log).load(late) == []
    assert digest(late.fold) == digest(full.fold)


def test_a_lagging_snapshot_is_ignored(log: MemoryLog) -> None:
    """A partition that has read further ignores the snapshot."""
    full, lagging = Partition(0, Random(1)), Partition(0, Random(1))
    read_until(log, full, 600)
    read_until(log, lagging, 500)
    snapshot_store(log).write_if_due(lagging)
    before = digest(full.fold)
    assert snapshot_store(log).load(full) is None
    assert full.restore(lagging.fold, 0.0) == []
    assert digest(full.fold) == before


# seconds after a snapshot, whether the next check writes another
WRITE_CASES = [(10.0, False), (1900.0, False), (2100.0, True), (9000.0, True)]


@pytest.mark.parametrize(("seconds", "written"), WRITE_CASES)
def test_written_before_a_quarter_of_the_retention(
    log: MemoryLog, seconds: float, written: bool
) -> None:
    """A snapshot is rewritten at a quarter of the retention, also without new records.

    A log that is down raises no error.
    """
    partition = Partition(0, Random(1))
    read_until(log, partition, 600)
    snapshot_store(log).write_if_due(partition)
    stream = log.streams[snapshot_stream_of(0)]
    before = len(stream)
    log.clock.advance(seconds)
    snapshot_store(log).write_if_due(partition)
    assert (len(stream) > before) == written
    log.down = True
    snapshot_store(log).write_if_due(partition)


def test_a_record_of_unknown_outcome_is_given_up(log: MemoryLog) -> None:
    """A record whose append has no answer before the snapshot is reported.

    It is not appended again; a record not yet sent stays pending.
    """
    full, behind = Partition(0, Random(1)), Partition(0, Random(1))
    read_until(log, full, 600)
    read_until(log, behind, 10)
    unanswered, unsent = (records.Bill(name, "x", "a0", 1) for name in ("r", "s"))
    behind.outbox.put(unanswered)
    assert behind.next_append(log.clock.now()) is not None
    behind.outbox.put(unsent)
    assert behind.restore(full.fold, log.clock.now()) == [unanswered]
    assert list(behind.outbox.pending_by_entry) == [unsent]
