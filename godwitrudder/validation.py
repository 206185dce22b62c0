"""Parses JSON5 (JSON with comments) and validates it against typed models.

A problem is returned as a value, not raised.  It names the file, the path of the key
and what was expected, so a program can print it and exit before it starts anything.
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
_PORT = re.compile("[0-9]{1,5}")
_SHA256 = re.compile(r"[0-9a-f]{64}")
_KEY_PROBLEM = re.compile(
    r"Object (?P<kind>missing required|contains unknown) field `(?P<key>.*)`"
)
_PROBLEM_AND_PATH = re.compile(
    r"^(?P<problem>.*?)(?: - at `\$(?P<path>.*)`)?$", re.DOTALL
)


@dataclass(frozen=True, slots=True)
class Problem:
    """An error in a file, a section of the configuration document or an argument.

    Attributes
    ----------
    source : str
        The file, section or argument.
    path : str
        Path of the key; empty for the whole file.
    expected : str
        What was expected and, where known, what was found.
    """

    source: str
    path: str
    expected: str

    def __str__(self) -> str:
        """Return the problem as one line of text."""
        return f"{self.source}: {self.path or '(whole file)'}: {self.expected}"


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return ``ip:port``."""
        return f"{self.ip}:{self.port}"


def parse(source: str, text: str, model: type[T]) -> T | Problem:
    """Parse JSON5 and validate it against ``model``.

    Parameters
    ----------
    source : str
        Name of the file or section, for problems.
    text : str
        JSON5.
    model : type
        ``msgspec`` type to convert to.

    Returns
    -------
    T or Problem
        The value, or what is wrong with the text.
    """
    try:
        plain = pyjson5.decode(text)
    except (pyjson5.Json5Exception, ValueError, RecursionError) as error:
        return Problem(source, "", f"expected commented JSON: {error}")
    return validate(source, plain, model)


def validate(source: str, plain: Any, model: type[T]) -> T | Problem:
    """Validate builtin values against ``model``; see ``parse``."""
    try:
        value: T = msgspec.convert(plain, model)
    except (msgspec.ValidationError, ValueError, OverflowError) as error:
        return _problem(source, str(error))
    return value


def _problem(source: str, text: str) -> Problem:
    """Split an error message of ``msgspec`` into key path and expected value."""
    match = _PROBLEM_AND_PATH.match(text)
    if match is None:
        return Problem(source, "", text)
    path = (match["path"] or "").lstrip(".")
    known = _KEY_PROBLEM.fullmatch(match["problem"])
    if known is None:
        expected = match["problem"].replace("Expected", "expected", 1)
        return Problem(source, path, expected)
    key = f"{path}.{known['key']}".lstrip(".")
    expected = "this key" if known["kind"] == "missing required" else "a known key"
    return Problem(source, key, f"expected {expected}")


def parse_address(source: str, path: str, text: str) -> Address | Problem:
    """Parse ``ip:port``; host names are not resolved.

    Parameters
    ----------
    source, path : str
        Where the text comes from, for problems.

    Returns
    -------
    Address or Problem
        The address, or what is wrong with the text.
    """
    ip, _, port = text.rpartition(":")
    bracketed = ip.startswith("[") and ip.endswith("]")
    try:
        number = ipaddress.ip_address(ip[1:-1] if bracketed else ip)
        scoped = "%" in ip
    except ValueError:
        return Problem(source, path, f"expected an IP number and port, not {text!r}")
    if scoped or bracketed != (number.version == 6):
        return Problem(source, path, f"expected an IPv4 number or [IPv6] in {text!r}")
    if not _PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        return Problem(source, path, f"expected a port 1 to {MAX_PORT} in {text!r}")
    return Address(str(number), int(port))


def is_sha256(text: str) -> bool:
    """Return whether a text is a SHA-256 digest in lower-case hex."""
    return _SHA256.fullmatch(text) is not None
