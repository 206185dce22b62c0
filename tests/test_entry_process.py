"""Tests of one entry process over loopback: what callers receive, what runners get."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import gevent
import pytest

from bench.loopback import IP
from godwitrudder.connection import shape
from godwitrudder.connection.http import RunnerLink
from godwitrudder.connection.traffic import Traffic
from godwitrudder.error_messages import TEXT_BY_REASON
from godwitrudder.platform import names
from godwitrudder.platform.engine_report import loaded_models
from godwitrudder.platform.settings import EntrySettings
from godwitrudder.process.decisions import DecisionLog
from godwitrudder.process.directory import RELIST_SECONDS, STORE_SILENT_AFTER_SECONDS
from godwitrudder.process.entry import Entry
from godwitrudder.process.entry_main import watch_settings
from godwitrudder.validation import Address
from standins.platform_runner import (
    PlatformRunner,
    ReceivedRequest,
    Script,
    Step,
    build_event,
    build_response,
    encode_chunk,
    stream_head,
)
from standins.store import Store
from tests.ports import free_port

PREPAID = 100_000
ENGINE = {"stride": 2, "models": [{"name": "m"}]}


class RecordingLog(DecisionLog):
    """A decision log that also keeps kind, request and inputs of each decision."""

    def __init__(self, host: str, descriptor: int) -> None:
        super().__init__(host, descriptor)
        self.decisions: list[tuple[str, str, dict[str, Any]]] = []

    def note(self, kind: str, request: str = "", **inputs: Any) -> None:
        """Record a line and write it."""
        self.decisions.append((kind, request, inputs))
        super().note(kind, request, **inputs)


@dataclass
class EntrySetup:
    """One entry process with its own store and runners."""

    entry: Entry
    store: Store
    runners: list[PlatformRunner]
    log: RecordingLog

    def ask(
        self,
        path: str = "/safe/1",
        method: str = "GET",
        key: str = "key-1",
        headers: str = "",
        body: bytes = b"",
    ) -> bytes:
        """Send one request on a new connection and return all bytes of the answer."""
        address = self.entry.settings.callers
        with socket.create_connection((address.ip, address.port)) as sock:
            sock.sendall(request(path, method, key, headers, body))
            return read_all(sock)


def request(
    path: str,
    method: str = "GET",
    key: str = "key-1",
    headers: str = "",
    body: bytes = b"",
) -> bytes:
    """Return the bytes of a request with id ``r-1``."""
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n"
        "X-Godwitrudder-Request-Id: r-1\r\nX-Godwitrudder-Deadline-Ms: 2000\r\n"
        f"Authorization: Bearer {key}\r\nConnection: close\r\n{headers}{length}\r\n"
    ).encode() + body


def read_all(sock: socket.socket) -> bytes:
    """Read until the other side closes."""
    data = b""
    while part := sock.recv(65536):
        data += part
    return data


def route(prefix: str, kind: str, **more: object) -> dict[str, object]:
    """Return a route to the only service."""
    return {
        "name": prefix,
        "host": "shop.example",
        "path_prefix": f"/{prefix}/",
        "kind": kind,
        "timeout_ms": 2000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": "s",
        "max_attempts": 2,
        **more,
    }


def configuration(version: int = 1, prepaid: int = PREPAID) -> dict[str, object]:
    """Return a configuration with a route of every kind."""
    return {
        "version": version,
        "routes": [
            route("safe", "safe"),
            route("unsafe", "unsafe", max_attempts=1),
            route("stream", "streaming", resumable=True, gap_aim_ms=300),
            route("fixed", "streaming", max_attempts=1, gap_aim_ms=300),
        ],
        "services": [{"name": "s", "max_conns": 100, "engine": ENGINE}],
        "tenants": [{"name": "w", "api_keys": ["key-1"], "prepaid": prepaid}],
    }


@contextmanager
def run_entry(*scripts: Script) -> Iterator[EntrySetup]:
    """Run an entry process with one runner for each script."""
    with ExitStack() as stack:
        store = stack.enter_context(Store(Address(IP, free_port())))
        runners = [stack.enter_context(PlatformRunner(script)) for script in scripts]
        store.put(names.OPERATOR_TOPIC, "config", configuration())
        for number, runner in enumerate(runners):
            record = {"service": "s", "address": runner.address, "state": "ready"}
            store.put(names.RUNNERS_TOPIC, f"i-{number}", {**record, "slots": 4})
        settings = EntrySettings(
            host="front-1",
            failure_domain="magong",
            callers=Address(IP, free_port()),
            ready=Address(IP, free_port()),
            store=store.address,
            leave_seconds=2.0,
            grace_seconds=2.0,
            retry_share=0.2,
            retry_window_seconds=10.0,
            retry_slack=50.0,
        )
        with open("/dev/null", "wb") as sink:
            log = RecordingLog("front-1", sink.fileno())
            process = Entry(settings, None, log)
            stack.callback(process.close)
            process.start()
            while not process.ready:
                gevent.sleep(0.01)
            gevent.sleep(0.1)
            yield EntrySetup(process, store, runners, log)


# Answer scripts of runners; the number of earlier requests is not used.
def good(seen: ReceivedRequest, _number: int) -> list[Step]:
    return [build_response(seen, "200 OK", b"hello")]


def rejecting(seen: ReceivedRequest, _number: int) -> list[Step]:
    not_run = "X-Godwitrudder-Not-Executed: 1"
    return [build_response(seen, "503 Full", b"", not_run, signed=False)]


def silent(_seen: ReceivedRequest, _number: int) -> list[Step]:
    return [30.0]


def resetting(_seen: ReceivedRequest, _number: int) -> list[Step]:
    return [None]


def garbled(_seen: ReceivedRequest, _number: int) -> list[Step]:
    return [b"\x00\x01 this is no answer\r\n\r\n", None]


def short(seen: ReceivedRequest, _number: int) -> list[Step]:
    return [build_response(seen, "200 OK", b"hello")[:-2], None]


def unsigned(seen: ReceivedRequest, _number: int) -> list[Step]:
    return [build_response(seen, "200 OK", b"hello", signed=False)]


def late_extra(seen: ReceivedRequest, _number: int) -> list[Step]:
    """Send an unsolicited second answer, which the next request must not receive."""
    extra = build_response(seen, "200 OK", b"wrong")
    return [build_response(seen, "200 OK", b"hello"), 0.01, extra]


def status_of(data: bytes) -> int:
    """Return the status of an answer."""
    return int(data.split(b" ", 2)[1])


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


def streaming(*numbers: int, whole: bool = True) -> Script:
    def script(seen: ReceivedRequest, _number: int) -> list[Step]:
        steps: list[Step] = [stream_head(seen)]
        steps += [encode_chunk(build_event(number)) for number in numbers]
        return (
            [*steps, b"0\r\n\r\n"]
            if whole
            else [*steps, encode_chunk(b"id: 9\nda"), None]
        )

    return script


def resumed(seen: ReceivedRequest, number: int) -> list[Step]:
    """Break off within an event; resume after the last complete one when asked."""
    after = seen.headers.get("last-event-id")
    if after is None:
        return streaming(0, 1, whole=False)(seen, number)
    assert after == "1"
    return streaming(2, 3)(seen, number)


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


def test_a_host_with_a_full_link_lets_its_callers_go() -> None:
    """Two of 67 hosts kept callers that their links could not serve: 1,204 unserved."""
    kept_alive = request("/safe/1", "GET", "key-1", "", b"")
    kept_alive = kept_alive.replace(b"Connection: close\r\n", b"")
    with run_entry(good) as setup:
        address = setup.entry.settings.callers
        with socket.create_connection((address.ip, address.port)) as sock:
            sock.sendall(kept_alive)
            assert b"connection: close" not in sock.recv(65536).lower()
            setup.entry.intake.part, setup.entry.intake.open = 1.0, False
            sock.sendall(kept_alive)
            assert b"connection: close" in read_all(sock).lower()


def test_tokens_are_charged_as_delivered() -> None:
    # 1000 prompt tokens, at most 500 of the answer; an event counts 2 (``stride``).
    tokens = "X-Godwitrudder-Token-Count: 1000,500\r\n"
    with run_entry(streaming(0, 1, 2)) as setup:
        setup.ask("/stream/1", method="POST", headers=tokens, body=b"x")
        spent = setup.entry.reservations.host_holdings.holding("w").spent
    assert spent == 1000 + 3 * 2


@pytest.mark.parametrize("script", [silent, resetting, garbled, rejecting])
def test_a_caller_that_got_nothing_pays_nothing(script: Script) -> None:
    """135,408 tokens of one workspace were charged for answers that never came."""
    tokens = "X-Godwitrudder-Token-Count: 1000,500\r\n"
    with run_entry(script) as setup:
        setup.ask("/fixed/1", method="POST", headers=tokens, body=b"x")
        assert setup.entry.reservations.host_holdings.holding("w").spent == 0


def test_a_stream_that_breaks_off_is_charged_as_delivered() -> None:
    tokens = "X-Godwitrudder-Token-Count: 1000,500\r\n"

    def broken_off(seen: ReceivedRequest, _number: int) -> list[Step]:
        return [stream_head(seen), encode_chunk(build_event(0)), None]

    with run_entry(broken_off) as setup:
        setup.ask("/fixed/1", method="POST", headers=tokens, body=b"x")
        assert setup.entry.reservations.host_holdings.holding("w").spent == 1002


def test_a_whole_answer_is_charged_with_the_most_that_it_can_hold() -> None:
    tokens = "X-Godwitrudder-Token-Count: 1000,500\r\n"
    with run_entry(good) as setup:
        setup.ask("/safe/1", headers=tokens)
        assert setup.entry.reservations.host_holdings.holding("w").spent == 1500


def test_a_request_beyond_the_budget_is_refused() -> None:
    tokens = f"X-Godwitrudder-Token-Count: {PREPAID},1\r\n"
    with run_entry(good) as setup:
        data = setup.ask("/stream/1", method="POST", headers=tokens, body=b"x")
        assert status_of(data) == 402
        assert not setup.runners[0].received_requests


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


def test_connections_of_a_runner_that_is_gone_are_closed() -> None:
    """Guards against a leak of a few file descriptors for each replaced runner."""
    with run_entry(good) as setup:
        setup.ask()
        assert setup.entry.pool.idle == 1
        setup.store.put(names.RUNNERS_TOPIC, "i-0", None)
        # The first read counts as a return of the store; removals wait RELIST_SECONDS.
        gevent.sleep(RELIST_SECONDS + 1.0)
        assert setup.entry.pool.idle == 0


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
        task = gevent.spawn(watch_settings, setup.entry, path, setup.log)
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
