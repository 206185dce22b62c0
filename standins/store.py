"""The users' metadata store: topics with keyed records, by its published protocol."""

from __future__ import annotations

import base64
import json
import struct
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

import gevent
from gevent.event import Event

from godwitrudder.platform import names
from standins.http import Request, Response, StandIn, json_response

HELD_SECONDS = 10.0


@dataclass
class Topic:
    """Partition 0 of a topic."""

    records: list[bytes] = field(default_factory=list)
    first: int = 0
    epochs: dict[str, int] = field(default_factory=dict)
    ends: dict[tuple[str, int], list[tuple[int, int]]] = field(default_factory=dict)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    grown: Event = field(default_factory=Event)

    @property
    def end(self) -> int:
        """Offset that the next record gets."""
        return self.first + len(self.records)

    def add(self, record: bytes) -> None:
        """Append one keyed record."""
        size = record[0]
        key, value = record[1 : 1 + size].decode(), record[1 + size :]
        if value:
            self.newest[key] = (self.end, value)
        else:
            self.newest.pop(key, None)
        self.records.append(record)
        self.grown.set()
        self.grown = Event()

    def forget(self) -> None:
        """Drop the history; the newest record of each key stays."""
        self.first = self.end
        self.records.clear()


class Store(StandIn):
    """The store, in memory; ``lost_answers`` of its faults loses appends' answers."""

    topics: defaultdict[str, Topic]

    def put(self, topic: str, key: str, value: Any) -> None:
        """Write a record as operator or runner do; None drops the key."""
        data = b"" if value is None else json.dumps(value).encode()
        self._topic(topic).add(bytes([len(key)]) + key.encode() + data)

    def answer(self, request: Request) -> Response:
        """Answer one call."""
        topic = self._topic(request.query.get("topic", ""))
        if request.path == names.APPEND:
            return self._append(topic, request)
        if request.path == names.READ:
            return self._read(topic, request)
        if request.path == names.NEWEST:
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": at}
                for key, (at, value) in sorted(topic.newest.items())
            ]
            return json_response({"items": items, "has_more": False, "end": topic.end})
        return json_response({"error": f"nothing at {request.path}"}, 404)

    def _topic(self, name: str) -> Topic:
        if not hasattr(self, "topics"):
            self.topics = defaultdict(Topic)
        return self.topics[name]

    def _append(self, topic: Topic, request: Request) -> Response:
        producer = request.query["producer"]
        epoch, sequence = int(request.query["epoch"]), int(request.query["seq"])
        if epoch < topic.epochs.get(producer, 0):
            return json_response({"reason": "fenced"}, 409)
        topic.epochs[producer] = epoch
        ends = topic.ends.setdefault((producer, epoch), [])
        for known, end in ends[-5:]:
            if known == sequence:
                return json_response({"offset": end - 1, "end": end})
        if request.body:
            if ends and sequence != ends[-1][0] + 1:
                return json_response({"reason": "seq", "seq": ends[-1][0] + 1}, 409)
            for record in _records(request.body):
                topic.add(record)
            ends.append((sequence, topic.end))
        if self.faults.hit(self.faults.switches.lost_answers):
            gevent.sleep(HELD_SECONDS)
        return json_response({"offset": topic.end - 1, "end": topic.end})

    def _read(self, topic: Topic, request: Request) -> Response:
        offset = int(request.query["from"])
        wait = float(request.query.get("wait_ms", "0")) / 1000
        if offset >= topic.end and wait:
            topic.grown.wait(wait)
        if offset < topic.first:
            return json_response({"first": topic.first}, 410)
        page = struct.pack(">QQ", topic.end, topic.first)
        for record in topic.records[offset - topic.first :]:
            page += struct.pack(">I", len(record)) + record
        return Response(200, [page], "application/octet-stream")


def _records(body: bytes) -> list[bytes]:
    records, at = [], 0
    while at < len(body):
        (length,) = struct.unpack_from(">I", body, at)
        records.append(body[at + 4 : at + 4 + length])
        at += 4 + length
    return records
