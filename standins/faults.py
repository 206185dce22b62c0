"""Fault switches of a stand-in, set over HTTP or by a seeded script.

``PUT /faults`` with a JSON object sets switches; a script sets them at given
seconds after the start, so that a run can be repeated.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from random import Random
from typing import Any, Final

import gevent
import msgspec

STEP_SECONDS: Final = 0.05


class Switches(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """All switches; each stand-in honours those that concern it.

    Attributes
    ----------
    down : bool
        Answers 503 to everything.
    silent : bool
        Neither answers nor closes, new connections included.
    silent_open : bool
        Only what was open falls silent; new connections work.
    slow : float
        Factor on every duration.
    delay_seconds : float
        Added before every answer.
    lost_answers : float
        Share of appends that take effect and answer nothing.
    lag_seconds : float
        Age of the host list, the load report and the cache events.
    event_gaps : float
        Share of cache events that are never published.
    """

    down: bool = False
    silent: bool = False
    silent_open: bool = False
    slow: float = 1.0
    delay_seconds: float = 0.0
    lost_answers: float = 0.0
    lag_seconds: float = 0.0
    event_gaps: float = 0.0


class Step(msgspec.Struct, forbid_unknown_fields=True):
    """One line of a script: at a second, set a switch."""

    at_seconds: float
    switch: str
    value: Any


@dataclass(slots=True)
class Faults:
    """The switches of one stand-in."""

    random: Random
    switches: Switches = field(default_factory=Switches)
    _silent_since: float = 0.0

    def set(self, changes: dict[str, Any]) -> str:
        """Set switches; return what is wrong with the changes, or nothing."""
        if changes.get("silent_open"):
            self._silent_since = time.monotonic()
        plain = {**msgspec.to_builtins(self.switches), **changes}
        try:
            self.switches = msgspec.convert(plain, Switches)
        except msgspec.ValidationError as error:
            return str(error)
        return ""

    def hit(self, share: float) -> bool:
        """Return whether a fault of this share strikes now."""
        return self.random.random() < share

    def play(self, steps: list[Step]) -> None:
        """Set the switches of a script in its own greenlet."""
        for step in steps:
            gevent.spawn_later(step.at_seconds, self.set, {step.switch: step.value})

    def hold(self, opened: float | None = None) -> None:
        """Wait as long as the stand-in is silent.

        Parameters
        ----------
        opened : float, optional
            Monotonic second since which the connection is in use.
        """
        while self.switches.silent or self._lost(opened):
            gevent.sleep(STEP_SECONDS)

    def _lost(self, opened: float | None) -> bool:
        """Whether something on the way has lost track of this connection."""
        if opened is None or not self.switches.silent_open:
            return False
        return opened <= self._silent_since
