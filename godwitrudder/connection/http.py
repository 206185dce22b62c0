"""HTTP/1.1 on gevent sockets, by h11: callers on one side, runners on the other.

h11 holds the protocol's state and refuses what can be read in two ways; this
module moves bytes, bounds time, and turns what goes wrong into values.
"""

from __future__ import annotations

import math
import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

import gevent
import h11
from gevent import socket
from gevent.socket import wait_read

from godwitrudder.connection.traffic import Traffic
from godwitrudder.sections import Address
from godwitrudder.version.catalogue import CallerLimits

READ_BYTES: Final = 65_536
"""Read at once: a long prompt of the users' sheets is 72,000 bytes."""
AHEAD_BYTES: Final = 65_536
"""Bytes of later requests that a caller may send ahead of an answer."""
BODY_SECONDS: Final = 10.0
"""Longest time for a body; the callers' own deadlines are 1 to 15 s."""
SEND_SECONDS: Final = 15.0
"""Longest time that a caller may leave an answer unread."""
UNPASSED_BYTES_MOST: Final = 262_144
"""What is taken from a runner without an event or an answer that is passed on: over 300
times the largest answer of the users' sheets (800 B); 200 runners that send without end
take 50 MB of a process's 200."""
UNACKNOWLEDGED_MILLIS: Final = 1500
"""A peer that acknowledges nothing for so long is cut off or gone."""
HOP_BY_HOP: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)

Headers = list[tuple[bytes, bytes]]


def first(headers: Headers, name: bytes) -> bytes:
    """Return the first value of a header, empty where there is none."""
    for key, value in headers:
        if key == name:
            return value
    return b""


class CallerDisconnected(gevent.GreenletExit):  # type: ignore[misc]
    """The caller closed its connection while its request was under way."""


@dataclass(slots=True)
class CallerRequest:
    """A whole request as it was read.

    Attributes
    ----------
    headers : list of (name, value)
        Names in lower case.
    read_at : float
        Reading of the caller's clock when its first byte came.
    """

    method: bytes
    path: bytes
    headers: Headers
    body: bytes
    chunked: bool

    def header(self, name: bytes) -> bytes:
        """Return a header's value, empty where there is none."""
        return first(self.headers, name)


@dataclass(frozen=True, slots=True)
class Malformed:
    """What a caller sent is no request.

    Attributes
    ----------
    status : int
        The answer that it gets.
    """

    status: int
    reason: str


class CallerLink:
    """One connection of a caller.

    Parameters
    ----------
    sock : socket
        Owned by the link.
    limits : CallerLimits
        What the caller may send, and how slowly.
    traffic : Traffic
        Counts the bytes.

    Attributes
    ----------
    closing : bool
        Whether the connection ends with the answer under way.
    idle : bool
        Whether no byte of a next request has come.
    problem : str
        What broke the connection, empty where it was closed in order.
    """

    def __init__(
        self, sock: socket.socket, limits: CallerLimits, traffic: Traffic
    ) -> None:
        self._sock = sock
        self._limits = limits
        self._traffic = traffic
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.closing = False
        self.idle = True
        self.problem = ""

    def receive(self) -> CallerRequest | Malformed | None:
        """Return the next request, None where the caller has closed or is idle."""
        try:
            head = self._head()
            if not isinstance(head, h11.Request):
                return head
            self.idle = False
            return self._whole(head)
        except h11.RemoteProtocolError as error:
            return Malformed(error.error_status_hint, str(error))
        except TimeoutError:
            return None if self.idle else Malformed(408, "the request came too slowly")
        except OSError as error:
            self.problem = f"{type(error).__name__}: {error}"
            return None

    def _head(self) -> h11.Request | Malformed | None:
        self.idle = not self._http.trailing_data[0]
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                seconds = self._limits.header_seconds
                if self.idle:
                    seconds = self._limits.idle_seconds
                if not self._more(seconds):
                    return None
                self.idle = False
            elif isinstance(event, h11.Request):
                names = {bytes(name) for name, _ in event.headers}
                if {b"content-length", b"transfer-encoding"} <= names:
                    return Malformed(400, "the body has two lengths")
                return event
            else:
                return None

    def _whole(self, head: h11.Request) -> CallerRequest | Malformed | None:
        parts: list[bytes] = []
        size = 0
        if self._http.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                if not self._more(BODY_SECONDS):
                    return None
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > self._limits.body_bytes:
                    return Malformed(413, "the body is too large")
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return None
        headers = [(bytes(name), bytes(value)) for name, value in head.headers]
        chunked = any(name == b"transfer-encoding" for name, _ in headers)
        return CallerRequest(
            bytes(head.method), bytes(head.target), headers, b"".join(parts), chunked
        )

    def _more(self, seconds: float) -> bool:
        self._sock.settimeout(seconds)
        data = self._sock.recv(READ_BYTES)
        self._traffic.received += len(data)
        self._http.receive_data(data)
        return bool(data)

    def wait_until_closed(self) -> None:
        """Wait until the caller closes; what it sends ahead is kept."""
        ahead = 0
        while ahead < AHEAD_BYTES:
            try:
                wait_read(self._sock.fileno())
                data = self._sock.recv(READ_BYTES)
            except OSError as error:
                self.problem = f"{type(error).__name__}: {error}"
                return
            if not data:
                return
            ahead += len(data)
            self._traffic.received += len(data)
            self._http.receive_data(data)
        gevent.sleep(SEND_SECONDS)

    def send_head(self, status: int, headers: Headers, length: int | None) -> None:
        """Send a status and headers; without a length the body is chunked."""
        sent = [pair for pair in headers if pair[0] not in HOP_BY_HOP]
        if length is None:
            sent.append((b"transfer-encoding", b"chunked"))
        else:
            sent.append((b"content-length", str(length).encode()))
        if self.closing:
            sent.append((b"connection", b"close"))
        self._send(h11.Response(status_code=status, headers=sent))

    def send_chunk(self, data: bytes) -> None:
        """Send a part of the body."""
        self._send(h11.Data(data=data))

    def end_response(self) -> None:
        """End the answer."""
        self._send(h11.EndOfMessage())

    def next(self) -> bool:
        """Make ready for another request; False where the connection is over."""
        if self._http.our_state is not h11.DONE or self.closing:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer in one piece."""
        sent = [pair for pair in headers if pair[0] not in HOP_BY_HOP]
        sent.append((b"content-length", str(len(body)).encode()))
        if self.closing:
            sent.append((b"connection", b"close"))
        data = self._http.send(h11.Response(status_code=status, headers=sent)) or b""
        data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self._write(data)

    def _send(self, event: h11.Event) -> None:
        data = self._http.send(event)
        if data:
            self._write(data)

    def _write(self, data: bytes) -> None:
        self._traffic.sent += len(data)
        self._sock.settimeout(SEND_SECONDS)
        self._sock.sendall(data)

    def reject(self, status: int) -> None:
        """Answer what is no request, and close."""
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.closing = True
            self.answer(status, [], b"")

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a runner's answer."""

    status: int
    headers: Headers

    def header(self, name: bytes) -> bytes:
        """Return a header's value, empty where there is none."""
        return first(self.headers, name)


@dataclass(frozen=True, slots=True)
class End:
    """A runner's answer is whole."""


@dataclass(frozen=True, slots=True)
class Broken:
    """A runner's answer did not come, or not whole.

    Attributes
    ----------
    sent : bool
        Whether a byte of the request may have reached the runner.
    """

    reason: str
    sent: bool


class RunnerLink:
    """One kept connection to a runner.

    Parameters
    ----------
    echo : bytes
        Header by which an answer names its request.
    traffic : Traffic
        Counts the bytes.

    Attributes
    ----------
    wait_until : float
        Monotonic seconds until which the next bytes are waited for.
    idle_until : float
        Monotonic seconds until which it may be used again.
    reusable : bool
        Whether its last answer was whole and nothing else came.
    """

    def __init__(
        self, address: Address, connect_seconds: float, echo: bytes, traffic: Traffic
    ) -> None:
        self._echo = echo
        self._traffic = traffic
        self._sock = socket.create_connection(
            (address.ip, address.port), connect_seconds
        )
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLIS
        )
        self._http = h11.Connection(h11.CLIENT)
        self.reusable = False
        self.idle_until = 0.0
        self.wait_until = math.inf
        self._write_problem = ""
        self._unpassed = 0

    def note_progress(self) -> None:
        """Note that something of use came of what was read."""
        self._unpassed = 0

    @property
    def quiet(self) -> bool:
        """Whether nothing came on an idle connection, its end included."""
        self._sock.settimeout(0.0)
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def exchange(
        self, method: bytes, path: bytes, headers: Headers, body: bytes, request: bytes
    ) -> Iterator[ResponseHead | bytes | End | Broken]:
        """Send a request and yield its answer; answers to others are skipped.

        Parameters
        ----------
        request : bytes
            Id that the answer echoes.
        """
        self.reusable = False
        self._unpassed = 0
        event = h11.Request(method=method, target=path, headers=headers)
        data = self._http.send(event) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self._traffic.sent += len(data)
        sender = gevent.spawn(self._write, data) if len(data) > READ_BYTES else None
        try:
            if sender is None:
                self._sock.settimeout(SEND_SECONDS)
                self._sock.sendall(data)
            yield from self._answer(request)
        except h11.RemoteProtocolError as error:
            yield Broken(f"not an answer: {error}", True)
        except OSError as error:
            yield Broken(
                self._write_problem or f"{type(error).__name__}: {error}", True
            )
        finally:
            if sender is not None and not sender.ready():
                self.reusable = False
                sender.kill()

    def _write(self, data: bytes) -> None:
        try:
            self._sock.sendall(data)
        except OSError as error:
            self._write_problem = f"sending: {type(error).__name__}: {error}"
            self._sock.close()

    def _answer(self, request: bytes) -> Iterator[ResponseHead | bytes | End | Broken]:
        foreign = False
        while True:
            event = self._event()
            if isinstance(event, Broken):
                yield event
                return
            if isinstance(event, h11.Response):
                head = ResponseHead(
                    event.status_code,
                    [(bytes(name), bytes(value)) for name, value in event.headers],
                )
                foreign = self._foreign(head, request)
                if not foreign:
                    yield head
            elif isinstance(event, h11.Data):
                if not foreign:
                    yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                if not foreign:
                    self._ended()
                    yield End()
                    return
                if not self._again():
                    yield Broken("the connection ended after another's answer", True)
                    return

    def _event(self) -> h11.Event | Broken:
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                left = self.wait_until - time.monotonic()
                if left <= 0:
                    return Broken("no answer in time", True)
                gevent.sleep(0)  # bytes without end are always there
                self._sock.settimeout(left)
                data = self._sock.recv(READ_BYTES)
                self._traffic.received += len(data)
                self._unpassed += len(data)
                if self._unpassed > UNPASSED_BYTES_MOST:
                    return Broken(f"{self._unpassed} bytes without an answer", True)
                if not data and self._http.their_state is h11.SEND_RESPONSE:
                    return Broken("closed without an answer", True)
                self._http.receive_data(data)
            elif isinstance(event, h11.InformationalResponse):
                continue
            elif isinstance(event, h11.Event):
                return event
            else:
                return Broken("the connection ended", True)

    def _foreign(self, head: ResponseHead, request: bytes) -> bool:
        echoed = head.header(self._echo)
        return bool(echoed) and echoed != request

    def _again(self) -> bool:
        """Start over on the same connection, after another's answer."""
        rest, closed = self._http.trailing_data
        if closed or self._http.their_state is not h11.DONE:
            return False
        self._http = h11.Connection(h11.CLIENT)
        self._http.send(
            h11.Request(method=b"GET", target=b"/", headers=[(b"host", b"-")])
        )
        self._http.send(h11.EndOfMessage())
        if rest:
            self._http.receive_data(rest)
        return True

    def _ended(self) -> None:
        rest, closed = self._http.trailing_data
        states = (self._http.our_state, self._http.their_state)
        if rest or closed or states != (h11.DONE, h11.DONE):
            return
        self._http.start_next_cycle()
        self.reusable = True

    def close(self) -> None:
        """Close the connection, whatever it is doing."""
        self._sock.close()
