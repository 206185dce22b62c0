"""The users' metadata store in memory, with the store's HTTP protocol.

A topic has keyed records.  The store keeps the newest record of each key, and the
history of the topic until it is truncated.  ``restore`` brings it back from an older
copy; each answer names its era.
"""

from __future__ import annotations

import base64
import json
import struct
from collections import defaultdict
from copy import copy
from dataclasses import dataclass, field, replace
from typing import Any

import gevent
from gevent.event import Event

from godwitrudder.platform import names
from standins.http import Request, Response, StandIn, json_response

# Delay of a lost answer to an append; the client of the store times out before it.
LOST_ANSWER_SECONDS = 10.0


@dataclass
class Topic:
    """Partition 0 of a topic.

    Attributes
    ----------
    records : list of bytes
        Retained history; each record has the key's length in one byte, the key and
        the value.
    first_offset : int
        Offset of the first retained record.
    epoch_by_producer : dict
        Highest epoch of each producer; the store fences appends of lower epochs.
    batch_ends_by_producer : dict
        By producer and epoch, the sequence number and end offset of each batch.
    newest_by_key : dict
        Offset and value of the newest record of each key.
    appended : Event
        Set, and replaced by a new event, at each append.
    """

    records: list[bytes] = field(default_factory=list)
    first_offset: int = 0
    epoch_by_producer: dict[str, int] = field(default_factory=dict)
    batch_ends_by_producer: dict[tuple[str, int], list[tuple[int, int]]] = field(
        default_factory=dict
    )
    newest_by_key: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    appended: Event = field(default_factory=Event)

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first_offset + len(self.records)

    def add(self, record: bytes) -> None:
        """Append one keyed record; an empty value deletes the key."""
        size = record[0]
        key, value = record[1 : 1 + size].decode(), record[1 + size :]
        if value:
            self.newest_by_key[key] = (self.end, value)
        else:
            self.newest_by_key.pop(key, None)
        self.records.append(record)
        self.appended.set()
        self.appended = Event()

    def snapshot(self) -> Topic:
        """Return a copy; its event is set by no append to this topic."""
        return replace(
            self,
            records=copy(self.records),
            epoch_by_producer=copy(self.epoch_by_producer),
            batch_ends_by_producer={
                producer: copy(ends)
                for producer, ends in self.batch_ends_by_producer.items()
            },
            newest_by_key=copy(self.newest_by_key),
            appended=Event(),
        )

    def truncate(self) -> None:
        """Drop the history but keep the newest record of each key."""
        self.first_offset = self.end
        self.records.clear()


class Store(StandIn):
    """The store, in memory; its fault ``lost_answers`` loses the answers of appends.

    Attributes
    ----------
    topics : dict
        Topics by name, created at their first use.
    era : int
        Number of times that the store came back from an older copy.
    """

    topics: defaultdict[str, Topic]
    era: int = 0

    def copy_topics(self) -> dict[str, Topic]:
        """Return a copy to restore later."""
        return {name: topic.snapshot() for name, topic in self.topics.items()}

    def restore(self, copied: dict[str, Topic]) -> None:
        """Come back from a copy; records appended since it was made are gone."""
        waiting = [topic.appended for topic in self.topics.values()]
        self.topics = defaultdict(Topic)
        for name, topic in copied.items():
            self.topics[name] = topic.snapshot()
        self.era += 1
        for event in waiting:
            event.set()

    def put(self, topic: str, key: str, value: Any) -> None:
        """Append a JSON record as operators and runners do; None deletes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        self._topic(topic).add(bytes([len(key)]) + key.encode() + data)

    def answer(self, request: Request) -> Response:
        """Answer one request; the answer names the era in which it was computed."""
        response = self._answer(request)
        return replace(response, headers=((names.STORE_ERA, str(self.era)),))

    def _answer(self, request: Request) -> Response:
        topic = self._topic(request.query.get("topic", ""))
        if request.path == names.APPEND:
            return self._append(topic, request)
        if request.path == names.READ:
            return self._read(topic, request)
        if request.path == names.NEWEST:
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for key, (offset, value) in sorted(topic.newest_by_key.items())
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
        if epoch < topic.epoch_by_producer.get(producer, 0):
            return json_response({"reason": "fenced"}, 409)
        topic.epoch_by_producer[producer] = epoch
        ends = topic.batch_ends_by_producer.setdefault((producer, epoch), [])
        for stored_sequence, end in ends[-5:]:
            if stored_sequence == sequence:
                return json_response({"offset": end - 1, "end": end})
        if request.body:
            if ends and sequence != ends[-1][0] + 1:
                return json_response({"reason": "seq", "seq": ends[-1][0] + 1}, 409)
            for record in _split_records(request.body):
                topic.add(record)
            ends.append((sequence, topic.end))
        if self.faults.should_fail(self.faults.switches.lost_answers):
            gevent.sleep(LOST_ANSWER_SECONDS)
        return json_response({"offset": topic.end - 1, "end": topic.end})

    def _read(self, topic: Topic, request: Request) -> Response:
        offset = int(request.query["from"])
        wait = float(request.query.get("wait_ms", "0")) / 1000
        if offset == topic.end and wait:
            topic.appended.wait(wait)
            topic = self._topic(request.query["topic"])
        if not topic.first_offset <= offset <= topic.end:
            return json_response({"first": topic.first_offset}, 410)
        page = struct.pack(">QQ", topic.end, topic.first_offset)
        max_bytes = int(request.query.get("max_kb", "1024")) * 1024
        for record in topic.records[offset - topic.first_offset :]:
            page += struct.pack(">I", len(record)) + record
            if len(page) > max_bytes:
                break
        return Response(200, [page], "application/octet-stream")


def _split_records(body: bytes) -> list[bytes]:
    records, position = [], 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        records.append(body[position + 4 : position + 4 + length])
        position += 4 + length
    return records
