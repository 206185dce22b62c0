"""The platform: an append-only log, the host list and the weight store."""

from __future__ import annotations

import time
from collections import defaultdict

from gevent.event import Event

from godwitrudder import codec
from godwitrudder.platform.hosts import HostEntry
from godwitrudder.platform.log import LogPage, LogRecord
from godwitrudder.sections import Address
from standins.http import Request, Response, StandIn

PAGE_RECORDS = 500


class Stream:
    """One stream of the log, in memory."""

    def __init__(self) -> None:
        self.records: list[LogRecord] = []
        self.first = 0
        self._grown = Event()

    @property
    def next(self) -> int:
        """Offset of the next append."""
        return self.first + len(self.records)

    def append(self, data: bytes) -> int:
        """Append one record and wake the readers."""
        offset = self.next
        self.records.append(LogRecord(offset, time.time(), data))
        self._grown.set()
        self._grown = Event()
        return offset

    def page(self, offset: int) -> LogPage:
        """Return the records from ``offset`` on."""
        start = max(0, offset - self.first)
        records = tuple(self.records[start : start + PAGE_RECORDS])
        return LogPage(self.first, self.next, records)

    def wait(self, offset: int, seconds: float) -> None:
        """Wait until a record at ``offset`` exists."""
        if offset >= self.next and seconds > 0:
            self._grown.wait(seconds)


class Platform(StandIn):
    """Log, host list and weight store on one address."""

    def __init__(self, address: Address, hosts: list[HostEntry]) -> None:
        super().__init__(address)
        self.streams_by_name: dict[str, Stream] = defaultdict(Stream)
        self.hosts = hosts

    def answer(self, request: Request) -> Response:
        """Answer one request."""
        if request.path.startswith("/streams/"):
            return self._log(request)
        if request.path == "/hosts":
            return Response(200, [codec.encode(self.hosts)])
        return Response(404, [b""])

    def _log(self, request: Request) -> Response:
        stream = self.streams_by_name[request.path.removeprefix("/streams/")]
        if request.method == "POST":
            return Response(200, [codec.encode(stream.append(request.body))])
        offset = int(request.query.get("from", "0"))
        stream.wait(offset, float(request.query.get("wait", "0")))
        return Response(200, [codec.encode(stream.page(offset))])
