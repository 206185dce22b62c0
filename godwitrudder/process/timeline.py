"""The timeline: a bounded ring of typed events per process, and their merge.

Events carry hybrid logical clock stamps.  A stamp is greater than every stamp that
its process has seen, so sorting by stamp puts each cause before its effects even if
the wall clocks of the hosts differ.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from typing import Final

import msgspec

from godwitrudder.clock import HybridClock, Stamp

RING_EVENTS: Final = 10_000
PAGE_EVENTS: Final = 2_000


class TimelineEvent(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """An event in one process.

    Attributes
    ----------
    stamp : Stamp
        Hybrid logical clock reading.
    process : str
        Host of the daemon.
    number : int
        Sequence number in the process; a gap shows lost events.
    kind : str
        Type of the event.
    request, workspace : str
        Request id and workspace that the event concerns; empty for none.
    detail : str
        Further text; never contains a key or a prompt.
    message : str
        Message id, equal for sending and receipt of a message; else empty.
    """

    stamp: Stamp
    process: str
    number: int
    kind: str
    request: str = ""
    workspace: str = ""
    detail: str = ""
    message: str = ""


class EventsAsk(msgspec.Struct, frozen=True, array_like=True, tag="events_ask"):
    """Requests the events after a number; filters by each field that is not empty."""

    after: int = -1
    request: str = ""
    workspace: str = ""


class Events(msgspec.Struct, frozen=True, array_like=True, tag="events"):
    """A page of one process's events.

    Attributes
    ----------
    lost : int
        Number of events after the requested number that the ring has evicted.
    last : int
        Value of ``after`` for the next page; includes events that were filtered out.
    more : bool
        Whether the ring holds further events.
    """

    process: str
    incarnation: str
    lost: int
    last: int
    more: bool
    events: tuple[TimelineEvent, ...]


class Timeline:
    """The event ring of one process.

    Attributes
    ----------
    listeners : list of callable
        Called with each new event.
    """

    def __init__(self, process: str, clock: HybridClock, incarnation: str = "") -> None:
        self.process = process
        self.incarnation = incarnation
        self.clock = clock
        self.events: deque[TimelineEvent] = deque(maxlen=RING_EVENTS)
        self.listeners: list[Callable[[TimelineEvent], None]] = []
        self._number = 0

    def note(
        self,
        kind: str,
        request: str = "",
        workspace: str = "",
        detail: str = "",
        message: str = "",
        stamp: Stamp | None = None,
    ) -> None:
        """Add an event; ``stamp`` is set for a message, which carries its own."""
        event = TimelineEvent(
            stamp or self.clock.tick(),
            self.process,
            self._number,
            kind,
            request,
            workspace,
            detail,
            message,
        )
        self._number += 1
        self.events.append(event)
        for listener in self.listeners:
            listener(event)

    def page(self, ask: EventsAsk) -> Events:
        """Return the first events after a number that match the filters."""
        oldest = self.events[0].number if self.events else self._number
        matching: list[TimelineEvent] = []
        last, more = max(ask.after, oldest - 1), False
        for event in self.events:
            if event.number <= ask.after:
                continue
            if len(matching) == PAGE_EVENTS:
                more = True
                break
            last = event.number
            if _matches(event, ask):
                matching.append(event)
        lost = max(0, oldest - 1 - ask.after)
        return Events(self.process, self.incarnation, lost, last, more, tuple(matching))


def _matches(event: TimelineEvent, ask: EventsAsk) -> bool:
    if ask.request and event.request != ask.request:
        return False
    return not ask.workspace or event.workspace == ask.workspace


def merge(pages: Iterable[Iterable[TimelineEvent]]) -> Iterator[TimelineEvent]:
    """Yield the events of several processes, causes before effects.

    Parameters
    ----------
    pages : iterable of iterable of TimelineEvent
        Events of one process each, in ring order.
    """
    return heapq.merge(*pages, key=_sort_key)


def _sort_key(event: TimelineEvent) -> tuple[int, int, str, int]:
    return event.stamp.millis, event.stamp.count, event.process, event.number
