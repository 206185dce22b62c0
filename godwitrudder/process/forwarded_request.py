"""A request under way, and what an attempt at a runner can come to."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

from godwitrudder.connection.http import CallerLink, CallerRequest, ResponseHead
from godwitrudder.platform import headers as wire
from godwitrudder.version.catalogue import Route, Target, Workspace


@dataclass(frozen=True, slots=True)
class Whole:
    """A runner's answer that is not a stream."""

    head: ResponseHead
    body: bytes


@dataclass(slots=True)
class Forwarding:
    """One request under way.

    Attributes
    ----------
    until : float
        Monotonic seconds at which its time is over.
    ran_on : int
        Runners that may have run it.
    begun : bool
        Whether the caller has the head of its answer.
    events : int
        Events that the caller was sent.
    kept : Whole or None
        A failed answer of a runner, passed on if no other runner gives a better one.
    token_seconds : float
        Time that it waited for tokens.
    first_seconds : float or None
        Time to its first event.
    """

    link: CallerLink
    request: CallerRequest
    ask: wire.CallerHeaders
    route: Route
    target: Target
    workspace: Workspace | None
    started_at: float
    until: float
    excluded: set[str] = field(default_factory=set)
    ran_on: int = 0
    arrivals: int = 0
    rejections: int = 0
    begun: bool = False
    events: int = 0
    last_event: int | None = None
    problem: str = ""
    token_seconds: float = 0.0
    first_seconds: float | None = None
    kept: Whole | None = None

    @property
    def name(self) -> str:
        """Return the request's id for logs."""
        return self.ask.request.decode("latin-1")

    @property
    def left(self) -> float:
        """Return the seconds left."""
        return self.until - time.monotonic()


@dataclass(frozen=True, slots=True)
class Streamed:
    """A stream was passed on to its end."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The runner did not run the request."""

    reason: str
    busy: bool


@dataclass(frozen=True, slots=True)
class Lost:
    """The runner may have run the request, and gave no whole answer."""

    reason: str


Attempted = Whole | Streamed | NotRun | Lost
