"""Settings of the stand-ins, read from JSON with comments."""

from __future__ import annotations

from pathlib import Path
from typing import Literal

import msgspec

from godwitrudder.platform.hosts import HostEntry
from godwitrudder.validation import Address, Problem, parse, parse_address
from standins.engine import Engine
from standins.faults import ScriptStep
from standins.http import StandIn
from standins.platform import RETENTION_SECONDS, Platform
from standins.service import Service


class RunnerModel(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """One runner.

    Attributes
    ----------
    address : str
        As ``ip:port``.
    token_seconds, slots, cache_blocks, checks_fence
        Parameters of an engine; see ``Engine``.
    script : list of ScriptStep
        Faults of this runner, at given seconds after the start.
    """

    id: str
    kind: Literal["engine", "service"]
    target: str
    address: str
    failure_domain: str
    token_seconds: float = 0.004
    slots: int = 8
    cache_blocks: int = 1024
    checks_fence: bool = True
    script: list[ScriptStep] = []


class StandInsModel(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The schema of the settings file.

    Attributes
    ----------
    platform : str
        Address of the platform, as ``ip:port``.
    routers : list of HostEntry
        The daemons, for the host list.
    document : dict
        Configuration to publish at the start: file name of each section.
    retention_seconds : float
        Age at which the log drops a record.
    script : list of ScriptStep
        Faults of the platform.
    seed : int
        Seed of all fault draws.
    """

    platform: str
    routers: list[HostEntry]
    runners: list[RunnerModel]
    document: dict[str, str] = {}
    retention_seconds: float = RETENTION_SECONDS
    script: list[ScriptStep] = []
    seed: int = 0


def load_settings(path: Path) -> StandInsModel | Problem:
    """Read and validate a settings file."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Problem(str(path), "", f"expected a readable UTF-8 file: {error}")
    return parse(str(path), text, StandInsModel)


def build_servers(place: str, model: StandInsModel) -> list[StandIn] | Problem:
    """Build all stand-ins, the platform first.

    Parameters
    ----------
    place : str
        Path of the settings file, for error messages.
    """
    address = parse_address(place, "platform", model.platform)
    if isinstance(address, Problem):
        return address
    runners: list[StandIn] = []
    for number, runner in enumerate(model.runners):
        path = f"runners[{number}].address"
        runner_address = parse_address(place, path, runner.address)
        if isinstance(runner_address, Problem):
            return runner_address
        runners.append(_build_runner(runner, runner_address, model.seed + number + 1))
    hosts = model.routers + [_host_entry(runner) for runner in model.runners]
    platform = Platform(address, hosts, model.seed, model.retention_seconds)
    platform.faults.schedule(model.script)
    return [platform, *runners]


def _build_runner(model: RunnerModel, address: Address, seed: int) -> StandIn:
    runner: StandIn
    if model.kind == "service":
        runner = Service(address, seed)
    else:
        runner = Engine(
            address,
            model.token_seconds,
            model.slots,
            model.cache_blocks,
            model.checks_fence,
            seed,
        )
    runner.faults.schedule(model.script)
    return runner


def _host_entry(model: RunnerModel) -> HostEntry:
    return HostEntry(
        id=model.id,
        role="runner",
        address=model.address,
        failure_domain=model.failure_domain,
        target=model.target,
    )
