"""Tasks that must not end: a crash is a broken invariant and stops the process."""

from __future__ import annotations

import logging
from abc import ABC, abstractmethod
from collections.abc import Callable
from types import TracebackType
from typing import Self

import gevent
from gevent import Greenlet

from godwitrudder.process.metrics import Metrics

logger = logging.getLogger(__name__)
Loop = Callable[[], None]


class TaskOwner(ABC):
    """Owns tasks that run as long as it does, as a context manager."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._tasks: list[Greenlet] = []

    @abstractmethod
    def loops(self) -> tuple[Loop, ...]:
        """Return what runs from entry to exit, each in a task of its own."""

    def __enter__(self) -> Self:
        """Start the tasks."""
        self._tasks = [spawn_critical(self._metrics, loop) for loop in self.loops()]
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop the tasks."""
        gevent.killall(self._tasks)


def spawn_critical(
    metrics: Metrics, task: Callable[..., None], *arguments: object
) -> Greenlet:
    """Run a task; an exception in it is logged, counted and ends the process."""

    def guarded() -> None:
        try:
            task(*arguments)
        except Exception as error:
            logger.critical("task %s crashed", task.__qualname__, exc_info=error)
            metrics.violations.labels("task_crashed").inc()
            raise SystemExit(1) from error

    return gevent.spawn(guarded)
