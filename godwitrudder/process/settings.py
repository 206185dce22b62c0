"""Settings of one daemon, read once from commented JSON.

The daemon keeps nothing, so its settings name only who it is, where it listens
and where the platform is.  All else comes from the configuration document.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Final

import msgspec

from godwitrudder.validation import (
    Address,
    Problem,
    is_sha256,
    parse,
    parse_address,
)
from godwitrudder.version.document import SECTIONS

MIN_RETENTION_SECONDS: Final = 1.0
MAX_DRAIN_SECONDS: Final = 3600.0
MIN_SECRET_CHARACTERS: Final = 16
LOG_LEVELS: Final = ("DEBUG", "INFO", "WARNING", "ERROR")
ADMIN: Final = "admin"
TEAMS: Final = (*SECTIONS, ADMIN)


class PlatformModel(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Addresses of the platform's services, as ``ip:port``."""

    log: str
    hosts: str
    weights: str


class SettingsModel(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The file as it is written.

    Attributes
    ----------
    host, failure_domain, region : str
        Who the daemon is.
    caller_address, peer_address, operator_address : str
        Where it listens, as ``ip:port``.
    peer_key : str
        Secret that the daemons of the fleet share.
    operator_keys_by_team : dict
        SHA-256 of each team's key, in hex.  A team is named like the section
        that it owns; ``admin`` owns all.
    drain_seconds : float
        Longest wait for requests in flight at a graceful stop.
    drain_grace_seconds : float
        How long a stopping daemon takes new requests, until the balancer has seen
        its health turn bad.
    ledger_partitions : int
        Number of ledger partitions of the fleet.
    log_retention_seconds : float
        How long the platform's log keeps a record.
    """

    host: str
    failure_domain: str
    region: str
    caller_address: str
    peer_address: str
    operator_address: str
    platform: PlatformModel
    peer_key: str
    operator_keys_by_team: dict[str, str] = {}
    drain_seconds: float = 30.0
    drain_grace_seconds: float = 3.0
    ledger_partitions: int = 4
    log_retention_seconds: float = 86400.0
    log_level: str = "INFO"


@dataclass(frozen=True, slots=True)
class Settings:
    """Validated settings of one daemon."""

    host: str
    failure_domain: str
    region: str
    caller: Address
    peer: Address
    operator: Address
    log: Address
    hosts: Address
    weights: Address
    peer_key: str
    operator_keys_by_team: dict[str, str]
    drain_seconds: float
    drain_grace_seconds: float
    ledger_partitions: int
    log_retention_seconds: float
    log_level: str


def load(path: Path) -> Settings | Problem:
    """Read and validate a settings file.

    Returns
    -------
    Settings or Problem
        The first problem names file, key path and expected value.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Problem(str(path), "", f"expected a readable UTF-8 file: {error}")
    return load_text(str(path), text)


def load_text(place: str, text: str) -> Settings | Problem:
    """Validate the text of a settings file; ``place`` names it in problems."""
    model = parse(place, text, SettingsModel)
    if isinstance(model, Problem):
        return model
    return check(place, model)


def check(place: str, model: SettingsModel) -> Settings | Problem:
    """Check what the types cannot: addresses, ports and amounts."""
    texts_by_path = {
        "caller_address": model.caller_address,
        "peer_address": model.peer_address,
        "operator_address": model.operator_address,
        "platform.log": model.platform.log,
        "platform.hosts": model.platform.hosts,
        "platform.weights": model.platform.weights,
    }
    addresses_by_path: dict[str, Address] = {}
    for path, text in texts_by_path.items():
        address = parse_address(place, path, text)
        if isinstance(address, Problem):
            return address
        addresses_by_path[path] = address
    problem = _ports_differ(place, addresses_by_path) or _amounts(place, model)
    return problem or _settings(model, addresses_by_path)


def _ports_differ(place: str, by_path: dict[str, Address]) -> Problem | None:
    path_by_address: dict[Address, str] = {}
    for path in ("caller_address", "peer_address", "operator_address"):
        other = path_by_address.setdefault(by_path[path], path)
        if other != path:
            expected = f"expected another port than {other} ({by_path[path]})"
            return Problem(place, path, expected)
    return None


def _amounts(place: str, model: SettingsModel) -> Problem | None:
    if not 0 < model.drain_seconds <= MAX_DRAIN_SECONDS:
        expected = f"expected seconds above 0, up to {MAX_DRAIN_SECONDS:g}"
        return Problem(place, "drain_seconds", expected)
    if not 0 <= model.drain_grace_seconds <= model.drain_seconds:
        expected = "expected seconds, at most drain_seconds"
        return Problem(place, "drain_grace_seconds", expected)
    if model.log_retention_seconds < MIN_RETENTION_SECONDS:
        expected = f"expected at least {MIN_RETENTION_SECONDS:g} seconds"
        return Problem(place, "log_retention_seconds", expected)
    if model.ledger_partitions < 1:
        return Problem(place, "ledger_partitions", "expected a count of at least 1")
    if len(model.peer_key) < MIN_SECRET_CHARACTERS:
        expected = f"expected at least {MIN_SECRET_CHARACTERS} characters"
        return Problem(place, "peer_key", expected)
    if model.log_level not in LOG_LEVELS:
        expected = f"expected one of {', '.join(LOG_LEVELS)}"
        return Problem(place, "log_level", expected)
    return _operator_keys(place, model)


def _operator_keys(place: str, model: SettingsModel) -> Problem | None:
    for team, digest in model.operator_keys_by_team.items():
        path = f"operator_keys_by_team.{team}"
        if team not in TEAMS:
            expected = f"expected a team of {', '.join(TEAMS)}"
            return Problem(place, path, expected)
        if not is_sha256(digest):
            expected = "expected a SHA-256 as 64 lower-case hex digits"
            return Problem(place, path, expected)
    return None


def _settings(model: SettingsModel, by_path: dict[str, Address]) -> Settings:
    return Settings(
        host=model.host,
        failure_domain=model.failure_domain,
        region=model.region,
        caller=by_path["caller_address"],
        peer=by_path["peer_address"],
        operator=by_path["operator_address"],
        log=by_path["platform.log"],
        hosts=by_path["platform.hosts"],
        weights=by_path["platform.weights"],
        peer_key=model.peer_key,
        operator_keys_by_team=model.operator_keys_by_team,
        drain_seconds=model.drain_seconds,
        drain_grace_seconds=model.drain_grace_seconds,
        ledger_partitions=model.ledger_partitions,
        log_retention_seconds=model.log_retention_seconds,
        log_level=model.log_level,
    )
