"""Configuration: time from append to in force, racing edits, start, memory.

The configuration tasks of nine daemons run against a log and peers that are plain
calls with a delay. Their figures include every timer of the tasks but no sockets.
Other rows use whole daemons over sockets.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import gc  # noqa: E402
import json  # noqa: E402
import math  # noqa: E402
import statistics  # noqa: E402
import time  # noqa: E402
import tracemalloc  # noqa: E402
from collections.abc import Callable, Iterator  # noqa: E402
from contextlib import ExitStack  # noqa: E402
from random import Random  # noqa: E402
from typing import Any, Final  # noqa: E402

import gevent  # noqa: E402
from gevent.event import Event  # noqa: E402

from bench.fleet import PLATFORM, Fleet, daemon_settings  # noqa: E402
from bench.report import Row  # noqa: E402
from godwitrudder import codec  # noqa: E402
from godwitrudder.clock import HybridClock, SystemClock  # noqa: E402
from godwitrudder.connection.frames import Frame, Message  # noqa: E402
from godwitrudder.connection.peer import (  # noqa: E402
    Handlers,
    PeerLinks,
    Unreachable,
)
from godwitrudder.connection.queries import (  # noqa: E402
    ConfigAnswer,
    ConfigAsk,
)
from godwitrudder.ctl.timeline_page import render  # noqa: E402
from godwitrudder.platform.hosts import HostEntry  # noqa: E402
from godwitrudder.platform.log import (  # noqa: E402
    Log,
    LogPage,
    LogRecord,
    LogUnavailable,
)
from godwitrudder.process.config_sync import (  # noqa: E402
    POLL_INTERVAL_SECONDS,
    ConfigSync,
)
from godwitrudder.process.configuration import Configuration  # noqa: E402
from godwitrudder.process.daemon import Daemon  # noqa: E402
from godwitrudder.process.metrics import Metrics  # noqa: E402
from godwitrudder.process.timeline import (  # noqa: E402
    RING_EVENTS,
    Timeline,
    merge,
)
from godwitrudder.version.config_fold import (  # noqa: E402
    Accepted,
    ConfigFold,
)
from godwitrudder.version.config_records import (  # noqa: E402
    CONFIG_STREAM,
    Change,
    Edit,
)
from godwitrudder.version.document import Document, build  # noqa: E402
from standins.platform import Platform  # noqa: E402

DAEMONS: Final = 9
EDITS: Final = 12
EDIT_GAP_SECONDS: Final = 0.7
IN_FORCE_SECONDS: Final = 7.0
PEER_DELAY_SECONDS: Final = 0.001
POLL_SECONDS: Final = 0.001
RACE_COUNT: Final = 1000
PAID_IN_TIMEOUT_SECONDS: Final = 30.0
BUDGETS: Final = 10_000
WORKSPACES: Final = 5_000
MILLION: Final = 1_000_000


def rows() -> Iterator[Row]:
    """Yield all rows."""
    yield from _in_force_rows("log healthy", 0.005, set())
    yield from _in_force_rows("log answers in 2 s", 2.0, set())
    yield from _in_force_rows("one cut off", 0.005, {"router-9"})
    yield from _whole_daemon_rows()
    yield from _race_rows()
    yield from _start_rows()
    yield from _memory_rows()
    yield from _spread_rows()
    yield from _timeline_rows()


class MemoryLog(Log):
    """A log with one stream in memory; each read takes ``seconds``."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.records: list[LogRecord] = []
        self._appended = Event()

    def append(self, stream: str, data: bytes) -> int | LogUnavailable:
        """Append one record and return its offset."""
        offset = len(self.records)
        self.records.append(LogRecord(offset, time.time(), data))
        self._appended.set()
        self._appended = Event()
        return offset

    def read(
        self, stream: str, offset: int, wait: float = 0.0
    ) -> LogPage | LogUnavailable:
        """Read from ``offset`` on; wait up to ``wait`` seconds for a record."""
        gevent.sleep(self.seconds)
        if offset >= len(self.records):
            self._appended.wait(wait)
        return LogPage(0, len(self.records), tuple(self.records[offset:]))


class UnreachableLog(Log):
    """A log that can't be reached."""

    def append(self, stream: str, data: bytes) -> int | LogUnavailable:
        """Return that the log is unavailable."""
        return LogUnavailable("cut")

    def read(
        self, stream: str, offset: int, wait: float = 0.0
    ) -> LogPage | LogUnavailable:
        """Return that the log is unavailable."""
        return LogUnavailable("cut")


class DirectLinks(PeerLinks):
    """Links that call the handlers of a peer after a delay."""

    def __init__(self, handlers_by_host: dict[str, Handlers]) -> None:
        self._handlers_by_host = handlers_by_host

    def ask(
        self, host: str, message: Message, timeout: float
    ) -> Message | None | Unreachable:
        """Return a host's answer after ``PEER_DELAY_SECONDS`` each way."""
        gevent.sleep(2 * PEER_DELAY_SECONDS)
        return self._handlers_by_host[host].handle(message)

    def tell(self, host: str, message: Message) -> bool:
        """Deliver a message to a host after ``PEER_DELAY_SECONDS``."""
        gevent.spawn_later(
            PEER_DELAY_SECONDS, self._handlers_by_host[host].handle, message
        )
        return True


def _in_force_rows(name: str, log_seconds: float, cut: set[str]) -> Iterator[Row]:
    """Publish edits and measure when each daemon has them in force.

    Parameters
    ----------
    name : str
        Case, as part of the rows' names.
    log_seconds : float
        Duration of a read of the log.
    cut : set of str
        Hosts that can't reach the log and learn edits from their peers.
    """
    hosts = [f"router-{number + 1}" for number in range(DAEMONS)]
    log, clock, random = MemoryLog(log_seconds), SystemClock(), Random(7)
    handlers_by_host: dict[str, Handlers] = {}
    seconds: list[float] = []
    published_at: dict[int, float] = {}
    pending: set[tuple[str, int]] = set()

    def watch_host(host: str) -> Callable[[Document], None]:
        last = [-1]

        def on_document(document: Document) -> None:
            for offset in range(last[0] + 1, document.version + 1):
                seconds.append(time.monotonic() - published_at[offset])
                pending.discard((host, offset))
            last[0] = document.version

        return on_document

    with ExitStack() as stack:
        for host in hosts:
            metrics = Metrics()
            handlers = Handlers(HybridClock(clock), metrics)
            handlers_by_host[host] = handlers
            own: Log = UnreachableLog() if host in cut else log
            configuration = Configuration(own, metrics, clock, random, 86400.0)
            configuration.listen(watch_host(host))
            links = DirectLinks(handlers_by_host)
            stack.enter_context(
                ConfigSync(host, configuration, links, handlers, lambda: hosts, random)
            )
            stack.enter_context(configuration)
        for number in range(EDITS):
            gevent.sleep(EDIT_GAP_SECONDS)
            text = json.dumps({"b": {"paid_tokens": number}})
            edit = Edit(f"op-{number}", "bench", (Change("budgets", number - 1, text),))
            published_at[number] = time.monotonic()
            pending.update((host, number) for host in hosts)
            log.append(CONFIG_STREAM, codec.encode(edit))
        end = time.monotonic() + IN_FORCE_SECONDS
        while pending and time.monotonic() < end:
            gevent.sleep(0.05)
    p50 = statistics.median(seconds)
    yield Row(f"config in force on 9 daemons, {name}, p50", p50, "s", IN_FORCE_SECONDS)
    yield Row(
        f"config in force on 9 daemons, {name}, max",
        max(seconds),
        "s",
        IN_FORCE_SECONDS,
    )
    yield Row(f"config not in force after 7 s, {name}", len(pending), "", 0)


def _whole_daemon_rows() -> Iterator[Row]:
    """Publish edits on the stand-in's log; measure three whole daemons over sockets."""
    seconds: list[float] = []
    with Fleet(3, 1, 0) as fleet:
        stream = fleet.platform.streams_by_name[CONFIG_STREAM]
        folds = [daemon.configuration.fold for daemon in fleet.daemons]
        version = folds[0].version_of("turns")
        for number in range(EDITS):
            gevent.sleep(0.1)
            text = f"{{}} // {number}"
            edit = Edit(f"op-{number}", "bench", (Change("turns", version, text),))
            start = time.monotonic()
            version = stream.append(codec.encode(edit))
            waiting = list(folds)
            while waiting and time.monotonic() < start + IN_FORCE_SECONDS:
                gevent.sleep(POLL_SECONDS)
                done = [f for f in waiting if f.version_of("turns") >= version]
                seconds += [time.monotonic() - start] * len(done)
                waiting = [fold for fold in waiting if fold not in done]
            seconds += [math.inf] * len(waiting)
    p50 = statistics.median(seconds)
    yield Row("config in force on 3 whole daemons, p50", p50, "s", IN_FORCE_SECONDS)
    yield Row(
        "config in force on 3 whole daemons, max", max(seconds), "s", IN_FORCE_SECONDS
    )


def _race_rows() -> Iterator[Row]:
    """Run a thousand races of two to four editors, with lost answers."""
    random, fold, number = Random(11), ConfigFold(), 0
    log: list[bytes] = []
    lost = silent = 0
    for race in range(RACE_COUNT):
        made_on = fold.version_of("budgets")
        edits = []
        for _ in range(random.randint(2, 4)):
            number += 1
            text = json.dumps({"b": {"paid_tokens": number}})
            edits.append(
                Edit(f"op-{number}", "bench", (Change("budgets", made_on, text),))
            )
        # An editor that gets no answer appends the same operation again.
        sent = edits + [edit for edit in edits if random.random() < 0.3]
        random.shuffle(sent)
        winners = []
        for edit in sent:
            log.append(codec.encode(edit))
            for result in fold.apply(len(log) - 1, 0.0, log[-1]):
                winners += [edit] if isinstance(result, Accepted) else []
        silent += sum(edit.op not in fold.verdicts_by_op for edit in edits)
        won = winners[0].changes[0].text if len(winners) == 1 else ""
        lost += fold.document.text_by_section["budgets"] != won
    yield Row("config accepted edits lost or reverted, 1000 races", lost, "", 0)
    yield Row("config racing edits without a verdict", silent, "", 0)
    yield Row(
        "config folds that differ after 1000 races",
        _count_different_folds(log, fold),
        "",
        0,
    )


def _count_different_folds(log: list[bytes], fold: ConfigFold) -> int:
    """Return the number of distinct digests, less one, of three folds.

    These are ``fold``, a full refold, and one restored from a snapshot midway.
    """
    whole, late = ConfigFold(), ConfigFold()
    for offset, data in enumerate(log):
        if offset == len(log) // 2:
            late.restore(whole.snapshot())
        whole.apply(offset, 0.0, data)
        if late.next_offset:
            late.apply(offset, 0.0, data)
    digests = {fold.digest(), whole.digest(), late.digest()}
    return len(digests) - 1


def _start_rows() -> Iterator[Row]:
    """Start one daemon with a document of ten thousand budgets."""
    own = daemon_settings(1)
    entry = HostEntry(
        id=own.host,
        role="router",
        address=str(own.peer),
        failure_domain=own.failure_domain,
    )
    with Platform(PLATFORM, [entry]) as platform:
        edit = Edit("op", "bench", (Change("budgets", -1, _budgets_text(BUDGETS)),))
        platform.streams_by_name[CONFIG_STREAM].append(codec.encode(edit))
        start = time.monotonic()
        with Daemon(own) as daemon:
            seconds = time.monotonic() - start
            names = list(daemon.configuration.document.budgets_by_id)
            end = start + PAID_IN_TIMEOUT_SECONDS
            while names and time.monotonic() < end:
                gevent.sleep(0.01)
                names = [name for name in names if daemon.ledger.budget(name) is None]
            paid = time.monotonic() - start
    yield Row("budgets not paid in after 30 s, of 10,000", len(names), "", 0)
    yield Row("daemon start to 10,000 budgets paid in", paid, "s")
    yield Row("daemon start to ready with 10,000 budgets", seconds, "s")


def _budgets_text(count: int) -> str:
    return json.dumps(
        {f"budget-{number:06d}": {"paid_tokens": 20_000} for number in range(count)}
    )


def _workspaces_text(count: int) -> str:
    entries: dict[str, Any] = {}
    for number in range(count):
        key = {"sha256": f"{number:064x}", "budget": f"budget-{number:06d}"}
        entries[f"workspace-{number:04d}"] = {"keys": [key], "targets": ["model"]}
    return json.dumps(entries)


def _memory_rows() -> Iterator[Row]:
    """Measure the memory of document and text, and the processor time of an edit."""
    targets = '{"model": {"kind": "engine"}}'
    base = {"targets": targets, "budgets": _budgets_text(BUDGETS)}
    budgets = _document_bytes({"budgets": _budgets_text(BUDGETS)}) / BUDGETS
    both = _document_bytes({**base, "workspaces": _workspaces_text(WORKSPACES)})
    workspaces = (both - _document_bytes(base)) / WORKSPACES
    yield Row("config memory per budget", budgets, "bytes")
    yield Row("config memory per workspace", workspaces, "bytes")
    whole = (460_000 * budgets + 5_000 * workspaces) / MILLION
    yield Row("config memory at 460,000 budgets in one daemon", whole, "MB", 64.0)
    start = time.process_time()
    fold = ConfigFold()
    edit = Edit("op", "bench", (Change("budgets", -1, _budgets_text(BUDGETS)),))
    fold.apply(0, 0.0, codec.encode(edit))
    spent = (time.process_time() - start) / BUDGETS * MILLION
    yield Row("config processor time of an edit per budget", spent, "us")
    start = time.process_time()
    edit = Edit("other", "bench", (Change("targets", -1, targets),))
    fold.apply(1, 0.0, codec.encode(edit))
    spent = (time.process_time() - start) / BUDGETS * MILLION
    yield Row("config processor time of another section's edit per budget", spent, "us")


def _document_bytes(texts: dict[str, str]) -> float:
    """Return the bytes of a document with these texts, the texts included."""
    gc.collect()
    tracemalloc.start()
    copies = {name: text + " " for name, text in texts.items()}
    document = build(0, dict.fromkeys(texts, 0), copies)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert isinstance(document, Document)
    return held


def _spread_rows() -> Iterator[Row]:
    """Compute the bytes of a daemon's periodic queries and of those it answers."""
    stamp = HybridClock(SystemClock()).tick()
    ask = Frame(1000, False, stamp, ConfigAsk(100_000))
    answer = Frame(1000, True, stamp, ConfigAnswer(100_000))
    size = 2 * (len(codec.encode(ask)) + len(codec.encode(answer)))
    yield Row(
        "config spread frames per daemon", size / POLL_INTERVAL_SECONDS, "bytes/s"
    )


def _timeline_rows() -> Iterator[Row]:
    """Merge the full event rings of nine daemons and render the page."""
    rings = [
        Timeline(f"router-{number}", HybridClock(SystemClock()))
        for number in range(DAEMONS)
    ]
    gc.collect()
    tracemalloc.start()
    for number in range(RING_EVENTS):
        for ring in rings:
            ring.note("dispatch", f"request-{number}", "workspace", "engine-1")
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    start = time.process_time()
    merged = list(merge(ring.events for ring in rings))
    seconds = time.process_time() - start
    assert len(merged) == DAEMONS * RING_EVENTS
    start = time.process_time()
    render(merged, [])
    page = time.process_time() - start
    yield Row("time line merge of 9 x 10,000 events", seconds, "s")
    yield Row("time line page of the newest 5,000 events", page, "s")
    yield Row("time line memory per daemon", held / DAEMONS / MILLION, "MB")
    start = time.process_time()
    for _ in range(RING_EVENTS):
        rings[0].note("dispatch", "request", "workspace", "engine-1")
    noted = (time.process_time() - start) / RING_EVENTS * MILLION
    yield Row("time line processor time per event", noted, "us")
