"""Messages of HTTP/1.1 as this process reads them, from callers and from runners."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

HOP_BY_HOP: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)

Headers = list[tuple[bytes, bytes]]


def first_value(headers: Headers, name: bytes) -> bytes:
    """Return the first value of a header, empty if it is missing."""
    for key, value in headers:
        if key == name:
            return value
    return b""


@dataclass(slots=True)
class CallerRequest:
    """A complete request.

    Attributes
    ----------
    path : bytes
        With the query.
    headers : list of (name, value)
        Names in lower case.
    chunked : bool
        Whether the body was sent with ``Transfer-Encoding``.
    """

    method: bytes
    path: bytes
    headers: Headers
    body: bytes
    chunked: bool

    def header(self, name: bytes) -> bytes:
        """Return a header's value, empty if it is missing."""
        return first_value(self.headers, name)


@dataclass(frozen=True, slots=True)
class Malformed:
    """A caller sent something that is not a valid request.

    Attributes
    ----------
    status : int
        HTTP status of the response to it.
    """

    status: int
    reason: str


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a runner's response."""

    status: int
    headers: Headers

    def header(self, name: bytes) -> bytes:
        """Return a header's value, empty if it is missing."""
        return first_value(self.headers, name)

    @property
    def framed(self) -> bool:
        """Whether the body ends by its length or chunks, not with its connection."""
        return bool(self.header(b"content-length") or self.header(b"transfer-encoding"))


@dataclass(frozen=True, slots=True)
class End:
    """A runner's response is complete."""


@dataclass(frozen=True, slots=True)
class Incomplete:
    """A runner's response did not arrive, or only in part.

    Attributes
    ----------
    sent : bool
        Whether a byte of the request may have reached the runner.
    timed_out : bool
        Whether the runner was silent until the deadline for its next bytes.
    """

    reason: str
    sent: bool
    timed_out: bool = False
