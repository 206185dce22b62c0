"""The outbox with a log that loses answers or is down, also beyond the replay window.

Guards against bills that are lost or applied twice.
"""

from __future__ import annotations

from random import Random

import pytest

from bench.simulation import Network, SimulatedLog, World
from godwitrudder.platform.log import LogRecord, LogUnavailable
from godwitrudder.process.outbox import (
    MAX_PENDING,
    MAX_REPEATABLE,
    AppendRateLimiter,
    Outbox,
)
from godwitrudder.process.partition import MAX_RECENT_BYTES, Partition
from godwitrudder.version import records
from godwitrudder.version.replay import REPLAY_WINDOW_SECONDS

STREAM = "ledger-0"
STEP_SECONDS = 0.05


class Writer:
    """A partition that reads and appends to the simulated log."""

    def __init__(self, name: str, world: World, log: SimulatedLog) -> None:
        self.name = name
        self.world = world
        self.log = log
        self.partition = Partition(0, world.random)
        world.every(STEP_SECONDS, self.step)

    def put_after(self, seconds: float, entry: records.Entry) -> None:
        """Queue a record after a delay."""

        def put() -> None:
            self.partition.outbox.put(entry)

        self.world.after(seconds, put)

    def step(self) -> None:
        """Read new records and append those that are due."""
        offset = self.partition.fold.next_offset
        for record in self.log.read(self.name, STREAM, offset):
            self.partition.apply(record, self.world.clock.now())
        outgoing = self.partition.next_append(self.world.clock.now())
        if outgoing is not None:
            data = records.encode_batch(
                self.name, list(outgoing.entries), outgoing.seen
            )
            self.log.append(self.name, STREAM, data, self.answered)

    def answered(self, answer: int | LogUnavailable) -> None:
        """Pass the log's answer to the outbox."""
        accepted = not isinstance(answer, LogUnavailable)
        self.partition.outbox.record_answer(accepted, self.world.clock.now())


# name, share of lost answers, seconds of the outage
FAULTS = [
    ("none", 0.0, 0.0),
    ("lost answers", 0.5, 0.0),
    ("outage", 0.0, 60.0),
    ("outage and lost answers", 0.5, 60.0),
    ("outage beyond the replay window", 0.5, REPLAY_WINDOW_SECONDS * 3),
]


@pytest.mark.parametrize(("name", "lost", "outage"), FAULTS)
def test_every_bill_counts_once(name: str, lost: float, outage: float) -> None:
    """Two writers bill the same 100 requests; each bill is applied once.

    Both outboxes are empty at the end.
    """
    world = World(7)
    log = SimulatedLog(world, Network(world))
    log.lost_answers = lost
    writers = [Writer(name, world, log) for name in ("a", "b")]
    writers[0].partition.outbox.put(records.Base("x", 1000, 1))
    for writer in writers:
        grant = records.Grant(f"g{writer.name}", "x", writer.name, 400)
        writer.put_after(20.0, grant)
    for number in range(200):
        writer = writers[number % 2]
        bill = records.Bill(f"r{number // 2}", "x", writer.name, 2)
        writer.put_after(60.0 + number * 0.1, bill)
    world.after(70.0, lambda: setattr(log, "down", outage > 0))
    world.after(70.0 + outage, lambda: setattr(log, "down", False))
    world.run(200.0 + outage)
    log.lost_answers = 0.0
    world.run(260.0 + outage)
    for writer in writers:
        assert not writer.partition.outbox.pending_by_entry
        assert writer.partition.fold.budgets_by_id["x"].billed == 200


def test_asks_are_refused_before_bills() -> None:
    """An outbox that refuses further grants still accepts bills."""
    outbox = Outbox(Random(1))
    for number in range(MAX_REPEATABLE):
        assert outbox.put(records.Grant(str(number), "b", "i", 1))
    assert not outbox.put(records.Grant("more", "b", "i", 1))
    for number in range(MAX_PENDING - MAX_REPEATABLE):
        assert outbox.put(records.Bill(str(number), "b", "i", 1))
    assert not outbox.put(records.Bill("more", "b", "i", 1))


@pytest.mark.parametrize("live", [1, 7, 350])
def test_the_fleet_stays_under_its_rate(live: int) -> None:
    """Daemons that append continuously stay within 180 appends a second together."""
    rate, now = AppendRateLimiter(180.0), 0.0
    appends = 0
    while now < 60.0:
        now += rate.acquire(now, 1.0 / live)
        appends += 1
    assert (appends - 1) * live <= 180.0 * 60.0 + max(live, 90.0)


def test_records_beyond_a_gap_wait() -> None:
    """A record is not applied until the record before it is read."""
    partition = Partition(0, Random(1))
    world = World(1)
    log = SimulatedLog(world, Network(world))
    for tokens in (10, 20):
        data = records.encode_batch("w", [records.TopUp(str(tokens), "b", tokens, "")])
        log.append("w", STREAM, data, lambda answer: None)
    world.run(1.0)
    first, second = log.read("w", STREAM, 0)
    assert partition.apply(second, 1.0) == []
    assert partition.apply(first, 1.0) and partition.apply(second, 1.0)


def test_a_peer_passes_on_what_it_kept() -> None:
    """A daemon without the log catches up from a peer's recent records.

    Records that the peer no longer keeps leave a gap, which a snapshot closes.
    """
    peer, cut = Partition(0, Random(1)), Partition(0, Random(1))
    body = bytes(MAX_RECENT_BYTES // 10)
    for offset in range(30):
        entry = records.Result(str(offset), 200, body)
        peer.apply(LogRecord(offset, 1.0, records.encode_batch("w", [entry])), 1.0)
    assert not list(peer.recent_from(0, MAX_RECENT_BYTES))
    start = next(n for n in range(30) if list(peer.recent_from(n, MAX_RECENT_BYTES)))
    assert 15 < start < 25
    for record in peer.recent_from(start, MAX_RECENT_BYTES):
        cut.apply(record, 1.0)
    assert cut.fold.next_offset == 0
    cut.restore(peer.fold, 1.0)
    assert not list(cut.recent_from(start, MAX_RECENT_BYTES))
