"""The platform's append-only log: streams of records with offsets.

``Log`` is the interface that the daemon uses; ``StoreLog`` implements it on the store.
An append without an answer may have taken effect.  A writer therefore repeats it with
the same operation ids, and the folds ignore the duplicate.
"""

from __future__ import annotations

import struct
import time
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Final

import msgspec

from godwitrudder.platform.store import Appended, Forgotten, RawPage, Store
from godwitrudder.validation import Address

# Longest time for an answer to a call that does not wait.
TIMEOUT_SECONDS: Final = 5.0
# Longest wait for a record of the tasks that follow a stream.
POLL_SECONDS: Final = 2.0
# Wall clock time of the writer in seconds, before the data of a record.
TIME: Final = struct.Struct(">d")


class LogRecord(msgspec.Struct, frozen=True, array_like=True):
    """One record: its offset, its time in seconds, its bytes."""

    offset: int
    time: float
    data: bytes


class LogPage(msgspec.Struct, frozen=True, array_like=True):
    """Records from an offset on.

    Attributes
    ----------
    first : int
        Lowest offset that is still retained.
    next : int
        Offset of the next append.
    """

    first: int
    next: int
    records: tuple[LogRecord, ...]


@dataclass(frozen=True, slots=True)
class LogUnavailable:
    """The log gave no usable answer; an append may or may not have taken effect."""

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


class StoreLog(Log):
    """The log's streams as topics of the platform's store.

    The store records no times, so a record begins with its writer's wall clock time.
    Folds use the greatest time seen so far as the current time.
    """

    def __init__(self, address: Address, connections: int = 16) -> None:
        self._store = Store(address, connections, TIMEOUT_SECONDS)

    def append(self, stream: str, data: bytes) -> int | LogUnavailable:
        """Append one record and return its offset."""
        answer = self._store.append(stream, TIME.pack(time.time()) + data)
        if isinstance(answer, Appended):
            return answer.offset
        return LogUnavailable(answer.reason)

    def read(
        self, stream: str, offset: int, wait: float = 0.0
    ) -> LogPage | LogUnavailable:
        """Read from ``offset``, waiting up to ``wait`` seconds for a record.

        If that offset is no longer retained, the page begins at the first retained one.
        """
        page = self._store.read(stream, offset, wait)
        if isinstance(page, Forgotten):
            page = self._store.read(stream, page.first)
        if isinstance(page, Forgotten):
            return LogUnavailable(
                "records were dropped from the stream during the read"
            )
        if not isinstance(page, RawPage):
            return LogUnavailable(page.reason)
        records = (_record(page.offset + i, raw) for i, raw in enumerate(page.records))
        return LogPage(page.first, page.end, tuple(records))

    def close(self) -> None:
        """Close the connections."""
        self._store.close()


def _record(offset: int, raw: bytes) -> LogRecord:
    """Split a record into time and data; one too short for a time gets time 0."""
    if len(raw) < TIME.size:
        return LogRecord(offset, 0.0, raw)
    (written,) = TIME.unpack_from(raw)
    return LogRecord(offset, written, raw[TIME.size :])
