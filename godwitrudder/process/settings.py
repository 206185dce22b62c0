"""Settings of one daemon, read once from commented JSON.

The daemon stores no state, so its settings give only its identity, its addresses, its
limits and the addresses of the platform.  Everything else comes from the
configuration document.
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
ADMIN_TEAM: Final = "admin"
TEAMS: Final = (*SECTIONS, ADMIN_TEAM)


class PlatformModel(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Addresses of the platform's services, as ``ip:port``."""

    log: str
    hosts: str
    weights: str


class SettingsModel(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The settings file before its values are checked.

    Attributes
    ----------
    host, failure_domain, region : str
        Identity and location of the daemon.
    caller_address, peer_address, operator_address : str
        Addresses on which it listens, as ``ip:port``.
    peer_key : str
        Secret that the daemons of the fleet share.
    operator_keys_by_team : dict
        SHA-256 of each team's key, in hex.  A team has the name of the section
        that it owns; ``admin`` owns all sections.
    drain_seconds : float
        Longest wait for requests in flight at a graceful stop.
    drain_grace_seconds : float
        Time for which a stopping daemon accepts new requests, so that the load
        balancer can notice that its health check fails.
    ledger_partitions : int
        Number of ledger partitions of the fleet.
    log_retention_seconds : float
        Time for which the platform's log keeps a record.
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
        The problem is the first one found; it names the file, the path of the key
        and the expected value.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Problem(str(path), "", f"expected a readable UTF-8 file: {error}")
    return load_text(str(path), text)


def load_text(source: str, text: str) -> Settings | Problem:
    """Validate the text of a settings file; ``source`` names it in problems."""
    model = parse(source, text, SettingsModel)
    if isinstance(model, Problem):
        return model
    return check(source, model)


def check(source: str, model: SettingsModel) -> Settings | Problem:
    """Check what the types can't express: addresses, ports and ranges."""
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
        address = parse_address(source, path, text)
        if isinstance(address, Problem):
            return address
        addresses_by_path[path] = address
    problem = _check_ports(source, addresses_by_path) or _check_amounts(source, model)
    return problem or _build_settings(model, addresses_by_path)


def _check_ports(source: str, addresses_by_path: dict[str, Address]) -> Problem | None:
    path_by_address: dict[Address, str] = {}
    for path in ("caller_address", "peer_address", "operator_address"):
        other = path_by_address.setdefault(addresses_by_path[path], path)
        if other != path:
            expected = f"expected another port than {other} ({addresses_by_path[path]})"
            return Problem(source, path, expected)
    return None


def _check_amounts(source: str, model: SettingsModel) -> Problem | None:
    if not 0 < model.drain_seconds <= MAX_DRAIN_SECONDS:
        expected = f"expected seconds above 0, up to {MAX_DRAIN_SECONDS:g}"
        return Problem(source, "drain_seconds", expected)
    if not 0 <= model.drain_grace_seconds <= model.drain_seconds:
        expected = "expected seconds, at most drain_seconds"
        return Problem(source, "drain_grace_seconds", expected)
    if model.log_retention_seconds < MIN_RETENTION_SECONDS:
        expected = f"expected at least {MIN_RETENTION_SECONDS:g} seconds"
        return Problem(source, "log_retention_seconds", expected)
    if model.ledger_partitions < 1:
        return Problem(source, "ledger_partitions", "expected a count of at least 1")
    if len(model.peer_key) < MIN_SECRET_CHARACTERS:
        expected = f"expected at least {MIN_SECRET_CHARACTERS} characters"
        return Problem(source, "peer_key", expected)
    if model.log_level not in LOG_LEVELS:
        expected = f"expected one of {', '.join(LOG_LEVELS)}"
        return Problem(source, "log_level", expected)
    return _check_operator_keys(source, model)


def _check_operator_keys(source: str, model: SettingsModel) -> Problem | None:
    for team, digest in model.operator_keys_by_team.items():
        path = f"operator_keys_by_team.{team}"
        if team not in TEAMS:
            expected = f"expected a team of {', '.join(TEAMS)}"
            return Problem(source, path, expected)
        if not is_sha256(digest):
            expected = "expected a SHA-256 as 64 lower-case hex digits"
            return Problem(source, path, expected)
    return None


def _build_settings(
    model: SettingsModel, addresses_by_path: dict[str, Address]
) -> Settings:
    return Settings(
        host=model.host,
        failure_domain=model.failure_domain,
        region=model.region,
        caller=addresses_by_path["caller_address"],
        peer=addresses_by_path["peer_address"],
        operator=addresses_by_path["operator_address"],
        log=addresses_by_path["platform.log"],
        hosts=addresses_by_path["platform.hosts"],
        weights=addresses_by_path["platform.weights"],
        peer_key=model.peer_key,
        operator_keys_by_team=model.operator_keys_by_team,
        drain_seconds=model.drain_seconds,
        drain_grace_seconds=model.drain_grace_seconds,
        ledger_partitions=model.ledger_partitions,
        log_retention_seconds=model.log_retention_seconds,
        log_level=model.log_level,
    )
