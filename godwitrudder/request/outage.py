"""What a follower of the store does about outages, without I/O.

A store that is silent loses requests without a trace.  A read that waits for a record
can't tell that from a wait.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

MIN_WAIT_SECONDS: Final = 0.5
MAX_WAIT_SECONDS: Final = 2.0
"""Time that a read waits for a record; bounds the detection of a dead connection."""
CATCH_UP_SECONDS: Final = 0.5
"""Time to repeat a lost read and to apply what it returns."""


def longest_wait(recovery_seconds: float, timeout_seconds: float) -> float:
    """Return the longest wait, in seconds, of a read that may be lost.

    A read that is lost just before an outage ends is repeated after its wait and its
    timeout.

    Parameters
    ----------
    recovery_seconds : float
        Time after an outage in which the follower must be up to date.
    timeout_seconds : float
        Time for the answer, in addition to the wait.
    """
    left = recovery_seconds - timeout_seconds - CATCH_UP_SECONDS
    return min(MAX_WAIT_SECONDS, max(MIN_WAIT_SECONDS, left))


@dataclass(slots=True)
class Outage:
    """Whether a call of the process was not answered, and none since."""

    _unanswered: bool = False

    def note_unanswered(self) -> None:
        """Note that a call that does not wait got no answer."""
        self._unanswered = True

    def note_answered(self) -> bool:
        """Note an answer; return whether reads that wait may have been lost."""
        lost, self._unanswered = self._unanswered, False
        return lost
