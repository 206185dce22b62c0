"""Callers and runners that do not read, over sockets."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

import gevent
import pytest

from bench.loopback import IP
from godwitrudder.connection import writers
from godwitrudder.process.forwarding.observer import UNREAD
from godwitrudder.request.backpressure import is_ended_by_caller
from godwitrudder.request.evidence import AttemptEnd, Evidence, evidence_of
from godwitrudder.request.placing.candidate import Candidate
from standins.platform_runner import (
    Impatient,
    ReceivedRequest,
    Step,
    build_response,
    encode_chunk,
    stream_head,
)
from tests.entry_setup import (
    EntrySetup,
    list_runner,
    read_all,
    request,
    run_entry,
    status_of,
)

EVENT_BYTES = 16_000
EVENTS = 250
HELD_BYTES = 400_000
"""Above what a host may read of an answer that its caller does not take."""


def large(seen: ReceivedRequest, _number: int) -> list[Step]:
    """Stream 4 MB to stream routes, impatiently; answer others at once."""
    if "/safe/" in seen.request_line:
        return [build_response(seen, "200 OK", b"hello")]
    chunks = [
        encode_chunk(b"id: %d\ndata: %s\n\n" % (number, b"x" * EVENT_BYTES))
        for number in range(EVENTS)
    ]
    steps: list[Step] = [stream_head(seen)]
    return [*steps, *(Impatient(chunk, 1.2) for chunk in chunks), b"0\r\n\r\n"]


@contextmanager
def slow_caller(setup: EntrySetup, path: str) -> Iterator[socket.socket]:
    """Ask for a stream and read its first bytes only."""
    address = setup.entry.settings.callers
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect((address.ip, address.port))
        sock.sendall(request(path))
        assert sock.recv(100).startswith(b"HTTP/1.1 200")
        yield sock


def only_candidate(setup: EntrySetup) -> Candidate:
    (candidate,) = setup.entry.directory.candidates("s")
    return candidate


def wait_for(setup: EntrySetup, kind: str) -> dict[str, object]:
    """Return the first line of a kind, at most 3 s later."""
    with gevent.Timeout(3.0):
        while True:
            for noted, _, inputs in setup.log.decisions:
                if noted == kind:
                    return inputs
            gevent.sleep(0.01)


def test_a_cut_after_a_stall_is_no_failure_of_the_runner() -> None:
    """Each cut raised the failure share and counted as crash evidence."""
    with run_entry(large) as setup:
        with slow_caller(setup, "/fixed/1") as caller:
            with gevent.Timeout(5.0):
                while not setup.runners[0].cut_off:
                    gevent.sleep(0.01)
            read_all(caller)
        ended = wait_for(setup, "attempt")
        assert str(ended["reason"]).startswith(UNREAD)
        assert wait_for(setup, "caller_slow")["blocked"] > 1.0  # type: ignore
        candidate = only_candidate(setup)
        assert candidate.failures == candidate.silence.timeouts == 0.0
        assert candidate.ejections == 0 and candidate.in_flight == 0
        text = setup.entry.render_metrics().decode()
        assert 'godwitrudder_unread_losses_total{target="s"} 1.0' in text


def test_losses_without_a_stall_remain_failures() -> None:
    """Excusing every loss of a slow caller's stream would hide runners that fail."""
    assert is_ended_by_caller(3.0, 0.1)
    assert not is_ended_by_caller(0.2, 0.1)
    assert not is_ended_by_caller(3.0, 4.0)
    assert evidence_of(AttemptEnd.UNREAD, 0, True) is Evidence.NONE


def test_many_slow_callers_leave_a_sound_one_its_time() -> None:
    """A host read on for callers that take nothing, or served others late."""
    with ExitStack() as stack, run_entry(large) as setup:
        for _ in range(40):
            stack.enter_context(slow_caller(setup, "/fixed/1"))
        began = time.monotonic()
        assert status_of(setup.ask()) == 200
        assert time.monotonic() - began < 0.3
        assert setup.entry._traffic.received < 40 * HELD_BYTES


def test_a_caller_that_takes_nothing_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its connection stayed counted as a failure of the runner."""
    monkeypatch.setattr(writers, "SEND_SECONDS", 0.3)
    monkeypatch.setattr(writers, "MIN_TAKEN_BYTES_PER_SECOND", 1e9)
    with run_entry(large) as setup, slow_caller(setup, "/fixed/1"):
        wait_for(setup, "caller_closed")
        assert only_candidate(setup).failures == 0.0
        assert "callers_closed_total 1.0" in setup.entry.render_metrics().decode()


class DeafRunner:
    """A runner that accepts connections and reads nothing."""

    def __init__(self, sock: socket.socket) -> None:
        self.address = "{}:{}".format(*sock.getsockname())


@pytest.mark.parametrize("size", [60_000, 3_000_000])
def test_a_request_that_is_not_read_ends_at_its_deadline(size: int) -> None:
    """Sending took up to 15 s, or the kernel gave up a live runner after 1.5 s."""
    with socket.create_server((IP, 0)) as server, run_entry() as setup:
        server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        list_runner(setup.store, 0, DeafRunner(server))  # type: ignore[arg-type]
        wait_for(setup, "runner_listed")
        began = time.monotonic()
        answer = setup.ask("/unsafe/1", "POST", body=b"x" * size)
        assert status_of(answer) == 504
        assert 1.8 < time.monotonic() - began < 2.5
        assert wait_for(setup, "attempt")["reason"] == "no response in time"
