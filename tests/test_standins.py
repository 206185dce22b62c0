"""Tests that the simulated platform and engine follow the protocols the router uses."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import gevent
import pytest

from bench.loopback import IP
from godwitrudder.platform import names
from godwitrudder.platform.hosts import HostEntry
from godwitrudder.platform.log import TIME, LogPage, StoreLog
from godwitrudder.platform.store import LENGTH, PAGE_HEADER
from godwitrudder.validation import Address
from standins.batch import answer_length, token_text
from standins.engine import Engine
from standins.http import Request
from standins.platform import Platform

ADDRESS = Address(IP, 8999)
HOST = HostEntry(id="a", role="router", address="127.0.0.1:1", failure_domain="d")
PROMPT = "which boat owns tag TW-0417 " * 8


def make_request(method: str, path: str, body: bytes = b"", **headers: str) -> Request:
    """Build a request; the path includes the query."""
    path, _, query = path.partition("?")
    pairs = dict(pair.split("=") for pair in query.split("&") if pair)
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return Request(method, path, pairs, named, body)


APPEND = f"{names.APPEND}?topic=s&part=0"
RECORD = LENGTH.pack(TIME.size + 1) + TIME.pack(5.0) + b"x"


def read_log(platform: Platform, offset: int) -> tuple[int, int, bytes]:
    """Read the log over HTTP; return the end, the first offset and the raw records."""
    answer = platform.answer(
        make_request("GET", f"{names.READ}?topic=s&part=0&from={offset}")
    )
    assert answer.status == 200
    data = b"".join(answer.chunks)
    return (*PAGE_HEADER.unpack_from(data), data[PAGE_HEADER.size :])


def test_the_log_keeps_offsets_when_records_age_out() -> None:
    """Expired records raise the first offset; a read before it gets status 410."""
    platform = Platform(ADDRESS, [], retention_seconds=0.0)
    for _ in range(3):
        platform.answer(make_request("POST", APPEND, RECORD))
    expired = platform.answer(
        make_request("GET", f"{names.READ}?topic=s&part=0&from=0")
    )
    assert expired.status == 410
    assert json.loads(b"".join(expired.chunks)) == {"first": 3}
    assert read_log(platform, 3) == (3, 3, b"")


def test_a_reader_resumes_at_the_first_retained_offset() -> None:
    """``StoreLog`` reads from the first retained offset if the given one expired."""
    with Platform(ADDRESS, []) as platform:
        log = StoreLog(ADDRESS)
        assert [log.append("s", data) for data in (b"a", b"b", b"c")] == [0, 1, 2]
        platform.streams_by_name["s"].records.popleft()
        page = log.read("s", 0)
        assert isinstance(page, LogPage)
        assert (page.first, page.next) == (1, 3)
        assert [(r.offset, r.data) for r in page.records] == [(1, b"b"), (2, b"c")]
        log.close()


def test_an_append_with_a_lost_answer_took_effect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The caller gets an error although the record is stored."""
    monkeypatch.setattr("standins.platform.ANSWER_LOST_SECONDS", 0.0)
    platform = Platform(ADDRESS, [])
    platform.faults.set({"lost_answers": 1.0})
    assert platform.answer(make_request("POST", APPEND, RECORD)).status == 503
    assert read_log(platform, 0)[0] == 1


@pytest.mark.parametrize(("lag_seconds", "listed_hosts"), [(0.0, 0), (3600.0, 1)])
def test_the_host_list_lags(lag_seconds: float, listed_hosts: int) -> None:
    """A removed host stays in the list until the lag has passed."""
    platform = Platform(ADDRESS, [HOST])
    platform.faults.set({"lag_seconds": lag_seconds})
    platform.set_hosts([])
    assert len(platform.hosts) == listed_hosts


def test_an_unknown_switch_is_refused() -> None:
    """The error names the unknown switch, and no switch changes."""
    platform = Platform(ADDRESS, [])
    assert "downn" in platform.faults.set({"downn": True})
    assert not platform.faults.switches.down


@pytest.fixture(name="engine")
def make_engine() -> Iterator[Engine]:
    """Yield an engine that doesn't listen and generates tokens without delay."""
    engine = Engine(ADDRESS, token_seconds=0.0, slots=1)
    task = gevent.spawn(engine.batch.run)
    yield engine
    task.kill()


def start_stream(engine: Engine, attempt: str, **fields: Any) -> list[str]:
    """Start an attempt, identified by ``X-Request-Id``; return its token events."""
    body = {"messages": [{"content": PROMPT}], "max_tokens": 20, **fields}
    request = make_request(
        "POST",
        "/v1/chat/completions",
        json.dumps(body).encode(),
        x_request_id=attempt,
    )
    chunks = engine.answer(request).chunks
    return [chunk.decode() for chunk in chunks if b"content" in chunk]


def test_a_resumed_stream_goes_on_after_the_last_index(engine: Engine) -> None:
    """A stream resumed after ``Last-Event-ID`` neither repeats nor skips a token."""
    whole = start_stream(engine, "a")
    request = make_request("GET", "/v1/streams/a", last_event_id="4")
    rest = [c.decode() for c in engine.answer(request).chunks if b"content" in c]
    assert whole[5:] == rest
    assert len(whole) == answer_length(PROMPT, 20)
    assert token_text(PROMPT, 0) in whole[0]


def test_another_engine_continues_from_an_index(engine: Engine) -> None:
    """The text from a start index on is the same as in the complete answer."""
    assert start_stream(engine, "b", start_index=3) == start_stream(engine, "c")[3:]


def test_cache_events_come_late_and_with_gaps(engine: Engine) -> None:
    """A repeated prompt is a cache hit; the fault switches delay and drop events."""
    engine.faults.set({"lag_seconds": 3600.0})
    assert engine.cache.lookup_and_store(PROMPT) == 0.0
    assert engine.cache.lookup_and_store(PROMPT) == 1.0
    assert engine.cache.events(0)["events"] == []
    engine.faults.set({"lag_seconds": 0.0, "event_gaps": 1.0})
    shown = engine.cache.events(0)["events"]
    engine.cache.lookup_and_store("another " * 20)
    assert engine.cache.events(0)["events"] == shown != []


@pytest.mark.parametrize(("checks", "status"), [(True, 409), (False, 200)])
def test_an_old_fencing_number(checks: bool, status: int, engine: Engine) -> None:
    """An engine refuses an old fencing token only if it checks the tokens."""
    engine.checks_fence = checks
    order = {"action": "load", "model": "m", "fence": 7}
    engine.answer(make_request("POST", "/orders", json.dumps(order).encode()))
    older = json.dumps({**order, "fence": 6}).encode()
    assert engine.answer(make_request("POST", "/orders", older)).status == status
