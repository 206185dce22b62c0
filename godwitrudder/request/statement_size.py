"""What a statement leaves out so that the store accepts it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

import msgspec

from godwitrudder import codec
from godwitrudder.version.statements import Statement

OPTIONAL_FIELDS: Final[tuple[tuple[str, Any], ...]] = (
    ("crashes", ()),
    ("limits", ()),
    ("remembered_by_host", {}),
    ("bounds_by_host", {}),
)
"""Fields that a statement may lack, and their empty values."""


@dataclass(frozen=True, slots=True)
class FittedStatement:
    """A statement, its encoding, and the fields that were left out."""

    statement: Statement
    data: bytes
    left_out: tuple[str, ...]


def fitted(statement: Statement, max_bytes: int) -> FittedStatement:
    """Return a statement without what does not concern its host's own budgets.

    Nothing is left out if it fits.  Hosts that miss a bound of another host count more
    for that host.
    """
    data, left_out = codec.encode(statement), []
    for field, empty in OPTIONAL_FIELDS:
        if len(data) <= max_bytes:
            break
        left_out.append(field)
        statement = msgspec.structs.replace(statement, **{field: empty})
        data = codec.encode(statement)
    return FittedStatement(statement, data, tuple(left_out))
