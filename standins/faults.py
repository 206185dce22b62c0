"""Fault injection for the stand-ins, controlled over HTTP or by a seeded script.

``PUT /faults`` with a JSON object sets switches.  A script sets them at given seconds
after the start, so that a run is reproducible.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from random import Random
from typing import Any, Final

import gevent
import msgspec
from gevent.event import Event

# Interval at which a silent stand-in checks whether it may answer again.
POLL_SECONDS: Final = 0.05


class Switches(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """All switches; each stand-in applies those that are relevant to it.

    Attributes
    ----------
    down : bool
        Every request except ``/faults`` is answered with status 503.
    silent : bool
        No request except ``/faults`` is answered, also on new connections; no
        connection is closed.
    swallow : bool
        Requests that arrive, and answers that are due, are lost; no connection is
        closed.
    silent_open : bool
        An engine's responses that began before this switch was set send nothing more;
        later ones work.
    slow : float
        Factor on the duration of a batch step.
    delay_seconds : float
        Delay before every answer.
    lost_answers : float
        Fraction of appends that take effect but whose answer is lost.
    lag_seconds : float
        Least age of the host list, the load report and the cache events that are sent.
    event_gaps : float
        Fraction of cache events that are never published.
    """

    down: bool = False
    silent: bool = False
    swallow: bool = False
    silent_open: bool = False
    slow: float = 1.0
    delay_seconds: float = 0.0
    lost_answers: float = 0.0
    lag_seconds: float = 0.0
    event_gaps: float = 0.0


class ScriptStep(msgspec.Struct, forbid_unknown_fields=True):
    """One line of a script: sets a switch at a time after the start."""

    at_seconds: float
    switch: str
    value: Any


@dataclass(slots=True)
class FaultInjector:
    """The switches of one stand-in, and the random draws of its faults."""

    random: Random
    switches: Switches = field(default_factory=Switches)
    _silent_since: float = 0.0

    def set(self, changes: dict[str, Any]) -> str:
        """Set switches; return an error text, empty if the changes are valid."""
        if changes.get("silent_open"):
            self._silent_since = time.monotonic()
        merged = {**msgspec.to_builtins(self.switches), **changes}
        try:
            self.switches = msgspec.convert(merged, Switches)
        except msgspec.ValidationError as error:
            return str(error)
        return ""

    def should_fail(self, probability: float) -> bool:
        """Draw whether a fault of this probability occurs now."""
        return self.random.random() < probability

    def schedule(self, steps: list[ScriptStep]) -> None:
        """Set each switch of a script at its time, in a greenlet of its own."""
        for step in steps:
            gevent.spawn_later(step.at_seconds, self.set, {step.switch: step.value})

    def wait_if_lost(self) -> None:
        """Wait for ever if the message at hand is lost."""
        if self.switches.swallow:
            Event().wait()

    def wait_while_silent(self, opened: float | None = None) -> None:
        """Wait while the stand-in, or this connection to it, is silent.

        Parameters
        ----------
        opened : float, optional
            Monotonic time in seconds at which the response on this connection began.
        """
        while self.switches.silent or self._connection_lost(opened):
            gevent.sleep(POLL_SECONDS)

    def _connection_lost(self, opened: float | None) -> bool:
        """Whether the connection is silent, as if a middlebox had lost its state."""
        if opened is None or not self.switches.silent_open:
            return False
        return opened <= self._silent_since
