"""Cost of sharing slots for an aggregator: messages, bytes and processor time."""

from __future__ import annotations

import time
from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Final

from bench.report import Row
from bench.simulation import World
from godwitrudder import codec
from godwitrudder.clock import Stamp
from godwitrudder.connection.frames import Frame, Message
from godwitrudder.request.share import ShareAggregator, period_seconds
from godwitrudder.request.share_reporter import ShareReporter
from godwitrudder.request.slots import Slots
from godwitrudder.request.turn import Ticket

# Mean duration of an answer.
ANSWER_SECONDS: Final = 20.0
RUN_SECONDS: Final = 80.0
LOAD: Final = 0.8
# Websocket header of a frame.
HEADER_BYTES: Final = 8
MAX_BYTES_PER_SECOND: Final = 14_000.0
LARGE_ROUTERS: Final = 350
MAX_CORE_SHARE: Final = 0.027
FAR_SECONDS: Final = 1e9
STAMP: Final = Stamp(1_800_000_000_000, 1)


@dataclass(frozen=True, slots=True)
class TargetSize:
    """Size of one target in a fleet; ``rate`` is in requests per second."""

    routers: int
    runners: int
    workspaces: int
    rate: float


# 350 routers serve 960 requests a second: 64 are an even share of 15 models, 240 are
# a quarter of all, at one model.
SIZES: Final = (
    TargetSize(7, 9, 10, 40.0),
    TargetSize(35, 9, 10, 40.0),
    TargetSize(350, 42, 500, 64.0),
    TargetSize(350, 42, 5000, 64.0),
    TargetSize(350, 160, 5000, 240.0),
)


class Aggregation:
    """Simulated routers with running requests, and the aggregator of their reports.

    Attributes
    ----------
    messages, received, sent : int
        Messages and bytes at the aggregator in the second half of the run.
    seconds : float
        Processor time of the aggregator over the whole run.
    """

    def __init__(self, size: TargetSize) -> None:
        self.size = size
        self.world = World(1)
        self.aggregator = ShareAggregator()
        self.messages = 0
        self.received = 0
        self.sent = 0
        self.seconds = 0.0
        self._random = Random(1)
        self._number = 0
        self._slots = [Slots("t") for _ in range(size.routers)]
        self._reporters = [
            ShareReporter(slots, f"router-{n}/0123456789ab")
            for n, slots in enumerate(self._slots)
        ]
        self._in_flight: list[dict[str, int]] = [{} for _ in range(size.routers)]
        period = period_seconds(size.routers)
        for number, slots in enumerate(self._slots):
            slots.set_slots(FAR_SECONDS)
            self.world.after(
                self._random.random() * period, partial(self.report, number)
            )
        self.world.after(0.0, self._arrive)

    def _arrive(self) -> None:
        random = self._random
        self._number += 1
        router = random.randrange(self.size.routers)
        runner = f"engine-{random.randrange(self.size.runners)}"
        workspace = f"workspace-{random.randrange(self.size.workspaces)}"
        ticket = Ticket(str(self._number), workspace, 470.0, FAR_SECONDS)
        slots, in_flight = self._slots[router], self._in_flight[router]
        now = self.world.clock.now()
        slots.queue.push(ticket, 1.0, now)
        started = list(slots.start(now))
        assert started == [ticket]
        in_flight[runner] = in_flight.get(runner, 0) + 1

        def end() -> None:
            slots.end(ticket, 470.0, self.world.clock.now())
            in_flight[runner] -= 1

        self.world.after(random.expovariate(1 / ANSWER_SECONDS), end)
        self.world.after(random.expovariate(self.size.rate), self._arrive)

    def report(self, number: int) -> None:
        """Send one router's report and schedule its next one."""
        reporter = self._reporters[number]
        period = period_seconds(self.size.routers)
        if not reporter.idle:
            period = max(period, self._exchange(reporter, number))
        self.world.after(period, partial(self.report, number))

    def _exchange(self, reporter: ShareReporter, number: int) -> float:
        """Exchange a report and its answer; return the seconds until the next one."""
        report = reporter.next(dict(self._in_flight[number]), [])
        question = _frame(report, False)
        began = time.process_time()
        codec.decode(question, Frame)
        slots = self.size.rate * ANSWER_SECONDS / LOAD
        now = self.world.clock.now()
        answer = self.aggregator.take(report, slots, {}, self.size.routers, now)
        data = _frame(answer, True)
        self.seconds += time.process_time() - began
        if answer.whole:
            reporter.restart()
        if now > RUN_SECONDS / 2:
            self.messages += 2
            self.received += len(question) + HEADER_BYTES
            self.sent += len(data) + HEADER_BYTES
        return answer.period_seconds


def _frame(message: Message, answer: bool) -> bytes:
    return codec.encode(Frame(100_000, answer, STAMP, message))


def rows() -> Iterator[Row]:
    """Yield all rows."""
    for size in SIZES:
        aggregation = Aggregation(size)
        aggregation.world.run(RUN_SECONDS)
        name = (
            f"shares aggregator {size.routers} routers {size.runners} runners"
            f" {size.workspaces} workspaces {size.rate:g}/s"
        )
        half = RUN_SECONDS / 2
        total = (aggregation.received + aggregation.sent) / half
        yield Row(f"{name} messages", aggregation.messages / half, "1/s")
        # The limit on bytes is defined for the large fleet.
        max_bytes = MAX_BYTES_PER_SECOND if size.routers == LARGE_ROUTERS else None
        yield Row(f"{name} bytes", total, "B/s", max_bytes)
        core = aggregation.seconds / RUN_SECONDS
        yield Row(f"{name} processor", core, "core", MAX_CORE_SHARE)
        period = aggregation.aggregator.period_seconds(size.routers)
        yield Row(f"{name} period", period, "s")
        each = total / size.routers
        yield Row(f"{name} bytes of one router", each, "B/s")
