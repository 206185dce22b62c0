"""Byte counters of a process's connections."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Traffic:
    """Payload bytes received and sent since the process started."""

    received: int = 0
    sent: int = 0
