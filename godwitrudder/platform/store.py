"""Client of the platform's metadata store, the only one.

Every call returns a value: what was asked for, or why there is no answer.  An
append without an answer may stand, now or seconds later.
"""

from __future__ import annotations

import base64
import logging
import struct
from collections import Counter
from dataclasses import dataclass
from typing import Any, Final
from urllib.parse import urlencode

import gevent
import msgspec
from gevent import socket
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool

from godwitrudder.platform import names
from godwitrudder.sections import Address

TIMEOUT_SECONDS: Final = 1.0
"""A slow store answers within 0.3 s (4 ms an answer, 74 times as long)."""
CONNECT_SECONDS: Final = 0.6
"""Longest time for a connection: two opening packets of a lossy link."""
CONNECTIONS: Final = 4
"""Calls at once: one of each of the three tasks that follow the store, and a spare."""
MAX_ANSWER_BYTES: Final = 4_194_304
"""Longest answer: a read gives 1,024 KB, a list 1 MB with values in base64 (the users'
pages)."""
BLOCK_BYTES: Final = 65_536
"""Taken from a connection at once."""
PAGE_HEADER: Final = struct.Struct(">QQ")
LENGTH: Final = struct.Struct(">I")

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Unavailable:
    """No usable answer; what was asked may have been done, or be done later."""

    reason: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """The store answered, and did nothing.

    Attributes
    ----------
    expected_sequence : int or None
        The producer's next sequence number, where that was at fault.
    """

    status: int
    reason: str
    expected_sequence: int | None = None


@dataclass(frozen=True, slots=True)
class Forgotten:
    """The records asked for are no longer kept."""

    first: int


@dataclass(frozen=True, slots=True)
class RawPage:
    """Records as bytes, with the topic's first retained offset and its end."""

    offset: int
    first: int
    end: int
    records: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Appended:
    """Offsets of the first record and after the last one."""

    offset: int
    end: int


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """The record of a key; a value of None drops the key."""

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Page:
    """Records, and the offset after the last one.

    Attributes
    ----------
    whole : bool
        Whether these are all that there were.
    """

    next: int
    records: tuple[KeyedRecord, ...]
    whole: bool = True


@dataclass(frozen=True, slots=True)
class Producer:
    """Names the writer of an append, so that it takes effect once."""

    name: str
    epoch: int
    sequence: int


class ItemModel(msgspec.Struct):
    """One item of the newest records."""

    key: str
    value: str
    offset: int


class NewestModel(msgspec.Struct):
    """A page of the newest records."""

    items: list[ItemModel]
    end: int
    has_more: bool = False


class AppendedModel(msgspec.Struct):
    """The answer to an append."""

    offset: int = 0
    end: int = 0


class BoundedSocket(socket.socket):  # type: ignore[misc]
    """A connection on which an answer has a bound, its head included."""

    received_bytes = 0

    def sendall(self, *args: Any) -> Any:
        """Send; a further answer follows."""
        self.received_bytes = 0
        return super().sendall(*args)

    def recv(self, *args: Any) -> Any:
        """Receive, letting others run: bytes without end are always there."""
        gevent.sleep(0)
        data = super().recv(*args)
        self.received_bytes += len(data)
        if self.received_bytes > MAX_ANSWER_BYTES:
            raise OSError(f"over {MAX_ANSWER_BYTES} bytes")
        return data


class BoundedPool(ConnectionPool):
    """Connections whose answers have a bound."""

    def _create_tcp_socket(self, family: int, kind: int, protocol: int) -> Any:
        return BoundedSocket(family, kind, protocol)


class Store:
    """Calls of the store, each bounded in time.

    Parameters
    ----------
    connections : int
        Calls at once; reads that wait have as many of their own.
    timeout_seconds : float
        Longest time for an answer, beyond what a read waits.

    Attributes
    ----------
    calls : Counter of (path, status)
        Calls made so far; the status is ``none`` where no answer came.
    """

    def __init__(
        self,
        address: Address,
        connections: int = CONNECTIONS,
        timeout_seconds: float = TIMEOUT_SECONDS,
    ) -> None:
        self.calls: Counter[tuple[str, str]] = Counter()
        self._address = address
        self._connections = connections
        self._timeout_seconds = timeout_seconds
        self._client = self._new_client(timeout_seconds)
        self._waiting_client: HTTPClient | None = None

    def append(
        self, topic: str, record: bytes | None, producer: Producer | None = None
    ) -> Appended | Rejected | Unavailable:
        """Append one record; None only sets the producer's epoch."""
        query: dict[str, Any] = {"topic": topic, "part": 0}
        if producer is not None:
            query["producer"] = producer.name
            query["epoch"] = producer.epoch
            query["seq"] = producer.sequence
        body = b"" if record is None else LENGTH.pack(len(record)) + record
        answer = self._call(self._client, "POST", names.APPEND, query, body)
        if isinstance(answer, Unavailable):
            return answer
        status, data = answer
        if status != 200:
            return _decode_rejected(status, data)
        try:
            model = msgspec.json.decode(data or b"{}", type=AppendedModel)
        except msgspec.MsgspecError as error:
            return Unavailable(f"append: {error}")
        return Appended(model.offset, model.end)

    def append_keyed(
        self, topic: str, record: KeyedRecord | None, producer: Producer
    ) -> int | Rejected | Unavailable:
        """Append a keyed record, or only set the epoch; return the offset after it."""
        data = None if record is None else _encode_keyed(record)
        answer = self.append(topic, data, producer)
        return answer.end if isinstance(answer, Appended) else answer

    def newest(self, topic: str) -> Page | Rejected | Unavailable:
        """Return the newest record of each key, and where to read on."""
        records: list[KeyedRecord] = []
        next_offset: int | None = None
        after = ""
        while True:
            query: dict[str, Any] = {"topic": topic, "part": 0}
            if after:
                query["after"] = after
            answer = self._call(self._client, "GET", names.NEWEST, query, b"")
            if isinstance(answer, Unavailable):
                return answer
            status, data = answer
            if status != 200:
                return _decode_rejected(status, data)
            try:
                page = msgspec.json.decode(data, type=NewestModel)
                records.extend(
                    KeyedRecord(item.key, base64.b64decode(item.value))
                    for item in page.items
                )
            except (msgspec.MsgspecError, ValueError) as error:
                return Unavailable(f"newest: {error}")
            if next_offset is None:
                next_offset = page.end
            if not page.has_more or not page.items:
                return Page(next_offset, tuple(records))
            after = page.items[-1].key

    def read(
        self, topic: str, offset: int, wait_seconds: float = 0.0
    ) -> RawPage | Forgotten | Rejected | Unavailable:
        """Read on from an offset, waiting for a record up to a time."""
        query = {"topic": topic, "part": 0, "from": offset}
        client = self._client
        if wait_seconds:
            query["wait_ms"] = int(wait_seconds * 1000)
            client = self._client_for_waiting_reads(wait_seconds)
        answer = self._call(client, "GET", names.READ, query, b"")
        if isinstance(answer, Unavailable):
            return answer
        status, data = answer
        if status == 410:
            return _decode_forgotten(data)
        if status != 200:
            return _decode_rejected(status, data)
        return _decode_page(offset, data)

    def read_keyed(
        self, topic: str, offset: int, wait_seconds: float = 0.0
    ) -> Page | Forgotten | Rejected | Unavailable:
        """Read keyed records on from an offset."""
        page = self.read(topic, offset, wait_seconds)
        if not isinstance(page, RawPage):
            return page
        records = tuple(_decode_keyed(content) for content in page.records)
        return Page(offset + len(records), records, offset + len(records) >= page.end)

    def close(self) -> None:
        """Close the connections."""
        self._client.close()
        if self._waiting_client is not None:
            self._waiting_client.close()

    def _client_for_waiting_reads(self, wait_seconds: float) -> HTTPClient:
        """Return the client of reads that wait."""
        if self._waiting_client is None:
            seconds = wait_seconds + self._timeout_seconds
            self._waiting_client = self._new_client(seconds)
        return self._waiting_client

    def _new_client(self, network_seconds: float) -> HTTPClient:
        ip, port = self._address.ip, self._address.port
        client = HTTPClient(ip, port, block_size=BLOCK_BYTES)
        client._connection_pool = BoundedPool(
            ip,
            port,
            ip,
            port,
            size=self._connections,
            connection_timeout=CONNECT_SECONDS,
            network_timeout=network_seconds,
        )
        return client

    def _call(
        self,
        client: HTTPClient,
        method: str,
        path: str,
        query: dict[str, Any],
        body: bytes,
    ) -> tuple[int, bytes] | Unavailable:
        try:
            response = client.request(method, f"{path}?{urlencode(query)}", body=body)
            answer = response.status_code, bytes(response.read())
        except Exception as error:  # the client raises many unrelated types
            self.calls[path, "none"] += 1
            return Unavailable(f"{type(error).__name__}: {error}")
        self.calls[path, str(answer[0])] += 1
        return answer


def _encode_keyed(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    return bytes([len(key)]) + key + (record.value or b"")


def _decode_page(offset: int, data: bytes) -> RawPage | Unavailable:
    """Split a read's bytes into records; a last one that is cut is left out."""
    if len(data) < PAGE_HEADER.size:
        return Unavailable("a read without its header")
    end, first = PAGE_HEADER.unpack_from(data)
    records: list[bytes] = []
    position = PAGE_HEADER.size
    while position + LENGTH.size <= len(data):
        (length,) = LENGTH.unpack_from(data, position)
        content = data[position + LENGTH.size : position + LENGTH.size + length]
        if len(content) < length:
            break
        records.append(content)
        position += LENGTH.size + length
    return RawPage(offset, first, end, tuple(records))


def _decode_forgotten(data: bytes) -> Forgotten | Unavailable:
    try:
        return msgspec.convert(msgspec.json.decode(data), Forgotten)
    except msgspec.MsgspecError as error:
        return Unavailable(f"410: {error}")


def _decode_keyed(content: bytes) -> KeyedRecord:
    size = content[0] if content else 0
    key = content[1 : 1 + size].decode("utf-8", "replace")
    return KeyedRecord(key, content[1 + size :] or None)


def _decode_rejected(status: int, data: bytes) -> Rejected:
    try:
        body = msgspec.json.decode(data, type=dict[str, Any])
    except msgspec.MsgspecError as error:
        return Rejected(status, f"body: {error}")
    sequence = body.get("seq")
    return Rejected(
        status,
        str(body.get("reason", "")),
        sequence if isinstance(sequence, int) else None,
    )
