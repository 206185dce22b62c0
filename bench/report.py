"""Rows of the bench report: each has a value and may have a bound."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Any, Literal


@dataclass(frozen=True, slots=True)
class Row:
    """One measured figure.

    Attributes
    ----------
    bound : float or None
        Largest allowed value, or smallest if ``better`` is ``higher``; None for a
        baseline or a cost per unit.
    better : str
        Whether ``lower`` or ``higher`` values are better.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    better: Literal["lower", "higher"] = "lower"

    @property
    def ok(self) -> bool:
        """Whether the value is within its bound; true if it has none."""
        if self.bound is None:
            return True
        if self.better == "lower":
            return self.value <= self.bound
        return self.value >= self.bound

    def as_dict(self) -> dict[str, Any]:
        """Return the row as it is written to ``bench-report.json``."""
        return {**asdict(self), "ok": self.ok}

    def line(self) -> str:
        """Return the row as a line of text."""
        bound = "" if self.bound is None else f" (bound {self.bound:g})"
        mark = "" if self.ok else "  BROKEN"
        return f"{self.name}: {self.value:.4g} {self.unit}{bound}{mark}"
