"""Tests that chunks from runners arrive once and in order, and that unsent is known."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import gevent
import pytest
from gevent.server import StreamServer

from bench.callers import post
from bench.fleet import Fleet
from bench.loopback import IP
from godwitrudder.clock import SystemClock
from godwitrudder.connection.runner import Broken, LinkTimeouts, Reply, RunnerLinks
from godwitrudder.request.answer import Chunk, Prompt, Usage
from godwitrudder.validation import Address
from standins.batch import answer_length, token_text

ADDRESS = Address(IP, 8390)
SHORT_TIMEOUTS = LinkTimeouts(connect=0.5, progress=0.3, stall=0.8, service=0.5)
PROMPT = Prompt(({"role": "user", "content": "x"},), "m", 8, 0.0)
HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
LOST = b"HTTP/1.1 404 Lost\r\nContent-Length: 0\r\n\r\n"
LEAVING = b"HTTP/1.1 503 Leaving\r\nContent-Length: 0\r\n\r\n"
HANG = b"hang"


def token(index: int) -> bytes:
    """Return a chunk whose text is its index."""
    delta = {"choices": [{"delta": {"content": str(index)}}]}
    return f"id: {index}\ndata: {json.dumps(delta)}\n\n".encode()


def end(count: int) -> bytes:
    """Return the usage and the end marker of a stream of ``count`` tokens."""
    usage = {"usage": {"prompt_tokens": 1, "completion_tokens": count}}
    return f"data: {json.dumps(usage)}\n\ndata: [DONE]\n\n".encode()


def tokens(*indices: int) -> bytes:
    """Return several chunks."""
    return b"".join(token(index) for index in indices)


class ScriptedRunner:
    """A runner that sends one prepared text per connection.

    ``asked`` has each request's ``Last-Event-ID``, or its method if it has none.
    """

    def __init__(self, *texts: bytes) -> None:
        self.texts = list(texts)
        self.asked: list[str] = []
        self._server = StreamServer((ADDRESS.ip, ADDRESS.port), self._serve)

    def __enter__(self) -> ScriptedRunner:
        """Start listening."""
        self._server.start()
        return self

    def __exit__(self, *error: object) -> None:
        """Stop listening."""
        self._server.stop(timeout=0)

    def _serve(self, sock: Any, address: object) -> None:
        head = sock.recv(65536).decode()
        resumed = [x[15:] for x in head.split("\r\n") if x.startswith("Last-Event-ID")]
        self.asked.append(resumed[0] if resumed else head.split()[0])
        text = self.texts.pop(0) if self.texts else LOST
        sock.sendall(text.removesuffix(HANG))
        if text.endswith(HANG):
            gevent.sleep(30)
        sock.close()


CASES: list[tuple[str, list[bytes], str, list[str]]] = [
    ("whole", [HEAD + tokens(0, 1) + end(2)], "01 whole", ["POST"]),
    ("repeated chunks", [HEAD + tokens(0, 0, 1, 0) + end(2)], "01 whole", ["POST"]),
    (
        "broken",
        [HEAD + tokens(0, 1), HEAD + tokens(2) + end(3)],
        "012 whole",
        ["POST", "1"],
    ),
    (
        "silent",
        [HEAD + tokens(0) + HANG, HEAD + tokens(0, 1) + end(2)],
        "01 whole",
        ["POST", "0"],
    ),
    (
        "a chunk is missing, then it is there",
        [HEAD + tokens(0, 2), HEAD + tokens(1, 2) + end(3)],
        "012 whole",
        ["POST", "0"],
    ),
    (
        "a chunk is missing for good",
        [HEAD + tokens(0, 2) + end(3)] * 9,
        "0 sent",
        ["POST", "0", "0"],
    ),
    (
        "the end is missing",
        [HEAD + tokens(0) + end(2)] * 9,
        "0 sent",
        ["POST", "0", "0"],
    ),
    ("the engine forgot it", [HEAD + tokens(0), LOST], "0 sent", ["POST", "0"]),
    ("nothing but garbage", [b"\x00garbage", LOST], " sent", ["POST", "-1"]),
    ("takes no new work", [LEAVING], " not sent", ["POST"]),
]


@pytest.mark.parametrize(("name", "texts", "expected", "asked"), CASES)
def test_attempt(
    name: str, texts: list[bytes], expected: str, asked: list[str]
) -> None:
    """Chunks arrive once and in order; usage arrives only after a complete answer."""
    with (
        ScriptedRunner(*texts) as script,
        RunnerLinks(SystemClock(), SHORT_TIMEOUTS) as links,
    ):
        events = list(links.start(ADDRESS, "attempt", PROMPT, 0))
    text = "".join(event.text for event in events if isinstance(event, Chunk))
    last = events[-1]
    if isinstance(last, Broken):
        word = "sent" if last.sent else "not sent"
    else:
        assert isinstance(last, Usage)
        word = "whole"
    assert (f"{text} {word}", script.asked) == (expected, asked)


CALLS: list[tuple[str, list[bytes], str]] = [
    ("answered", [b"HTTP/1.1 201 Made\r\nContent-Length: 2\r\n\r\nok"], "201 ok"),
    ("closed without an answer", [b""], "sent"),
    ("cut in the answer", [b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"], "sent"),
    ("silent", [HANG], "sent"),
]


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE"])
@pytest.mark.parametrize(("name", "texts", "expected"), CALLS)
def test_service_is_called_once(
    name: str, texts: list[bytes], expected: str, method: str
) -> None:
    """A call is never sent on a second connection, whatever fails after its start."""
    with (
        ScriptedRunner(*texts) as script,
        RunnerLinks(SystemClock(), SHORT_TIMEOUTS) as links,
    ):
        reply = links.call(ADDRESS, method, "/x", b"body", {})
    if isinstance(reply, Reply):
        assert f"{reply.status} {reply.body.decode()}" == expected
    else:
        assert ("sent" if reply.sent else "not sent") == expected
    assert script.asked == [method]


def test_closed_port_is_not_sent() -> None:
    """Only a connection that never opened counts as not sent."""
    with RunnerLinks(SystemClock(), SHORT_TIMEOUTS) as links:
        reply = links.call(ADDRESS, "POST", "/x", b"body", {})
        events = list(links.start(ADDRESS, "attempt", PROMPT, 0))
    assert isinstance(reply, Broken) and not reply.sent
    assert [isinstance(e, Broken) and not e.sent for e in events] == [True]


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    """Yield a fleet of one daemon with two slow engines."""
    with Fleet(daemons=1, engines=2, services=1) as fleet:
        fleet.daemons[0].links.timeouts = SHORT_TIMEOUTS
        for engine in fleet.engines:
            engine.faults.set({"slow": 15.0})
        yield fleet


@pytest.mark.parametrize("fault", ["silent_open", "death"])
def test_answer_survives_its_runner(fleet: Fleet, fault: str) -> None:
    """A silent connection is replaced; a dead engine's answer continues on another."""
    question = "Where is buoy 9"
    body = {
        "model": "rudder-llm",
        "messages": [{"role": "user", "content": question}],
        "max_tokens": 64,
    }
    call = gevent.spawn(
        post,
        fleet.daemons[0].settings.caller,
        "/v1/chat/completions",
        "penghu-registry-key",
        body,
    )
    with gevent.Timeout(30):
        while not any(
            s.generated_tokens > 2
            for e in fleet.engines
            for s in e.streams_by_attempt.values()
        ):
            gevent.sleep(0.01)
    engine = next(e for e in fleet.engines if e.streams_by_attempt)
    if fault == "death":
        engine.crash()
    else:
        engine.faults.set({"silent_open": True})
    status, data = call.get(timeout=60)
    length = answer_length(question, 64)
    assert status == 200
    answer = json.loads(data)
    assert answer["choices"][0]["message"]["content"] == "".join(
        token_text(question, index) for index in range(length)
    )
    assert answer["usage"]["completion_tokens"] == length
    streams = [s for e in fleet.engines for s in e.streams_by_attempt.values()]
    assert [s.start > 0 for s in streams] == [fault == "death"]


DEAD: list[tuple[str, int, int, str]] = [
    ("one of two is dead", 1, 200, ""),
    ("all are dead", 2, 503, "not_run"),
]


@pytest.mark.parametrize(("name", "dead", "status", "ran"), DEAD)
def test_call_that_was_not_sent_goes_elsewhere(
    name: str, dead: int, status: int, ran: str
) -> None:
    """An unsent call moves to another runner, even if it is not idempotent.

    It runs exactly once.
    """
    with Fleet(daemons=1, engines=1, services=2) as fleet:
        for service in fleet.services[:dead]:
            service.crash()
        address = fleet.daemons[0].settings.caller
        path = "/services/registry-app/transfers"
        for number in range(6):
            headers = {"Idempotency-Key": f"t{number}"}
            answer_status, data = post(
                address, path, "penghu-registry-key", {}, headers
            )
            assert answer_status == status
            assert not ran or json.loads(data)["error"]["ran"] == ran
        runs = sum(sum(s.runs_by_request.values()) for s in fleet.services)
        assert runs == (6 if status == 200 else 0)
