"""The platform: an append-only log, the host list and the weight store.

All three stand on one address.  The log keeps records for a limited time, takes
a limited number of appends a second, and can lose the answer of an append that
took effect.  The host list shows the state of some seconds ago.
"""

from __future__ import annotations

import time
from collections import defaultdict, deque
from collections.abc import Callable
from typing import Final

import gevent
from gevent.event import Event

from godwitrudder import codec
from godwitrudder.platform import names
from godwitrudder.platform.hosts import HostEntry
from godwitrudder.platform.log import TIME, LogPage, LogRecord
from godwitrudder.platform.store import LENGTH, PAGE_HEADER
from godwitrudder.platform.weights import WeightCatalogue
from godwitrudder.sections import Address
from standins.http import Request, Response, StandIn, json_response

PAGE_RECORDS: Final = 500
RETENTION_SECONDS: Final = 86400.0
APPENDS_PER_SECOND: Final = 400.0
WEIGHT_BYTES_PER_SECOND: Final = 200e6
ANSWER_LOST_SECONDS: Final = 10.0


class Stream:
    """One stream of the log, in memory.

    Parameters
    ----------
    wall : callable
        Returns the log's own time, in seconds since the epoch.
    """

    def __init__(self, wall: Callable[[], float]) -> None:
        self._wall = wall
        self.records: deque[LogRecord] = deque()
        self.next = 0
        self._grown = Event()

    @property
    def first(self) -> int:
        """Lowest offset that is still kept."""
        return self.next - len(self.records)

    def append(self, data: bytes) -> int:
        """Append one record and wake the readers."""
        offset = self.next
        self.records.append(LogRecord(offset, self._wall(), data))
        self.next += 1
        self._grown.set()
        self._grown = Event()
        return offset

    def forget(self, before: float) -> None:
        """Drop the records that are older than a time."""
        while self.records and self.records[0].time < before:
            self.records.popleft()

    def page(self, offset: int) -> LogPage:
        """Return the records from ``offset`` on."""
        start = max(0, offset - self.first)
        stop = min(len(self.records), start + PAGE_RECORDS)
        records = tuple(self.records[index] for index in range(start, stop))
        return LogPage(self.first, self.next, records)

    def wait(self, offset: int, seconds: float) -> None:
        """Wait until a record at ``offset`` exists."""
        if offset >= self.next and seconds > 0:
            self._grown.wait(seconds)


class RateLimit:
    """A token bucket over one second."""

    def __init__(self, per_second: float) -> None:
        self._per_second = per_second
        self._left = per_second
        self._at = time.monotonic()

    def take(self, amount: float) -> float:
        """Take ``amount``; return the seconds to wait until it is there."""
        now = time.monotonic()
        self._left += (now - self._at) * self._per_second
        self._left = min(self._left, self._per_second) - amount
        self._at = now
        return max(0.0, -self._left / self._per_second)


class Platform(StandIn):
    """Log, host list and weight store.

    Parameters
    ----------
    hosts : list of HostEntry
        The hosts at the start; ``set_hosts`` changes them.
    """

    def __init__(
        self,
        address: Address,
        hosts: list[HostEntry],
        seed: int = 0,
        retention_seconds: float = RETENTION_SECONDS,
    ) -> None:
        super().__init__(address, seed)
        self.streams_by_name: dict[str, Stream] = defaultdict(lambda: Stream(time.time))
        self.retention_seconds = retention_seconds
        self.appends = 0
        self._append_rate = RateLimit(APPENDS_PER_SECOND)
        self.catalogue = WeightCatalogue(
            bytes_per_second=WEIGHT_BYTES_PER_SECOND, bytes_by_model={}
        )
        self._weight_rate = RateLimit(WEIGHT_BYTES_PER_SECOND)
        self._hosts: deque[tuple[float, list[HostEntry]]] = deque([(0.0, hosts)])

    @property
    def hosts(self) -> list[HostEntry]:
        """The hosts as the list shows them, with its lag."""
        shown = time.monotonic() - self.faults.switches.lag_seconds
        while len(self._hosts) > 1 and self._hosts[1][0] <= shown:
            self._hosts.popleft()
        return self._hosts[0][1]

    def set_hosts(self, hosts: list[HostEntry]) -> None:
        """Change the list; readers see it after the lag."""
        self._hosts.append((time.monotonic(), hosts))

    def answer(self, request: Request) -> Response:
        """Answer one request."""
        if request.path in (names.APPEND, names.READ):
            return self._log(request)
        if request.path == "/hosts":
            return self._host_list(request)
        if request.path == "/weights":
            return Response(200, [codec.encode(self.catalogue)])
        if request.path.startswith("/weights/"):
            return self._weights(request.path.removeprefix("/weights/"))
        return json_response({"error": f"nothing at {request.path}"}, 404)

    def _log(self, request: Request) -> Response:
        stream = self.streams_by_name[request.query.get("topic", "")]
        stream.forget(time.time() - self.retention_seconds)
        if request.path == names.APPEND:
            return self._append(stream, request.body)
        try:
            offset = int(request.query.get("from", "0"))
            seconds = float(request.query.get("wait_ms", "0")) / 1000
        except ValueError as error:
            return json_response({"error": f"from and wait_ms: {error}"}, 400)
        stream.wait(offset, min(seconds, ANSWER_LOST_SECONDS))
        if offset < stream.first:
            return json_response({"first": stream.first}, 410)
        page = stream.page(offset)
        data = PAGE_HEADER.pack(page.next, page.first)
        for record in page.records:
            raw = TIME.pack(record.time) + record.data
            data += LENGTH.pack(len(raw)) + raw
        return Response(200, [data], "application/octet-stream")

    def _append(self, stream: Stream, body: bytes) -> Response:
        gevent.sleep(self._append_rate.take(1.0))
        offset = stream.next
        at = 0
        while at < len(body):
            (length,) = LENGTH.unpack_from(body, at)
            start = at + LENGTH.size
            at = start + length
            stream.append(body[start + TIME.size : at])
        self.appends += 1
        if self.faults.hit(self.faults.switches.lost_answers):
            gevent.sleep(ANSWER_LOST_SECONDS)
            return json_response({"error": "answer lost"}, 503)
        return json_response({"offset": offset, "end": stream.next})

    def _host_list(self, request: Request) -> Response:
        if request.method == "PUT":
            hosts = codec.decode(request.body, list[HostEntry])
            if isinstance(hosts, codec.Malformed):
                return json_response({"error": hosts.reason}, 400)
            self.set_hosts(hosts)
        return Response(200, [codec.encode(self.hosts)])

    def _weights(self, model: str) -> Response:
        """Answer once the rate limit allows the bytes of a model."""
        size = self.catalogue.bytes_by_model.get(model)
        if size is None:
            return json_response({"error": f"no weights of {model}"}, 404)
        gevent.sleep(self._weight_rate.take(size))
        return json_response({"bytes": size})
