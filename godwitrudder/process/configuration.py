"""The configuration task: follows the log and keeps the document in force."""

from __future__ import annotations

import logging
from collections.abc import Callable
from types import TracebackType
from typing import Final, Self

import gevent
from gevent import Greenlet
from gevent.event import Event

from godwitrudder.platform.log import POLL_SECONDS, Log, LogPage, LogUnavailable
from godwitrudder.process.metrics import Metrics
from godwitrudder.version.document import STREAM, Accepted, ConfigFold, Document

RETRY_SECONDS: Final = 0.5

logger = logging.getLogger(__name__)


class Configuration:
    """The document in force in this daemon."""

    def __init__(self, log: Log, metrics: Metrics) -> None:
        self._log = log
        self._metrics = metrics
        self.fold = ConfigFold()
        self.loaded = Event()
        self._listeners: list[Callable[[Document], None]] = []
        self._task: Greenlet | None = None

    @property
    def document(self) -> Document:
        """The document in force."""
        return self.fold.document

    def listen(self, listener: Callable[[Document], None]) -> None:
        """Call ``listener`` with each new document."""
        self._listeners.append(listener)

    def __enter__(self) -> Self:
        """Start to follow the log."""
        self._task = gevent.spawn(self._follow)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop."""
        if self._task is not None:
            self._task.kill()

    def _follow(self) -> None:
        while True:
            page = self._log.read(STREAM, self.fold.next_offset, POLL_SECONDS)
            if isinstance(page, LogUnavailable):
                gevent.sleep(RETRY_SECONDS)
                continue
            self._apply(page)
            if self.fold.next_offset >= page.next and page.next > 0:
                self.loaded.set()

    def _apply(self, page: LogPage) -> None:
        for record in page.records:
            result = self.fold.apply(record.offset, record.data)
            if isinstance(result, Accepted):
                self._in_force(result)

    def _in_force(self, result: Accepted) -> None:
        logger.info(
            "section %s version %d in force", result.edit.section, result.offset
        )
        self._metrics.config_version.set(result.offset)
        for listener in self._listeners:
            listener(self.document)
