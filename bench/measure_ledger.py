"""Ledger: append rate of the fleet, speed and memory of the fold, catch-up."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable, Iterator
from random import Random
from typing import Final

from bench.ledgers import LedgerFleet
from bench.report import Row
from godwitrudder.version import records, snapshot
from godwitrudder.version.fold import LedgerFold
from godwitrudder.version.records import Entry

MAX_APPENDS_PER_SECOND: Final = 200.0
RUN_SECONDS: Final = 20.0
ENTRIES: Final = 100_000
BATCH_ENTRIES: Final = 20
BUDGETS: Final = 10_000


def rows() -> Iterator[Row]:
    """Yield all rows."""
    yield from _append_rows("today, penghu", 7, 4, 20.0, 0.0005)
    yield from _append_rows("today, serra gaucha", 7, 4, 20.0, 0.0015)
    yield from _append_rows("350 daemons", 350, 32, 960.0, 0.0005)
    yield from _speed_rows()
    yield from _memory_rows()
    yield from _snapshot_rows()


def _append_rows(
    name: str, daemons: int, partitions: int, requests: float, delay: float
) -> Iterator[Row]:
    """Simulate a fleet that writes one grant and one bill per request.

    Parameters
    ----------
    name : str
        Case, as part of the rows' names.
    requests : float
        Requests per second of the whole fleet.
    delay : float
        One-way network delay in seconds.
    """
    fleet = LedgerFleet(5, daemons, partitions, delay)
    submitted: dict[str, float] = {}
    waited: list[float] = []
    _record_delays(fleet, submitted, waited)
    for number in range(int(requests * RUN_SECONDS)):
        when = fleet.world.random.uniform(0.0, RUN_SECONDS)
        node = fleet.nodes[fleet.world.random.choice(fleet.names)]
        partition = fleet.world.random.randrange(partitions)
        grant = records.Grant(f"g{number}", f"b{partition}", node.name, 100)
        bill = records.Bill(f"r{number}", f"b{partition}", node.name, 0)
        for entry, start in ((grant, when), (bill, when + 1.0)):
            fleet.world.after(
                start, _submitter(fleet, node.name, partition, entry, submitted)
            )
    fleet.world.run(RUN_SECONDS)
    rate = fleet.log.appends / RUN_SECONDS
    alone = 2 * requests
    yield Row(f"ledger: log appends, {name}", rate, "appends/s", MAX_APPENDS_PER_SECOND)
    yield Row(f"ledger: log appends without owners, {name}", alone, "records/s")
    waited.sort()
    for share in (50, 95):
        value = waited[len(waited) * share // 100] * 1000
        yield Row(f"ledger: record to read back p{share}, {name}", value, "ms")


def _record_delays(
    fleet: LedgerFleet, submitted: dict[str, float], waited: list[float]
) -> None:
    def on_effect(partition: int, effect: object) -> None:
        entry = getattr(effect, "entry", None)
        key = getattr(entry, "op", "") or getattr(entry, "request", "")
        start = submitted.pop(key, None)
        if start is not None:
            waited.append(fleet.world.clock.now() - start)

    fleet.listeners.append(on_effect)


def _submitter(
    fleet: LedgerFleet,
    name: str,
    partition: int,
    entry: records.Grant | records.Bill,
    submitted: dict[str, float],
) -> Callable[[], None]:
    key = entry.op if isinstance(entry, records.Grant) else entry.request

    def submit() -> None:
        submitted[key] = fleet.world.clock.now()
        fleet.nodes[name].submit(partition, entry)

    return submit


def _make_batches(budgets: int, entries: int) -> list[bytes]:
    """Return encoded batches: a base for each budget, then grants and bills."""
    random = Random(9)
    entries_made: list[Entry] = [
        records.Base(f"budget-{number:06d}", 10**9, 1) for number in range(budgets)
    ]
    for number in range(entries // 2):
        budget = f"budget-{random.randrange(budgets):06d}"
        holder = f"router-{random.randrange(7)}/0123456789ab+0"
        op = f"{random.getrandbits(128):032x}"
        entries_made.append(
            records.Grant(op, budget, holder, 100, 10, ("a", "b"), 1, 100)
        )
        entries_made.append(records.Bill(op, budget, holder, 90))
    return [
        records.encode_batch("w", entries_made[start : start + BATCH_ENTRIES])
        for start in range(0, len(entries_made), BATCH_ENTRIES)
    ]


def _fold_batches(batches: list[bytes]) -> LedgerFold:
    fold = LedgerFold()
    for offset, data in enumerate(batches):
        fold.apply(offset, 1000.0, data)
    return fold


def _speed_rows() -> Iterator[Row]:
    batches = _make_batches(100, ENTRIES)
    start = time.process_time()
    _fold_batches(batches)
    seconds = time.process_time() - start
    yield Row("ledger: fold speed", ENTRIES / seconds, "entries/s", better="higher")
    yield Row("ledger: fold per entry", seconds / ENTRIES * 1e6, "us")
    size = sum(map(len, batches)) / ENTRIES
    yield Row("ledger: record per entry", size, "bytes")


def _fold_bytes(batches: list[bytes]) -> float:
    gc.collect()
    tracemalloc.start()
    fold = _fold_batches(batches)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert fold.next_offset
    return float(used)


def _memory_rows() -> Iterator[Row]:
    empty = _fold_bytes(_make_batches(BUDGETS, 0))
    busy = _fold_bytes(_make_batches(100, 40_000))
    idle = _fold_bytes(_make_batches(100, 0))
    yield Row("ledger: memory per budget", empty / BUDGETS, "bytes")
    yield Row("ledger: memory per operation id", (busy - idle) / 40_000, "bytes")


def _snapshot_rows() -> Iterator[Row]:
    fold = _fold_batches(_make_batches(BUDGETS, 20_000))
    start = time.process_time()
    chunks = snapshot.chunks_of(fold)
    written = time.process_time() - start
    size = sum(map(len, chunks))
    yield Row("ledger: snapshot per 1000 budgets", size * 1000 / BUDGETS, "bytes")
    yield Row(
        "ledger: writing a snapshot per 1000 budgets", written * 1e6 / BUDGETS, "ms"
    )
    start = time.process_time()
    collector = snapshot.SnapshotAssembler()
    for data in chunks:
        collector.add(data, 0.0)
    caught = collector.newest()
    seconds = time.process_time() - start
    assert caught is not None and caught.next_offset == fold.next_offset
    yield Row("ledger: catch-up with 10000 budgets", seconds * 1000, "ms")
