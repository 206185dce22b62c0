"""The catalogue: routes, targets and workspaces of one configuration version.

Plain types without I/O.  The platform's documents are decoded into them once,
and every decision reads only these.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from godwitrudder.sections import Address


class RouteKind(enum.StrEnum):
    """What may be repeated of a request."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class WeightedTarget:
    """A target's part of a route, in weights of any sum."""

    target: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of a host name and path prefix go, and how.

    Attributes
    ----------
    shares : tuple of Share
        Targets with their weights.
    timeout_seconds : float
        Longest time a request is kept waiting.
    aim_seconds : float
        Time within which an answer, or a stream's first event, has full worth.
    attempts_most : int
        Runners that one request may run on.
    rank : int
        0 is the most urgent.
    public : bool
        Whether no key is asked for.
    resumable : bool
        Whether a stream may go on at another runner.
    gap_seconds : float
        Longest pause between a stream's events that is still on time.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[WeightedTarget, ...]
    timeout_seconds: float
    latency_objective_seconds: float
    max_attempts: int
    rank: int
    public: bool
    resumable: bool
    max_event_gap_seconds: float

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.kind is RouteKind.SAFE or self.resumable


@dataclass(frozen=True, slots=True)
class Engine:
    """What all engines of a target have in common.

    Attributes
    ----------
    tokens_per_event : int
        Tokens that one event of a stream holds at most.
    memory_tokens : int
        Tokens that a runner keeps in memory.
    """

    slots: int
    tokens_per_event: int
    memory_tokens: int


@dataclass(frozen=True, slots=True)
class Target:
    """A service behind the fleet.

    Attributes
    ----------
    connections_most : int
        Connections that one runner accepts from all hosts together.
    engine : Engine or None
        None for a plain service.
    """

    name: str
    max_connections: int
    engine: Engine | None


@dataclass(frozen=True, slots=True)
class Workspace:
    """A customer.

    Attributes
    ----------
    rank : int or None
        Goes before the route's rank.
    prepaid : int or None
        Tokens that it may use today, None for no limit.
    """

    name: str
    rank: int | None
    prepaid: int | None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, in bytes, and how long it may take, in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class ListedRunner:
    """What the platform lists of one runner.

    Attributes
    ----------
    leaving : bool
        Gets no new work.
    slots : int
        Requests that it works on at once.
    """

    id: str
    target: str
    address: Address
    failure_domain: str
    leaving: bool
    slots: int


@dataclass(frozen=True, slots=True)
class Catalogue:
    """One version of the configuration.

    Attributes
    ----------
    routes_by_host : mapping of str to tuple of Route
        Longest prefix first.
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    targets_by_name: Mapping[str, Target]
    workspaces_by_name: Mapping[str, Workspace]
    workspaces_by_key: Mapping[str, Workspace]
    limits: CallerLimits = field(default_factory=CallerLimits)

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of the longest prefix that begins the path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def index_routes(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    """Group routes by host name, longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(group, key=lambda route: -len(route.path_prefix)))
        for host, group in by_host.items()
    }
