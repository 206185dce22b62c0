"""The callers' port: a WSGI server with limits on time, size and connections.

gevent's own server has no timeouts and logs a request's headers when the application
fails.  This one limits idle time, slow callers, header size and the number of
connections.  It never logs what a caller sent.
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
from godwitrudder.connection.shape import OPENAI_STATUS_BY_REASON, error_body
from godwitrudder.request.outcome import Reason, Refused, refuse
from godwitrudder.validation import Address

# Longest time without a request on an open connection.
IDLE_SECONDS: Final = 75.0
# Longest time for all headers of a request.
HEADER_SECONDS: Final = 10.0
# Longest time that a read or write blocks while a request is served.
SEND_SECONDS: Final = 30.0
# Longest time to discard the unread rest of a body.
DISCARD_SECONDS: Final = 1.0
MAX_CONNECTIONS: Final = 2000
SOCKET_KEY: Final = "godwitrudder.socket"
# Event mask of gevent's event loop for a readable descriptor.
READABLE: Final = 1

logger = logging.getLogger(__name__)


class BoundedInput(Input):  # type: ignore[misc]
    """A request body whose unread rest is discarded within ``DISCARD_SECONDS``.

    Attributes
    ----------
    given_up : bool
        Whether the rest was not discarded in time, so the connection must close.
    """

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
        """Serve the connection, or refuse it if there are too many."""
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
        """Parse the headers within their limits."""
        return RequestHeaders(source)

    def read_request(self, line: str) -> bool:
        """Parse a request; all of its headers must arrive within ``HEADER_SECONDS``."""
        with gevent.Timeout(HEADER_SECONDS, TimeoutError()):
            return bool(super().read_request(line))

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment, with the socket under ``SOCKET_KEY``."""
        self.socket.settimeout(SEND_SECONDS)
        environ: dict[str, Any] = super().get_environ()
        unbounded = self.wsgi_input
        self.wsgi_input = BoundedInput(
            self.rfile, self.content_length, unbounded.socket, unbounded.chunked_input
        )
        environ["wsgi.input"] = self.wsgi_input
        environ[SOCKET_KEY] = self.socket
        return environ

    def handle_one_request(self) -> Any:
        """Serve one request, then allow ``IDLE_SECONDS`` until the next one."""
        result = super().handle_one_request()
        if self.socket is not None:
            self.socket.settimeout(IDLE_SECONDS)
        if self.server.closing() or getattr(self.wsgi_input, "given_up", False):
            return None
        return result

    def handle_error(self, kind: Any, error: Any, trace: Any) -> None:
        """Log an application error; close silently on a socket error or timeout."""
        if isinstance(error, OSError):
            self.close_connection = True
            return
        logger.error(
            "request handler raised %s; answering with status 500",
            kind.__name__,
            exc_info=(kind, error, trace),
        )
        self._send_error_response_if_possible(500)
        self.close_connection = True

    def _handle_client_error(self, error: Exception) -> tuple[str, bytes]:
        if isinstance(error, HeadersTooLarge):
            refused = refuse(Reason.HEADERS_TOO_LARGE, limit=MAX_HEADER_BYTES)
        elif isinstance(error, TimeoutError):
            refused = refuse(Reason.TOO_SLOW, 1.0, seconds=HEADER_SECONDS)
        else:
            refused = refuse(Reason.BAD_REQUEST, problem="this is not HTTP/1.1")
        return str(OPENAI_STATUS_BY_REASON[refused.reason]), _raw_response(refused)

    def _refuse(self, refused: Refused) -> None:
        self.socket.sendall(_raw_response(refused))
        self.socket.close()
        self.rfile.close()


class CallerServer(WSGIServer):  # type: ignore[misc]
    """The server of the callers' port.

    Parameters
    ----------
    address : Address
        Address to listen on.
    application : callable
        The WSGI application.
    closing : callable
        Returns True once connections must close after the current request.
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


class DisconnectWatcher:
    """Detects when a caller closes its connection, as a context manager.

    Parameters
    ----------
    sock : socket
        The caller's connection.  It is only peeked at, never read.
    on_disconnect : callable
        Called at most once, in the hub, so it must not block.
    """

    def __init__(self, sock: Any, on_disconnect: Callable[[], None]) -> None:
        self._sock = sock
        self._on_disconnect = on_disconnect
        self._watcher: Any = None

    def __enter__(self) -> Self:
        """Start watching the socket."""
        loop = gevent.get_hub().loop
        self._watcher = loop.io(self._sock.fileno(), READABLE)
        self._watcher.start(self._on_readable)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop watching."""
        self.close()

    def close(self) -> None:
        """Stop watching; a second call has no effect."""
        watcher, self._watcher = self._watcher, None
        if watcher is not None:
            watcher.stop()
            watcher.close()

    def _on_readable(self) -> None:
        """Stop watching at the next request's first byte, end of file or an error."""
        try:
            data = self._sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        self.close()
        if not data:
            self._on_disconnect()


def _raw_response(refused: Refused) -> bytes:
    """Return an HTTP error response to send before a request was parsed."""
    body = msgspec.json.encode(error_body(refused))
    status = OPENAI_STATUS_BY_REASON[refused.reason]
    head = (
        f"HTTP/1.1 {status} Refused\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body
