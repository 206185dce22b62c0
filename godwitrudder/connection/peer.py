"""Links between daemons: websockets on gevent sockets, CBOR frames.

A link is found dead by silence: a heartbeat goes out every second, and a link
that brought nothing for three is closed and replaced by a new one.  Every
question has a timeout; no answer is a value, ``Unreachable``.
"""

from __future__ import annotations

import hmac
import logging
from collections.abc import Callable
from types import TracebackType
from typing import Any, Final, Self, TypeVar

import gevent
from gevent import Greenlet, socket
from gevent.event import AsyncResult
from gevent.lock import RLock
from gevent.server import StreamServer
from websockets.client import ClientProtocol
from websockets.frames import Opcode
from websockets.http11 import Request, Response
from websockets.protocol import Protocol, State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from godwitrudder import codec
from godwitrudder.clock import HybridClock
from godwitrudder.connection.frames import Frame, Message, Ping
from godwitrudder.process.metrics import Metrics
from godwitrudder.sections import Address

CONNECT_SECONDS: Final = 1.0
HEARTBEAT_SECONDS: Final = 1.0
SILENCE_SECONDS: Final = 3.0
MAX_FRAME_BYTES: Final = 1_000_000
READ_BYTES: Final = 65536

T = TypeVar("T")
Handler = Callable[[Any], Message | None]
logger = logging.getLogger(__name__)


class Unreachable:
    """No answer came in time; the question may have been handled."""

    def __init__(self, reason: str) -> None:
        self.reason = reason


class Handlers:
    """What a daemon does with each type of message."""

    def __init__(self, clock: HybridClock, metrics: Metrics) -> None:
        self.clock = clock
        self.metrics = metrics
        self._handler_by_type: dict[type, Handler] = {Ping: lambda ping: ping}

    def register(self, kind: type[T], handler: Callable[[T], Message | None]) -> None:
        """Handle messages of ``kind``; the result is the answer."""
        self._handler_by_type[kind] = handler

    def handle(self, message: Message) -> Message | None:
        """Handle one message."""
        return self._handler_by_type[type(message)](message)


class Link:
    """One open websocket; reads in its own greenlet."""

    def __init__(
        self, sock: socket.socket, protocol: Protocol, handlers: Handlers
    ) -> None:
        self._sock = sock
        self._protocol = protocol
        self._handlers = handlers
        self._writing = RLock()
        self._number = 0
        self._waiting_by_number: dict[int, AsyncResult[Message | None]] = {}
        sock.settimeout(SILENCE_SECONDS)

    @property
    def open(self) -> bool:
        """Whether frames can be sent."""
        return self._protocol.state is State.OPEN

    def ask(self, message: Message, timeout: float) -> Message | None | Unreachable:
        """Send a question and wait up to ``timeout`` seconds for its answer."""
        self._number += 1
        number = self._number
        result: AsyncResult[Message | None] = AsyncResult()
        self._waiting_by_number[number] = result
        try:
            self._send(Frame(number, False, self._handlers.clock.tick(), message))
            answer: Message | None = result.get(timeout=timeout)
            return answer
        except (OSError, gevent.Timeout) as error:
            return Unreachable(f"{type(error).__name__}: {error}")
        finally:
            del self._waiting_by_number[number]

    def tell(self, message: Message) -> bool:
        """Send a message that has no answer; False where the link is dead."""
        try:
            self._send(Frame(0, False, self._handlers.clock.tick(), message))
        except OSError:
            return False
        return True

    def read_all(self) -> None:
        """Read until the link closes or falls silent."""
        try:
            while self._read_once():
                pass
        except OSError as error:
            logger.debug("link lost: %s", error)
        finally:
            self.close()

    def close(self) -> None:
        """Close the socket and fail the questions under way."""
        self._protocol.state = State.CLOSED
        self._sock.close()
        for result in list(self._waiting_by_number.values()):
            if not result.ready():
                result.set_exception(ConnectionError("link closed"))

    def _read_once(self) -> bool:
        data = self._sock.recv(READ_BYTES)
        if not data:
            return False
        self._protocol.receive_data(data)
        self.flush()
        return all(self._take(event) for event in self._protocol.events_received())

    def _take(self, event: Any) -> bool:
        """Handle one websocket frame; a malformed one closes the link."""
        if getattr(event, "opcode", None) is not Opcode.BINARY:
            return True
        frame: Frame | codec.Malformed = codec.decode(event.data, Frame)
        if isinstance(frame, codec.Malformed):
            self._handlers.metrics.bad_frames.inc()
            return False
        self._handlers.clock.observe(frame.stamp)
        if frame.answer:
            self._answered(frame)
        else:
            gevent.spawn(self._handle, frame)
        return True

    def _answered(self, frame: Frame) -> None:
        result = self._waiting_by_number.get(frame.number)
        if result is not None:
            result.set(frame.body)

    def _handle(self, frame: Frame) -> None:
        if frame.body is None:
            return
        answer = self._handlers.handle(frame.body)
        if not frame.number:
            return
        try:
            stamp = self._handlers.clock.tick()
            self._send(Frame(frame.number, True, stamp, answer))
        except OSError:
            logger.debug("answer lost: link closed")

    def _send(self, frame: Frame) -> None:
        if not self.open:
            raise ConnectionError("link closed")
        with self._writing:
            self._protocol.send_binary(codec.encode(frame))
            self.flush()

    def flush(self) -> None:
        """Write what the protocol has to send."""
        with self._writing:
            for data in self._protocol.data_to_send():
                if data:
                    self._sock.sendall(data)


class PeerServer:
    """Accepts links from other daemons of the fleet."""

    def __init__(self, address: Address, key: str, handlers: Handlers) -> None:
        self._key = key
        self._handlers = handlers
        self._server = StreamServer((address.ip, address.port), self._serve)

    def __enter__(self) -> Self:
        """Start to listen."""
        self._server.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop listening."""
        self._server.stop(timeout=0)

    def _serve(self, sock: socket.socket, address: object) -> None:
        sock.settimeout(CONNECT_SECONDS)
        protocol = ServerProtocol(max_size=MAX_FRAME_BYTES)
        try:
            accepted = self._handshake(sock, protocol)
        except OSError:
            accepted = False
        if accepted:
            Link(sock, protocol, self._handlers).read_all()
        sock.close()

    def _handshake(self, sock: socket.socket, protocol: ServerProtocol) -> bool:
        while True:
            data = sock.recv(READ_BYTES)
            protocol.receive_data(data)
            for event in protocol.events_received():
                if isinstance(event, Request):
                    return self._accept(sock, protocol, event)
            if not data:
                return False

    def _accept(
        self, sock: socket.socket, protocol: ServerProtocol, request: Request
    ) -> bool:
        shown = request.headers.get("Authorization", "")
        known = hmac.compare_digest(shown, f"Bearer {self._key}")
        if known:
            response = protocol.accept(request)
        else:
            response = protocol.reject(401, "peer key not known\n")
            self._handlers.metrics.bad_frames.inc()
        protocol.send_response(response)
        for data in protocol.data_to_send():
            sock.sendall(data)
        return known and protocol.state is State.OPEN


class PeerLinks:
    """Links to other daemons, opened at first use.

    Parameters
    ----------
    incarnation : str
        This process.
    address_of : callable
        Returns the address of a host, or None.
    """

    def __init__(
        self,
        incarnation: str,
        key: str,
        handlers: Handlers,
        address_of: Callable[[str], Address | None],
    ) -> None:
        self._incarnation = incarnation
        self._key = key
        self._handlers = handlers
        self._address_of = address_of
        self._links_by_host: dict[str, Link] = {}
        self._tasks_by_host: dict[str, Greenlet] = {}
        self._opening = RLock()

    def __enter__(self) -> Self:
        """Nothing to start; links open at first use."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close all links."""
        gevent.killall(list(self._tasks_by_host.values()))
        for link in self._links_by_host.values():
            link.close()

    def ask(
        self, host: str, message: Message, timeout: float
    ) -> Message | None | Unreachable:
        """Ask a host; every failure is ``Unreachable``."""
        link = self._link(host)
        if isinstance(link, Unreachable):
            return link
        return link.ask(message, timeout)

    def tell(self, host: str, message: Message) -> bool:
        """Send a message that has no answer; False where it was not sent."""
        link = self._link(host)
        return not isinstance(link, Unreachable) and link.tell(message)

    def _link(self, host: str) -> Link | Unreachable:
        with self._opening:
            link = self._links_by_host.get(host)
            if link is not None and link.open:
                return link
            return self._open(host)

    def _open(self, host: str) -> Link | Unreachable:
        address = self._address_of(host)
        if address is None:
            return Unreachable(f"{host} is not in the host list")
        try:
            sock = socket.create_connection((address.ip, address.port), CONNECT_SECONDS)
            link = self._handshake(sock, address)
        except OSError as error:
            return Unreachable(f"{host}: {error}")
        self._links_by_host[host] = link
        gevent.spawn(link.read_all)
        task = self._tasks_by_host.pop(host, None)
        if task is not None:
            task.kill(block=False)
        self._tasks_by_host[host] = gevent.spawn(self._heartbeat, link)
        return link

    def _handshake(self, sock: socket.socket, address: Address) -> Link:
        protocol = ClientProtocol(
            parse_uri(f"ws://{address}/peer"), max_size=MAX_FRAME_BYTES
        )
        request = protocol.connect()
        request.headers["Authorization"] = f"Bearer {self._key}"
        protocol.send_request(request)
        for data in protocol.data_to_send():
            sock.sendall(data)
        while True:
            data = sock.recv(READ_BYTES)
            protocol.receive_data(data)
            for event in protocol.events_received():
                if isinstance(event, Response):
                    return self._opened(sock, protocol)
            if not data:
                raise ConnectionError("closed during the handshake")

    def _opened(self, sock: socket.socket, protocol: ClientProtocol) -> Link:
        if protocol.handshake_exc is not None:
            raise ConnectionError(str(protocol.handshake_exc))
        return Link(sock, protocol, self._handlers)

    def _heartbeat(self, link: Link) -> None:
        while link.open:
            link.ask(Ping(self._incarnation), SILENCE_SECONDS)
            gevent.sleep(HEARTBEAT_SECONDS)
