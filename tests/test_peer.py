"""Tests of peer links: silent links, dead hosts, authentication and queue limits."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import ExitStack
from random import Random

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from bench.loopback import IP
from godwitrudder.clock import HybridClock, SystemClock
from godwitrudder.connection import link, peer
from godwitrudder.connection.frames import Ping
from godwitrudder.connection.peer import Handlers, PeerLinks, PeerServer, Unreachable
from godwitrudder.process.metrics import Metrics
from godwitrudder.validation import Address

SERVER = Address(IP, 8701)
PROXY = Address(IP, 8702)
KEY = "key"


class Proxy:
    """Forwards connections until ``silence_open`` silences the open ones."""

    def __init__(self) -> None:
        self.silenced: set[socket.socket] = set()
        self.open: list[socket.socket] = []
        self.server = StreamServer((PROXY.ip, PROXY.port), self._serve)

    def silence_open(self) -> None:
        """Stop forwarding on open connections, in both directions, without a reset."""
        self.silenced.update(self.open)

    def _serve(self, near: socket.socket, address: object) -> None:
        far = socket.create_connection((SERVER.ip, SERVER.port))
        self.open += [near, far]
        gevent.joinall(
            [gevent.spawn(self._pump, near, far), gevent.spawn(self._pump, far, near)]
        )

    def _pump(self, source: socket.socket, target: socket.socket) -> None:
        try:
            while data := source.recv(65536):
                if source not in self.silenced:
                    target.sendall(data)
        except OSError:
            return


def handlers() -> Handlers:
    """Return handlers that answer pings."""
    return Handlers(HybridClock(SystemClock()), Metrics())


def links(
    address: Address | None, key: str = KEY, host: str = "near", seed: int = 1
) -> PeerLinks:
    """Return links from ``host``; all peers have ``address``, None if unlisted."""
    return PeerLinks(
        f"{host}/1", key, handlers(), lambda _: address, SystemClock(), Random(seed)
    )


@pytest.fixture
def stack() -> Iterator[ExitStack]:
    """Yield a stack with a peer server in it."""
    with ExitStack() as stack:
        known = {"near"}
        server = PeerServer(SERVER, KEY, handlers(), lambda host: host in known)
        stack.enter_context(server)
        yield stack


def test_a_silent_link_is_replaced(
    stack: ExitStack, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A link that receives nothing is replaced, even if its connection is not reset."""
    monkeypatch.setattr(link, "SILENCE_SECONDS", 0.2)
    monkeypatch.setattr(peer, "HEARTBEAT_SECONDS", 0.05)
    proxy = Proxy()
    proxy.server.start()
    stack.callback(proxy.server.stop, 0)
    near = stack.enter_context(links(PROXY))
    assert near.probe("far")
    proxy.silence_open()
    # The silent link is closed after SILENCE_SECONDS, which fails the first probe; the
    # second probe opens a new link.
    assert not near.probe("far")
    assert near.probe("far")


def test_a_dead_host_delays_no_other(stack: ExitStack) -> None:
    """While one host does not answer the handshake, another host can be pinged."""
    connected = Event()

    def accept_without_answer(sock: socket.socket, address: object) -> None:
        connected.set()
        sock.recv(65536)
        gevent.sleep(60.0)

    silent = StreamServer((PROXY.ip, PROXY.port), accept_without_answer)
    silent.start()
    stack.callback(silent.stop, 0)
    near = stack.enter_context(
        PeerLinks(
            "near/1",
            KEY,
            handlers(),
            {"dead": PROXY, "far": SERVER}.get,
            SystemClock(),
            Random(1),
        )
    )
    dead = gevent.spawn(near.probe, "dead")
    connected.wait()
    assert near.probe("far")
    assert not dead.ready()
    dead.kill()


REJECTED_PEERS = [("wrong key", "other", "near"), ("unknown host", KEY, "stranger")]


@pytest.mark.parametrize(("name", "key", "host"), REJECTED_PEERS)
def test_strangers_are_refused(
    stack: ExitStack, name: str, key: str, host: str
) -> None:
    """The server accepts only listed hosts with the fleet's key.

    The client reports a refused link as ``Unreachable``, like any failed connection.
    """
    near = stack.enter_context(links(SERVER, key, host))
    assert isinstance(near.ask("far", Ping("x"), 1.0), Unreachable)


def test_an_unlisted_host_is_not_asked(stack: ExitStack) -> None:
    """No link is opened to a host that is not in the host list."""
    near = stack.enter_context(links(None))
    assert isinstance(near.ask("far", Ping("x"), 1.0), Unreachable)


def test_the_outgoing_queue_of_a_link_is_bounded(
    stack: ExitStack, monkeypatch: pytest.MonkeyPatch
) -> None:
    """If the peer stops reading, frames beyond the limit are rejected at once."""
    monkeypatch.setattr(link, "MAX_OUTGOING_BYTES", 100_000)
    proxy = Proxy()
    proxy.server.start()
    stack.callback(proxy.server.stop, 0)
    near = stack.enter_context(links(PROXY))
    assert near.probe("far")
    monkeypatch.setattr(socket.socket, "sendall", lambda *_: gevent.sleep(60.0))
    sent = [near.tell("far", Ping("x" * 10_000)) for _ in range(100)]
    assert sent[0] and not sent[-1]


def test_a_stopped_server_answers_no_more() -> None:
    """Stopping a server closes the links it accepted, though its process runs on."""
    with links(SERVER) as near:
        with PeerServer(SERVER, KEY, handlers(), lambda _: True):
            assert near.ask("far", Ping("near/1"), 5.0) == Ping("near/1")
        assert isinstance(near.ask("far", Ping("near/1"), 5.0), Unreachable)
