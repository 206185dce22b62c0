"""The callers' port: a WSGI server with bounds on time, size and number.

The server of gevent has no timeouts and prints a request's headers when an
application fails.  This one bounds idle and slow callers, the headers and the
number of connections, and never writes what a caller sent into a log.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from types import TracebackType
from typing import Any, Final, Self

import gevent
import msgspec
from gevent import socket
from gevent.pywsgi import Input, WSGIHandler, WSGIServer

from godwitrudder.connection.headers import (
    MAX_HEADER_BYTES,
    HeadersTooLarge,
    RequestHeaders,
)
from godwitrudder.connection.shape import STATUS_BY_REASON, error_body
from godwitrudder.request.outcome import Reason, Refused, refuse
from godwitrudder.sections import Address

IDLE_SECONDS: Final = 75.0
HEADER_SECONDS: Final = 10.0
SEND_SECONDS: Final = 30.0
DISCARD_SECONDS: Final = 1.0
MAX_CONNECTIONS: Final = 2000
SOCKET_KEY: Final = "godwitrudder.socket"
READABLE: Final = 1

logger = logging.getLogger(__name__)


class BoundedInput(Input):  # type: ignore[misc]
    """A body whose unread rest is skipped within a time, or given up."""

    given_up = False

    def _discard(self) -> None:
        self.given_up = True
        with gevent.Timeout(DISCARD_SECONDS, False):
            super()._discard()
            self.given_up = False


class CallerHandler(WSGIHandler):  # type: ignore[misc]
    """One connection of a caller."""

    wsgi_input: Any

    def handle(self) -> None:
        """Serve the connection, or turn it away when there are too many."""
        server: CallerServer = self.server
        server.connections += 1
        try:
            self.socket.settimeout(IDLE_SECONDS)
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if server.connections > MAX_CONNECTIONS:
                self._refuse(refuse(Reason.TOO_MANY_CONNECTIONS, 1.0))
            super().handle()
        finally:
            server.connections -= 1

    def MessageClass(self, source: Any, *rest: Any) -> RequestHeaders:  # noqa: N802
        """Parse the headers within their bounds."""
        return RequestHeaders(source)

    def read_request(self, line: str) -> bool:
        """Parse a request; all of its headers have to come in time."""
        with gevent.Timeout(HEADER_SECONDS, TimeoutError()):
            return bool(super().read_request(line))

    def get_environ(self) -> dict[str, Any]:
        """Return the environment, with the socket for who watches it."""
        self.socket.settimeout(SEND_SECONDS)
        environ: dict[str, Any] = super().get_environ()
        given = self.wsgi_input
        self.wsgi_input = BoundedInput(
            self.rfile, self.content_length, given.socket, given.chunked_input
        )
        environ["wsgi.input"] = self.wsgi_input
        environ[SOCKET_KEY] = self.socket
        return environ

    def handle_one_request(self) -> Any:
        """Serve one request; the next one may take its time."""
        result = super().handle_one_request()
        if self.socket is not None:
            self.socket.settimeout(IDLE_SECONDS)
        if self.server.closing() or getattr(self.wsgi_input, "given_up", False):
            return None
        return result

    def handle_error(self, kind: Any, error: Any, trace: Any) -> None:
        """Count and name an error; a slow caller is not worth a line."""
        if isinstance(error, OSError):
            self.close_connection = True
            return
        logger.error("request failed: %s", kind.__name__, exc_info=(kind, error, trace))
        self._send_error_response_if_possible(500)
        self.close_connection = True

    def _handle_client_error(self, error: Exception) -> tuple[str, bytes]:
        if isinstance(error, HeadersTooLarge):
            refused = refuse(Reason.HEADERS_TOO_LARGE, limit=MAX_HEADER_BYTES)
        elif isinstance(error, TimeoutError):
            refused = refuse(Reason.TOO_SLOW, 1.0, seconds=HEADER_SECONDS)
        else:
            refused = refuse(Reason.BAD_REQUEST, problem="this is not HTTP/1.1")
        return str(STATUS_BY_REASON[refused.reason]), _raw(refused)

    def _refuse(self, refused: Refused) -> None:
        self.socket.sendall(_raw(refused))
        self.socket.close()
        self.rfile.close()


class CallerServer(WSGIServer):  # type: ignore[misc]
    """The server of the callers' port.

    Parameters
    ----------
    address : Address
        Where it listens.
    application : callable
        Answers the requests.
    closing : callable
        True once connections should not be kept for a next request.
    """

    def __init__(
        self, address: Address, application: Any, closing: Callable[[], bool]
    ) -> None:
        super().__init__(
            (address.ip, address.port),
            application,
            log=None,
            error_log=None,
            handler_class=CallerHandler,
            environ={"SERVER_NAME": address.ip},
            backlog=1024,
        )
        self.closing = closing
        self.connections = 0


class HangUp:
    """Tells when a caller closes its connection, as a context manager.

    Parameters
    ----------
    sock : socket
        The caller's connection; watched, never read from.
    tell : callable
        Called once, in the hub, so it must not block.
    """

    def __init__(self, sock: Any, tell: Callable[[], None]) -> None:
        self._sock = sock
        self._tell = tell
        self._watcher: Any = None

    def __enter__(self) -> Self:
        """Start to watch."""
        loop = gevent.get_hub().loop
        self._watcher = loop.io(self._sock.fileno(), READABLE)
        self._watcher.start(self._look)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop."""
        self.close()

    def close(self) -> None:
        """Stop; a second call does nothing."""
        watcher, self._watcher = self._watcher, None
        if watcher is not None:
            watcher.stop()
            watcher.close()

    def _look(self) -> None:
        """End the watch at whatever came: a next request, or the end."""
        try:
            came = self._sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError:
            came = b""
        self.close()
        if not came:
            self._tell()


def _raw(refused: Refused) -> bytes:
    """Return a whole HTTP response for an error before there is a request."""
    body = msgspec.json.encode(error_body(refused))
    status = STATUS_BY_REASON[refused.reason]
    head = (
        f"HTTP/1.1 {status} Refused\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body
