"""HTTP/1.1 over gevent sockets with h11, for callers and for runners.

h11 keeps the protocol state and rejects ambiguous messages.  This module moves the
bytes, applies timeouts and size limits, and returns failures as values.
"""

from __future__ import annotations

import math
import time
from collections.abc import Iterator
from typing import Final

import gevent
import h11
from gevent import socket
from gevent.socket import wait_read

from godwitrudder.connection.messages import (
    HOP_BY_HOP,
    CallerRequest,
    End,
    Headers,
    Incomplete,
    Malformed,
    ResponseHead,
)
from godwitrudder.connection.traffic import Traffic
from godwitrudder.connection.writers import (
    CALLER_RECEIVE_BUFFER_BYTES,
    CALLER_SEND_BUFFER_BYTES,
    INLINE_BYTES,
    RUNNER_RECEIVE_BUFFER_BYTES,
    RUNNER_SEND_BUFFER_BYTES,
    SEND_SECONDS,
    USER_TIMEOUT_MILLIS,
    CallerWriter,
    RequestWriter,
    bound_buffers,
)
from godwitrudder.validation import Address
from godwitrudder.version.catalogue import CallerLimits

READ_BYTES: Final = 65_536
"""Bytes per read from a socket; a long prompt has 72,000 bytes."""
MAX_PIPELINED_BYTES: Final = 65_536
"""Bytes of pipelined requests that a caller may send before it has its response."""
BODY_SECONDS: Final = 10.0
"""Longest wait for the next bytes of a body; callers' deadlines are 1 to 15 s."""
RUNNER_READ_BYTES: Final = 16_384
"""Bytes per read from a runner: a read is held several times while its caller does not
take it, and the largest response has 800 B."""
MAX_UNFORWARDED_BYTES: Final = 262_144
"""Most bytes read from a runner without a forwarded event or a complete response: over
300 times the largest response (800 B).  200 runners that send endlessly take 50 MB of
a process's 200 MB."""


class CallerDisconnected(gevent.GreenletExit):  # type: ignore[misc]
    """The caller closed its connection while its request was in progress."""


def _peek(sock: socket.socket) -> bytes | None:
    """Return the next unread byte, None if there is none, empty if it has ended."""
    sock.settimeout(0.0)
    try:
        return bytes(sock.recv(1, socket.MSG_PEEK))
    except BlockingIOError:
        return None
    except OSError:
        return b""


class CallerLink:
    """One connection of a caller.

    Parameters
    ----------
    sock : socket
        Socket of the connection; the link closes it.
    limits : CallerLimits
        Limits on sizes and times of requests.
    traffic : Traffic
        Byte counters.

    Attributes
    ----------
    writer : CallerWriter
        Writes to the caller; knows how long it did not read.
    closing : bool
        Whether the connection closes after the current response.
    idle : bool
        Whether no byte of the next request has arrived.
    problem : str
        Socket error that ended the connection, empty if the caller closed it.
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
        bound_buffers(sock, CALLER_SEND_BUFFER_BYTES, CALLER_RECEIVE_BUFFER_BYTES)
        self.writer = CallerWriter(sock, traffic)
        self.closing = False
        self.idle = True
        self.problem = ""

    def receive(self) -> CallerRequest | Malformed | None:
        """Return the next request, None if the caller closed or stayed idle."""
        try:
            head = self._read_head()
            if not isinstance(head, h11.Request):
                return head
            self.idle = False
            return self._read_request(head)
        except h11.RemoteProtocolError as error:
            return Malformed(error.error_status_hint, str(error))
        except TimeoutError:
            return None if self.idle else Malformed(408, "the request took too long")
        except OSError as error:
            self.problem = f"{type(error).__name__}: {error}"
            return None

    def _read_head(self) -> h11.Request | Malformed | None:
        self.idle = not self._http.trailing_data[0]
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                seconds = self._limits.header_seconds
                if self.idle:
                    seconds = self._limits.idle_seconds
                if not self._read_more(seconds):
                    return None
                self.idle = False
            elif isinstance(event, h11.Request):
                names = {bytes(name) for name, _ in event.headers}
                if {b"content-length", b"transfer-encoding"} <= names:
                    return Malformed(400, "ambiguous body length")
                return event
            else:
                return None

    def _read_request(self, head: h11.Request) -> CallerRequest | Malformed | None:
        parts: list[bytes] = []
        size = 0
        if self._http.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                if not self._read_more(BODY_SECONDS):
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

    def _read_more(self, seconds: float) -> bool:
        self._sock.settimeout(seconds)
        data = self._sock.recv(READ_BYTES)
        self._traffic.received += len(data)
        self._http.receive_data(data)
        return bool(data)

    def wait_until_closed(self) -> None:
        """Buffer pipelined bytes until the caller closes, fails or sends too many."""
        pipelined_bytes = 0
        while pipelined_bytes < MAX_PIPELINED_BYTES:
            try:
                wait_read(self._sock.fileno())
                data = self._sock.recv(READ_BYTES)
            except OSError as error:
                self.problem = f"{type(error).__name__}: {error}"
                return
            if not data:
                return
            pipelined_bytes += len(data)
            self._traffic.received += len(data)
            self._http.receive_data(data)
        gevent.sleep(SEND_SECONDS)  # over the limit: read no more and return later

    @property
    def closed_by_caller(self) -> bool:
        """Whether the caller has closed or reset the connection."""
        return _peek(self._sock) == b""

    def send_head(self, status: int, headers: Headers, length: int | None) -> None:
        """Send status and headers; the body is chunked if ``length`` is None."""
        sent = [pair for pair in headers if pair[0] not in HOP_BY_HOP]
        if length is None:
            sent.append((b"transfer-encoding", b"chunked"))
        else:
            sent.append((b"content-length", str(length).encode()))
        if self.closing:
            sent.append((b"connection", b"close"))
        self._send(h11.Response(status_code=status, headers=sent))

    def send_chunk(self, data: bytes) -> None:
        """Send a part of the response body."""
        self._send(h11.Data(data=data))

    def end_response(self) -> None:
        """Send the end of the response."""
        self._send(h11.EndOfMessage())

    def next(self) -> bool:
        """Prepare for another request; return False if the connection must close."""
        if self._http.our_state is not h11.DONE or self.closing:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response in one write."""
        sent = [pair for pair in headers if pair[0] not in HOP_BY_HOP]
        sent.append((b"content-length", str(len(body)).encode()))
        if self.closing:
            sent.append((b"connection", b"close"))
        data = self._http.send(h11.Response(status_code=status, headers=sent)) or b""
        data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self.writer.write(data)

    def _send(self, event: h11.Event) -> None:
        data = self._http.send(event)
        if data:
            self.writer.write(data)

    def reject(self, status: int) -> None:
        """Answer a malformed request with ``status`` and close after it."""
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.closing = True
            self.answer(status, [], b"")

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()


class RunnerLink:
    """One persistent connection to a runner.

    Parameters
    ----------
    echo : bytes
        Name of the header in which a response repeats its request's id.
    traffic : Traffic
        Byte counters.

    Attributes
    ----------
    wait_until : float
        Deadline for the next bytes, on the monotonic clock, in seconds.
    idle_until : float
        Until when the connection may be reused, on the monotonic clock, in seconds.
    reusable : bool
        Whether the last response was complete and no surplus bytes followed it.
    requests : int
        Requests sent on the connection so far.
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
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLIS
        )
        bound_buffers(self._sock, RUNNER_SEND_BUFFER_BYTES, RUNNER_RECEIVE_BUFFER_BYTES)
        self._http = h11.Connection(h11.CLIENT)
        self.reusable = False
        self.requests = 0
        self.idle_until = 0.0
        self.wait_until = math.inf
        self._unforwarded_bytes = 0

    def note_progress(self) -> None:
        """Reset the count of bytes that were read without progress."""
        self._unforwarded_bytes = 0

    @property
    def nothing_pending(self) -> bool:
        """Whether an idle connection has neither unread bytes nor an end of file."""
        return _peek(self._sock) is None

    def exchange(
        self, method: bytes, path: bytes, headers: Headers, body: bytes, request: bytes
    ) -> Iterator[ResponseHead | bytes | End | Incomplete]:
        """Send a request and yield its response; skip responses to other requests.

        Parameters
        ----------
        request : bytes
            Id of the request, which the response echoes.
        """
        self.reusable = False
        self.requests += 1
        self._unforwarded_bytes = 0
        event = h11.Request(method=method, target=path, headers=headers)
        parts = [self._http.send(event) or b""]
        if body:  # passed through without a copy
            data = h11.Data(data=body)
            parts += self._http.send_with_data_passthrough(data) or []
        parts.append(self._http.send(h11.EndOfMessage()) or b"")
        size = sum(len(part) for part in parts)
        self._traffic.sent += size
        writer = RequestWriter(self._sock, lambda: self.wait_until)
        sender = gevent.spawn(writer.run, parts) if size > INLINE_BYTES else None
        try:
            if sender is None:
                self._sock.settimeout(self._seconds_left(SEND_SECONDS))
                self._sock.sendall(b"".join(parts))
            yield from self._read_response(request)
        except h11.RemoteProtocolError as error:
            yield Incomplete(f"invalid HTTP response: {error}", True)
        except TimeoutError as error:
            # The kernel's own timeout has a number, that of a read or a write has none.
            reason = "no response in time" if error.errno is None else str(error)
            yield Incomplete(writer.error or reason, True, timed_out=True)
        except OSError as error:
            reason = writer.error or f"{type(error).__name__}: {error}"
            yield Incomplete(reason, True)
        finally:
            if sender is not None:
                self.reusable = self.reusable and writer.complete
                sender.kill()
                writer.restore()

    def _seconds_left(self, most: float = math.inf) -> float:
        """Return the time until the deadline, within what sockets accept."""
        return max(0.001, min(most, self.wait_until - time.monotonic()))

    def _read_response(
        self, request: bytes
    ) -> Iterator[ResponseHead | bytes | End | Incomplete]:
        for_other = False
        while True:
            event = self._next_event()
            if isinstance(event, Incomplete):
                yield event
                return
            if isinstance(event, h11.Response):
                head = ResponseHead(
                    event.status_code,
                    [(bytes(name), bytes(value)) for name, value in event.headers],
                )
                for_other = self._is_for_other_request(head, request)
                if not for_other:
                    yield head
            elif isinstance(event, h11.Data):
                if not for_other:
                    yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                if not for_other:
                    self._update_reusable()
                    yield End()
                    return
                if not self._await_next_response():
                    yield Incomplete("closed after a response to another request", True)
                    return

    def _next_event(self) -> h11.Event | Incomplete:
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                remaining_seconds = self.wait_until - time.monotonic()
                if remaining_seconds <= 0:
                    return Incomplete("no response in time", True, timed_out=True)
                gevent.sleep(0)  # recv never blocks on a runner that sends endlessly
                self._sock.settimeout(remaining_seconds)
                data = self._sock.recv(RUNNER_READ_BYTES)
                self._traffic.received += len(data)
                self._unforwarded_bytes += len(data)
                if self._unforwarded_bytes > MAX_UNFORWARDED_BYTES:
                    return Incomplete(
                        f"{self._unforwarded_bytes} bytes without progress", True
                    )
                if not data and self._http.their_state is h11.SEND_RESPONSE:
                    return Incomplete("closed before a response", True)
                self._http.receive_data(data)
            elif isinstance(event, h11.InformationalResponse):
                continue
            elif isinstance(event, h11.Event):
                return event
            else:
                return Incomplete("the connection closed", True)

    def _is_for_other_request(self, head: ResponseHead, request: bytes) -> bool:
        echoed = head.header(self._echo)
        return bool(echoed) and echoed != request

    def _await_next_response(self) -> bool:
        """Prepare to read the next response, after one to another request."""
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

    def _update_reusable(self) -> None:
        rest, closed = self._http.trailing_data
        states = (self._http.our_state, self._http.their_state)
        if rest or closed or states != (h11.DONE, h11.DONE):
            return
        self._http.start_next_cycle()
        self.reusable = True

    def close(self) -> None:
        """Close the connection in any state."""
        self._sock.close()
