"""Settings of the stand-ins, from commented JSON."""

from __future__ import annotations

from pathlib import Path
from typing import Literal

import msgspec

from godwitrudder.platform.hosts import HostEntry
from godwitrudder.sections import Address, Problem, parse, parse_address
from standins.engine import Engine
from standins.faults import Step
from standins.http import StandIn
from standins.platform import RETENTION_SECONDS, Platform
from standins.service import Service


class RunnerModel(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """One runner.

    Attributes
    ----------
    script : list of Step
        Faults at given seconds.
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
    script: list[Step] = []


class StandInsModel(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The file as it is written.

    Attributes
    ----------
    routers : list of HostEntry
        The daemons, for the host list.
    document : dict
        Files of the sections to publish at the start, by section.
    seed : int
        Of every fault.
    """

    platform: str
    routers: list[HostEntry]
    runners: list[RunnerModel]
    document: dict[str, str] = {}
    retention_seconds: float = RETENTION_SECONDS
    script: list[Step] = []
    seed: int = 0


def load(path: Path) -> StandInsModel | Problem:
    """Read and validate a settings file."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Problem(str(path), "", f"expected a readable UTF-8 file: {error}")
    return parse(str(path), text, StandInsModel)


def build(place: str, model: StandInsModel) -> list[StandIn] | Problem:
    """Build the stand-ins; the platform comes first."""
    address = parse_address(place, "platform", model.platform)
    if isinstance(address, Problem):
        return address
    runners: list[StandIn] = []
    for number, runner in enumerate(model.runners):
        path = f"runners[{number}].address"
        place_of_runner = parse_address(place, path, runner.address)
        if isinstance(place_of_runner, Problem):
            return place_of_runner
        runners.append(_runner(runner, place_of_runner, model.seed + number + 1))
    hosts = model.routers + [_entry(runner) for runner in model.runners]
    platform = Platform(address, hosts, model.seed, model.retention_seconds)
    platform.faults.play(model.script)
    return [platform, *runners]


def _runner(model: RunnerModel, address: Address, seed: int) -> StandIn:
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
    runner.faults.play(model.script)
    return runner


def _entry(model: RunnerModel) -> HostEntry:
    return HostEntry(
        id=model.id,
        role="runner",
        address=model.address,
        failure_domain=model.failure_domain,
        target=model.target,
    )
