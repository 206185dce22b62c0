"""The timeline: causal order, bounded rings, counted losses, the HTML page."""

from __future__ import annotations

from godwitrudder.clock import HybridClock, VirtualClock
from godwitrudder.connection.escrow import Announce, OpenIntent
from godwitrudder.connection.frames import Frame
from godwitrudder.ctl.timeline_page import render
from godwitrudder.process.recorder import Recorder
from godwitrudder.process.timeline import (
    PAGE_EVENTS,
    RING_EVENTS,
    EventsAsk,
    Timeline,
    merge,
)

ANNOUNCE = Announce("a/1", "b/1", (OpenIntent("r<1>", "budget", 5),))


def test_causes_come_first_though_a_clock_is_behind() -> None:
    """Each sending sorts before its receipt, although a wall clock is behind."""
    rings = [
        Timeline(name, HybridClock(VirtualClock(seconds)))
        for name, seconds in (("b", 1000.0), ("a", 10.0))
    ]
    ahead, behind = rings
    for _ in range(3):
        frame = Frame(1, False, ahead.clock.tick(), ANNOUNCE)
        Recorder(ahead, "b/1").sent(frame, "a")
        behind.clock.observe(frame.stamp)
        Recorder(behind, "a/1").received(frame, "b")
        ahead.clock.observe(behind.clock.tick())
    kinds = [event.kind for event in merge(ring.events for ring in rings)]
    assert kinds == ["send announce", "receive announce"] * 3


def test_a_full_ring_counts_lost_events() -> None:
    """Pages are bounded; events that the ring dropped before they are read count."""
    ring = Timeline("a", HybridClock(VirtualClock()))
    for number in range(RING_EVENTS + 7):
        ring.note("event", request=str(number % 2))
    page = ring.page(EventsAsk())
    assert (page.lost, len(page.events), page.more) == (7, PAGE_EVENTS, True)
    odd, after, numbers = 0, -1, []
    while True:
        page = ring.page(EventsAsk(after, request="1"))
        odd += len(page.events)
        numbers += [event.number for event in page.events]
        if not page.more:
            break
        after = page.last
    assert odd == RING_EVENTS // 2 and numbers == sorted(set(numbers))


def test_the_page_draws_messages_and_escapes_what_callers_chose() -> None:
    """The page has an arrow per message; request ids of callers are escaped."""
    left, right = (Timeline(n, HybridClock(VirtualClock())) for n in "ab")
    frame = Frame(1, False, left.clock.tick(), ANNOUNCE)
    Recorder(left, "a/1").sent(frame, "b")
    right.clock.observe(frame.stamp)
    Recorder(right, "b/1").received(frame, "a")
    text = render(list(merge([left.events, right.events])), ["c did not answer"])
    assert text.count('class="arrow"') == 1
    assert "r<1>" not in text and "r&lt;1&gt;" in text
    assert "c did not answer" in text
