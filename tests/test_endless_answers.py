"""Servers that send endlessly to a daemon of the product, or byte by byte."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import Random
from typing import Any

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from bench.loopback import IP
from godwitrudder import codec
from godwitrudder.clock import HybridClock, SystemClock
from godwitrudder.connection import probe
from godwitrudder.connection.link import Handlers
from godwitrudder.connection.peer import PeerLinks, PeerServer
from godwitrudder.connection.runner import Broken, LinkTimeouts, RunnerLinks
from godwitrudder.platform import hosts
from godwitrudder.platform.hosts import HttpHostList
from godwitrudder.platform.store import Store, Unavailable
from godwitrudder.platform.weights import HttpWeightStore
from godwitrudder.process.metrics import Metrics
from godwitrudder.request.answer import Prompt
from godwitrudder.validation import Address
from tests.ports import free_port

BLOCK = b"x" * 65_536
SENT_BYTES = 100_000_000
MAX_TAKEN_BYTES = 25_000_000
"""Above the limit of an answer and the buffers of the connection."""
MAX_PAUSE_SECONDS = 0.5
"""Longest time for which no other greenlet may run."""
TIMEOUTS = LinkTimeouts(connect=0.5, progress=0.5, stall=1.5, service=1.5)
HEAD = b"HTTP/1.1 200 OK\r\n"
ENDLESS = {
    "head": HEAD + b"X-More: ",
    "body": HEAD + b"Content-Length: 300000000\r\n\r\n",
    "body without length": HEAD + b"Connection: close\r\n\r\n",
    "line": HEAD + b"Connection: close\r\n\r\ndata: ",
    "trailer": HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\nX-More: ",
    "interim answers": b"",
    "garbage": b"\x00",
}


class Sender:
    """A server that sends a beginning and then without end.

    Attributes
    ----------
    taken : int
        Most bytes that one connection has taken.
    """

    def __init__(self, beginning: bytes, pause: float = 0.0) -> None:
        self.address = Address(IP, free_port())
        self.taken = 0
        self._beginning = beginning
        self._pause = pause
        self._server = StreamServer((IP, self.address.port), self._serve)

    def __enter__(self) -> Sender:
        """Start listening."""
        self._server.start()
        return self

    def __exit__(self, *error: object) -> None:
        """Stop listening."""
        self._server.stop(timeout=0)

    def _serve(self, sock: Any, _address: object) -> None:
        sent = 0
        block = BLOCK if self._beginning else b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000
        try:
            sock.recv(65_536)
            sock.sendall(self._beginning)
            while sent < SENT_BYTES:
                part = block[:1] if self._pause else block
                sock.sendall(part)
                sent += len(part)
                self.taken = max(self.taken, sent)
                gevent.sleep(self._pause)
        except OSError:
            pass
        finally:
            sock.close()


@contextmanager
def others_run() -> Iterator[None]:
    """Check that other greenlets run all the while."""
    pauses: list[float] = []

    def tick() -> None:
        last = time.monotonic()
        while True:
            gevent.sleep(0.01)
            now = time.monotonic()
            pauses.append(now - last)
            last = now

    ticking = gevent.spawn(tick)
    try:
        yield
    finally:
        gevent.sleep(0.05)
        ticking.kill()
    assert max(pauses) < MAX_PAUSE_SECONDS


def call(links: RunnerLinks, address: Address) -> object:
    return links.call(address, "GET", "/", b"", {})


def cancel(links: RunnerLinks, address: Address) -> object:
    return links.cancel(address, "a")


def stream(links: RunnerLinks, address: Address) -> object:
    prompt = Prompt(({"role": "user", "content": "x"},), "m", 8, 0.0)
    return list(links.start(address, "a", prompt, 0))[-1]


@pytest.mark.parametrize("ask", [call, cancel, stream])
@pytest.mark.parametrize("what", ENDLESS)
def test_a_runner_that_sends_without_end_is_given_up(
    what: str, ask: Callable[[RunnerLinks, Address], object]
) -> None:
    """LOST: the machine kept all that a faulty runner sent, and ran out of memory."""
    with Sender(ENDLESS[what]) as sender, RunnerLinks(SystemClock(), TIMEOUTS) as links:
        began = time.monotonic()
        with others_run():
            assert isinstance(ask(links, sender.address), Broken)
        assert sender.taken < MAX_TAKEN_BYTES
        assert time.monotonic() - began < 2 * TIMEOUTS.service


@pytest.mark.parametrize("ask", [call, cancel, stream])
def test_a_runner_that_sends_byte_by_byte_is_given_up(
    ask: Callable[[RunnerLinks, Address], object],
) -> None:
    """Each read succeeded, so a timeout of reads never ended the call."""
    with (
        Sender(ENDLESS["line"], pause=0.1) as sender,
        RunnerLinks(SystemClock(), TIMEOUTS) as links,
    ):
        began = time.monotonic()
        assert isinstance(ask(links, sender.address), Broken)
        assert time.monotonic() - began < 2 * TIMEOUTS.service


def fetch_hosts(address: Address) -> object:
    return HttpHostList(address).fetch()


def fetch_weights(address: Address) -> object:
    return HttpWeightStore(address).catalogue()


def read_store(address: Address) -> object:
    return Store(address).newest("t")


def read_load(address: Address) -> object:
    return probe.load(address)


FAILURES = (codec.Malformed, Unavailable, probe.PollFailed)


@pytest.mark.parametrize("ask", [fetch_hosts, fetch_weights, read_store, read_load])
@pytest.mark.parametrize("what", ENDLESS)
def test_a_platform_service_that_sends_without_end_is_given_up(
    what: str, ask: Callable[[Address], object]
) -> None:
    with Sender(ENDLESS[what]) as sender:
        with others_run():
            assert isinstance(ask(sender.address), FAILURES)
        assert sender.taken < MAX_TAKEN_BYTES


@pytest.mark.parametrize("ask", [fetch_hosts, fetch_weights, read_load])
def test_a_platform_service_that_sends_byte_by_byte_is_given_up(
    ask: Callable[[Address], object],
) -> None:
    with Sender(ENDLESS["body"], pause=0.1) as sender:
        began = time.monotonic()
        assert isinstance(ask(sender.address), FAILURES)
        assert time.monotonic() - began < 2 * hosts.TIMEOUT_SECONDS


def handlers() -> Handlers:
    return Handlers(HybridClock(SystemClock()), Metrics())


def test_a_peer_that_sends_without_end_is_given_up() -> None:
    with Sender(ENDLESS["head"]) as sender:
        links = PeerLinks(
            "h0/1", "key", handlers(), lambda _: sender.address, SystemClock(), Random()
        )
        with others_run(), links:
            assert not links.probe("h1")
        assert sender.taken < MAX_TAKEN_BYTES


def test_a_caller_of_the_peer_port_that_sends_without_end_is_given_up() -> None:
    address = Address(IP, free_port())
    with PeerServer(address, "key", handlers(), lambda _: True):
        with socket.create_connection((address.ip, address.port)) as sock, others_run():
            sent = 0
            try:
                while sent < SENT_BYTES:
                    sock.sendall(BLOCK)
                    sent += len(BLOCK)
                    gevent.sleep(0)
            except OSError:
                pass
        assert sent < MAX_TAKEN_BYTES
