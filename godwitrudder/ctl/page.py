"""The time line as a page: one lane per process, messages as arrows."""

from __future__ import annotations

import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from jinja2 import Environment, PackageLoader

from godwitrudder.process.timeline import TimelineEvent

TIME_PIXELS: Final = 110
LANE_PIXELS: Final = 330
ROW_PIXELS: Final = 22
HEAD_PIXELS: Final = 40
MAX_ROWS: Final = 5_000
MAX_DETAIL: Final = 28


@dataclass(frozen=True, slots=True)
class Lane:
    """A process and where its line is, in pixels."""

    process: str
    x: int


@dataclass(frozen=True, slots=True)
class EventRow:
    """An event and where it is, in pixels."""

    x: int
    y: int
    time: str
    kind: str
    detail: str
    title: str


@dataclass(frozen=True, slots=True)
class Arrow:
    """A message from its sending to its receipt, in pixels."""

    x1: int
    y1: int
    x2: int
    y2: int


def render(events: list[TimelineEvent], notes: list[str]) -> str:
    """Return the page of events in causal order; the newest where too many."""
    shown = events[-MAX_ROWS:]
    names = sorted({event.process for event in shown})
    lanes = [Lane(n, TIME_PIXELS + i * LANE_PIXELS) for i, n in enumerate(names)]
    x_by_process = {lane.process: lane.x for lane in lanes}
    rows = [_row(event, i, x_by_process) for i, event in enumerate(shown)]
    if len(shown) < len(events):
        left_out = f"{len(events) - len(shown)} older events are left out"
        notes = [*notes, left_out]
    environment = Environment(
        loader=PackageLoader("godwitrudder", "ctl"),
        autoescape=True,
        trim_blocks=True,
        lstrip_blocks=True,
    )
    return environment.get_template("timeline.html.j2").render(
        lanes=lanes,
        rows=rows,
        arrows=list(_arrows(shown, rows)),
        notes=notes,
        width=TIME_PIXELS + len(lanes) * LANE_PIXELS,
        height=HEAD_PIXELS + len(rows) * ROW_PIXELS,
    )


def _row(event: TimelineEvent, index: int, x_by_process: dict[str, int]) -> EventRow:
    words = [event.kind, event.request, event.workspace, event.detail, event.message]
    detail = event.detail or event.request
    if len(detail) > MAX_DETAIL:
        detail = detail[: MAX_DETAIL - 1] + "…"
    return EventRow(
        x_by_process[event.process],
        HEAD_PIXELS + index * ROW_PIXELS,
        clock_time(event),
        event.kind,
        detail,
        " · ".join(word for word in words if word),
    )


def _arrows(events: list[TimelineEvent], rows: list[EventRow]) -> Iterator[Arrow]:
    """Pair each sending with its receipt, if both are there."""
    sent_by_key: dict[tuple[str, str], EventRow] = {}
    for event, row in zip(events, rows, strict=True):
        key = (event.message, event.request)
        if event.kind.startswith("send "):
            sent_by_key[key] = row
        elif event.message and key in sent_by_key:
            sent = sent_by_key.pop(key)
            yield Arrow(sent.x, sent.y, row.x, row.y)


def clock_time(event: TimelineEvent) -> str:
    """Return the wall time of an event, UTC, with milliseconds."""
    seconds, millis = divmod(event.stamp.millis, 1000)
    return time.strftime("%H:%M:%S", time.gmtime(seconds)) + f".{millis:03d}"
