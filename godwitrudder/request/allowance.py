"""Allowance: how fast a grant may rise above the limit that other hosts know.

A token bucket.  Whoever knows one statement of a host and its age can therefore bound
all later grants, also those whose statements the store has lost; see
``version.statements``.
"""

from __future__ import annotations

from dataclasses import dataclass

from godwitrudder.version.statements import ALLOWANCE_SECONDS


@dataclass(slots=True)
class Allowance:
    """A token bucket that fills up in ``ALLOWANCE_SECONDS``.

    Attributes
    ----------
    tokens : int
        Size of the bucket.
    """

    tokens: int = 0
    _level: float = 0.0
    _at: float = 0.0

    def resize(self, tokens: int, now: float) -> None:
        """Change the size; a larger bucket gets the difference at once."""
        self._fill(now)
        self._level = min(self._level + max(0, tokens - self.tokens), float(tokens))
        self.tokens = tokens

    def take_over(self, tokens: int, now: float) -> None:
        """Continue a former incarnation, which may have emptied the bucket."""
        self.tokens, self._level, self._at = tokens, 0.0, now

    def available(self, now: float) -> int:
        """Return the tokens by which the grant may rise now."""
        self._fill(now)
        return int(self._level)

    def take(self, tokens: int, now: float) -> None:
        """Record that the grant has risen."""
        self._fill(now)
        self._level -= tokens

    def _fill(self, now: float) -> None:
        if now > self._at:
            refill = self.tokens * (now - self._at) / ALLOWANCE_SECONDS
            self._level = min(float(self.tokens), self._level + refill)
            self._at = now
