"""Answers of faulty runners."""

from __future__ import annotations

import pytest

from standins.platform_runner import (
    Close,
    ReceivedRequest,
    Script,
    Step,
    build_response,
)
from tests.entry_setup import good, run_entry, status_of, streaming

NOT_RUN = "X-Godwitrudder-Not-Executed: 1"


def repeated_refusal(echo: bool) -> Script:
    """Return the script of a runner that runs a request after an earlier refusal."""

    def script(seen: ReceivedRequest, number: int) -> list[Step]:
        refusal = build_response(seen, "503 Full", b"", NOT_RUN, signed=False)
        lines = refusal.decode().split("\r\n")
        lines = [
            (
                "X-Godwitrudder-Request-Id: r-0"
                if line.startswith("X-Godwitrudder-R")
                else line
            )
            for line in lines
            if echo or not line.startswith("X-Godwitrudder-Request-Id")
        ]
        stale = "\r\n".join(lines).encode()
        answer = build_response(seen, "200 OK", b"hello")
        return [answer] if number == 0 else [stale, 0.05, answer]

    return script


@pytest.mark.parametrize("path", ["/unsafe/1", "/safe/1"])
def test_a_refusal_without_an_id_on_a_kept_connection_proves_nothing(path: str) -> None:
    """The copy may be of a refusal of another request."""
    with run_entry(repeated_refusal(echo=False)) as setup:
        assert status_of(setup.ask(path, "POST")) == 200
        assert status_of(setup.ask(path, "POST")) not in (408, 421, 429, 503)


def test_an_unsafe_request_is_not_repeated_after_a_refusal_without_an_id() -> None:
    with run_entry(repeated_refusal(echo=False), repeated_refusal(echo=False)) as setup:
        for _ in range(4):
            setup.ask("/unsafe/1", "POST")
        ran = sum(len(runner.received_requests) for runner in setup.runners)
        assert ran == 4


def test_a_refusal_of_an_earlier_request_is_skipped() -> None:
    with run_entry(repeated_refusal(echo=True)) as setup:
        assert status_of(setup.ask("/unsafe/1", "POST")) == 200
        assert setup.ask("/unsafe/1", "POST").endswith(b"hello")


@pytest.mark.parametrize("status", ["500 Error", "404 Not Found", "503 Full"])
def test_an_error_of_the_next_runner_does_not_end_up_in_a_stream(status: str) -> None:
    """Neither its text nor an end that looks whole."""

    def broken_then_failing(seen: ReceivedRequest, number: int) -> list[Step]:
        if "last-event-id" not in seen.headers:
            return streaming(0, 1, whole=False)(seen, number)
        return [build_response(seen, status, b"error text")]

    with run_entry(broken_then_failing, broken_then_failing) as setup:
        data = setup.ask("/stream/1", "POST", body=b"x")
        assert status_of(data) == 200
        assert data.count(b"HTTP/1.1") == 1
        assert b"piece 1" in data
        assert b"error text" not in data
        assert not data.endswith(b"0\r\n\r\n")
        assert "failed" in [kind for kind, _, _ in setup.log.decisions]
        for runner in setup.runners:
            runner.script = good
        assert setup.ask().endswith(b"hello")


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\nX-Godwitrudder-Response-Signature: proof\r\n",
        b"HTTP/1.1 200 OK\r\nX-Godwitrudder-Response-Signature: proof\r\nContent-Le",
        b"HTTP/1.1 200 OK\r\nX-Godwitrudder-Response-Signature: proof\r\nA: b\r",
        b"HTTP/1.1 200 O",
    ],
)
@pytest.mark.parametrize("path", ["/unsafe/1", "/stream/1", "/fixed/1"])
def test_an_answer_that_ends_in_its_head_is_no_success(head: bytes, path: str) -> None:
    """Whatever part of the head has come."""

    def cut(_seen: ReceivedRequest, _number: int) -> list[Step]:
        return [head, Close()]

    with run_entry(cut, cut) as setup:
        assert status_of(setup.ask(path, "POST", body=b"x")) == 502
