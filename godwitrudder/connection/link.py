"""One link between two daemons: CBOR frames over a websocket on a gevent socket.

A separate greenlet sends frames from a bounded queue, so that a peer that stops
reading blocks no sender.  If the queue is full, the frame is dropped and the sender
is told so.  A link that receives nothing for ``SILENCE_SECONDS`` is closed.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from typing import Any, Final, TypeVar

import gevent
from gevent import Greenlet, socket
from gevent.event import AsyncResult, Event
from websockets.frames import Opcode
from websockets.protocol import Protocol, State

from godwitrudder import codec
from godwitrudder.clock import HybridClock
from godwitrudder.connection.frames import Frame, Message, Ping
from godwitrudder.process.metrics import Metrics

# Longest time without received data before a link is closed.
SILENCE_SECONDS: Final = 3.0
READ_BYTES: Final = 65536
# Limit of a link's outgoing queue, above which further frames are dropped.
MAX_OUTGOING_BYTES: Final = 1_000_000

T = TypeVar("T")
Handler = Callable[[Any], Message | None]
logger = logging.getLogger(__name__)


class Unreachable:
    """A request got no answer; if it was sent, the peer may have handled it."""

    def __init__(self, reason: str) -> None:
        self.reason = reason


class Handlers:
    """Handlers and callbacks of a daemon for messages from its peers.

    Attributes
    ----------
    on_peer_alive : callable
        Called with the host of a peer that sent data or accepted a link.
    on_peer_unreachable : callable
        Called with the host of a peer to which no link could be opened, whose link
        failed, or that did not answer a probe.
    on_frame_sent, on_frame_received : callable
        Called with each frame sent, or received, and the host of the peer.
    """

    def __init__(self, clock: HybridClock, metrics: Metrics) -> None:
        self.clock = clock
        self.metrics = metrics
        self.on_peer_alive: Callable[[str], None] = lambda host: None
        self.on_peer_unreachable: Callable[[str], None] = lambda host: None
        self.on_frame_sent: Callable[[Frame, str], None] = lambda frame, host: None
        self.on_frame_received: Callable[[Frame, str], None] = lambda frame, host: None
        self._handler_by_type: dict[type, Handler] = {Ping: lambda ping: ping}

    def register(self, kind: type[T], handler: Callable[[T], Message | None]) -> None:
        """Set the handler of messages of ``kind``; it returns the answer."""
        self._handler_by_type[kind] = handler

    def handle(self, message: Message) -> Message | None:
        """Handle one message and return its answer, if it has one."""
        return self._handler_by_type[type(message)](message)


class Link:
    """One open websocket with a greenlet that writes.

    Parameters
    ----------
    sock : socket
        Connected socket; the link closes it.
    protocol : Protocol
        State of the websocket after the handshake.
    handlers : Handlers
        Handlers of incoming messages.
    host : str
        Host of the peer.

    Attributes
    ----------
    used : bool
        Whether a frame other than a heartbeat was sent since this was last cleared.
    """

    def __init__(
        self,
        sock: socket.socket,
        protocol: Protocol,
        handlers: Handlers,
        host: str = "",
    ) -> None:
        self._sock = sock
        self._protocol = protocol
        self._handlers = handlers
        self._host = host
        self.used = True
        self._last_number = 0
        self._outgoing: deque[bytes] = deque()
        self._outgoing_bytes = 0
        self._outgoing_ready = Event()
        self._writer: Greenlet = gevent.spawn(self._write_all)
        self._results_by_number: dict[int, AsyncResult[Message | None]] = {}
        sock.settimeout(SILENCE_SECONDS)

    @property
    def open(self) -> bool:
        """Whether the link can send frames."""
        return self._protocol.state is State.OPEN

    def ask(self, message: Message, timeout: float) -> Message | None | Unreachable:
        """Send a request and wait up to ``timeout`` seconds for its answer."""
        self._last_number += 1
        number = self._last_number
        result: AsyncResult[Message | None] = AsyncResult()
        self._results_by_number[number] = result
        try:
            self._send(Frame(number, False, self._handlers.clock.tick(), message))
            answer: Message | None = result.get(timeout=timeout)
            return answer
        except (OSError, gevent.Timeout) as error:
            return Unreachable(f"{type(error).__name__}: {error}")
        finally:
            del self._results_by_number[number]

    def tell(self, message: Message) -> bool:
        """Send a message that expects no answer; return False if that failed."""
        try:
            self._send(Frame(0, False, self._handlers.clock.tick(), message))
        except OSError:
            return False
        return True

    def read_all(self) -> None:
        """Read until the link closes or receives nothing for ``SILENCE_SECONDS``."""
        try:
            while self._read_once():
                pass
        except OSError as error:
            if self.open:
                logger.debug("link failed while reading, closing it: %s", error)
                self._handlers.on_peer_unreachable(self._host)
        finally:
            self.close()

    def close(self) -> None:
        """Close the socket and fail the pending requests."""
        self._protocol.state = State.CLOSED
        self._outgoing_ready.set()
        self._sock.close()
        for result in list(self._results_by_number.values()):
            if not result.ready():
                result.set_exception(ConnectionError("link closed"))

    def _read_once(self) -> bool:
        gevent.sleep(0)  # bytes without end never block ``recv``
        data = self._sock.recv(READ_BYTES)
        if not data or not self.open:
            return False
        self._handlers.on_peer_alive(self._host)
        self._protocol.receive_data(data)
        self.flush()
        return all(
            self._handle_event(event) for event in self._protocol.events_received()
        )

    def _handle_event(self, event: Any) -> bool:
        """Handle one websocket frame; a malformed one closes the link."""
        if getattr(event, "opcode", None) is not Opcode.BINARY:
            return True
        frame: Frame | codec.Malformed = codec.decode(event.data, Frame)
        if isinstance(frame, codec.Malformed):
            self._handlers.metrics.bad_frames.inc()
            return False
        self._handlers.clock.observe(frame.stamp)
        self._handlers.on_frame_received(frame, self._host)
        if frame.answer:
            self._deliver_answer(frame)
        else:
            gevent.spawn(self._handle, frame)
        return True

    def _deliver_answer(self, frame: Frame) -> None:
        result = self._results_by_number.get(frame.number)
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
            logger.debug("answer not sent: link is closed or its queue is full")

    def _send(self, frame: Frame) -> None:
        if not self.open:
            raise ConnectionError("link is closed")
        if self._outgoing_bytes > MAX_OUTGOING_BYTES:
            self._handlers.metrics.lost_frames.inc()
            raise ConnectionError("outgoing queue is full")
        if not isinstance(frame.body, Ping):
            self.used = True
        self._protocol.send_binary(codec.encode(frame))
        self.flush()
        self._handlers.on_frame_sent(frame, self._host)

    def flush(self) -> None:
        """Queue the bytes that the protocol has ready to send."""
        for data in self._protocol.data_to_send():
            self._outgoing.append(data)
            self._outgoing_bytes += len(data)
        self._outgoing_ready.set()

    def _write_all(self) -> None:
        """Write the queued bytes until the link closes."""
        try:
            while self.open:
                self._outgoing_ready.wait()
                self._outgoing_ready.clear()
                self._write()
        except OSError as error:
            logger.debug("link failed while writing, closing it: %s", error)
            self.close()

    def _write(self) -> None:
        while self._outgoing:
            data = b"".join(self._outgoing)
            self._outgoing.clear()
            self._sock.sendall(data)
            self._outgoing_bytes -= len(data)
