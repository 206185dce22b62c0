"""The configuration task: reads the log and keeps the document in force up to date.

The task also writes a snapshot before the newest one expires from the log.  Any
daemon may write it; concurrent snapshots are harmless.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from random import Random
from typing import Final

import gevent
from gevent.event import Event

from godwitrudder import codec
from godwitrudder.clock import Clock
from godwitrudder.platform.log import POLL_SECONDS, Log, LogPage, LogUnavailable
from godwitrudder.process.guard import Loop, TaskOwner
from godwitrudder.process.metrics import Metrics
from godwitrudder.version.config_fold import (
    Accepted,
    ConfigFold,
    Rejected,
    Restored,
    Result,
)
from godwitrudder.version.config_records import CONFIG_STREAM
from godwitrudder.version.document import Document

RETRY_SECONDS: Final = 0.5
SNAPSHOT_AGE_SHARE: Final = 0.25
# Mean time between two checks of the snapshot's age, as a share of the retention.
CHECK_PERIOD_SHARE: Final = 0.02
MAX_CHECK_PERIOD_SECONDS: Final = 600.0
AT_START: Final = -1.0

logger = logging.getLogger(__name__)


class Configuration(TaskOwner):
    """The configuration document in force in this daemon.

    Parameters
    ----------
    retention_seconds : float
        Seconds for which the log keeps a record.

    Attributes
    ----------
    loaded : Event
        Set once the document is as new as the log's, or as the peers' if the log is
        unavailable.
    in_force_seconds : float
        Seconds from the log time of the newest accepted record until it was in force
        here; ``AT_START`` if the daemon started with it.
    diverged : callable
        Called if another process's snapshot differs from this daemon's state.
    """

    def __init__(
        self,
        log: Log,
        metrics: Metrics,
        clock: Clock,
        random: Random,
        retention_seconds: float,
    ) -> None:
        self._log = log
        super().__init__(metrics)
        self._clock = clock
        self._random = random
        self._retention_seconds = retention_seconds
        self.fold = ConfigFold()
        self.loaded = Event()
        self.in_force_seconds = AT_START
        self.diverged: Callable[[], None] = lambda: None
        self._listeners: list[Callable[[Document], None]] = []
        self._result_listeners: list[Callable[[list[Result]], None]] = []

    @property
    def document(self) -> Document:
        """Document in force."""
        return self.fold.document

    def listen(self, listener: Callable[[Document], None]) -> None:
        """Call ``listener`` with each new document."""
        self._listeners.append(listener)

    def add_result_listener(self, listener: Callable[[list[Result]], None]) -> None:
        """Call ``listener`` with the results each time the fold advances."""
        self._result_listeners.append(listener)

    def loops(self) -> tuple[Loop, ...]:
        """Return the loops that read the log and write snapshots."""
        return (self._follow, self._keep_snapshot)

    def put_in_force(self, results: list[Result], source: str) -> None:
        """Put results of the fold in force; ``source`` is ``log`` or ``peer``."""
        if not results:
            return
        for result in results:
            self._record_result(result, source)
        if any(not isinstance(result, Rejected) for result in results):
            self._notify_listeners(source)
        for listener in self._result_listeners:
            listener(results)

    def load_from_peers(self) -> None:
        """Mark the peers' document as loaded if the log is not read up to date."""
        if not self.loaded.is_set() and self.document.version >= 0:
            logger.warning(
                "configuration loaded from peers; the log has not been read up to date"
            )
            self.loaded.set()

    def _follow(self) -> None:
        while True:
            page = self._log.read(CONFIG_STREAM, self.fold.read_offset, POLL_SECONDS)
            if isinstance(page, LogUnavailable):
                gevent.sleep(RETRY_SECONDS)
                continue
            self._apply(page)
            if self._is_up_to_date(page):
                self.loaded.set()

    def _apply(self, page: LogPage) -> None:
        diverged = self.fold.diverged_snapshots
        results: list[Result] = []
        for record in page.records:
            results.extend(self.fold.apply(record.offset, record.time, record.data))
        self.put_in_force(results, "log")
        if self.fold.diverged_snapshots > diverged:
            self.diverged()

    def _is_up_to_date(self, page: LogPage) -> bool:
        whole = not self.fold.awaits_snapshot and self.fold.next_offset >= page.first
        return whole and self.fold.next_offset >= page.next > 0

    def _record_result(self, result: Result, source: str) -> None:
        if isinstance(result, Restored):
            self._metrics.config_records.labels("restored", source).inc()
        elif isinstance(result, Rejected):
            self._metrics.config_records.labels("rejected", source).inc()
            logger.info("configuration record rejected: %s", result.problem)
        else:
            self._record_accepted(result, source)

    def _record_accepted(self, result: Accepted, source: str) -> None:
        verdict = result.verdict
        self._metrics.config_records.labels("accepted", source).inc()
        self.in_force_seconds = AT_START
        if self.loaded.is_set():
            self.in_force_seconds = max(0.0, self._clock.wall() - verdict.time)
            self._metrics.config_in_force.observe(self.in_force_seconds)

    def _notify_listeners(self, source: str) -> None:
        version = self.document.version
        logger.info("configuration version %d in force, from %s", version, source)
        self._metrics.config_version.set(version)
        for listener in self._listeners:
            listener(self.document)

    def _keep_snapshot(self) -> None:
        period = min(
            self._retention_seconds * CHECK_PERIOD_SHARE, MAX_CHECK_PERIOD_SECONDS
        )
        while True:
            gevent.sleep(period * self._random.uniform(0.5, 1.5))
            if self.snapshot_due():
                self._write_snapshot()

    def snapshot_due(self) -> bool:
        """Whether a new snapshot is due.

        It is due if the newest one is older than ``SNAPSHOT_AGE_SHARE`` of the
        log's retention.
        """
        since = self.fold.snapshot_time
        if since is None or self.document.version < 0 or self.fold.awaits_snapshot:
            return False
        age = self._clock.wall() - since
        return age > self._retention_seconds * SNAPSHOT_AGE_SHARE

    def _write_snapshot(self) -> None:
        """Append the snapshot's parts; after a failure the snapshot stays due."""
        for part in self.fold.snapshot():
            answer = self._log.append(CONFIG_STREAM, codec.encode(part))
            if isinstance(answer, LogUnavailable):
                logger.warning(
                    "configuration snapshot not written, will retry: %s", answer.reason
                )
                return
        self._metrics.config_snapshots.inc()
