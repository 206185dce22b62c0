"""A runner of the users' platform whose answers are scripted byte by byte."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

import gevent
from gevent import Greenlet, socket
from gevent.server import StreamServer


@dataclass(frozen=True)
class ReceivedRequest:
    """A request as the runner received it."""

    request_line: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True)
class Crash:
    """The runner's process ends; a new one listens at its address after a while."""

    down_seconds: float


@dataclass(frozen=True)
class Close:
    """The runner closes the connection in an orderly way."""


@dataclass(frozen=True)
class Impatient:
    """Bytes to send; the connection is reset if they stay unread for too long."""

    data: bytes
    seconds: float


Step = bytes | float | Crash | Close | Impatient | None
Script = Callable[[ReceivedRequest, int], list[Step]]


class PlatformRunner:
    """Executes a script for each request.

    A step is bytes to send, for some seconds at most if ``Impatient``, seconds to
    wait, None to reset the connection, ``Close`` to close it, or a crash of the whole
    runner.

    Parameters
    ----------
    script : callable
        Returns the steps for a request, given the number of earlier requests.
    ip : str
        Address to listen at.  With 127.0.0.1 the port of a crashed runner may become
        that of somebody's outgoing connection before the runner is back.

    Attributes
    ----------
    received_requests : list of ReceivedRequest
        All requests received, in order.
    caller_disconnects : int
        Number of connections that the caller closed or reset during a script, or
        reset between two requests.
    cut_off : int
        Number of answers that were cut off as they stayed unread.
    crashes : int
        Number of crashes so far.
    """

    def __init__(self, script: Script, ip: str = "127.0.0.1") -> None:
        self.script = script
        self._ip = ip
        self.received_requests: list[ReceivedRequest] = []
        self.caller_disconnects = 0
        self.crashes = 0
        self.cut_off = 0
        self._open_sockets: set[socket.socket] = set()
        self._restart: Greenlet | None = None
        self._server = StreamServer((ip, 0), self._serve)

    def __enter__(self) -> PlatformRunner:
        """Start listening."""
        self._server.start()
        return self

    def __exit__(self, *error: object) -> None:
        """Stop listening and close all connections."""
        if self._restart is not None:
            self._restart.kill()
        self._server.stop(timeout=0)

    @property
    def address(self) -> str:
        """Address that the runner listens on, as ``ip:port``."""
        return f"{self._ip}:{self._server.server_port}"

    def crash(self, down_seconds: float) -> None:
        """Close all connections and the port; listen again after a while."""
        if not self._server.started:
            return
        self.crashes += 1
        address = (self._ip, self._server.server_port)
        self._server.stop(timeout=0)
        for sock in list(self._open_sockets):
            # Ends the connection also while another greenlet reads from the socket.
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self._server = StreamServer(address, self._serve)
        self._restart = gevent.spawn_later(down_seconds, self._server.start)

    def _serve(self, sock: socket.socket, _address: object) -> None:
        self._open_sockets.add(sock)
        try:
            self._serve_requests(sock)
        finally:
            self._open_sockets.discard(sock)

    def _serve_requests(self, sock: socket.socket) -> None:
        stream = sock.makefile("rb")
        while True:
            try:
                line = stream.readline().decode().strip()
                if not line:
                    return
                request = ReceivedRequest(line, *_read_headers_and_body(stream))
            except OSError:
                self.caller_disconnects += 1
                return
            self.received_requests.append(request)
            for step in self.script(request, len(self.received_requests) - 1):
                if isinstance(step, Impatient):
                    step = self._send_impatiently(sock, step)
                if step is None:
                    sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
                    )
                    sock.close()
                    return
                if isinstance(step, Close):
                    sock.shutdown(socket.SHUT_RDWR)
                    return
                if isinstance(step, Crash):
                    self.crash(step.down_seconds)
                    return
                if isinstance(step, bytes):
                    try:
                        sock.sendall(step)
                    except OSError:
                        self.caller_disconnects += 1
                        return
                elif self._caller_closed(sock, step):
                    self.caller_disconnects += 1
                    return

    def _send_impatiently(self, sock: socket.socket, step: Impatient) -> bytes | None:
        """Return what is left to send, or None if it was not read in time."""
        sock.settimeout(step.seconds)
        try:
            sock.sendall(step.data)
        except TimeoutError:
            self.cut_off += 1
            return None
        finally:
            sock.settimeout(None)
        return b""

    def _caller_closed(self, sock: socket.socket, seconds: float) -> bool:
        """Wait; return whether the caller closed the connection meanwhile."""
        sock.settimeout(seconds)
        try:
            return not sock.recv(1, socket.MSG_PEEK)
        except TimeoutError:
            return False
        except OSError:
            return True
        finally:
            sock.settimeout(None)
            gevent.sleep(0)


def _read_headers_and_body(stream: object) -> tuple[dict[str, str], bytes]:
    headers: dict[str, str] = {}
    while True:
        line = stream.readline().decode().strip()  # type: ignore[attr-defined]
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    return headers, stream.read(length)  # type: ignore[attr-defined]


def build_response(
    request: ReceivedRequest,
    status: str,
    body: bytes,
    *extra_headers: str,
    signed: bool = True,
) -> bytes:
    """Return a complete response that echoes the request id.

    Parameters
    ----------
    status : str
        Status code and reason phrase.
    extra_headers : str
        Further header lines.
    signed : bool
        Whether the response has a signature header.
    """
    lines = [
        f"HTTP/1.1 {status}",
        f"X-Godwitrudder-Request-Id: {request.headers['x-godwitrudder-request-id']}",
        f"Content-Length: {len(body)}",
        *extra_headers,
    ]
    if signed:
        lines.append("X-Godwitrudder-Response-Signature: proof")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def stream_head(request: ReceivedRequest) -> bytes:
    """Return the head of a streamed response with chunked transfer coding."""
    request_id = request.headers["x-godwitrudder-request-id"]
    return (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"X-Godwitrudder-Request-Id: {request_id}\r\n"
        "X-Godwitrudder-Response-Signature: proof\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()


def encode_chunk(data: bytes) -> bytes:
    """Return data as one chunk of the chunked transfer coding."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def build_event(number: int) -> bytes:
    """Return one server-sent event with this id."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()
