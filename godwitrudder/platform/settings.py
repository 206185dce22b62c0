"""Parser of the settings file that the platform gives an entry process."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

import msgspec

from godwitrudder.options import Options, Queueing
from godwitrudder.validation import Address, Problem, parse, parse_address

BYTES_PER_MEGABIT: Final = 125_000.0
"""The settings state the link's rate in Mbit/s."""
BYTES_PER_MEGABYTE: Final = 1_000_000.0
"""The settings state the memory limit in MB."""
PRESSURE_CONTRACT: Final = "pressure"
"""Name under which the settings say that callers compete for room at the targets."""
RECORD_BYTES: Final = 262_144
"""Size of the largest record that a store accepts, where the settings don't say."""


class ListenModel(msgspec.Struct):
    """Addresses to listen on."""

    front: str
    ready: str


class StoreModel(msgspec.Struct):
    """Address of the store, and the size of a record that it accepts."""

    address: str
    record_bytes: int = RECORD_BYTES


class BoundsModel(msgspec.Struct):
    """Time limits and retry parameters, with the platform's defaults."""

    drain_ms: float = 2000.0
    stable_window_ms: float = 3000.0
    grace_s: float = 8.0
    config_ms: float = 2000.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 10.0
    settle_ms: float = 1500.0
    cold_over: float = 1.5
    cold_slack: float = 5.0
    evac_ms: float = 5000.0


class LimitsModel(msgspec.Struct):
    """Resources of the machine."""

    link_mbps: float = 0.0
    memory_mb: float = 0.0


class SettingsModel(msgspec.Struct):
    """The fields of the settings file that the process reads.

    Attributes
    ----------
    region : str
        Region of this host.
    zones : dict
        Region by failure domain.
    """

    node: str
    zone: str
    listen: ListenModel
    platform: StoreModel
    bounds: BoundsModel = msgspec.field(default_factory=BoundsModel)
    heartbeat_ms: float = 1200.0
    limits: LimitsModel = msgspec.field(default_factory=LimitsModel)
    ip: str = ""
    bootstrap: bool = False
    internal_ports: list[int] = msgspec.field(default_factory=list)
    contracts: list[str] = msgspec.field(default_factory=list)
    options: Options | None = None
    region: str = ""
    zones: dict[str, str] = msgspec.field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Identity, addresses and limits of an entry process; times in seconds.

    Attributes
    ----------
    callers, ready, store : Address
        Addresses for callers and for the readiness check, and address of the store.
    leave_seconds : float
        Time within which a leaving runner must stop getting requests.
    grace_seconds : float
        Time from SIGTERM until the platform ends the process.
    retry_share : float
        Retries per request that the fleet may send within the window.
    retry_window_seconds : float
        Length of the window in which requests and retries are counted.
    retry_slack : float
        Number of retries of all hosts in a window, in addition to the share.
    recovery_seconds : float
        Time after an outage of the store in which a newer configuration must be in
        force.
    record_bytes : int
        Size of the largest record that the store accepts.
    link_bytes_per_second : float
        Capacity of the machine's link in each direction; 0 if unknown.
    peers : Address or None
        Address for messages of other hosts; None if the platform assigns no port.
    first_start : bool
        Whether the whole fleet starts for the first time, so that nothing can have been
        spent yet.
    options : Options
        The operator's options.
    memory_bytes : float
        Memory limit of the host; 0 if unknown.
    region_by_failure_domain : mapping of str to str
        Regions of the failure domains, that of this host among them.
    cold_over, cold_slack : float
        A cold runner gets at most its rate times ``cold_over``, and ``cold_slack``
        requests, in a second.
    evacuation_seconds : float
        Time within which an evacuation must be in force.
    """

    host: str
    failure_domain: str
    callers: Address
    ready: Address
    store: Address
    leave_seconds: float
    grace_seconds: float
    retry_share: float
    retry_window_seconds: float
    retry_slack: float
    recovery_seconds: float = 3.0
    record_bytes: int = RECORD_BYTES
    link_bytes_per_second: float = 0.0
    peers: Address | None = None
    first_start: bool = False
    options: Options = field(default_factory=Options)
    memory_bytes: float = 0.0
    region_by_failure_domain: Mapping[str, str] = field(default_factory=dict)
    cold_over: float = 1.5
    cold_slack: float = 5.0
    evacuation_seconds: float = 5.0


def load(path: Path, options: Options) -> EntrySettings | Problem:
    """Read and validate the settings file.

    Parameters
    ----------
    options : Options
        The options if the file holds none.
    """
    try:
        text = path.read_text()
    except OSError as error:
        return Problem(str(path), "", f"expected a readable file: {error}")
    model = parse(str(path), text, SettingsModel)
    if isinstance(model, Problem):
        return model
    callers = parse_address(str(path), "listen.front", model.listen.front)
    ready = parse_address(str(path), "listen.ready", model.listen.ready)
    store = parse_address(str(path), "platform.address", model.platform.address)
    for address in (callers, ready, store):
        if isinstance(address, Problem):
            return address
    assert not isinstance(callers, Problem)
    assert not isinstance(ready, Problem)
    assert not isinstance(store, Problem)
    bounds = model.bounds
    return EntrySettings(
        model.node,
        model.zone,
        callers,
        ready,
        store,
        bounds.drain_ms / 1000,
        bounds.grace_s,
        bounds.retry_ratio,
        bounds.retry_window_s,
        bounds.retry_slack,
        bounds.stable_window_ms / 1000,
        model.platform.record_bytes,
        model.limits.link_mbps * BYTES_PER_MEGABIT,
        _peer_address(model),
        model.bootstrap,
        _options(model, options),
        model.limits.memory_mb * BYTES_PER_MEGABYTE,
        _region_by_failure_domain(model),
        bounds.cold_over,
        bounds.cold_slack,
        bounds.evac_ms / 1000,
    )


def _region_by_failure_domain(model: SettingsModel) -> dict[str, str]:
    """Return the regions of the failure domains; ``zones`` may leave out the own."""
    own = {model.zone: model.region} if model.region else {}
    return {**own, **model.zones}


def _peer_address(model: SettingsModel) -> Address | None:
    """Return the address for messages of other hosts: the first internal port."""
    if not model.ip or not model.internal_ports:
        return None
    return Address(model.ip, model.internal_ports[0])


def _options(model: SettingsModel, options: Options) -> Options:
    """Return the options in force; requests queue where callers compete for room."""
    if model.options is not None:
        options = model.options
    if options.queueing is Queueing.AUTO and PRESSURE_CONTRACT in model.contracts:
        return msgspec.structs.replace(options, queueing=Queueing.ON)
    return options
