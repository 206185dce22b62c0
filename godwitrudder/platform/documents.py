"""Decodes the platform's configuration and runner records into internal types."""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated, Final

import msgspec

from godwitrudder import codec
from godwitrudder.codec import MAX_SECONDS, Count, Malformed, Milliseconds, Whole
from godwitrudder.validation import Address, Problem, parse_address
from godwitrudder.version.catalogue import (
    CallerLimits,
    Catalogue,
    Engine,
    ListedRunner,
    Route,
    RouteKind,
    Target,
    WeightedTarget,
    Workspace,
    index_routes,
)

# Visible characters, as in the value of a header.
_RUNNER_ID: Final = re.compile("[!-~]{1,200}")
KIND_BY_NAME: Final = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
}


Weight = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_SECONDS)]


class ShareModel(msgspec.Struct):
    """One target of a route with a traffic split."""

    service: str
    weight: Weight = 1.0


class RouteModel(msgspec.Struct):
    """A route in the operator's configuration.

    Attributes
    ----------
    kind : str
        A key of ``KIND_BY_NAME``; any other kind counts as unsafe.
    priority : int
        Rank of the route's requests; 0 is the most urgent.
    service, traffic_split : str, list of ShareModel
        The only target, or the weighted targets if there are any.
    public : bool
        Whether requests without a known API key are served.
    gap_aim_ms : float
        Longest pause between two events of a stream that counts as on time.
    allowed_regions : list of str or None
        Regions of the runners that may serve it; None or none for all regions.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: Milliseconds
    target_latency_ms: Milliseconds = 1000.0
    priority: Whole = 5
    service: str = ""
    traffic_split: list[ShareModel] = []
    max_attempts: Whole = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: Milliseconds = 0.0
    allowed_regions: list[str] | None = None


class LoadedModel(msgspec.Struct):
    """A model that the engines of a service have loaded."""

    name: str


class EngineModel(msgspec.Struct):
    """Properties that all engines of a service share.

    Attributes
    ----------
    stride : int
        Maximum number of tokens in one event of a stream.
    """

    slots: Whole = 1
    stride: Whole = 1
    kv_capacity_tokens: Whole = 0
    models: list[LoadedModel] = []


class ServiceModel(msgspec.Struct):
    """A service in the operator's configuration; internally a target.

    Attributes
    ----------
    max_conns : int
        Maximum number of connections to one runner, from all hosts together.
    engine : EngineModel or None
        None for a plain service.
    cold_start_s : float
        Time for which a runner is cold after its start.
    cold_per_s : float
        Requests per second from all hosts that a cold runner tolerates; 0 if none of
        its runners is ever cold.
    """

    name: str
    max_conns: Whole = 0
    engine: EngineModel | None = None
    cold_start_s: Seconds = 0.0
    cold_per_s: Rate = 0.0


class LimitsModel(msgspec.Struct):
    """Limits on the requests of callers."""

    max_header_bytes: Count = 16_384
    max_body_bytes: Count = 4_194_304
    header_timeout_ms: Milliseconds = 3000.0
    idle_timeout_ms: Milliseconds = 15_000.0


class TenantModel(msgspec.Struct):
    """A tenant with its API keys; internally a workspace.

    Attributes
    ----------
    priority : int or None
        Rank of its requests; None for the rank of the route.
    prepaid : int or None
        Prepaid tokens; None for no limit.
    allowed_regions : list of str or None
        Regions of the runners that may serve its requests; None or none for all.
    """

    name: str
    api_keys: list[str] = []
    priority: Whole | None = None
    prepaid: Whole | None = None
    allowed_regions: list[str] | None = None


class ConfigurationModel(msgspec.Struct):
    """The whole configuration.

    Attributes
    ----------
    tenants : list of TenantModel or None
        None makes all routes public.
    """

    version: Whole
    routes: list[RouteModel] = []
    services: list[ServiceModel] = []
    limits: LimitsModel = msgspec.field(default_factory=LimitsModel)
    tenants: list[TenantModel] | None = None


class RunnerModel(msgspec.Struct):
    """A runner's record in the store.

    Attributes
    ----------
    cold_remaining_ms : float or None
        Time for which it stays cold, as of the record; None if it does not say.
    """

    service: str
    address: str
    state: str
    zone: str = ""
    slots: Whole = 1
    born: Whole = 0
    seq: Whole = 0
    cold_remaining_ms: float | None = None


def catalogue(data: bytes) -> Catalogue | Malformed:
    """Decode a configuration."""
    model = codec.decode_json(data, ConfigurationModel, strict=False)
    if isinstance(model, Malformed):
        return model
    routes = [_route(route, model.tenants is None) for route in model.routes]
    workspaces = {
        tenant.name: Workspace(
            tenant.name,
            tenant.priority,
            tenant.prepaid,
            frozenset(tenant.allowed_regions or ()),
        )
        for tenant in model.tenants or []
    }
    by_key = {
        key: workspaces[tenant.name]
        for tenant in model.tenants or []
        for key in tenant.api_keys
    }
    targets = {service.name: _target(service) for service in model.services}
    limits = CallerLimits(
        model.limits.max_header_bytes,
        model.limits.max_body_bytes,
        model.limits.header_timeout_ms / 1000,
        model.limits.idle_timeout_ms / 1000,
    )
    return Catalogue(
        model.version, index_routes(routes), targets, workspaces, by_key, limits
    )


def entry(key: str, data: bytes) -> ListedRunner | Malformed:
    """Decode the store's record of one runner."""
    model = codec.decode_json(data, RunnerModel)
    if isinstance(model, Malformed):
        return model
    if not _RUNNER_ID.fullmatch(key):
        return Malformed("the id of a runner can't stand in a header")
    if model.state not in ("ready", "draining"):
        return Malformed(f"unknown state {model.state!r}")
    address = parse_address("servers", key, model.address)
    if isinstance(address, Problem):
        return Malformed(str(address))
    number = ipaddress.ip_address(address.ip)
    if number.is_unspecified or number.is_multicast:
        return Malformed(f"{address} is no address of one machine")
    leaving = model.state != "ready"
    return ListedRunner(
        key,
        model.service,
        address,
        model.zone,
        leaving,
        max(1, model.slots),
        model.born,
        model.seq,
        min(MAX_SECONDS, max(0.0, (model.cold_remaining_ms or 0.0) / 1000)),
    )


def address(text: str) -> Address | Problem:
    """Decode ``ip:port``."""
    return parse_address("settings", "address", text)


def _route(model: RouteModel, public: bool) -> Route:
    shares = tuple(
        WeightedTarget(part.service, part.weight) for part in model.traffic_split
    )
    return Route(
        name=model.name,
        host=model.host.lower(),
        path_prefix=model.path_prefix,
        kind=KIND_BY_NAME.get(model.kind, RouteKind.UNSAFE),
        shares=shares or (WeightedTarget(model.service, 1.0),),
        timeout_seconds=model.timeout_ms / 1000,
        latency_objective_seconds=model.target_latency_ms / 1000,
        max_attempts=max(1, model.max_attempts),
        rank=model.priority,
        public=model.public or public,
        resumable=model.resumable and model.kind == "streaming",
        max_event_gap_seconds=model.gap_aim_ms / 1000,
        homes=frozenset(model.allowed_regions or ()),
    )


def _target(model: ServiceModel) -> Target:
    engine = model.engine
    parsed = None if engine is None else _engine(engine)
    return Target(
        model.name, model.max_conns, parsed, model.cold_start_s, model.cold_per_s
    )


def _engine(engine: EngineModel) -> Engine:
    return Engine(
        engine.slots,
        max(1, engine.stride),
        engine.kv_capacity_tokens,
        frozenset(loaded.name for loaded in engine.models),
    )
