"""CBOR on the wire, validated types inside.

Every frame between processes and every record of the log is CBOR.  The bytes
are decoded by ``cbor2`` and checked against a ``msgspec`` type in one place, so
nothing unchecked passes the border.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeVar

import cbor2
import msgspec

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Malformed:
    """Bytes that are not a valid value of the wanted type.

    Attributes
    ----------
    reason : str
        What is wrong, with the path of the field.
    """

    reason: str


def encode(value: Any) -> bytes:
    """Encode a ``msgspec.Struct`` or builtin value as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(value, builtin_types=(bytes,)))


def decode(data: bytes, wanted: type[T] | Any) -> T | Malformed:
    """Decode CBOR and validate it against ``wanted``.

    Returns
    -------
    T or Malformed
        The value, or why the bytes were not accepted.
    """
    try:
        plain = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        return Malformed(f"not CBOR: {error}")
    return convert(plain, wanted)


def convert(plain: Any, wanted: type[T] | Any) -> T | Malformed:
    """Validate builtin values against ``wanted``."""
    try:
        value: T = msgspec.convert(plain, wanted, builtin_types=(bytes,))
    except (msgspec.ValidationError, RecursionError) as error:
        return Malformed(str(error))
    return value
