"""HTML page of the timeline: one lane per process, messages as arrows."""

from __future__ import annotations

import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from jinja2 import Environment, PackageLoader

from godwitrudder.process.timeline import TimelineEvent

TIME_COLUMN_PIXELS: Final = 110
LANE_WIDTH_PIXELS: Final = 330
ROW_HEIGHT_PIXELS: Final = 22
HEADER_HEIGHT_PIXELS: Final = 40
MAX_ROWS: Final = 5_000
MAX_DETAIL_CHARACTERS: Final = 28


@dataclass(frozen=True, slots=True)
class Lane:
    """A process and the position of its lane, in pixels."""

    process: str
    x: int


@dataclass(frozen=True, slots=True)
class EventRow:
    """An event and its position, in pixels.

    Attributes
    ----------
    detail : str
        Text beside the event, truncated to ``MAX_DETAIL_CHARACTERS``.
    title : str
        Full text, shown on hover.
    """

    x: int
    y: int
    time: str
    kind: str
    detail: str
    title: str


@dataclass(frozen=True, slots=True)
class Arrow:
    """A message, drawn from its sending to its receipt, in pixels."""

    x1: int
    y1: int
    x2: int
    y2: int


def render(events: list[TimelineEvent], notes: list[str]) -> str:
    """Return the page of events as HTML.

    Parameters
    ----------
    events : list of TimelineEvent
        Events in causal order; only the newest ``MAX_ROWS`` are drawn.
    notes : list of str
        Lines about missing events; shown above the lanes.
    """
    shown = events[-MAX_ROWS:]
    names = sorted({event.process for event in shown})
    lanes = [
        Lane(n, TIME_COLUMN_PIXELS + i * LANE_WIDTH_PIXELS) for i, n in enumerate(names)
    ]
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
        width=TIME_COLUMN_PIXELS + len(lanes) * LANE_WIDTH_PIXELS,
        height=HEADER_HEIGHT_PIXELS + len(rows) * ROW_HEIGHT_PIXELS,
    )


def _row(event: TimelineEvent, index: int, x_by_process: dict[str, int]) -> EventRow:
    parts = [event.kind, event.request, event.workspace, event.detail, event.message]
    detail = event.detail or event.request
    if len(detail) > MAX_DETAIL_CHARACTERS:
        detail = detail[: MAX_DETAIL_CHARACTERS - 1] + "…"
    return EventRow(
        x_by_process[event.process],
        HEADER_HEIGHT_PIXELS + index * ROW_HEIGHT_PIXELS,
        clock_time(event),
        event.kind,
        detail,
        " · ".join(part for part in parts if part),
    )


def _arrows(events: list[TimelineEvent], rows: list[EventRow]) -> Iterator[Arrow]:
    """Yield an arrow for each message whose sending and receipt are both shown."""
    sent_by_key: dict[tuple[str, str], EventRow] = {}
    for event, row in zip(events, rows, strict=True):
        key = (event.message, event.request)
        if event.kind.startswith("send "):
            sent_by_key[key] = row
        elif event.message and key in sent_by_key:
            sent = sent_by_key.pop(key)
            yield Arrow(sent.x, sent.y, row.x, row.y)


def clock_time(event: TimelineEvent) -> str:
    """Return the time of an event's stamp, UTC, with milliseconds."""
    seconds, millis = divmod(event.stamp.millis, 1000)
    return time.strftime("%H:%M:%S", time.gmtime(seconds)) + f".{millis:03d}"
