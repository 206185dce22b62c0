"""The decision log: one JSON line per decision, rate-limited and non-blocking.

A line is dropped and counted if standard output can't take it at once or if its kind
has reached the limit of the current second.  Each later line contains the count.
"""

from __future__ import annotations

import os
import time
from collections import Counter
from typing import Any, Final

import msgspec

MAX_LINES_PER_SECOND: Final = 200
"""Limit per kind of line; a host usually serves some ten requests a second."""
STANDARD_OUTPUT: Final = 1
"""File descriptor of standard output (POSIX)."""


class DecisionLog:
    """Writes decisions as JSON lines to a file descriptor.

    Parameters
    ----------
    host : str
        Name of this host, part of every line.
    descriptor : int
        File descriptor for the lines; it is made non-blocking.

    Attributes
    ----------
    dropped_lines : int
        Lines that were not written.
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
        """Write one decision with its inputs, or drop it.

        Parameters
        ----------
        kind : str
            Kind of the decision, which the rate limit applies to.
        request : str
            Id of the request, empty if the decision concerns none.
        inputs : Any
            Further fields of the line, encoded as JSON.
        """
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
        """Write without blocking, after the rest of a line that was written in part."""
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
