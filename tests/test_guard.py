"""A task that crashes is a broken invariant: counted, and it ends the process."""

from __future__ import annotations

import gevent
import pytest

from godwitrudder.process.guard import Loop, TaskOwner
from godwitrudder.process.metrics import Metrics


class Crashing(TaskOwner):
    """Owns one task that crashes at once, and one that waits."""

    def loops(self) -> tuple[Loop, ...]:
        """Return the loops of this owner."""
        return self.crash, self.wait

    def crash(self) -> None:
        """Break an invariant."""
        raise AssertionError("broken")

    def wait(self) -> None:
        """Wait until the owner stops."""
        gevent.sleep(3600)


def test_a_crash_ends_the_process() -> None:
    """The exit is raised in the main task, the crash is counted."""
    metrics = Metrics()
    with pytest.raises(SystemExit), Crashing(metrics):
        gevent.sleep(1)
    crashes = metrics.violations.labels("task_crashed")._value.get()
    assert crashes == 1


def test_tasks_stop_with_their_owner() -> None:
    """Nothing runs on after the block."""

    class Waiting(Crashing):
        def loops(self) -> tuple[Loop, ...]:
            return (self.wait,)

    with Waiting(Metrics()) as owner:
        gevent.sleep(0)
    assert all(task.dead for task in owner._tasks)
