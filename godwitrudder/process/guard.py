"""Tasks that must not end: a crash is a broken invariant and stops the process."""

from __future__ import annotations

import logging
from collections.abc import Callable

import gevent
from gevent import Greenlet

from godwitrudder.process.metrics import Metrics

logger = logging.getLogger(__name__)


def spawn(metrics: Metrics, task: Callable[..., None], *arguments: object) -> Greenlet:
    """Run a task; an exception in it is logged, counted and ends the process."""

    def guarded() -> None:
        try:
            task(*arguments)
        except Exception as error:
            logger.critical("task %s crashed", task.__qualname__, exc_info=error)
            metrics.violations.labels("task_crashed").inc()
            raise SystemExit(1) from error

    return gevent.spawn(guarded)
