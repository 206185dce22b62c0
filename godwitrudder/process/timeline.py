"""The time line: a bounded ring of typed events per process.

Events carry hybrid logical clock stamps, so that the rings of all processes
merge in causal order.
"""

from __future__ import annotations

from collections import deque
from typing import Final

import msgspec

from godwitrudder.clock import HybridClock, Stamp

RING_EVENTS: Final = 10_000


class TimelineEvent(msgspec.Struct, frozen=True, array_like=True):
    """One thing that happened in one process.

    Attributes
    ----------
    stamp : Stamp
        Hybrid logical clock reading.
    process : str
        Host of the daemon.
    number : int
        Counts up by one per process; a gap shows lost events.
    kind : str
        What happened.
    request, workspace : str
        What it concerns; empty where nothing.
    detail : str
        Further words, never a key or a prompt.
    """

    stamp: Stamp
    process: str
    number: int
    kind: str
    request: str = ""
    workspace: str = ""
    detail: str = ""


class Timeline:
    """The ring of one process."""

    def __init__(self, process: str, clock: HybridClock) -> None:
        self.process = process
        self.clock = clock
        self.events: deque[TimelineEvent] = deque(maxlen=RING_EVENTS)
        self._number = 0

    def note(
        self, kind: str, request: str = "", workspace: str = "", detail: str = ""
    ) -> None:
        """Add an event."""
        event = TimelineEvent(
            self.clock.tick(),
            self.process,
            self._number,
            kind,
            request,
            workspace,
            detail,
        )
        self._number += 1
        self.events.append(event)
