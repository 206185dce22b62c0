"""Commented JSON files, checked against a typed model.

A problem is a value that names the file, the path of the key and what was
expected, so that a program can print it and stop before it starts anything.
"""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass
from typing import Any, Final, TypeVar

import msgspec
import pyjson5

T = TypeVar("T")

MAX_PORT: Final = 65535
_SHA256 = re.compile(r"[0-9a-f]{64}")
_KEY = re.compile(
    r"Object (?P<kind>missing required|contains unknown) field `(?P<key>.*)`"
)
_PATH = re.compile(r"^(?P<problem>.*?)(?: - at `\$(?P<path>.*)`)?$", re.DOTALL)


@dataclass(frozen=True, slots=True)
class Problem:
    """One thing that is wrong with a file.

    Attributes
    ----------
    place : str
        The file, or the section of a document.
    path : str
        Path of the key.
    expected : str
        What was expected, and found.
    """

    place: str
    path: str
    expected: str

    def __str__(self) -> str:
        """Return one line for the operator."""
        return f"{self.place}: {self.path or '(whole file)'}: {self.expected}"


@dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return ``ip:port``."""
        return f"{self.ip}:{self.port}"


def parse(place: str, text: str, model: type[T]) -> T | Problem:
    """Parse commented JSON and validate it against ``model``."""
    try:
        plain = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        return Problem(place, "", f"expected commented JSON: {error}")
    return validate(place, plain, model)


def validate(place: str, plain: Any, model: type[T]) -> T | Problem:
    """Validate builtin values against ``model``."""
    try:
        value: T = msgspec.convert(plain, model)
    except msgspec.ValidationError as error:
        return _problem(place, str(error))
    return value


def _problem(place: str, text: str) -> Problem:
    """Turn a message of the validator into path and expectation."""
    match = _PATH.match(text)
    if match is None:
        return Problem(place, "", text)
    path = (match["path"] or "").lstrip(".")
    known = _KEY.fullmatch(match["problem"])
    if known is None:
        expected = match["problem"].replace("Expected", "expected", 1)
        return Problem(place, path, expected)
    key = f"{path}.{known['key']}".lstrip(".")
    expected = "this key" if known["kind"] == "missing required" else "a known key"
    return Problem(place, key, f"expected {expected}")


def parse_address(place: str, path: str, text: str) -> Address | Problem:
    """Parse ``ip:port``; names are not looked up."""
    ip, colon, port = text.rpartition(":")
    try:
        ipaddress.ip_address(ip.strip("[]"))
    except ValueError:
        return Problem(place, path, f"expected an IP number and port, not {text!r}")
    if not colon or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        return Problem(place, path, f"expected a port 1 to {MAX_PORT} in {text!r}")
    return Address(ip.strip("[]"), int(port))


def is_sha256(text: str) -> bool:
    """Whether a text is a SHA-256 in lower-case hex."""
    return _SHA256.fullmatch(text) is not None
