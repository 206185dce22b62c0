"""Records messages and decisions of the other tasks on the process timeline.

Heartbeats, slot share reports and state queries occur several times a second and
would evict all other events from the ring, so they are not recorded.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Final

from godwitrudder.connection.escrow import Acked, Announce, Beat, Standing
from godwitrudder.connection.frames import Frame, Ping
from godwitrudder.connection.queries import (
    ConfigAnswer,
    ConfigAsk,
    ConfigHave,
    Status,
    StatusAsk,
)
from godwitrudder.connection.shares import ShareAnswer, ShareReport
from godwitrudder.process.timeline import Events, EventsAsk, Timeline
from godwitrudder.version import records
from godwitrudder.version.config_fold import Accepted, Rejected, Restored, Result
from godwitrudder.version.fold import Effect, Voided

UNRECORDED: Final[tuple[type, ...]] = (
    Ping,
    Acked,
    Beat,
    Standing,
    ConfigAsk,
    ConfigHave,
    EventsAsk,
    Events,
    ShareAnswer,
    ShareReport,
    Status,
    StatusAsk,
)


class Recorder:
    """Records frames, ledger effects and configuration changes of one process."""

    def __init__(self, timeline: Timeline, incarnation: str) -> None:
        self._timeline = timeline
        self._incarnation = incarnation

    def sent(self, frame: Frame, host: str) -> None:
        """Record a frame sent to ``host``."""
        if not _is_unrecorded(frame):
            message = _message_id(self._timeline.process, frame)
            for request in _requests_of(frame):
                self._timeline.note(
                    f"send {_tag_of(frame)}",
                    request,
                    "",
                    f"to {host}",
                    message,
                    frame.stamp,
                )

    def received(self, frame: Frame, host: str) -> None:
        """Record a frame received from ``host``."""
        if not _is_unrecorded(frame):
            message = _message_id(host, frame)
            for request in _requests_of(frame):
                self._timeline.note(
                    f"receive {_tag_of(frame)}", request, "", f"from {host}", message
                )

    def record_effect(self, effect: Effect) -> None:
        """Record the effect of a ledger record of this incarnation."""
        entry = effect.entry
        if not getattr(entry, "incarnation", "").startswith(self._incarnation):
            return
        request = getattr(entry, "request", "")
        budget = getattr(entry, "budget", "")
        kind = type(entry).__name__.lower()
        if isinstance(effect, Voided):
            self._timeline.note(f"{kind} void", request, "", f"{effect.reason}")
        elif isinstance(entry, records.Grant | records.Bill | records.Return):
            detail = f"{effect.tokens} tokens of {budget}"
            self._timeline.note(kind, request, "", detail)

    def record_config(self, results: list[Result]) -> None:
        """Record the results of configuration records."""
        for result in results:
            match result:
                case Accepted(verdict=verdict):
                    detail = f"{verdict.what}, version {verdict.offset}"
                    self._timeline.note("config in force", detail=detail)
                case Rejected(problem=problem):
                    self._timeline.note("config rejected", detail=str(problem))
                case Restored(offset=offset):
                    detail = f"from a snapshot before {offset}"
                    self._timeline.note("config in force", detail=detail)


def _is_unrecorded(frame: Frame) -> bool:
    if isinstance(frame.body, ConfigAnswer):
        return not (frame.body.records or frame.body.parts)
    return frame.body is None or isinstance(frame.body, UNRECORDED)


def _message_id(sender: str, frame: Frame) -> str:
    """Return a message id that sender and receiver both derive."""
    return f"{sender}/{frame.stamp.millis}.{frame.stamp.count}"


def _tag_of(frame: Frame) -> str:
    kind: Any = type(frame.body)
    return str(kind.__struct_config__.tag)


def _requests_of(frame: Frame) -> Iterator[str]:
    """Yield the request ids of a frame, or one empty id if it has none."""
    if isinstance(frame.body, Announce):
        yield from dict.fromkeys(intent.request for intent in frame.body.intents)
    else:
        yield getattr(frame.body, "request", "")
