"""The order of the requests that wait for tokens."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, Protocol, TypeVar


class InLine(Protocol):
    """A waiting request.

    Attributes
    ----------
    rank : int
        Its rank; 0 is the most urgent.
    """

    @property
    def workspace(self) -> str: ...

    @property
    def rank(self) -> int: ...


Waiting = TypeVar("Waiting", bound=InLine)


class WaitingLine(Generic[Waiting]):
    """Waiting requests, within each workspace by rank, then arrival."""

    def __init__(self) -> None:
        self._by_workspace: dict[str, list[Waiting]] = {}

    def __contains__(self, waiting: Waiting) -> bool:
        return waiting in self._by_workspace.get(waiting.workspace, ())

    def __iter__(self) -> Iterator[Waiting]:
        for workspace in self.workspaces():
            yield from self.of(workspace)

    def workspaces(self) -> list[str]:
        """Return the workspaces with waiting requests."""
        return list(self._by_workspace)

    def of(self, workspace: str) -> list[Waiting]:
        """Return the waiting requests of a workspace, the first one first."""
        return list(self._by_workspace.get(workspace, ()))

    def first(self, workspace: str) -> Waiting | None:
        """Return the first waiting request of a workspace, if any."""
        line = self._by_workspace.get(workspace)
        return line[0] if line else None

    def must_wait(self, workspace: str, rank: int) -> bool:
        """Whether a request of this rank that arrives now has others before it."""
        first = self.first(workspace)
        return first is not None and first.rank <= rank

    def add(self, waiting: Waiting) -> None:
        """Add a request behind those of its rank."""
        line = self._by_workspace.setdefault(waiting.workspace, [])
        place = sum(1 for each in line if each.rank <= waiting.rank)
        line.insert(place, waiting)

    def remove(self, waiting: Waiting) -> None:
        """Remove a request."""
        line = self._by_workspace[waiting.workspace]
        line.remove(waiting)
        if not line:
            del self._by_workspace[waiting.workspace]
