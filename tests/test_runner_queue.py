"""Requests that wait for headroom at one host, over real sockets."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace

import gevent
import pytest
from gevent import Greenlet, socket

from godwitrudder.options import Options, Queueing
from standins.platform_runner import ReceivedRequest, Script, Step, build_response
from tests.entry_setup import EntrySetup, read_all, request, run_entry, status_of

SLOTS = 4


def slow(seconds: float, *headers: str) -> Script:
    """Answer after a while."""

    def script(seen: ReceivedRequest, _number: int) -> list[Step]:
        return [seconds, build_response(seen, "200 OK", b"hello", *headers)]

    return script


def set_queueing(setup: EntrySetup, queueing: Queueing) -> None:
    """Replace the options, as a reload does."""
    options = Options(queueing=queueing)
    setup.entry.settings = replace(setup.entry.settings, options=options)


def ask(setup: EntrySetup, deadline_ms: int = 2000) -> Greenlet:
    """Send a request that may not be repeated; the greenlet returns the answer."""

    def send() -> bytes:
        address = setup.entry.settings.callers
        with socket.create_connection((address.ip, address.port)) as sock:
            data = request("/unsafe/1", "POST", body=b"x")
            sock.sendall(data.replace(b"2000", str(deadline_ms).encode()))
            return read_all(sock)

    return gevent.spawn(send)


@contextmanager
def run_full(script: Script) -> Iterator[tuple[EntrySetup, list[Greenlet]]]:
    """Run an entry whose only runner works on as many requests as it can."""
    with run_entry(script) as setup:
        set_queueing(setup, Queueing.ON)
        first = [ask(setup) for _ in range(SLOTS)]
        gevent.sleep(0.1)
        assert len(setup.runners[0].received_requests) == SLOTS
        yield setup, first
        gevent.joinall(first)


def outcomes(setup: EntrySetup, kind: str) -> list[object]:
    """Return why requests were refused, or another field of the log lines."""
    lines = [inputs for name, _, inputs in setup.log.decisions if name == kind]
    return [line.get("why", line.get("on")) for line in lines]


def test_a_request_waits_for_a_slot() -> None:
    """More requests than slots must not reach the runner at once, nor be refused."""
    with run_full(slow(0.4)) as (setup, first):
        more = [ask(setup) for _ in range(3)]
        gevent.sleep(0.15)
        assert len(setup.runners[0].received_requests) == SLOTS
        metrics = setup.entry.render_metrics()
        assert b'godwitrudder_queue_length{target="s"} 3.0' in metrics
        gevent.joinall(first + more)
        assert [status_of(each.value) for each in first + more] == [200] * 7


def test_without_queueing_every_request_goes_at_once() -> None:
    """The option off must leave the path as it was."""
    with run_full(slow(0.4)) as (setup, _):
        set_queueing(setup, Queueing.OFF)
        ask(setup).join()
        assert len(setup.runners[0].received_requests) == SLOTS + 1


def test_a_reload_that_ends_queueing_starts_what_waits() -> None:
    """Requests must not wait for a queue that is off by now."""
    with run_full(slow(0.8)) as (setup, _):
        waiting = ask(setup)
        gevent.sleep(0.1)
        set_queueing(setup, Queueing.OFF)
        gevent.sleep(0.15)
        assert len(setup.runners[0].received_requests) == SLOTS + 1
        waiting.join()


@pytest.mark.parametrize(("figures", "on"), [("1,0,4,250", True), ("1,0,4", False)])
def test_reported_times_of_work_switch_the_queue_on(figures: str, on: bool) -> None:
    """Targets whose headroom is not known to vary must be served as before."""
    with run_entry(slow(0.01, f"X-Godwitrudder-Server-Load: {figures}")) as setup:
        ask(setup).join()
        ask(setup).join()
        assert outcomes(setup, "queueing") == ([True] if on else [])


def test_a_host_without_requests_starts_one_at_a_full_runner() -> None:
    """Where hosts outnumber slots, none may wait while all slots could be free."""
    with run_entry(slow(0.3, "X-Godwitrudder-Server-Load: 4,9,4,100")) as setup:
        set_queueing(setup, Queueing.ON)
        ask(setup).join()
        asked = [ask(setup) for _ in range(2)]
        gevent.sleep(0.15)
        assert len(setup.runners[0].received_requests) == 2
        gevent.joinall(asked)
        assert [status_of(each.value) for each in asked] == [200, 200]


def test_a_caller_that_leaves_while_it_waits_is_never_sent() -> None:
    """A request without a caller must not take a slot."""
    with run_full(slow(0.5)) as (setup, first):
        waiting = ask(setup)
        gevent.sleep(0.1)
        waiting.kill()
        gevent.joinall(first)
        last = ask(setup)
        last.join()
        assert status_of(last.value) == 200
        assert len(setup.runners[0].received_requests) == SLOTS + 1
        metrics = setup.entry.render_metrics()
        assert b'outcome="caller_gone",target="s"} 1.0' in metrics
        assert b'godwitrudder_queue_length{target="s"} 0.0' in metrics


def test_a_deadline_passes_in_the_queue() -> None:
    """A request that never started must be refused as not run, and not be sent."""
    with run_full(slow(1.0)) as (setup, _):
        waiting = ask(setup, deadline_ms=400)
        waiting.join()
        assert status_of(waiting.value) == 503
        assert b'"not_run"' in waiting.value and b'"overloaded"' in waiting.value
        assert outcomes(setup, "queue_refused") == ["deadline"]
    assert len(setup.runners[0].received_requests) == SLOTS


def test_too_little_time_is_refused_on_arrival() -> None:
    """A request that cannot end in time must not wait for its deadline."""
    with run_full(slow(1.0)) as (setup, _):
        began = time.monotonic()
        waiting = ask(setup, deadline_ms=250)
        waiting.join()
        assert time.monotonic() - began < 0.2
        assert b"Retry-After: " in waiting.value.replace(b"retry-after", b"Retry-After")
        assert outcomes(setup, "queue_refused") == ["expected_wait"]


def test_a_draining_host_refuses_what_waits() -> None:
    """Requests that wait must come back at another host while there is time."""
    with run_full(slow(0.8)) as (setup, first):
        waiting = ask(setup)
        gevent.sleep(0.1)
        stopping = gevent.spawn(setup.entry.stop)
        waiting.join(0.2)
        assert status_of(waiting.value) == 503
        assert b'"not_run"' in waiting.value
        assert outcomes(setup, "queue_refused") == ["draining"]
        gevent.joinall(first)
        assert [status_of(each.value) for each in first] == [200] * SLOTS
        stopping.kill()


def test_a_crash_frees_what_the_runner_worked_on() -> None:
    """Requests must not wait for work that ended with its runner."""
    with run_full(slow(1.5)) as (setup, _):
        waiting = ask(setup)
        gevent.sleep(0.1)
        setup.runners[0].crash(0.2)
        began = time.monotonic()
        waiting.join()
        assert time.monotonic() - began < 1.0
        assert not outcomes(setup, "queue_refused")
