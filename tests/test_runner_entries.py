"""Tests of runners that leave, come back, or lose their entries in the store."""

from __future__ import annotations

import time

import gevent
import pytest

from godwitrudder.connection.http import RunnerLink
from godwitrudder.connection.traffic import Traffic
from godwitrudder.platform import names
from godwitrudder.platform.engine_report import loaded_models
from godwitrudder.process.directory import RELIST_SECONDS, STORE_SILENT_AFTER_SECONDS
from godwitrudder.validation import Address
from standins.platform_runner import (
    PlatformRunner,
    ReceivedRequest,
    Script,
    Step,
    build_response,
)
from tests.entry_setup import good, rejecting, run_entry, status_of


def test_a_malformed_runner_record_is_ignored() -> None:
    with run_entry(good) as setup:
        for key, value in (("x", "text"), ("y", {"service": "s", "state": "odd"})):
            setup.store.put(names.RUNNERS_TOPIC, key, value)
        gevent.sleep(0.6)
        assert [c.entry.id for c in setup.entry.directory.candidates("s")] == ["i-0"]
        assert status_of(setup.ask()) == 200


def replaced(seen: ReceivedRequest, _number: int) -> list[Step]:
    return [build_response(seen, "421 Misdirected Request", b"", signed=False)]


def test_a_runner_that_was_replaced_is_left_out_until_it_is_listed_anew() -> None:
    """Hosts that could not read the store chose an address again that answered 421."""
    with run_entry(good, replaced) as setup:
        other = setup.runners[1]
        for _ in range(12):
            assert status_of(setup.ask()) == 200
        assert len(other.received_requests) <= 1
        other.script = good
        record = {"service": "s", "address": other.address, "state": "ready"}
        setup.store.put(names.RUNNERS_TOPIC, "i-1", {**record, "slots": 4})
        gevent.sleep(0.6)
        setup.runners[0].script = rejecting
        assert status_of(setup.ask()) == 200


def come_back(models: str) -> Script:
    """Return the script of the instance ``i-new`` at the address of another one."""

    def script(seen: ReceivedRequest, _number: int) -> list[Step]:
        if seen.request_line.startswith("GET /api/report"):
            body = b'{"models":[%s]}' % models.encode()
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            return [head.encode() + body]
        if seen.headers["x-godwitrudder-expect-instance"] == "i-new":
            return good(seen, 0)
        new = "X-Godwitrudder-Instance-Id: i-new"
        return [build_response(seen, "421 Misdirected Request", b"", new, signed=False)]

    return script


@pytest.mark.parametrize(("models", "used"), [('{"name":"m"}', True), ("", False)])
def test_a_runner_that_came_back_serves_while_the_store_is_silent(
    models: str, used: bool
) -> None:
    """Two of six runners stood idle for 5 s: they had come back under a new id."""
    with run_entry(come_back(models)) as setup:
        setup.store.faults.set({"down": True})
        gevent.sleep(STORE_SILENT_AFTER_SECONDS + 1.0)
        assert status_of(setup.ask()) == 503
        gevent.sleep(0.1)
        assert status_of(setup.ask()) == (200 if used else 503)
        setup.store.faults.set({"down": False})
        gevent.sleep(RELIST_SECONDS + 1.0)  # the store does not list it
        assert status_of(setup.ask()) == 503


def test_a_report_without_end_is_given_up() -> None:
    traffic = Traffic()

    def endless(_seen: ReceivedRequest, _number: int) -> list[Step]:
        return [b"HTTP/1.1 200 OK\r\n\r\n", *[b"x" * 65536] * 500]

    with PlatformRunner(endless) as runner:
        began = time.monotonic()
        address = Address("127.0.0.1", int(runner.address.rpartition(":")[2]))
        assert isinstance(loaded_models(address, traffic), str)
    assert traffic.received < 500 * 65536
    assert time.monotonic() - began < 5.0


def test_an_entry_removed_just_after_the_store_returned_ends_new_requests() -> None:
    """DRAIN: a leaving runner was used until a live one would have been back."""
    with run_entry(good, good, good) as setup:
        # The first read counts as a return of the store.
        setup.store.put(names.RUNNERS_TOPIC, "i-1", None)
        gevent.sleep(0.6)
        before = len(setup.runners[1].received_requests)
        for _ in range(12):
            setup.ask()
        assert len(setup.runners[1].received_requests) == before


def test_a_runner_that_leaves_during_a_connect_gets_no_request() -> None:
    with run_entry(good) as setup:
        candidate = setup.entry.directory.candidates("s")[0]
        take = setup.entry.pool.take

        def take_late(runner: str, address: Address) -> RunnerLink | str:
            candidate.gone = True
            return take(runner, address)

        setup.entry.pool.take = take_late  # type: ignore[method-assign]
        assert status_of(setup.ask()) == 503
        assert not setup.runners[0].received_requests


def test_connections_of_a_runner_that_is_gone_are_closed() -> None:
    """Guards against a leak of a few file descriptors for each replaced runner."""
    with run_entry(good) as setup:
        setup.ask()
        assert setup.entry.pool.idle == 1
        setup.store.put(names.RUNNERS_TOPIC, "i-0", None)
        # The first read counts as a return of the store; removals wait RELIST_SECONDS.
        gevent.sleep(RELIST_SECONDS + 1.0)
        assert setup.entry.pool.idle == 0


def test_a_slow_read_does_not_keep_a_runner_that_has_left() -> None:
    """DRAIN: reads of 0.7 s on a full link counted as outages of the store."""
    with run_entry(good, good) as setup:
        gevent.sleep(RELIST_SECONDS + 0.2)  # the first read counts as a return
        setup.store.faults.set({"delay_seconds": 0.7})
        gevent.sleep(2.5)
        setup.store.put(names.RUNNERS_TOPIC, "i-1", None)
        gevent.sleep(1.5)
        assert [c.entry.id for c in setup.entry.directory.candidates("s")] == ["i-0"]


def test_a_missing_runner_is_dropped_in_time_though_the_next_read_is_late() -> None:
    """DRAIN: it got requests for 0.8 s longer, until the next read had ended."""
    with run_entry(good, good) as setup:
        setup.store.put(names.RUNNERS_TOPIC, "i-1", None)
        gevent.sleep(0.6)
        assert len(setup.entry.directory.candidates("s")) == 2
        setup.store.faults.set({"delay_seconds": 30.0})
        gevent.sleep(RELIST_SECONDS)
        assert [c.entry.id for c in setup.entry.directory.candidates("s")] == ["i-0"]
