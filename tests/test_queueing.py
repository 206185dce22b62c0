"""Headroom, the order of waiting requests, and admission under the loads they answer.

Each load runs on a virtual clock. The failures that the tests guard against are named
in their doc strings.
"""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import pytest

from godwitrudder.options import Options
from godwitrudder.platform.settings import EntrySettings, load
from godwitrudder.request.placing.candidate import Candidate
from godwitrudder.request.queueing.admission import (
    DrainRate,
    may_wait,
    retry_seconds,
)
from godwitrudder.request.queueing.headroom import (
    Memory,
    fits_memory,
    has_room,
    headroom,
)
from godwitrudder.request.queueing.share import TargetRoom
from godwitrudder.request.queueing.wait_queue import (
    MAX_REQUESTS,
    QueueBounds,
    QueuedRequest,
    WaitQueue,
)
from godwitrudder.validation import Address
from godwitrudder.version.catalogue import ListedRunner

ENGINE = Memory(547_008, 6000.0)
STEP = 0.01


def runner(number: int, slots: int = 24) -> Candidate:
    """Return a runner of which nothing is known but its entry."""
    address = Address("127.0.0.1", 9000 + number)
    return Candidate(ListedRunner(f"i-{number}", "t", address, "a", False, slots))


def request(
    number: int, rank: int = 0, workspace: str = "w", arrived: float = 0.0
) -> QueuedRequest:
    """Return a waiting request of 1,000 bytes with an objective of 0.3 s."""
    return QueuedRequest(str(number), rank, workspace, arrived, 0.3, 1000)


@dataclass
class Server:
    """A target that starts ``rate`` requests a second; requests wait before it.

    Attributes
    ----------
    waits : list of float
        Waits of the started requests, in seconds.
    """

    rate: float
    queue: WaitQueue = field(default_factory=lambda: WaitQueue(QueueBounds()))
    drain: DrainRate = field(default_factory=DrainRate)
    started: list[QueuedRequest] = field(default_factory=list)
    waits: list[float] = field(default_factory=list)
    refused: list[QueuedRequest] = field(default_factory=list)
    credit: float = 0.0

    def arrive(self, new: QueuedRequest, left: float, now: float) -> None:
        """Admit a request if it can start within ``left`` seconds."""
        wait = self.drain.wait(self.queue.ahead(new.rank, new.workspace), now)
        if may_wait(wait, 0.5, left):
            self.queue.push(new)
        else:
            self.refused.append(new)

    def step(self, now: float) -> None:
        """Start what the rate allows."""
        self.credit = min(2.0, self.credit + self.rate * STEP)
        while self.credit >= 1 and (new := self.queue.start(now)) is not None:
            self.credit -= 1
            self.drain.record(now)
            self.started.append(new)
            self.waits.append(now - new.arrived)


def ticks(seconds: float) -> Iterator[float]:
    """Yield the readings of a virtual clock."""
    return (index * STEP for index in range(int(seconds / STEP)))


def test_a_report_limits_the_headroom_and_expires() -> None:
    """A stale report must not make requests wait."""
    slow = runner(1)
    slow.reported(14, 0, 10.0, 24, 200.0)
    assert headroom(slow, ENGINE, 10.0) == -2
    assert not has_room(slow, 900, ENGINE, 10.0)
    assert has_room(slow, 900, ENGINE, 11.0)
    assert headroom(slow, Memory(), 11.0) == 24


def test_a_large_request_does_not_exceed_the_memory() -> None:
    """An engine that holds more than its memory crashes."""
    full = runner(1, slots=80)
    full.reported(70, 0, 10.0)
    for _ in range(10):
        full.assign(12_400)
    assert not has_room(full, 12_400, ENGINE, 10.0)
    assert not fits_memory(full, 12_400, ENGINE, 10.0)
    assert fits_memory(full, 900, ENGINE, 10.0)
    for _ in range(10):
        full.release(12_400)
    assert has_room(full, 12_400, ENGINE, 10.0)


def test_half_of_the_runners_replaced() -> None:
    """Work of former runners must not count, nor new runners count as full."""
    runners = [runner(number) for number in range(45)]
    for each in runners:
        each.reported(24, 10, 10.0, 24, 100.0)
    assert TargetRoom.of(runners, ENGINE, 10.1).free == 0
    runners[:22] = [runner(100 + number) for number in range(22)]
    assert TargetRoom.of(runners, ENGINE, 10.1).free == 22 * 24


def test_a_burst_waits_and_is_served() -> None:
    """A burst of 1.7 times for 3 s must be served, not refused or served too late."""
    server, number = Server(rate=20.0), 0
    for now in ticks(10.0):
        arrived = 20 * (now + 0.7 * min(3.0, max(0.0, now - 2.0)))
        while number < arrived and now < 5:
            number += 1
            server.arrive(request(number, arrived=now), 10.6, now)
        server.step(now)
    assert not server.refused
    assert len(server.started) == number
    assert max(server.waits) < 3.0


def test_what_can_not_be_served_in_time_is_refused_on_arrival() -> None:
    """A lasting overload must not let admitted requests miss their deadline."""
    server, number = Server(rate=20.0), 0
    for now in ticks(20.0):
        while number < 150 * now:
            number += 1
            server.arrive(request(number, arrived=now), 2.7, now)
        server.step(now)
    late = sum(wait > 2.7 for wait in server.waits)
    assert late <= 0.05 * len(server.waits)
    assert len(server.started) >= 0.95 * 20 * 20


def test_one_workspace_at_many_times_its_load() -> None:
    """A workspace at 7.5 times its usual load must not delay the others."""
    server, number = Server(rate=24.0), 0
    waits: dict[str, list[float]] = {}
    for now in ticks(6.0):
        for name in range(8):
            factor = 7.5 if name == 0 else 1.0
            if int(now * 2 * factor) > int((now - STEP) * 2 * factor):
                number += 1
                server.arrive(request(number, 0, f"w{name}", now), 10.6, now)
        server.step(now)
    for started, wait in zip(server.started, server.waits, strict=True):
        waits.setdefault(started.workspace, []).append(wait)
    assert all(max(waits[f"w{name}"]) < 0.5 for name in range(1, 8))
    assert not [each for each in server.refused if each.workspace != "w0"]


def test_no_rank_starves_under_lasting_overload() -> None:
    """Urgent requests without end must leave every rank a bounded share."""
    server, number = Server(rate=100.0), 0
    for now in ticks(10.0):
        for rank in range(3):
            number += 1
            server.queue.push(request(number, rank, arrived=now))
        server.step(now)
    starts = Counter(each.rank for each in server.started)
    assert min(starts[1], starts[2]) >= 0.11 * len(server.started)
    assert starts[0] >= 0.7 * len(server.started)


def test_rank_decides_while_none_waits_long() -> None:
    """A less urgent request must not start first without having starved."""
    queue = WaitQueue(QueueBounds())
    for number in range(20):
        queue.push(request(number, number % 2))
    order = [started.rank for _ in range(20) if (started := queue.start(0.1))]
    assert order == [0] * 10 + [1] * 10


def test_callers_that_leave_leave_nothing_behind() -> None:
    """Requests whose callers left must neither start nor take room in the bounds."""
    bounds, random = QueueBounds.for_memory(160_000_000), Random(4)
    queue = WaitQueue(bounds)
    waiting = [request(n, n % 3, f"w{n % 5}") for n in range(MAX_REQUESTS)]
    for each in waiting:
        assert bounds.admits(each.size)
        queue.push(each)
    assert not bounds.admits(1)
    random.shuffle(waiting)
    left = waiting[:1500]
    assert all(queue.remove(each) for each in left)
    assert not any(queue.remove(each) for each in left)
    started = list(iter(lambda: queue.start(0.0), None))
    assert {each.key for each in started if each} == {w.key for w in waiting[1500:]}
    assert (len(queue), bounds.requests, bounds.bytes) == (0, 0, 0)


def test_the_bound_in_bytes_follows_the_memory_limit() -> None:
    """Large requests must not take more than an eighth of a small host's memory."""
    bounds = QueueBounds.for_memory(160_000_000)
    assert bounds.admits(20_000_000) and not bounds.admits(20_000_001)
    assert not QueueBounds.for_memory(552_000_000).admits(32_000_001)


@pytest.mark.parametrize(
    ("limits", "most"), [({"memory_mb": 160}, 20_000_000), ({}, 32_000_000)]
)
def test_the_settings_state_the_memory_limit(
    limits: dict[str, int], most: int, tmp_path: Path
) -> None:
    """A limit that is not read would let a small host run out of memory."""
    listen = {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"}
    store = {"address": "127.0.0.1:3"}
    model = {"node": "a", "zone": "z", "listen": listen, "platform": store}
    path = tmp_path / "settings.json"
    path.write_text(json.dumps({**model, "limits": limits}))
    loaded = load(path, Options())
    assert isinstance(loaded, EntrySettings)
    assert QueueBounds.for_memory(loaded.memory_bytes).max_bytes == most


def test_those_who_waited_return_first() -> None:
    """Requests refused on arrival must not overtake those that have waited."""
    random = Random(1)
    arrived = [retry_seconds(2.0, 0.0, 9.0, random) for _ in range(100)]
    short = [retry_seconds(2.0, 1.0, 9.0, random) for _ in range(100)]
    long = [retry_seconds(2.0, 4.0, 9.0, random) for _ in range(100)]
    assert max(long) < min(short) and max(short) <= min(arrived)
    assert max(retry_seconds(60.0, 0.0, 9.0, random) for _ in range(100)) <= 3.0
