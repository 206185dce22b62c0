"""Client of the platform's metadata store; no other module calls the store.

Every call returns its result or a value that describes the failure.  An append without
an answer may have taken effect, or may still do so seconds later.

Every answer names the store's era, which rises when it comes back from an older copy:
records appended since that copy are gone, and their offsets are given out again.
"""

from __future__ import annotations

import base64
import logging
import re
import struct
from collections import Counter
from dataclasses import dataclass
from typing import Any, Final
from urllib.parse import urlencode

import msgspec
from geventhttpclient import HTTPClient

from godwitrudder import codec
from godwitrudder.codec import Count, Whole
from godwitrudder.connection.bounded_pool import BoundedPool, bounded_client
from godwitrudder.platform import names
from godwitrudder.request.outage import Outage
from godwitrudder.validation import Address

TIMEOUT_SECONDS: Final = 1.0
"""Timeout of an answer; a slow store answers within 0.3 s, 74 times the usual 4 ms."""
CONNECT_SECONDS: Final = 0.6
"""Connect timeout; leaves time for a second SYN on a link that loses packets."""
CONNECTIONS: Final = 4
"""Concurrent calls: one for each of three tasks that follow the store, and a spare."""
MAX_ANSWER_BYTES: Final = 4_194_304
"""Size limit of an answer; a read returns up to 1,024 KB, a list of the newest records
1 MB with values in base64."""
TRANSFER_SECONDS: Final = 10.0
"""Time for the largest answer on a link of 5 Mbit/s, with a margin."""
BLOCK_BYTES: Final = 65_536
"""Bytes per read from a connection."""
# End and first retained offset of the topic, before the records of a read.
PAGE_HEADER: Final = struct.Struct(">QQ")
# Length of a record in bytes, before the record.
LENGTH: Final = struct.Struct(">I")
# Decimal digits of an era that fits into 63 bits.
_ERA: Final = re.compile("[0-9]{1,18}")

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Unavailable:
    """No usable answer; the call may have taken effect, or may do so later."""

    reason: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """The store refused the call, which had no effect.

    Attributes
    ----------
    expected_sequence : int or None
        The producer's next sequence number, if the call's number was wrong.
    era : int
        The store's era.
    """

    status: int
    reason: str
    expected_sequence: int | None = None
    era: int = 0


@dataclass(frozen=True, slots=True)
class Forgotten:
    """The store doesn't have the requested offset; ``first`` is the first retained."""

    first: int
    era: int = 0


@dataclass(frozen=True, slots=True)
class RawPage:
    """Raw records from ``offset`` on, and the topic's first retained offset and end."""

    offset: int
    first: int
    end: int
    records: tuple[bytes, ...]
    era: int = 0


@dataclass(frozen=True, slots=True)
class Appended:
    """Offset of the appended record, and the topic's end after it."""

    offset: int
    end: int
    era: int = 0


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """The record of a key; a value of None deletes the key."""

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Page:
    """Keyed records.

    Attributes
    ----------
    next : int
        Offset at which to continue reading.
    whole : bool
        Whether the topic has no records after these.
    era : int
        The store's era; offsets of other eras mean nothing in it.
    """

    next: int
    records: tuple[KeyedRecord, ...]
    whole: bool = True
    era: int = 0


@dataclass(frozen=True, slots=True)
class Producer:
    """Identifies the writer of an append, so that a repeated one takes effect once."""

    name: str
    epoch: int
    sequence: int


@dataclass(frozen=True, slots=True)
class Answer:
    """An HTTP answer: status, body and the store's era."""

    status: int
    body: bytes
    era: int


class ForgottenModel(msgspec.Struct):
    """The store's answer to a read from an offset that it doesn't have."""

    first: Count


class RejectedModel(msgspec.Struct):
    """The store's answer to a call that it refused."""

    reason: str = ""
    seq: Count | None = None


class ItemModel(msgspec.Struct):
    """One item of the newest records."""

    key: str
    value: str
    offset: Count


class NewestModel(msgspec.Struct):
    """A page of the newest records."""

    items: list[ItemModel]
    end: Count
    has_more: bool = False


class AppendedModel(msgspec.Struct):
    """The store's answer to an append."""

    offset: Whole = 0
    end: Whole = 0


class Store:
    """Client of the store; each call has a timeout.

    Parameters
    ----------
    connections : int
        Concurrent calls; waiting reads have as many connections of their own.
    timeout_seconds : float
        Longest time for an answer.  A waiting read has its wait and
        ``TIMEOUT_SECONDS``.

    Attributes
    ----------
    calls : Counter of (path, status)
        Calls made so far; the status is ``none`` if no answer arrived.
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
        self._client = self._new_client(timeout_seconds)
        self._waiting_client: HTTPClient | None = None
        self._outage = Outage()

    def append(
        self, topic: str, record: bytes | None, producer: Producer | None = None
    ) -> Appended | Rejected | Unavailable:
        """Append one record; a record of None only sets the producer's epoch."""
        query: dict[str, Any] = {"topic": topic, "part": 0}
        if producer is not None:
            query["producer"] = producer.name
            query["epoch"] = producer.epoch
            query["seq"] = producer.sequence
        body = b"" if record is None else LENGTH.pack(len(record)) + record
        answer = self._call(self._client, "POST", names.APPEND, query, body)
        if isinstance(answer, Unavailable):
            return answer
        if answer.status != 200:
            return _decode_rejected(answer)
        model = codec.decode_json(answer.body or b"{}", AppendedModel)
        if isinstance(model, codec.Malformed):
            return Unavailable(f"append: {model.reason}")
        return Appended(model.offset, model.end, answer.era)

    def append_keyed(
        self, topic: str, record: KeyedRecord | None, producer: Producer
    ) -> Appended | Rejected | Unavailable:
        """Append a keyed record; a record of None only sets the producer's epoch."""
        data = None if record is None else _encode_keyed(record)
        return self.append(topic, data, producer)

    def newest(self, topic: str) -> Page | Rejected | Unavailable:
        """Return the newest record of each key, and the offset to continue from."""
        records: list[KeyedRecord] = []
        first_page: tuple[int, int] | None = None
        after = ""
        while True:
            query: dict[str, Any] = {"topic": topic, "part": 0}
            if after:
                query["after"] = after
            answer = self._call(self._client, "GET", names.NEWEST, query, b"")
            if isinstance(answer, Unavailable):
                return answer
            if answer.status != 200:
                return _decode_rejected(answer)
            page = codec.decode_json(answer.body, NewestModel)
            if isinstance(page, codec.Malformed):
                return Unavailable(f"newest: {page.reason}")
            try:
                records.extend(
                    KeyedRecord(item.key, base64.b64decode(item.value))
                    for item in page.items
                )
            except ValueError as error:
                return Unavailable(f"newest: {error}")
            if first_page is None:
                first_page = page.end, answer.era
            end, era = first_page
            if answer.era != era:
                return Unavailable("newest: the store was restored between two pages")
            if not page.has_more or not page.items:
                return Page(end, tuple(records), era=era)
            after = page.items[-1].key

    def read(
        self,
        topic: str,
        offset: int,
        wait_seconds: float = 0.0,
        max_kilobytes: int | None = None,
    ) -> RawPage | Forgotten | Rejected | Unavailable:
        """Read from an offset on, waiting up to ``wait_seconds`` for a record.

        Parameters
        ----------
        max_kilobytes : int or None
            Largest size of the answer; None for the store's own limit.
        """
        query = {"topic": topic, "part": 0, "from": offset}
        if max_kilobytes is not None:
            query["max_kb"] = max_kilobytes
        client = self._client
        if wait_seconds:
            query["wait_ms"] = int(wait_seconds * 1000)
            client = self._client_for_waiting_reads(wait_seconds)
        answer = self._call(client, "GET", names.READ, query, b"")
        if isinstance(answer, Unavailable):
            return answer
        if answer.status == 410:
            return _decode_forgotten(answer)
        if answer.status != 200:
            return _decode_rejected(answer)
        return _decode_page(offset, answer)

    def read_keyed(
        self,
        topic: str,
        offset: int,
        wait_seconds: float = 0.0,
        max_kilobytes: int | None = None,
    ) -> Page | Forgotten | Rejected | Unavailable:
        """Read keyed records from an offset on; see ``read``."""
        page = self.read(topic, offset, wait_seconds, max_kilobytes)
        if not isinstance(page, RawPage):
            return page
        records = tuple(_decode_keyed(content) for content in page.records)
        next_offset = offset + len(records)
        return Page(next_offset, records, next_offset >= page.end, page.era)

    def close(self) -> None:
        """Close the connections."""
        self._client.close()
        if self._waiting_client is not None:
            self._waiting_client.close()

    def _client_for_waiting_reads(self, wait_seconds: float) -> HTTPClient:
        """Return the client of waiting reads; its timeout includes the first wait."""
        if self._waiting_client is None:
            seconds = wait_seconds + TIMEOUT_SECONDS
            self._waiting_client = self._new_client(seconds)
        return self._waiting_client

    def _new_client(self, network_seconds: float) -> HTTPClient:
        return bounded_client(
            self._address,
            MAX_ANSWER_BYTES,
            network_seconds,
            size=self._connections,
            connect_seconds=CONNECT_SECONDS,
            max_seconds=network_seconds + TRANSFER_SECONDS,
            block_size=BLOCK_BYTES,
        )

    def _call(
        self,
        client: HTTPClient,
        method: str,
        path: str,
        query: dict[str, Any],
        body: bytes,
    ) -> Answer | Unavailable:
        try:
            response = client.request(method, f"{path}?{urlencode(query)}", body=body)
            era = _decode_era(response.get(names.STORE_ERA))
            answer = Answer(response.status_code, bytes(response.read()), era)
        except Exception as error:  # the client raises many unrelated types
            self.calls[path, "none"] += 1
            if client is not self._waiting_client:
                self._outage.note_unanswered()
            return Unavailable(f"{type(error).__name__}: {error}")
        self.calls[path, str(answer.status)] += 1
        if self._outage.note_answered():
            self._end_waiting_reads()
        return answer

    def _end_waiting_reads(self) -> None:
        """End waiting reads without an answer; their callers repeat them."""
        if self._waiting_client is not None:
            pool = self._waiting_client._connection_pool
            assert isinstance(pool, BoundedPool)
            pool.interrupt()


def _encode_keyed(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    return bytes([len(key)]) + key + (record.value or b"")


def _decode_era(value: object) -> int:
    """Return the era that an answer names; 0 for none."""
    if not isinstance(value, str) or not _ERA.fullmatch(value):
        return 0
    return int(value)


def _decode_page(offset: int, answer: Answer) -> RawPage | Unavailable:
    """Split a read's bytes into records; drop a truncated last one."""
    data = answer.body
    if len(data) < PAGE_HEADER.size:
        return Unavailable("the read's answer is shorter than its header")
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
    return RawPage(offset, first, end, tuple(records), answer.era)


def _decode_forgotten(answer: Answer) -> Forgotten | Unavailable:
    model = codec.decode_json(answer.body, ForgottenModel)
    if isinstance(model, codec.Malformed):
        return Unavailable(f"410: {model.reason}")
    return Forgotten(model.first, answer.era)


def _decode_keyed(content: bytes) -> KeyedRecord:
    size = content[0] if content else 0
    key = content[1 : 1 + size].decode("utf-8", "replace")
    return KeyedRecord(key, content[1 + size :] or None)


def _decode_rejected(answer: Answer) -> Rejected:
    model = codec.decode_json(answer.body, RejectedModel)
    if isinstance(model, codec.Malformed):
        return Rejected(answer.status, f"body: {model.reason}", era=answer.era)
    return Rejected(answer.status, model.reason, model.seq, answer.era)
