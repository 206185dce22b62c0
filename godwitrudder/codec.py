"""Encodes values as CBOR, and decodes CBOR into validated types.

Every frame between processes and every record of the log is CBOR.  This module
alone decodes the bytes with ``cbor2`` and validates them against a ``msgspec`` type,
so the rest of the code sees only validated values.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeVar

import cbor2
import msgspec

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Malformed:
    """Bytes that are not a valid value of the expected type.

    Attributes
    ----------
    reason : str
        What is wrong, with the path of the field.
    """

    reason: str


def encode(value: Any) -> bytes:
    """Encode a ``msgspec.Struct`` or builtin value as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(value, builtin_types=(bytes,)))


def decode(data: bytes, expected_type: type[T] | Any) -> T | Malformed:
    """Decode CBOR and validate it against a type.

    Returns
    -------
    T or Malformed
        The value, or why the bytes were not accepted.
    """
    try:
        plain = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        return Malformed(f"not CBOR: {error}")
    return convert(plain, expected_type)


def convert(plain: Any, expected_type: type[T] | Any) -> T | Malformed:
    """Validate builtin values, such as decoded CBOR, against a type."""
    try:
        value: T = msgspec.convert(plain, expected_type, builtin_types=(bytes,))
    except (msgspec.ValidationError, RecursionError) as error:
        return Malformed(str(error))
    return value
