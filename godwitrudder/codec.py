"""Encodes values as CBOR, and decodes CBOR and JSON into validated types.

Every frame between processes and every record of the log is CBOR; callers, runners, the
platform and operators send JSON.  This module alone decodes these bytes and validates
them against a ``msgspec`` type, so the rest of the code sees only validated values.  No
bytes make it raise: they come from outside, and an exception would end the process.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Any, Final, TypeVar

import cbor2
import msgspec

T = TypeVar("T")

MAX_WHOLE: Final = 2**53
"""Largest whole number that all decoders of JSON read alike."""
MAX_SECONDS: Final = 1e9
"""Longest time that timers accept everywhere."""
Whole = Annotated[int, msgspec.Meta(ge=-MAX_WHOLE, le=MAX_WHOLE)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_SECONDS * 1000)]


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
    except Exception as error:  # tags make it call parsers that raise many types
        return Malformed(f"not CBOR: {type(error).__name__}: {error}")
    return convert(plain, expected_type)


def decode_json(
    data: bytes, expected_type: type[T] | Any, strict: bool = True
) -> T | Malformed:
    """Decode JSON and validate it against a type.

    Parameters
    ----------
    strict : bool
        Whether a number may not be given as text.

    Returns
    -------
    T or Malformed
        The value, or why the bytes were not accepted.
    """
    try:
        value: T = msgspec.json.decode(data, type=expected_type, strict=strict)
    except RecursionError:
        return Malformed("nested too deeply")
    except (msgspec.MsgspecError, ValueError, OverflowError) as error:
        return Malformed(str(error))
    return value


def convert(plain: Any, expected_type: type[T] | Any) -> T | Malformed:
    """Validate builtin values, such as decoded CBOR, against a type."""
    try:
        value: T = msgspec.convert(plain, expected_type, builtin_types=(bytes,))
    except (
        msgspec.ValidationError,
        ValueError,
        OverflowError,
        RecursionError,
    ) as error:
        return Malformed(str(error))
    return value
