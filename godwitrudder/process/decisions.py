"""The decision log: one JSON line per decision, bounded, never blocking.

A line that standard output can't take at once, or that is beyond the bound of
its kind in this second, is left out and counted; the count is in the next line.
"""

from __future__ import annotations

import os
import time
from collections import Counter
from typing import Any, Final

import msgspec

MAX_LINES_PER_SECOND: Final = 200
"""Per kind; a host serves some ten requests a second at today's load."""
STANDARD_OUTPUT: Final = 1
"""Number of the descriptor, as POSIX has it."""


class DecisionLog:
    """Writes decisions to standard output.

    Parameters
    ----------
    host : str
        Named in every line.
    descriptor : int
        Where lines go; made non-blocking.
    """

    def __init__(self, host: str, descriptor: int = STANDARD_OUTPUT) -> None:
        self._host = host
        self._descriptor = descriptor
        self._second = 0
        self._lines_by_kind: Counter[str] = Counter()
        self._unwritten = b""
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def note(self, kind: str, request: str = "", **inputs: Any) -> None:
        """Write one decision with its inputs."""
        now = time.monotonic()
        if int(now) != self._second:
            self._second = int(now)
            self._lines_by_kind.clear()
        self._lines_by_kind[kind] += 1
        if self._lines_by_kind[kind] > MAX_LINES_PER_SECOND:
            self.dropped_lines += 1
            return
        line: dict[str, Any] = {
            "at": round(now, 4),
            "wall": round(time.time(), 3),
            "host": self._host,
            "kind": kind,
        }
        if request:
            line["request"] = request
        if self.dropped_lines:
            line["left_out"] = self.dropped_lines
        line.update(inputs)
        self._write(msgspec.json.encode(line) + b"\n")

    def _write(self, data: bytes) -> None:
        """Write at once, after the rest of a line that was cut."""
        try:
            if self._unwritten:
                self._unwritten = self._unwritten[
                    os.write(self._descriptor, self._unwritten) :
                ]
            if self._unwritten:
                self.dropped_lines += 1
                return
            self._unwritten = data[os.write(self._descriptor, data) :]
        except OSError:
            self.dropped_lines += 1
