"""Splits an event stream into complete events.

Only complete events are passed on. A stream that breaks within an event can therefore
continue at another runner without a repeated or missing part.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

END: Final = re.compile(rb"\r?\n\r?\n")
END_BYTES: Final = 3
"""Bytes of an event's terminator that may arrive before the rest of it."""
ID: Final = re.compile(rb"^id: *([0-9]{1,18})(?![0-9])", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event with its bytes; ``id`` is None if it has no number."""

    id: int | None
    data: bytes

    @property
    def comment(self) -> bool:
        """Whether it has no content, such as a keep-alive."""
        lines = self.data.splitlines()
        return all(not line or line.startswith(b":") for line in lines)


@dataclass(slots=True)
class EventReader:
    """Collects bytes until events are complete.

    Attributes
    ----------
    rest : bytearray
        Bytes of an incomplete event.
    """

    rest: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Yield the events that the bytes complete."""
        start = max(0, len(self.rest) - END_BYTES)
        self.rest += data
        while True:
            end = END.search(self.rest, start)
            if end is None:
                return
            start = 0
            event = bytes(self.rest[: end.end()])
            del self.rest[: end.end()]
            number = ID.search(event)
            yield StreamEvent(None if number is None else int(number[1]), event)
