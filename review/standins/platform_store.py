"""Stand-in of the platform's store: one log partition a topic, as PROTOCOL.md says.

It may be away and come back from a copy that is some seconds old, as the news page
"In a drill the store may be away for a moment" has it.
"""

from __future__ import annotations

import asyncio
import base64
import copy
import json
import struct
import urllib.parse
from dataclasses import dataclass, field

RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
APPEND_SECONDS = 0.004
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


@dataclass
class Producer:
    """Epoch of a producer, and the answers to its last five appends."""

    epoch: int
    last: int = -1
    answers: dict[int, dict[str, int]] = field(default_factory=dict)


@dataclass
class Topic:
    """Records of partition 0; all topics here are keyed."""

    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    producers: dict[str, Producer] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    def add(self, record: bytes) -> None:
        """Append one record."""
        key, value = record[1 : 1 + record[0]].decode(), record[1 + record[0] :]
        if value:
            self.newest[key] = (len(self.records), value)
        else:
            self.newest.pop(key, None)
        self.records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The store; ``refused`` counts appends that were too large, by producer.

    Attributes
    ----------
    era : int
        Named by the header ``Store-Era`` of all answers.
    away : bool
        Whether all calls are refused with 503.
    """

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.refused: dict[str, int] = {}
        self.appended: dict[str, int] = {}
        self.largest = 0
        self.port = 0
        self.era = 1
        self.away = False

    def copy(self) -> dict[str, Topic]:
        """Return a copy of all topics."""
        return {
            name: Topic(
                list(topic.records),
                dict(topic.newest),
                copy.deepcopy(topic.producers),
            )
            for name, topic in self.topics.items()
        }

    def restore(self, topics: dict[str, Topic]) -> None:
        """Come back from a copy; the operator and the runners write theirs again."""
        former, self.topics = self.topics, topics
        for name in ("keyed.op", "keyed.servers"):
            for key, (_, value) in former.get(name, Topic()).newest.items():
                self.topic(name).add(bytes([len(key)]) + key.encode() + value)
        self.era += 1
        for topic in former.values():
            topic.changed.set()

    def topic(self, name: str) -> Topic:
        """Return a topic; it is created on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: object) -> None:
        """Write as the operator and the runners do; None deletes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        self.topic(topic).add(bytes([len(key)]) + key.encode() + data)

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, ip, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ")
                length = 0
                for line in lines[1:]:
                    if line.lower().startswith("content-length:"):
                        length = int(line.partition(":")[2])
                body = await reader.readexactly(length) if length else b""
                path, _, query = target.partition("?")
                asked = dict(urllib.parse.parse_qsl(query))
                status, kind, data = 503, "application/json", b"{}"
                if not self.away:
                    status, kind, data = await self._answer(method, path, asked, body)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\n"
                    f"Store-Era: {self.era}\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, method: str, path: str, asked: dict[str, str], body: bytes
    ) -> tuple[int, str, bytes]:
        topic = self.topic(asked.get("topic", ""))
        if (method, path) == ("POST", "/api/log-append"):
            status, said = await self._append(topic, asked, body)
            return status, "application/json", json.dumps(said).encode()
        if (method, path) == ("GET", "/api/log-read"):
            offset = int(asked["from"])
            wait = int(asked.get("wait_ms", "0")) / 1000
            if offset >= len(topic.records) and wait:
                try:
                    await asyncio.wait_for(topic.changed.wait(), min(wait, 30.0))
                except TimeoutError:
                    pass
                topic = self.topic(asked["topic"])
            if offset > len(topic.records):
                return 410, "application/json", b'{"first": 0}'
            most = int(asked.get("max_kb", "1024")) * 1024
            page = struct.pack(">QQ", len(topic.records), 0)
            for record in topic.records[offset:]:
                if len(page) > 16 and len(page) + len(record) + 4 > most:
                    break
                page += struct.pack(">I", len(record)) + record
            return 200, "application/octet-stream", page
        if (method, path) == ("GET", "/api/log-newest"):
            return 200, "application/json", self._newest(topic, asked.get("after", ""))
        return 404, "application/json", b"{}"

    def _newest(self, topic: Topic, after: str) -> bytes:
        items: list[dict[str, object]] = []
        size, more = 0, False
        for key in sorted(key for key in topic.newest if key > after):
            offset, value = topic.newest[key]
            text = base64.b64encode(value).decode()
            if items and (len(items) >= PAGE_ITEMS or size + len(text) > PAGE_BYTES):
                more = True
                break
            items.append({"key": key, "value": text, "offset": offset})
            size += len(text)
        said = {"items": items, "has_more": more, "end": len(topic.records)}
        return json.dumps(said).encode()

    async def _append(
        self, topic: Topic, asked: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, object]]:
        records, position = [], 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            records.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        name = asked.get("producer", "")
        self.largest = max([self.largest, *(len(record) for record in records)])
        if len(body) > CALL_BYTES or any(len(each) > RECORD_BYTES for each in records):
            self.refused[name] = self.refused.get(name, 0) + 1
            return 413, {"error": "a record is larger than record_bytes"}
        async with topic.lock:
            await asyncio.sleep(APPEND_SECONDS)
            epoch, seq = int(asked.get("epoch", "0")), int(asked.get("seq", "0"))
            producer = topic.producers.setdefault(name, Producer(epoch))
            if epoch < producer.epoch:
                return 409, {"reason": "fenced"}
            if epoch > producer.epoch:
                producer = topic.producers[name] = Producer(epoch)
            if not records:
                return 200, {"offset": len(topic.records), "end": len(topic.records)}
            if seq in producer.answers:
                return 200, dict(producer.answers[seq])
            if producer.last >= 0 and seq != producer.last + 1:
                return 409, {"reason": "seq", "seq": producer.last + 1}
            offset = len(topic.records)
            for record in records:
                topic.add(record)
            said = {"offset": offset, "end": len(topic.records)}
            producer.last = seq
            producer.answers[seq] = said
            for old in sorted(producer.answers)[:-5]:
                del producer.answers[old]
            self.appended[name] = self.appended.get(name, 0) + 1
            return 200, dict(said)
