"""Writes to callers and runners that may not read, within bounds of memory and time.

A blocked write to a caller stops the reads from its runner, as both happen in one
greenlet.  What the kernel holds for a connection is bounded by its socket's buffers,
which the kernel would otherwise let grow to several MB.
"""

from __future__ import annotations

import fcntl
import struct
import termios
import time
from collections.abc import Callable, Sequence
from typing import Final

import gevent
from gevent import socket
from gevent.socket import wait_write

from godwitrudder.connection.traffic import Traffic

SEND_SECONDS: Final = 15.0
"""Time after which the connection of a caller that takes nothing is closed."""
MIN_TAKEN_BYTES_PER_SECOND: Final = 4096.0
"""Slowest caller whose connection is kept: the largest answer, 256 KiB, may take
64 s beyond the time above."""
BLOCKED_SECONDS: Final = 0.05
"""Duration from which a write counts as blocked: above what other greenlets take."""
CALLER_SEND_BUFFER_BYTES: Final = 65_536
"""Send buffer of a caller's connection; the kernel uses twice as much.  A stream of 55
events has 11 KB."""
CALLER_RECEIVE_BUFFER_BYTES: Final = 131_072
"""Receive buffer of a caller's connection: above a long prompt of 72,000 bytes."""
RUNNER_SEND_BUFFER_BYTES: Final = 131_072
"""Send buffer of a runner's connection: above a long prompt, which it takes whole."""
RUNNER_RECEIVE_BUFFER_BYTES: Final = 65_536
"""Receive buffer of a runner's connection; what exceeds it waits at the runner."""
USER_TIMEOUT_MILLIS: Final = 1500
"""A runner that acknowledges no sent data for this long counts as unreachable."""
INLINE_BYTES: Final = 16_384
"""Largest request that is written before its answer is read: a runner's kernel takes
it even if the runner reads nothing."""
CHECK_SECONDS: Final = 0.5
"""Interval of checks whether a runner leaves a request unread."""
_UNACKNOWLEDGED_OFFSET: Final = 24
"""Place of the number of unacknowledged segments in Linux' ``struct tcp_info``."""


class CallerNotReading(TimeoutError):
    """A caller has taken nothing, or too little, for too long."""


def bound_buffers(sock: socket.socket, send_bytes: int, receive_bytes: int) -> None:
    """Bound what the kernel holds for a connection in each direction."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_bytes)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)


class CallerWriter:
    """Writes to one caller and measures how long that blocks.

    Attributes
    ----------
    blocked_seconds : float
        Seconds that writes have taken so far.
    blocked_at : float
        Monotonic seconds at which the last blocked write ended.
    """

    def __init__(self, sock: socket.socket, traffic: Traffic) -> None:
        self._sock = sock
        self._traffic = traffic
        self.blocked_seconds = 0.0
        self.blocked_at = 0.0

    def write(self, data: bytes) -> None:
        """Write all bytes; raise ``CallerNotReading`` if the caller does not read."""
        began = time.monotonic()
        ends_at = began + SEND_SECONDS + len(data) / MIN_TAKEN_BYTES_PER_SECOND
        rest = memoryview(data)
        try:
            while rest:
                left = ends_at - time.monotonic()
                self._sock.settimeout(max(0.001, min(SEND_SECONDS, left)))
                sent = self._sock.send(rest)
                self._traffic.sent += sent
                rest = rest[sent:]
        except TimeoutError as error:
            raise CallerNotReading(f"{len(rest)} bytes were not taken") from error
        finally:
            now = time.monotonic()
            self.blocked_seconds += now - began
            if now - began >= BLOCKED_SECONDS:
                self.blocked_at = now


class RequestWriter:
    """Writes a request to a runner while the answer is read.

    The kernel gives up a connection whose peer leaves its window shut for the user
    timeout, although the peer is alive.  Such a runner gets until the deadline.

    Parameters
    ----------
    deadline : callable
        Returns the monotonic time until which the runner may take the request.

    Attributes
    ----------
    complete : bool
        Whether the kernel has taken the whole request.
    error : str
        Why the request could not be written; empty if it could.
    """

    def __init__(self, sock: socket.socket, deadline: Callable[[], float]) -> None:
        self._sock = sock
        self._deadline = deadline
        self._is_patient = False
        self.complete = False
        self.error = ""

    def run(self, parts: Sequence[bytes]) -> None:
        """Write all parts; close the connection if that fails."""
        try:
            for part in parts:
                self._write(part)
            self.complete = True
            while self._queued_bytes() and not self._is_patient:
                self._check_reader()
                gevent.sleep(CHECK_SECONDS)
        except OSError as error:
            self.error = f"sending: {type(error).__name__}: {error}"
            self._sock.close()

    def restore(self) -> None:
        """Restore the user timeout for the next request on the connection."""
        if self._is_patient and self._sock.fileno() >= 0:
            self._set_user_timeout(USER_TIMEOUT_MILLIS)

    def _write(self, part: bytes) -> None:
        rest = memoryview(part)
        while rest:
            try:
                rest = rest[self._sock.send(rest, 0, 0.0) :]
            except BlockingIOError:
                self._await_room()

    def _await_room(self) -> None:
        try:
            wait_write(self._sock.fileno(), timeout=CHECK_SECONDS)
        except TimeoutError:
            self._check_reader()

    def _check_reader(self) -> None:
        """Wait longer if the runner has acknowledged all that was sent: it is alive."""
        info = self._sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _UNACKNOWLEDGED_OFFSET + 4
        )
        (unacknowledged,) = struct.unpack_from("I", info, _UNACKNOWLEDGED_OFFSET)
        if not unacknowledged and not self._is_patient:
            self._is_patient = True
            left = max(0.0, self._deadline() - time.monotonic())
            self._set_user_timeout(USER_TIMEOUT_MILLIS + int(1000 * min(left, 3600.0)))

    def _queued_bytes(self) -> int:
        answer = fcntl.ioctl(self._sock.fileno(), termios.TIOCOUTQ, b"\0" * 4)
        return int(struct.unpack("i", answer)[0])

    def _set_user_timeout(self, millis: int) -> None:
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, millis)
