"""Strict and fast parser of the header lines of callers' requests.

The WSGI server's default e-mail parser accepts folded lines, names with blanks and two
lengths for one body, which proxies interpret in different ways.  This parser rejects
such requests.
"""

from __future__ import annotations

import re
from http.client import HTTPException
from typing import Any, Final

# Limits on all header lines of a request together, and on their number.
MAX_HEADER_BYTES: Final = 32 * 1024
MAX_HEADERS: Final = 100
_LINE: Final = re.compile(
    r"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([^\r\n\0]*?)[ \t]*\r?\n"
)


class HeadersTooLarge(HTTPException):
    """The headers of a request exceed ``MAX_HEADER_BYTES`` or ``MAX_HEADERS``."""


class BadHeaders(ValueError):
    """The headers of a request are malformed or ambiguous."""


class RequestHeaders:
    """The headers of one request, with the interface that the WSGI server expects.

    Parameters
    ----------
    source : file
        Positioned at the first header line; read up to the empty line.

    Raises
    ------
    HeadersTooLarge
        If the headers exceed a limit.
    BadHeaders
        If a line is malformed or the body's length is ambiguous.
    """

    status = ""

    def __init__(self, source: Any) -> None:
        self.headers: list[str] = []
        self._value_by_name: dict[str, str] = {}
        remaining_bytes = MAX_HEADER_BYTES
        while True:
            line = source.readline(remaining_bytes + 1)
            remaining_bytes -= len(line)
            if remaining_bytes < 0 or len(self.headers) > MAX_HEADERS:
                raise HeadersTooLarge
            if line in (b"\r\n", b"\n", b""):
                break
            self._add(line.decode("latin-1"))
        self._check_length()

    @property
    def typeheader(self) -> str | None:
        """The content type."""
        return self.get("content-type")

    def get(self, name: str, default: str | None = None) -> str | None:
        """Return the value of a header."""
        return self._value_by_name.get(name.lower(), default)

    getheader = get

    def __delitem__(self, name: str) -> None:
        """Remove the value of a header."""
        del self._value_by_name[name.lower()]

    def _add(self, line: str) -> None:
        match = _LINE.fullmatch(line)
        if match is None:
            raise BadHeaders("malformed header line")
        name = match[1].lower()
        if name in self._value_by_name and name in ("content-length", "host"):
            raise BadHeaders(f"duplicate header {name}")
        self._value_by_name.setdefault(name, match[2])
        self.headers.append(line)

    def _check_length(self) -> None:
        """Raise ``BadHeaders`` for a body with an ambiguous or invalid length."""
        transfer_encoding = self.get("transfer-encoding")
        length = self.get("content-length")
        if transfer_encoding is not None and (
            transfer_encoding.lower() != "chunked" or length is not None
        ):
            raise BadHeaders("ambiguous body length")
        if length is not None and not (length.isascii() and length.isdigit()):
            raise BadHeaders("Content-Length is not a number")
