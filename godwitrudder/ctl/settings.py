"""Settings of ``godwitctl``, read from a commented JSON file.

The option ``--settings`` names the file, else ``GODWITCTL_SETTINGS`` in the
environment, else it is ``godwitctl.json5`` in the working directory.
"""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import msgspec

from godwitrudder.validation import Address, Problem, parse, parse_address

SETTINGS_VARIABLE: Final = "GODWITCTL_SETTINGS"
DEFAULT_PATH: Final = "godwitctl.json5"


class CtlModel(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The settings file, not yet validated.

    Attributes
    ----------
    operators : list of str
        ``ip:port`` of daemons' operator ports; the first that answers is used.
    key_file, key_environment : str
        File or environment variable that holds the operator team's API key for the
        operators' port; the environment variable takes precedence.
    log : str
        ``ip:port`` of the platform's log, for ``ledger verify`` and
        ``budget history``.
    callers : list of str
        ``ip:port`` of daemons' caller ports, for ``load``.
    ledger_partitions : int
        Number of ledger partitions in the log.
    """

    operators: list[str]
    key_file: str = ""
    key_environment: str = ""
    log: str = ""
    callers: list[str] = []
    ledger_partitions: int = 4


@dataclass(frozen=True, slots=True)
class CtlSettings:
    """Validated settings, with addresses parsed and the key read; see ``CtlModel``.

    Attributes
    ----------
    key : str
        API key of the operator team.
    log : Address or None
        Address of the log; None if the settings name none.
    """

    operators: tuple[Address, ...]
    key: str
    log: Address | None
    callers: tuple[Address, ...]
    ledger_partitions: int


def load(option: str | None) -> CtlSettings | Problem:
    """Read and validate the settings.

    Parameters
    ----------
    option : str or None
        Path of the file; None for the path in ``GODWITCTL_SETTINGS`` or, if that is
        not set, ``DEFAULT_PATH``.

    Returns
    -------
    CtlSettings or Problem
        The settings, or why they can't be used.
    """
    path = Path(option or os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Problem(str(path), "", f"expected a readable UTF-8 file: {error}")
    model = parse(str(path), text, CtlModel)
    if isinstance(model, Problem):
        return model
    return _validate(str(path), model)


def _validate(source: str, model: CtlModel) -> CtlSettings | Problem:
    operators = _parse_addresses(source, "operators", model.operators)
    if isinstance(operators, Problem):
        return operators
    callers = _parse_addresses(source, "callers", model.callers)
    if isinstance(callers, Problem):
        return callers
    log = parse_address(source, "log", model.log) if model.log else None
    if isinstance(log, Problem):
        return log
    if not operators:
        return Problem(source, "operators", "expected at least one address")
    if model.ledger_partitions < 1:
        return Problem(source, "ledger_partitions", "expected a count of at least 1")
    key = _read_key(source, model)
    if isinstance(key, Problem):
        return key
    return CtlSettings(operators, key, log, callers, model.ledger_partitions)


def _parse_addresses(
    source: str, key_path: str, texts: list[str]
) -> tuple[Address, ...] | Problem:
    addresses: list[Address] = []
    for index, text in enumerate(texts):
        address = parse_address(source, f"{key_path}[{index}]", text)
        if isinstance(address, Problem):
            return address
        addresses.append(address)
    return tuple(addresses)


def _read_key(source: str, model: CtlModel) -> str | Problem:
    if model.key_environment:
        key = os.environ.get(model.key_environment, "")
        if not key:
            expected = f"expected {model.key_environment} in the environment"
            return Problem(source, "key_environment", expected)
        return key
    try:
        return Path(model.key_file).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        return Problem(
            source, "key_file", f"expected a key file, or key_environment: {error}"
        )
