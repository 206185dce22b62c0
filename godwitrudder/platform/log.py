"""The platform's append-only log: streams of records with offsets.

``Log`` is what the daemon needs; ``HttpLog`` speaks to the service.  An append
whose answer is lost may have taken effect, so a writer repeats it under the
same operation ids and the folds ignore the second record.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any, Final

import msgspec
from geventhttpclient import HTTPClient

from godwitrudder import codec
from godwitrudder.sections import Address

TIMEOUT_SECONDS: Final = 5.0
POLL_SECONDS: Final = 2.0


class LogRecord(msgspec.Struct, frozen=True, array_like=True):
    """One record: its offset, the log's time in seconds, the bytes."""

    offset: int
    time: float
    data: bytes


class LogPage(msgspec.Struct, frozen=True, array_like=True):
    """Records from an offset on.

    Attributes
    ----------
    first : int
        Lowest offset that is still kept.
    next : int
        Offset that the next append will get.
    """

    first: int
    next: int
    records: tuple[LogRecord, ...]


@dataclass(frozen=True, slots=True)
class LogUnavailable:
    """The log gave no usable answer; an append may or may not stand."""

    reason: str


class Log(ABC):
    """An append-only log of streams."""

    @abstractmethod
    def append(self, stream: str, data: bytes) -> int | LogUnavailable:
        """Append one record and return its offset."""

    @abstractmethod
    def read(
        self, stream: str, offset: int, wait: float = 0.0
    ) -> LogPage | LogUnavailable:
        """Read from ``offset``, waiting up to ``wait`` seconds for a record."""


class HttpLog(Log):
    """The log over HTTP: POST appends, GET reads, bodies are CBOR."""

    def __init__(self, address: Address, connections: int = 16) -> None:
        self._client = HTTPClient(
            address.ip,
            address.port,
            concurrency=connections,
            connection_timeout=TIMEOUT_SECONDS,
            network_timeout=TIMEOUT_SECONDS,
        )

    def append(self, stream: str, data: bytes) -> int | LogUnavailable:
        """Append one record and return its offset."""
        answer = self._ask("POST", f"/streams/{stream}", data, int)
        if isinstance(answer, codec.Malformed):
            return LogUnavailable(answer.reason)
        return int(answer)

    def read(
        self, stream: str, offset: int, wait: float = 0.0
    ) -> LogPage | LogUnavailable:
        """Read from ``offset``, waiting up to ``wait`` seconds for a record."""
        path = f"/streams/{stream}?from={offset}&wait={wait}"
        page = self._ask("GET", path, b"", LogPage)
        if isinstance(page, codec.Malformed):
            return LogUnavailable(page.reason)
        assert isinstance(page, LogPage)
        return page

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    def _ask(self, method: str, path: str, body: bytes, wanted: type) -> Any:
        try:
            response = self._client.request(method, path, body=body)
            data = bytes(response.read())
        except Exception as error:  # the client raises many unrelated types
            return codec.Malformed(f"{type(error).__name__}: {error}")
        if response.status_code != 200:
            return codec.Malformed(f"status {response.status_code}")
        return codec.decode(data, wanted)
