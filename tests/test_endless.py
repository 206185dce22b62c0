"""Tests against runners and stores that send endlessly, or only comments."""

from __future__ import annotations

import resource
import time
from collections.abc import Callable

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from bench.loopback import IP
from godwitrudder.connection.http import MAX_UNFORWARDED_BYTES
from godwitrudder.platform.store import Store, Unavailable
from godwitrudder.request.event_stream import EventReader
from godwitrudder.validation import Address
from standins.platform_runner import (
    ReceivedRequest,
    Step,
    build_event,
    build_response,
    encode_chunk,
    stream_head,
)
from tests.entry_setup import run_entry

BLOCK = b"x" * 65_536
BLOCKS = 400
"""25 MB in all: far above every limit, but finite, so that the test ends."""


def endless_head(seen: ReceivedRequest) -> list[Step]:
    return [b"HTTP/1.1 200 OK\r\nX-More: ", *[BLOCK] * BLOCKS]


def endless_garbage(seen: ReceivedRequest) -> list[Step]:
    garbage: Step = BLOCK
    return [garbage] * BLOCKS


def endless_interim(seen: ReceivedRequest) -> list[Step]:
    interim: Step = b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000
    return [interim] * BLOCKS


def endless_body(seen: ReceivedRequest) -> list[Step]:
    head = build_response(seen, "200 OK", b"").replace(
        b"Length: 0", b"Length: 99999999"
    )
    return [head, *[BLOCK] * BLOCKS]


def endless_foreign(seen: ReceivedRequest) -> list[Step]:
    other = ReceivedRequest("", {"x-godwitrudder-request-id": "another"}, b"")
    foreign: Step = build_response(other, "200 OK", b"another's" * 1_000)
    return [foreign] * BLOCKS * 10


def endless_extension(seen: ReceivedRequest) -> list[Step]:
    return [stream_head(seen), b"5;", *[BLOCK] * BLOCKS]


def endless_trailer(seen: ReceivedRequest) -> list[Step]:
    return [stream_head(seen), b"0\r\nX-More: ", *[BLOCK] * BLOCKS]


def endless_event(seen: ReceivedRequest) -> list[Step]:
    return [
        stream_head(seen),
        encode_chunk(build_event(1)),
        *[encode_chunk(BLOCK)] * BLOCKS,
    ]


Endless = Callable[[ReceivedRequest], list[Step]]
PLAIN_ANSWERS = [
    endless_head,
    endless_garbage,
    endless_interim,
    endless_body,
    endless_foreign,
    endless_extension,
    endless_trailer,
]


@pytest.mark.parametrize("endless", PLAIN_ANSWERS)
def test_bytes_without_end_are_given_up(endless: Endless) -> None:
    """Guards against reading a runner's endless response past the deadline.

    The deadline was not checked while data kept arriving.
    """
    with run_entry(lambda seen, number: endless(seen)) as each:
        began = time.monotonic()
        response = each.ask("/unsafe/1", method="POST", body=b"{}")
        assert b"HTTP/1.1 502" in response or b"HTTP/1.1 504" in response
        assert time.monotonic() - began < 2.0
        assert [note for note in each.log.decisions if note[0] == "attempt"]


def test_an_event_without_end_breaks_the_stream() -> None:
    with run_entry(lambda seen, number: endless_event(seen)) as each:
        response = each.ask("/fixed/1", method="POST", body=b"{}")
        assert b"piece 1" in response
        assert not response.endswith(b"0\r\n\r\n")
        assert len(response) < MAX_UNFORWARDED_BYTES


def test_many_endless_runners_leave_memory_and_other_callers_alone() -> None:
    """200 concurrent endless answers neither fill the memory nor delay others."""

    def script(seen: ReceivedRequest, number: int) -> list[Step]:
        if "/endless" in seen.request_line:
            return endless_body(seen)
        return [build_response(seen, "200 OK", b"good")]

    with run_entry(script, script) as each:
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        asks = [
            gevent.spawn(each.ask, "/unsafe/endless", "POST", body=b"{}")
            for _ in range(200)
        ]
        gevent.sleep(0.05)
        assert b"good" in each.ask("/safe/1")
        gevent.joinall(asks, timeout=20)
        grown = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
        assert all(b" 50" in ask.value[:13] for ask in asks)
        assert grown < 150_000  # KB: 50 MB of the entry, and the stand-in's data


def test_a_stream_with_only_comments_resumes_at_another_runner() -> None:
    """Guards against comments that extend the timeout of a stalled runner."""

    asked: list[ReceivedRequest] = []

    def script(seen: ReceivedRequest, number: int) -> list[Step]:
        asked.append(seen)
        if len(asked) > 1:
            return [stream_head(seen), encode_chunk(build_event(2)), encode_chunk(b"")]
        comments: list[Step] = []
        for _ in range(40):
            comments += [0.1, encode_chunk(b": still here\n\n")]
        return [stream_head(seen), encode_chunk(build_event(1)), *comments]

    with run_entry(script, script) as each:
        response = each.ask("/stream/1", method="POST", body=b"{}")
    assert [seen.headers.get("last-event-id") for seen in asked] == [None, "1"]
    assert b"piece 1" in response and b"piece 2" in response
    assert response.endswith(b"0\r\n\r\n")


def test_events_are_found_across_any_cut() -> None:
    data = build_event(1) + b": c\r\n\r\n" + build_event(2)
    for size in range(1, len(data)):
        reader = EventReader()
        got = [
            each
            for at in range(0, len(data), size)
            for each in reader.feed(data[at : at + size])
        ]
        assert [each.id for each in got] == [1, None, 2]
        assert [each.comment for each in got] == [False, True, False]


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\nX-More: ",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"",
    ],
)
def test_a_store_that_sends_without_end_is_out_of_reach(head: bytes) -> None:
    def serve(sock: socket.socket, _address: object) -> None:
        sock.recv(65_536)
        try:
            sock.sendall(head)
            for _ in range(BLOCKS):
                sock.sendall(BLOCK)
        except OSError:
            pass  # expected: the client closed the connection

    server = StreamServer((IP, 0), serve)
    server.start()
    store = Store(Address(IP, server.server_port))
    began = time.monotonic()
    assert isinstance(store.newest("t"), Unavailable)
    assert time.monotonic() - began < 2.0
    store.close()
    server.stop()
