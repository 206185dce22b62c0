"""Evidence that a runner is cold: its caches are empty and it tolerates few requests.

Times are monotonic seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class ColdEvidence:
    """What one host knows about when a runner is cold.

    Attributes
    ----------
    record_until, answer_until : float
        Time until which the runner's record and its last answer say that it is cold.
    restarted_at : float
        Time at which its address was last unreachable, or at which this host learned
        that another instance has taken the address.
    """

    record_until: float = -math.inf
    answer_until: float = -math.inf
    restarted_at: float = -math.inf

    def note_record(self, remaining_seconds: float, now: float) -> None:
        """Note a new record of the runner; 0 if it is not cold."""
        self.record_until = now + remaining_seconds

    def note_answer(self, remaining_seconds: float, now: float) -> None:
        """Note an answer that states for how long the runner stays cold."""
        self.answer_until = now + remaining_seconds

    def note_restart(self, now: float) -> None:
        """Note that the runner has, or may have, started anew."""
        self.restarted_at = now

    def cold_until(self, start_seconds: float, evacuation_ended_at: float) -> float:
        """Return the time until which the runner counts as cold.

        Parameters
        ----------
        start_seconds : float
            Time for which a runner is cold after its start.
        evacuation_ended_at : float
            Time at which the last evacuation of its failure domain ended.
        """
        started_at = max(self.restarted_at, evacuation_ended_at)
        return max(self.record_until, self.answer_until, started_at + start_seconds)
