"""Links between daemons: who accepts them, and who opens them.

A link is found dead by silence: a heartbeat goes out every second, and a link
that brought nothing for three is closed and replaced by a new one.  Every
question has a timeout; no answer is a value, ``Unreachable``.  Each host has its
own way with its own back-off, so that a dead one delays nobody else's.
"""

from __future__ import annotations

import hmac
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from types import TracebackType
from typing import Final, Self

import gevent
from gevent import socket
from gevent.lock import RLock
from gevent.pool import Group
from gevent.server import StreamServer
from websockets.client import ClientProtocol
from websockets.http11 import Request, Response
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from godwitrudder.clock import Clock
from godwitrudder.connection.frames import Message, Ping
from godwitrudder.connection.link import (
    READ_BYTES,
    SILENCE_SECONDS,
    Handlers,
    Link,
    Unreachable,
)
from godwitrudder.sections import Address

__all__ = ["Handlers", "Link", "PeerLinks", "PeerServer", "Unreachable"]

CONNECT_SECONDS: Final = 1.0
HEARTBEAT_SECONDS: Final = 1.0
UNUSED_MOST_HEARTBEATS: Final = 5
RETRY_LEAST_SECONDS: Final = 0.1
RETRY_MOST_SECONDS: Final = 2.0
MAX_FRAME_BYTES: Final = 1_000_000
HOST_HEADER: Final = "X-Host"


class PeerServer:
    """Accepts links from other daemons of the fleet.

    Parameters
    ----------
    known : callable
        Whether a host belongs to the fleet; others are refused.
    """

    def __init__(
        self,
        address: Address,
        key: str,
        handlers: Handlers,
        known: Callable[[str], bool],
    ) -> None:
        self._key = key
        self._handlers = handlers
        self._known = known
        self._links: set[Link] = set()
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
        """Stop listening and close the links that were accepted."""
        self._server.stop(timeout=0)
        for link in list(self._links):
            link.close()

    def _serve(self, sock: socket.socket, address: object) -> None:
        sock.settimeout(CONNECT_SECONDS)
        protocol = ServerProtocol(max_size=MAX_FRAME_BYTES)
        try:
            host = self._handshake(sock, protocol)
        except OSError:
            host = None
        if host is not None:
            self._read(Link(sock, protocol, self._handlers, host))
        sock.close()

    def _read(self, link: Link) -> None:
        self._links.add(link)
        try:
            link.read_all()
        finally:
            self._links.discard(link)

    def _handshake(self, sock: socket.socket, protocol: ServerProtocol) -> str | None:
        """Return the host of the peer, None for one that was refused."""
        while True:
            data = sock.recv(READ_BYTES)
            protocol.receive_data(data)
            for event in protocol.events_received():
                if isinstance(event, Request):
                    return self._accept(sock, protocol, event)
            if not data:
                return None

    def _accept(
        self, sock: socket.socket, protocol: ServerProtocol, request: Request
    ) -> str | None:
        shown = request.headers.get("Authorization", "").encode()
        host = request.headers.get(HOST_HEADER, "")
        if not hmac.compare_digest(shown, f"Bearer {self._key}".encode()):
            response = protocol.reject(401, "peer key not known\n")
        elif not self._known(host):
            response = protocol.reject(403, "host not in the host list\n")
        else:
            response = protocol.accept(request)
        protocol.send_response(response)
        for data in protocol.data_to_send():
            sock.sendall(data)
        if protocol.state is State.OPEN:
            return host
        self._handlers.metrics.links.labels("refused").inc()
        return None


@dataclass(slots=True)
class Way:
    """The way to one host: its link, or when to try again.

    Attributes
    ----------
    lock : RLock
        Held while a link is opened; a dead host blocks nobody else.
    failures : int
        Attempts in a row that failed.
    """

    lock: RLock = field(default_factory=RLock)
    link: Link | None = None
    failures: int = 0
    retry_at: float = 0.0


class PeerLinks:
    """Links to other daemons, opened at first use, closed when long unused.

    Parameters
    ----------
    incarnation : str
        This process, ``host/random``.
    address_of : callable
        Returns the address of a host, or None.
    """

    def __init__(
        self,
        incarnation: str,
        key: str,
        handlers: Handlers,
        address_of: Callable[[str], Address | None],
        clock: Clock,
        random: Random,
    ) -> None:
        self._incarnation = incarnation
        self._key = key
        self._handlers = handlers
        self._address_of = address_of
        self._clock = clock
        self._random = random
        self._ways_by_host: dict[str, Way] = {}
        self._tasks = Group()

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
        self._tasks.kill()
        for way in self._ways_by_host.values():
            if way.link is not None:
                way.link.close()

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

    def probe(self, host: str) -> bool:
        """Ask a host for a sign of life."""
        answer = self.ask(host, Ping(self._incarnation), CONNECT_SECONDS)
        if not isinstance(answer, Ping):
            self._handlers.on_lost(host)
        return isinstance(answer, Ping)

    def _link(self, host: str) -> Link | Unreachable:
        way = self._ways_by_host.get(host)
        if way is not None and way.link is not None and way.link.open:
            return way.link
        address = self._address_of(host)
        if address is None:
            self._ways_by_host.pop(host, None)
            return Unreachable(f"{host} is not in the host list")
        if way is None:
            way = self._ways_by_host[host] = Way()
        with way.lock:
            if way.link is not None and way.link.open:
                return way.link
            if self._clock.now() < way.retry_at:
                return Unreachable(f"{host}: waits before the next attempt")
            return self._open(host, way, address)

    def _open(self, host: str, way: Way, address: Address) -> Link | Unreachable:
        try:
            way.link = self._connect(host, address)
        except OSError as error:
            self._handlers.metrics.links.labels("failed").inc()
            self._handlers.on_lost(host)
            way.retry_at = self._clock.now() + self._pause(way.failures)
            way.failures += 1
            return Unreachable(f"{host}: {error}")
        self._handlers.metrics.links.labels("opened").inc()
        self._handlers.on_received(host)
        way.failures = 0
        self._tasks.spawn(way.link.read_all)
        self._tasks.spawn(self._heartbeat, way.link)
        return way.link

    def _pause(self, failures: int) -> float:
        """Return the seconds before the next attempt, with jitter."""
        pause = min(RETRY_MOST_SECONDS, RETRY_LEAST_SECONDS * 2.0**failures)
        return pause * self._random.uniform(0.5, 1.0)

    def _connect(self, host: str, address: Address) -> Link:
        sock = socket.create_connection((address.ip, address.port), CONNECT_SECONDS)
        try:
            protocol = self._handshake(sock, address)
        except OSError:
            sock.close()
            raise
        return Link(sock, protocol, self._handlers, host)

    def _handshake(self, sock: socket.socket, address: Address) -> ClientProtocol:
        protocol = ClientProtocol(
            parse_uri(f"ws://{address}/peer"), max_size=MAX_FRAME_BYTES
        )
        request = protocol.connect()
        request.headers["Authorization"] = f"Bearer {self._key}"
        request.headers[HOST_HEADER] = self._incarnation.partition("/")[0]
        protocol.send_request(request)
        for data in protocol.data_to_send():
            sock.sendall(data)
        while True:
            data = sock.recv(READ_BYTES)
            protocol.receive_data(data)
            for event in protocol.events_received():
                if isinstance(event, Response):
                    return _opened(protocol)
            if not data:
                raise ConnectionError("closed during the handshake")

    def _heartbeat(self, link: Link) -> None:
        """Keep a link alive while it is used; close it after that."""
        unused = 0
        while link.open:
            unused = 0 if link.used else unused + 1
            link.used = False
            if unused > UNUSED_MOST_HEARTBEATS:
                link.close()
                return
            link.ask(Ping(self._incarnation), SILENCE_SECONDS)
            gevent.sleep(HEARTBEAT_SECONDS)


def _opened(protocol: ClientProtocol) -> ClientProtocol:
    if protocol.handshake_exc is not None:
        raise ConnectionError(str(protocol.handshake_exc))
    return protocol
