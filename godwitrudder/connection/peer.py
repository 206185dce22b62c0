"""Links between daemons: the server that accepts them and the client that opens them.

A link sends a heartbeat every second.  A link that receives nothing for 3 s is closed
and replaced.  Every request has a timeout; a missing answer is returned as
``Unreachable``.  Each host has its own lock and backoff, so that a dead host does not
delay requests to others.
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
from godwitrudder.validation import Address

__all__ = ["Handlers", "Link", "PeerLinks", "PeerServer", "Unreachable"]

# Timeout of connecting, of the handshake, and of a probe.
CONNECT_SECONDS: Final = 1.0
HEARTBEAT_SECONDS: Final = 1.0
# A link is closed after more than this many heartbeats without another frame.
MAX_UNUSED_HEARTBEATS: Final = 5
# Range of the delay before the next attempt to connect, without its jitter.
MIN_RETRY_SECONDS: Final = 0.1
MAX_RETRY_SECONDS: Final = 2.0
MAX_FRAME_BYTES: Final = 1_000_000
HOST_HEADER: Final = "X-Host"


class PeerServer:
    """Accepts links from other daemons of the fleet.

    Parameters
    ----------
    known : callable
        Returns whether a host is in the host list; other hosts are refused.
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
        """Start listening."""
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
            with gevent.Timeout(CONNECT_SECONDS, TimeoutError()):
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
        """Return the host of the peer, None if it was refused or closed."""
        while True:
            gevent.sleep(0)  # bytes without end never block ``recv``
            data = sock.recv(READ_BYTES)
            protocol.receive_data(data)
            for event in protocol.events_received():
                if isinstance(event, Request):
                    return self._accept(sock, protocol, event)
            if not data or protocol.handshake_exc is not None:
                return None

    def _accept(
        self, sock: socket.socket, protocol: ServerProtocol, request: Request
    ) -> str | None:
        authorization = request.headers.get("Authorization", "").encode()
        host = request.headers.get(HOST_HEADER, "")
        if not hmac.compare_digest(authorization, f"Bearer {self._key}".encode()):
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
class PeerState:
    """Link to one host, and its backoff.

    Attributes
    ----------
    lock : RLock
        Held while a link is opened; one per host, so that a dead host blocks no other.
    failures : int
        Consecutive failed attempts to connect.
    retry_at : float
        Clock reading in seconds before which no attempt is made.
    """

    lock: RLock = field(default_factory=RLock)
    link: Link | None = None
    failures: int = 0
    retry_at: float = 0.0


class PeerLinks:
    """Links to other daemons, opened at first use and closed when unused.

    Parameters
    ----------
    incarnation : str
        Id of this process, ``host/random``.
    address_of : callable
        Returns the address of a host, None if the host is not listed.
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
        self._peers_by_host: dict[str, PeerState] = {}
        self._tasks = Group()

    def __enter__(self) -> Self:
        """Return self; links open at first use."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close all links."""
        self._tasks.kill()
        for peer in self._peers_by_host.values():
            if peer.link is not None:
                peer.link.close()

    def ask(
        self, host: str, message: Message, timeout: float
    ) -> Message | None | Unreachable:
        """Send a request to a host; return ``Unreachable`` on any failure."""
        link = self._link(host)
        if isinstance(link, Unreachable):
            return link
        return link.ask(message, timeout)

    def tell(self, host: str, message: Message) -> bool:
        """Send a message that expects no answer; return whether it was queued."""
        link = self._link(host)
        return not isinstance(link, Unreachable) and link.tell(message)

    def probe(self, host: str) -> bool:
        """Ping a host; report it as lost and return False if it does not answer."""
        answer = self.ask(host, Ping(self._incarnation), CONNECT_SECONDS)
        if not isinstance(answer, Ping):
            self._handlers.on_peer_unreachable(host)
        return isinstance(answer, Ping)

    def _link(self, host: str) -> Link | Unreachable:
        peer = self._peers_by_host.get(host)
        if peer is not None and peer.link is not None and peer.link.open:
            return peer.link
        address = self._address_of(host)
        if address is None:
            self._peers_by_host.pop(host, None)
            return Unreachable(f"{host} is not in the host list")
        if peer is None:
            peer = self._peers_by_host[host] = PeerState()
        with peer.lock:
            if peer.link is not None and peer.link.open:
                return peer.link
            if self._clock.now() < peer.retry_at:
                return Unreachable(
                    f"{host}: waiting before the next connection attempt"
                )
            return self._open(host, peer, address)

    def _open(self, host: str, peer: PeerState, address: Address) -> Link | Unreachable:
        try:
            peer.link = self._connect(host, address)
        except OSError as error:
            self._handlers.metrics.links.labels("failed").inc()
            self._handlers.on_peer_unreachable(host)
            peer.retry_at = self._clock.now() + self._retry_delay(peer.failures)
            peer.failures += 1
            return Unreachable(f"{host}: {error}")
        self._handlers.metrics.links.labels("opened").inc()
        self._handlers.on_peer_alive(host)
        peer.failures = 0
        self._tasks.spawn(peer.link.read_all)
        self._tasks.spawn(self._heartbeat, peer.link)
        return peer.link

    def _retry_delay(self, failures: int) -> float:
        """Return the seconds before the next attempt: exponential, with jitter."""
        delay = min(MAX_RETRY_SECONDS, MIN_RETRY_SECONDS * 2.0**failures)
        return delay * self._random.uniform(0.5, 1.0)

    def _connect(self, host: str, address: Address) -> Link:
        sock = socket.create_connection((address.ip, address.port), CONNECT_SECONDS)
        try:
            with gevent.Timeout(CONNECT_SECONDS, TimeoutError()):
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
            gevent.sleep(0)
            data = sock.recv(READ_BYTES)
            protocol.receive_data(data)
            for event in protocol.events_received():
                if isinstance(event, Response):
                    return _check_handshake(protocol)
            if protocol.handshake_exc is not None:
                return _check_handshake(protocol)
            if not data:
                raise ConnectionError("peer closed the connection during the handshake")

    def _heartbeat(self, link: Link) -> None:
        """Send heartbeats on a link; close it once it is unused."""
        unused = 0
        while link.open:
            unused = 0 if link.used else unused + 1
            link.used = False
            if unused > MAX_UNUSED_HEARTBEATS:
                link.close()
                return
            link.ask(Ping(self._incarnation), SILENCE_SECONDS)
            gevent.sleep(HEARTBEAT_SECONDS)


def _check_handshake(protocol: ClientProtocol) -> ClientProtocol:
    if protocol.handshake_exc is not None:
        raise ConnectionError(str(protocol.handshake_exc))
    return protocol
