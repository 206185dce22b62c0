"""An exception in a critical task is counted and ends the process."""

from __future__ import annotations

import gevent
import pytest

from godwitrudder.process.guard import Loop, TaskOwner
from godwitrudder.process.metrics import Metrics


class Crashing(TaskOwner):
    """Owns one task that raises at once, and one that waits."""

    def loops(self) -> tuple[Loop, ...]:
        """Return both tasks."""
        return self.crash, self.wait

    def crash(self) -> None:
        """Raise an exception."""
        raise AssertionError("broken")

    def wait(self) -> None:
        """Wait until the owner stops."""
        gevent.sleep(3600)


def test_a_crash_ends_the_process() -> None:
    """``SystemExit`` is raised in the main greenlet and the crash is counted."""
    metrics = Metrics()
    with pytest.raises(SystemExit), Crashing(metrics):
        gevent.sleep(1)
    crashes = metrics.violations.labels("task_crashed")._value.get()
    assert crashes == 1


def test_tasks_stop_with_their_owner() -> None:
    """No task runs after the owner's block ends."""

    class Waiting(Crashing):
        def loops(self) -> tuple[Loop, ...]:
            return (self.wait,)

    with Waiting(Metrics()) as owner:
        gevent.sleep(0)
    assert all(task.dead for task in owner._tasks)
