"""Settings of ``godwitctl``: commented JSON, found by option or environment."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import msgspec

from godwitrudder.sections import Address, Problem, parse, parse_address

ENVIRONMENT: Final = "GODWITCTL_SETTINGS"
DEFAULT_PATH: Final = "godwitctl.json5"


class CtlModel(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The file as it is written.

    Attributes
    ----------
    operators : list of str
        ``ip:port`` of daemons' operator ports; the first that answers is used.
    key_file, key_environment : str
        Where the team's key is: a file, or an environment variable.
    log : str
        ``ip:port`` of the platform's log, for ``ledger verify``.
    callers : list of str
        ``ip:port`` of daemons' caller ports, for ``load``.
    """

    operators: list[str]
    key_file: str = ""
    key_environment: str = ""
    log: str = ""
    callers: list[str] = []
    ledger_partitions: int = 4


@dataclass(frozen=True, slots=True)
class CtlSettings:
    """Validated settings."""

    operators: tuple[Address, ...]
    key: str
    log: Address | None
    callers: tuple[Address, ...]
    ledger_partitions: int


def load(option: str | None) -> CtlSettings | Problem:
    """Read the settings that the option or the environment names."""
    path = Path(option or os.environ.get(ENVIRONMENT, DEFAULT_PATH))
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Problem(str(path), "", f"expected a readable UTF-8 file: {error}")
    model = parse(str(path), text, CtlModel)
    if isinstance(model, Problem):
        return model
    return _check(str(path), model)


def _check(place: str, model: CtlModel) -> CtlSettings | Problem:
    operators = _addresses(place, "operators", model.operators)
    if isinstance(operators, Problem):
        return operators
    callers = _addresses(place, "callers", model.callers)
    if isinstance(callers, Problem):
        return callers
    log = parse_address(place, "log", model.log) if model.log else None
    if isinstance(log, Problem):
        return log
    if not operators:
        return Problem(place, "operators", "expected at least one address")
    if model.ledger_partitions < 1:
        return Problem(place, "ledger_partitions", "expected a count of at least 1")
    key = _key(place, model)
    if isinstance(key, Problem):
        return key
    return CtlSettings(operators, key, log, callers, model.ledger_partitions)


def _addresses(
    place: str, path: str, texts: list[str]
) -> tuple[Address, ...] | Problem:
    addresses: list[Address] = []
    for index, text in enumerate(texts):
        address = parse_address(place, f"{path}[{index}]", text)
        if isinstance(address, Problem):
            return address
        addresses.append(address)
    return tuple(addresses)


def _key(place: str, model: CtlModel) -> str | Problem:
    if model.key_environment:
        key = os.environ.get(model.key_environment, "")
        if not key:
            expected = f"expected {model.key_environment} in the environment"
            return Problem(place, "key_environment", expected)
        return key
    try:
        return Path(model.key_file).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        return Problem(place, "key_file", f"expected a readable file: {error}")
