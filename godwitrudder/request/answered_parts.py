"""Prompt parts that were answered, and how far they are trusted.

A part that was answered lately is no suspect when a runner ends, unless several runners
have ended under it since.  Times are Unix seconds.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import Final

ANSWER_TRUST_SECONDS: Final = 10.0
"""Time after a sound answer in which its parts are no suspects."""
MAX_TRUSTED_CRASHES: Final = 1
"""Runners that may crash under such a part since its answer before it is a suspect."""
MAX_ANSWERED_PARTS: Final = 20_000


@dataclass(slots=True)
class AnsweredParts:
    """The parts that were answered, the oldest first."""

    _answered_at: OrderedDict[str, float] = field(default_factory=OrderedDict)
    _crashed_runners_by_part: dict[str, dict[str, float]] = field(default_factory=dict)

    def __contains__(self, part: str) -> bool:
        """Return whether a part is known to have been answered."""
        return part in self._answered_at

    def answered_at(self, part: str) -> float | None:
        """Return the Unix seconds of the last sound answer on a part, if any."""
        return self._answered_at.get(part)

    def is_answered_since(self, part: str, at: float) -> bool:
        """Return whether a part was answered at or after a time."""
        return self._answered_at.get(part, -math.inf) >= at

    def suspects(self, parts: Collection[str], now: float) -> tuple[str, ...]:
        """Return the parts that may have ended a runner that did not answer them."""
        since = now - ANSWER_TRUST_SECONDS
        return tuple(
            part
            for part in parts
            if self._answered_at.get(part, -math.inf) < since
            or len(self._crashed_runners_by_part.get(part, ())) > MAX_TRUSTED_CRASHES
        )

    def count_crash(self, runner: str, parts: Iterable[str], at: float) -> None:
        """Count a runner's crash against the trust in parts that were answered."""
        for part in parts:
            if self._answered_at.get(part, math.inf) < at:
                self._crashed_runners_by_part.setdefault(part, {})[runner] = at

    def record(self, part: str, at: float) -> float:
        """Record a sound answer; return the time of the last one."""
        at = max(at, self._answered_at.get(part, at))
        self._answered_at[part] = at
        self._answered_at.move_to_end(part)
        crashed = self._crashed_runners_by_part.pop(part, {})
        later = {runner: time for runner, time in crashed.items() if time > at}
        if later:
            self._crashed_runners_by_part[part] = later
        return at

    def forget_oldest(self) -> None:
        """Forget the parts above the limit."""
        while len(self._answered_at) > MAX_ANSWERED_PARTS:
            forgotten, _ = self._answered_at.popitem(last=False)
            self._crashed_runners_by_part.pop(forgotten, None)
