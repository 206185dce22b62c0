"""Tests of one entry process over loopback: what callers receive, what runners get."""

from __future__ import annotations

import socket
import time
from pathlib import Path

import gevent
import pytest

from godwitrudder.connection import shape
from godwitrudder.error_messages import TEXT_BY_REASON
from godwitrudder.options import Options
from godwitrudder.platform import names
from godwitrudder.process.entry_main import watch_settings
from standins.platform_runner import (
    ReceivedRequest,
    Script,
    Step,
    build_event,
    build_response,
)
from tests.entry_setup import (
    configuration,
    garbled,
    good,
    late_extra,
    rejecting,
    request,
    resetting,
    resumed,
    run_entry,
    short,
    silent,
    status_of,
    streaming,
    unsigned,
)


def test_an_answer_is_passed_on_with_its_signature() -> None:
    with run_entry(good) as setup:
        data = setup.ask()
        seen = setup.runners[0].received_requests[0].headers
    assert status_of(data) == 200 and data.endswith(b"hello")
    assert b"x-godwitrudder-response-signature: proof" in data.lower()
    assert "authorization" not in seen
    assert seen["x-godwitrudder-tenant"] == "w"
    assert seen["x-godwitrudder-expect-instance"] == "i-0"
    assert 0 < int(seen["x-godwitrudder-deadline-ms"]) <= 2000


def test_a_caller_cannot_set_headers_of_the_system() -> None:
    forged = (
        "X-Godwitrudder-Tenant: other\r\nX-Godwitrudder-Hold: h\r\n"
        "X-Godwitrudder-Pin-Ms: 9\r\nKv-From: 1.2.3.4:5/6\r\nX-Other: kept\r\n"
    )
    with run_entry(good) as setup:
        setup.ask(headers=forged)
        seen = setup.runners[0].received_requests[0].headers
    assert seen["x-godwitrudder-tenant"] == "w" and seen["x-other"] == "kept"
    for name in ("x-godwitrudder-hold", "x-godwitrudder-pin-ms", "kv-from"):
        assert name not in seen


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/none/1", "key-1", 404), ("/safe/1", "other", 401), ("/safe", "key-1", 404)],
)
def test_a_bad_request_reaches_no_runner(path: str, key: str, status: int) -> None:
    with run_entry(good) as setup:
        assert status_of(setup.ask(path, key=key)) == status
        assert not setup.runners[0].received_requests


@pytest.mark.parametrize(
    "headers",
    [
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\nContent-Length: 5\r\n",
        "X-Godwitrudder-Request-Id: r-2\r\n",
        "X-Godwitrudder-Token-Count: many\r\n",
    ],
)
def test_an_ambiguous_request_is_rejected(headers: str) -> None:
    with run_entry(good) as setup:
        data = setup.ask(headers=headers, method="POST")
        assert status_of(data) == 400
        assert not setup.runners[0].received_requests


@pytest.mark.parametrize(
    "fault", [rejecting, silent, resetting, garbled, short, unsigned]
)
def test_a_safe_request_goes_to_another_runner(fault: Script) -> None:
    calls: list[int] = []

    def failing_once(seen: ReceivedRequest, number: int) -> list[Step]:
        calls.append(1)
        return fault(seen, number) if len(calls) == 1 else good(seen, number)

    with run_entry(failing_once, failing_once) as setup:
        data = setup.ask()
    assert status_of(data) == 200 and data.endswith(b"hello")
    assert len(calls) == 2


@pytest.mark.parametrize(
    ("fault", "status"),
    [(rejecting, 503), (resetting, 502), (garbled, 502), (short, 502), (unsigned, 502)],
)
def test_an_unsafe_request_is_retried_only_if_it_did_not_run(
    fault: Script, status: int
) -> None:
    with run_entry(fault, fault) as setup:
        data = setup.ask("/unsafe/1", method="POST", body=b"x")
        received = sum(len(runner.received_requests) for runner in setup.runners)
    assert status_of(data) == status
    assert received == (2 if fault is rejecting else 1)
    assert (b"retry-after" in data.lower()) == (status == 503)


def test_a_connection_with_an_unsolicited_answer_is_not_reused() -> None:
    with run_entry(late_extra) as setup:
        first = setup.ask()
        gevent.sleep(0.05)
        second = setup.ask()
    assert first.endswith(b"hello") and second.endswith(b"hello")


def test_a_broken_stream_resumes_at_another_runner() -> None:
    with run_entry(resumed, resumed) as setup:
        data = setup.ask("/stream/1", method="POST", body=b"x")
    pieces = [data.count(build_event(number)) for number in range(4)]
    assert pieces == [1, 1, 1, 1] and data.endswith(b"0\r\n\r\n")


def test_a_broken_stream_that_is_not_resumable_never_looks_complete() -> None:
    with run_entry(streaming(0, 1, whole=False)) as setup:
        data = setup.ask("/fixed/1", method="POST", body=b"x")
    assert data.count(build_event(1)) == 1 and not data.endswith(b"0\r\n\r\n")


def test_a_runner_connection_is_closed_when_the_caller_disconnects() -> None:
    with run_entry(silent) as setup:
        address = setup.entry.settings.callers
        sock = socket.create_connection((address.ip, address.port))
        sock.sendall(request("/fixed/1", "POST", body=b"x"))
        gevent.sleep(0.2)
        sock.close()
        gevent.sleep(0.2)
        assert setup.runners[0].caller_disconnects == 1
        assert setup.entry.forwarder.in_flight == 0


def test_a_request_whose_caller_has_left_before_it_is_placed_is_not_sent() -> None:
    """A machine that woke after 3 s sent 135 prompts of callers that had left."""
    with run_entry(good) as setup:
        setup.ask()  # leaves an idle connection to the runner
        address = setup.entry.settings.callers
        with socket.create_connection((address.ip, address.port)) as sock:
            sock.sendall(request("/safe/1", "GET", "key-1", "", b""))
        gevent.sleep(0.2)
        assert len(setup.runners[0].received_requests) == 1
        assert any(kind == "caller_gone" for kind, *_ in setup.log.decisions)


def test_a_new_version_is_in_force_and_an_old_one_never_again() -> None:
    with run_entry(good) as setup:
        changed = configuration(version=7)
        changed["routes"] = []
        setup.store.put(names.OPERATOR_TOPIC, "config", changed)
        gevent.sleep(0.1)
        assert status_of(setup.ask()) == 404
        setup.store.put(names.OPERATOR_TOPIC, "config", configuration(version=3))
        gevent.sleep(0.1)
        assert status_of(setup.ask()) == 404


def test_truncated_topics_do_not_change_configuration_or_runners() -> None:
    with run_entry(good) as setup:
        for topic in setup.store.topics.values():
            topic.truncate()
        setup.store.put(names.OPERATOR_TOPIC, "config", configuration(version=2))
        gevent.sleep(1.0)
        catalogue = setup.entry.directory.current()
        assert catalogue is not None and catalogue.version == 2
        assert status_of(setup.ask()) == 200


def test_a_request_waits_for_a_process_that_has_just_begun() -> None:
    """Guards against refusals at the start: 350 after a power loss of all machines."""
    with run_entry(good) as setup:
        setup.entry.forwarder.started.clear()
        gevent.spawn_later(0.2, setup.entry.forwarder.started.set)
        assert status_of(setup.ask()) == 200


def test_every_refusal_and_failure_has_a_status() -> None:
    refused = set(TEXT_BY_REASON)
    assert refused == {str(reason) for reason in shape.OPENAI_STATUS_BY_REASON}


@pytest.mark.parametrize(
    ("path", "seconds_left", "status"),
    [("/stream/1", 1.0, 503), ("/safe/1", 1.0, 503), ("/safe/1", 2.5, 200)],
)
def test_a_request_that_may_outlast_the_process_is_refused(
    path: str, seconds_left: float, status: int
) -> None:
    with run_entry(good) as setup:
        setup.entry.forwarder.process_ends_at = time.monotonic() + seconds_left
        data = setup.ask(path, "POST")
        assert status_of(data) == status
        assert bool(setup.runners[0].received_requests) == (status == 200)


def test_an_unreadable_load_is_logged_and_the_answer_passed_on() -> None:
    def unreadable_load(seen: ReceivedRequest, _number: int) -> list[Step]:
        return [
            build_response(seen, "200 OK", b"hello", "X-Godwitrudder-Server-Load: many")
        ]

    with run_entry(unreadable_load) as setup:
        assert status_of(setup.ask()) == 200
        assert (
            "load_unread",
            "",
            {"runner": "i-0", "value": "many"},
        ) in setup.log.decisions


def test_a_disconnected_caller_is_logged_with_its_request() -> None:
    with run_entry(silent) as setup:
        address = setup.entry.settings.callers
        with socket.create_connection((address.ip, address.port)) as sock:
            sock.sendall(request("/unsafe/1", "POST"))
            gevent.sleep(0.1)
        gevent.sleep(0.1)
        gone = [note for note in setup.log.decisions if note[0] == "caller_gone"]
        assert [(request, inputs["why"]) for _, request, inputs in gone] == [
            ("r-1", "closed")
        ]


@pytest.mark.parametrize("second", [silent, resetting, rejecting])
def test_a_failed_answer_is_passed_on_if_the_retry_fails_too(
    second: Script,
) -> None:
    def failing(seen: ReceivedRequest, _number: int) -> list[Step]:
        return [build_response(seen, "500 Error", b"failed")]

    runs = [failing, second]

    def in_turn(seen: ReceivedRequest, number: int) -> list[Step]:
        return runs.pop(0)(seen, number)

    with run_entry(in_turn, in_turn) as setup:
        data = setup.ask()
        assert status_of(data) == 500
        assert data.endswith(b"failed")
        assert sum(len(runner.received_requests) for runner in setup.runners) == 2


def test_invalid_settings_are_reported_and_the_old_ones_kept(tmp_path: Path) -> None:
    path = tmp_path / "settings.json"
    path.write_text("{}")
    with run_entry(good) as setup:
        task = gevent.spawn(watch_settings, setup.entry, path, Options(), setup.log)
        gevent.sleep(0.05)
        path.write_text('{"node": 5}')
        while not any(note[0] == "settings_unread" for note in setup.log.decisions):
            gevent.sleep(0.05)
        task.kill()
        assert setup.entry.settings.host == "front-1"


def test_metrics_contain_store_calls_and_held_tokens() -> None:
    with run_entry(good) as setup:
        setup.ask("/stream/1", "POST", headers="X-Godwitrudder-Token-Count: 10,20\r\n")
        shown = setup.entry.render_metrics().decode()
    assert 'store_calls{path="/api/log-append",status="200"}' in shown
    held = [line for line in shown.splitlines() if line.startswith("godwitrudder_tok")]
    assert float(held[0].split()[1]) > 0
