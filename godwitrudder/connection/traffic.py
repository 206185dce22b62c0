"""Bytes that pass through a process's connections, counted where they pass."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Traffic:
    """Payload bytes since the process began."""

    received: int = 0
    sent: int = 0
