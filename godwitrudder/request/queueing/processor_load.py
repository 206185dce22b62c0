"""Load of this host's processor, and which requests it can still answer in time.

The balancer keeps each caller at one host, so a workspace that sends many times its
usual load may saturate the processor of one small host while the others are idle. Such
a host works on all of its requests at once and answers none of them in time. It refuses
instead what it can't answer in time, before any work is done, and asks for no new
callers: a refused caller's next try reaches another host.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

ROUNDS_PER_REQUEST: Final = 8
"""Rounds of the event loop between a request's arrival and its first byte: accept,
read, tokens, connect, send, head, first event, pass on."""
GAIN: Final = 0.2
"""Weight of the newest reading in the mean: a load that lasts for 0.25 s counts."""
LATE_OBJECTIVES: Final = 1.0
"""Latency objectives by which an answer of the least urgent rank may be late."""
URGENT_OBJECTIVES: Final = 2.0
"""Further ones for rank 0; they shrink with the rank, so that urgent requests are
refused last."""
FULL_SECONDS: Final = 0.5
"""Time to the first byte above which no new callers are accepted: objectives are 0.2 s
and more, and a late answer is worth less."""
FREE_SECONDS: Final = 0.25
"""Time to the first byte below which new callers are accepted again."""


@dataclass(slots=True)
class ProcessorLoad:
    """How late the tasks of this process run.

    Attributes
    ----------
    late_seconds : float
        Mean time by which a task runs later than it was due.
    full : bool
        Whether new callers should go to other hosts.
    """

    late_seconds: float = 0.0
    full: bool = False

    def read(self, late_seconds: float) -> bool:
        """Add a reading of a task's lateness; return whether ``full`` changed."""
        self.late_seconds += GAIN * (max(0.0, late_seconds) - self.late_seconds)
        before = self.full
        if self.first_byte_seconds > FULL_SECONDS:
            self.full = True
        elif self.first_byte_seconds < FREE_SECONDS:
            self.full = False
        return self.full != before

    @property
    def first_byte_seconds(self) -> float:
        """Return the time that this host alone adds until a request's first byte."""
        return self.late_seconds * ROUNDS_PER_REQUEST

    def can_answer(self, rank: int, objective: float, left: float) -> bool:
        """Whether a request that arrives now would be answered in acceptable time.

        Parameters
        ----------
        rank : int
            Priority; 0 is the most urgent.
        objective : float
            Latency objective, in seconds.
        left : float
            Time until the deadline, in seconds.
        """
        objectives = 1 + LATE_OBJECTIVES + URGENT_OBJECTIVES / (1 + max(0, rank))
        return self.first_byte_seconds <= min(objective * objectives, left)
