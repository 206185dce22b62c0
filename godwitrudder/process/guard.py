"""Critical tasks: an exception in one is a broken invariant and ends the process."""

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
    """Base class of context managers that run tasks from entry to exit."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._tasks: list[Greenlet] = []

    @abstractmethod
    def loops(self) -> tuple[Loop, ...]:
        """Return the functions to run, each in its own task."""

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
    """Run a task; an exception in it is logged and counted and ends the process."""

    def guarded() -> None:
        try:
            task(*arguments)
        except Exception as error:
            logger.critical("task %s crashed", task.__qualname__, exc_info=error)
            metrics.violations.labels("task_crashed").inc()
            raise SystemExit(1) from error

    return gevent.spawn(guarded)
