"""A platform in memory: an append-only log, the host list and the weight store.

One address serves all three.  The log keeps records for a limited time, accepts a
limited number of appends per second, and can lose the answer to an append that took
effect.  The host list can lag behind its changes by some seconds.
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
from godwitrudder.validation import Address
from standins.http import Request, Response, StandIn, json_response

MAX_PAGE_RECORDS: Final = 500
RETENTION_SECONDS: Final = 86400.0
# Rate limit over all streams.
APPENDS_PER_SECOND: Final = 400.0
WEIGHT_BYTES_PER_SECOND: Final = 200e6
# Delay of the status 503 that replaces a lost answer; also the longest wait of a read.
ANSWER_LOST_SECONDS: Final = 10.0


class LogStream:
    """One stream of the log, in memory.

    Parameters
    ----------
    clock : callable
        Returns the time of the log's clock, in seconds since the epoch.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.records: deque[LogRecord] = deque()
        self.next = 0
        self._appended = Event()

    @property
    def first(self) -> int:
        """Offset of the oldest retained record."""
        return self.next - len(self.records)

    def append(self, data: bytes) -> int:
        """Append one record, wake the readers and return the offset."""
        offset = self.next
        self.records.append(LogRecord(offset, self._clock(), data))
        self.next += 1
        self._appended.set()
        self._appended = Event()
        return offset

    def drop_older_than(self, before: float) -> None:
        """Drop the records from before the time ``before``, in seconds of the clock."""
        while self.records and self.records[0].time < before:
            self.records.popleft()

    def read_page(self, offset: int) -> LogPage:
        """Return up to ``MAX_PAGE_RECORDS`` records from ``offset`` on."""
        start = max(0, offset - self.first)
        stop = min(len(self.records), start + MAX_PAGE_RECORDS)
        records = tuple(self.records[index] for index in range(start, stop))
        return LogPage(self.first, self.next, records)

    def wait_for_offset(self, offset: int, seconds: float) -> None:
        """Wait for a record at ``offset``, at most ``seconds``."""
        if offset >= self.next and seconds > 0:
            self._appended.wait(seconds)


class TokenBucket:
    """A token bucket rate limiter that holds at most the amount of one second.

    Parameters
    ----------
    per_second : float
        Rate limit, in the unit of the amounts: appends or bytes.
    """

    def __init__(self, per_second: float) -> None:
        self._per_second = per_second
        self._available = per_second
        self._refilled_at = time.monotonic()

    def reserve(self, amount: float) -> float:
        """Reserve ``amount``; return the seconds until it is available."""
        now = time.monotonic()
        self._available += (now - self._refilled_at) * self._per_second
        self._available = min(self._available, self._per_second) - amount
        self._refilled_at = now
        return max(0.0, -self._available / self._per_second)


class Platform(StandIn):
    """Log, host list and weight store on one address.

    Parameters
    ----------
    hosts : list of HostEntry
        The hosts at the start; ``set_hosts`` changes them.
    retention_seconds : float
        Age at which the log drops a record.

    Attributes
    ----------
    appends : int
        Number of append calls that took effect.
    """

    def __init__(
        self,
        address: Address,
        hosts: list[HostEntry],
        seed: int = 0,
        retention_seconds: float = RETENTION_SECONDS,
    ) -> None:
        super().__init__(address, seed)
        self.streams_by_name: dict[str, LogStream] = defaultdict(
            lambda: LogStream(time.time)
        )
        self.retention_seconds = retention_seconds
        self.appends = 0
        self._append_limit = TokenBucket(APPENDS_PER_SECOND)
        self.catalogue = WeightCatalogue(
            bytes_per_second=WEIGHT_BYTES_PER_SECOND, bytes_by_model={}
        )
        self._weight_limit = TokenBucket(WEIGHT_BYTES_PER_SECOND)
        self._host_list_versions: deque[tuple[float, list[HostEntry]]] = deque(
            [(0.0, hosts)]
        )

    @property
    def hosts(self) -> list[HostEntry]:
        """The host list as it was ``lag_seconds`` ago."""
        visible_until = time.monotonic() - self.faults.switches.lag_seconds
        while (
            len(self._host_list_versions) > 1
            and self._host_list_versions[1][0] <= visible_until
        ):
            self._host_list_versions.popleft()
        return self._host_list_versions[0][1]

    def set_hosts(self, hosts: list[HostEntry]) -> None:
        """Replace the host list; readers see the change after ``lag_seconds``."""
        self._host_list_versions.append((time.monotonic(), hosts))

    def answer(self, request: Request) -> Response:
        """Answer one request."""
        if request.path in (names.APPEND, names.READ):
            return self._answer_log(request)
        if request.path == "/hosts":
            return self._answer_hosts(request)
        if request.path == "/weights":
            return Response(200, [codec.encode(self.catalogue)])
        if request.path.startswith("/weights/"):
            return self._answer_weights(request.path.removeprefix("/weights/"))
        return json_response({"error": f"nothing at {request.path}"}, 404)

    def _answer_log(self, request: Request) -> Response:
        stream = self.streams_by_name[request.query.get("topic", "")]
        stream.drop_older_than(time.time() - self.retention_seconds)
        if request.path == names.APPEND:
            return self._append(stream, request.body)
        try:
            offset = int(request.query.get("from", "0"))
            seconds = float(request.query.get("wait_ms", "0")) / 1000
        except ValueError as error:
            return json_response({"error": f"from and wait_ms: {error}"}, 400)
        stream.wait_for_offset(offset, min(seconds, ANSWER_LOST_SECONDS))
        if offset < stream.first:
            return json_response({"first": stream.first}, 410)
        page = stream.read_page(offset)
        data = PAGE_HEADER.pack(page.next, page.first)
        for record in page.records:
            raw = TIME.pack(record.time) + record.data
            data += LENGTH.pack(len(raw)) + raw
        return Response(200, [data], "application/octet-stream")

    def _append(self, stream: LogStream, body: bytes) -> Response:
        gevent.sleep(self._append_limit.reserve(1.0))
        offset = stream.next
        position = 0
        while position < len(body):
            (length,) = LENGTH.unpack_from(body, position)
            start = position + LENGTH.size
            position = start + length
            stream.append(body[start + TIME.size : position])
        self.appends += 1
        if self.faults.should_fail(self.faults.switches.lost_answers):
            gevent.sleep(ANSWER_LOST_SECONDS)
            return json_response({"error": "answer lost"}, 503)
        return json_response({"offset": offset, "end": stream.next})

    def _answer_hosts(self, request: Request) -> Response:
        if request.method == "PUT":
            hosts = codec.decode(request.body, list[HostEntry])
            if isinstance(hosts, codec.Malformed):
                return json_response({"error": hosts.reason}, 400)
            self.set_hosts(hosts)
        return Response(200, [codec.encode(self.hosts)])

    def _answer_weights(self, model: str) -> Response:
        """Answer when the rate limit allows the size of the model."""
        size = self.catalogue.bytes_by_model.get(model)
        if size is None:
            return json_response({"error": f"no weights of {model}"}, 404)
        gevent.sleep(self._weight_limit.reserve(size))
        return json_response({"bytes": size})
