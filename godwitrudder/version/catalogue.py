"""The catalogue: routes, targets and workspaces of one configuration version.

Plain types without I/O.  The platform's documents are decoded into them once, and
all routing decisions read only these types.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from godwitrudder.validation import Address

Homes = frozenset[str]
"""Regions whose runners may serve a request; empty if all may."""


class RouteKind(enum.StrEnum):
    """Whether and how a request may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class WeightedTarget:
    """A target of a route with its relative weight; weights may have any sum."""

    target: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Destination and rules for the requests of a host name and path prefix.

    Attributes
    ----------
    shares : tuple of WeightedTarget
        Targets with their weights.
    timeout_seconds : float
        Maximum time that a request waits.
    latency_objective_seconds : float
        Latency objective of an answer or of a stream's first event; the timeouts of
        an attempt derive from it.
    max_attempts : int
        Maximum number of runners that one request may run on.
    rank : int
        Priority; 0 is the most urgent.
    public : bool
        Whether requests need no API key.
    resumable : bool
        Whether another runner may continue a stream.
    max_event_gap_seconds : float
        Objective for the pause between two events of a stream; the timeout for the
        next event derives from it.
    homes : frozenset of str
        Regions of the runners that may serve its requests; empty for all.
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
    homes: Homes = frozenset()

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.kind is RouteKind.SAFE or self.resumable


@dataclass(frozen=True, slots=True)
class Engine:
    """Properties that all engines of a target share.

    Attributes
    ----------
    slots : int
        Number of requests that a runner processes concurrently.
    tokens_per_event : int
        Maximum number of tokens in one event of a stream.
    memory_tokens : int
        Capacity of a runner's key-value cache, in tokens.
    models : frozenset of str
        Models that a runner has loaded.
    """

    slots: int
    tokens_per_event: int
    memory_tokens: int
    models: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Target:
    """A service behind the fleet.

    Attributes
    ----------
    max_connections : int
        Maximum number of connections to one runner, from all hosts together.
    engine : Engine or None
        None for a plain service.
    cold_start_seconds : float
        Time for which a runner is cold after its start.
    cold_per_second : float
        Requests per second from all hosts that a cold runner tolerates; 0 if none of
        its runners is ever cold.
    """

    name: str
    max_connections: int
    engine: Engine | None
    cold_start_seconds: float = 0.0
    cold_per_second: float = 0.0


@dataclass(frozen=True, slots=True)
class Workspace:
    """One customer of the fleet.

    Attributes
    ----------
    rank : int or None
        Priority that overrides the route's rank; None for no override.
    prepaid : int or None
        Tokens that it may use in total, over all time; None for no limit.
    homes : frozenset of str
        Regions of the runners that may serve its requests; empty for all.
    """

    name: str
    rank: int | None
    prepaid: int | None
    homes: Homes = frozenset()


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Maximum sizes of a caller's headers and body, and timeouts for sending them."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class ListedRunner:
    """A runner as the platform lists it.

    Attributes
    ----------
    leaving : bool
        Whether the runner is leaving and gets no new requests.
    slots : int
        Number of requests that it processes concurrently.
    started_ms : int
        Unix milliseconds at which it started; 0 if it does not say.
    sequence : int
        Number of the report; it starts anew with the runner.
    cold_seconds : float
        Time for which it stays cold, as of the report.
    """

    id: str
    target: str
    address: Address
    failure_domain: str
    leaving: bool
    slots: int
    started_ms: int = 0
    sequence: int = 0
    cold_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Catalogue:
    """One version of the configuration.

    Attributes
    ----------
    routes_by_host : mapping of str to tuple of Route
        Routes of each host name, longest prefix first.
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    targets_by_name: Mapping[str, Target]
    workspaces_by_name: Mapping[str, Workspace]
    workspaces_by_key: Mapping[str, Workspace]
    limits: CallerLimits = field(default_factory=CallerLimits)

    @property
    def only_engine_target(self) -> Target | None:
        """Return the target that has engines, None if several or none have."""
        found = [each for each in self.targets_by_name.values() if each.engine]
        return found[0] if len(found) == 1 else None

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path; None without any."""
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
