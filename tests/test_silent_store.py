"""A store that loses requests without closing a connection."""

from __future__ import annotations

import time

import gevent
import pytest

from bench.loopback import IP
from godwitrudder import codec
from godwitrudder.platform import names
from godwitrudder.platform.store import Page, Store, Unavailable
from godwitrudder.validation import Address
from standins.http import Request, Response
from standins.store import Store as StoreStandIn
from tests.entry_setup import EntrySetup, configuration, good, run_entry
from tests.ports import free_port

KEY = names.CONFIGURATION_KEY


def lose_next_configuration_read(
    setup: EntrySetup, monkeypatch: pytest.MonkeyPatch
) -> float:
    """Lose one waiting read of the configuration; return the time of its arrival."""
    arrivals: list[float] = []
    answer = setup.store.answer

    def lose_first(request: Request) -> Response:
        waits = "wait_ms" in request.query
        if request.query["topic"] == names.OPERATOR_TOPIC and waits and not arrivals:
            arrivals.append(time.monotonic())
            gevent.sleep(60)
        return answer(request)

    monkeypatch.setattr(setup.store, "answer", lose_first)
    while not arrivals:
        gevent.sleep(0.01)
    return arrivals[0]


def test_a_version_is_in_force_in_time_though_the_read_before_it_was_lost(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """CONFIG: a read lost at the end of an outage hid newer versions for 3.4 s."""
    with run_entry(good) as setup:
        ended = lose_next_configuration_read(setup, monkeypatch)
        gevent.sleep(0.2)
        setup.store.put(names.OPERATOR_TOPIC, KEY, configuration(2))
        gevent.sleep(ended + setup.entry.settings.recovery_seconds - time.monotonic())
        catalogue = setup.entry.directory.current()
        assert catalogue is not None
        assert catalogue.version == 2


def test_waiting_reads_end_once_a_silent_store_answers_again() -> None:
    """CONFIG: a process was answered again, yet waited on for a read that was lost."""
    with StoreStandIn(Address(IP, free_port())) as stand_in:
        stand_in.put("t", "k", 1)
        store = Store(stand_in.address, timeout_seconds=0.3)
        stand_in.faults.set({"swallow": True})
        waiting = gevent.spawn(store.read_keyed, "t", 1, 20.0)
        gevent.sleep(0.1)
        assert isinstance(store.read_keyed("t", 0), Unavailable)
        stand_in.faults.set({"swallow": False})
        assert isinstance(store.read_keyed("t", 0), Page)
        assert isinstance(waiting.get(timeout=5.0), Unavailable)
        store.close()


def test_a_host_that_missed_many_versions_reads_only_the_newest(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """CONFIG: 30 versions of 55 KB took a link of 5 Mbit/s 4 s after an outage."""
    with run_entry(good) as setup:
        read_bytes: list[int] = []
        answer = setup.store.answer

        def count(request: Request) -> Response:
            response = answer(request)
            if request.query["topic"] == names.OPERATOR_TOPIC:
                read_bytes.append(sum(len(part) for part in response.chunks))
            return response

        monkeypatch.setattr(setup.store, "answer", count)
        setup.store.faults.set({"down": True})
        gevent.sleep(4.0)  # the waiting read has ended, others are refused
        newest = configuration(1)
        for version in range(2, 32):
            newest = {**configuration(version), "padding": "x" * 55_000}
            setup.store.put(names.OPERATOR_TOPIC, KEY, newest)
        read_bytes.clear()
        setup.store.faults.set({"down": False})
        gevent.sleep(1.5)
        catalogue = setup.entry.directory.current()
        assert catalogue is not None
        assert catalogue.version == 31
        assert sum(read_bytes) < 2 * len(codec.encode(newest))


def test_a_refused_read_costs_no_whole_configuration(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With 300 hosts a busy store refuses reads; each then asked for all records."""
    with run_entry(good) as setup:
        asked: list[str] = []
        answer = setup.store.answer

        def note(request: Request) -> Response:
            asked.append(f"{request.path} {request.query['topic']}")
            return answer(request)

        monkeypatch.setattr(setup.store, "answer", note)
        for _ in range(3):
            gevent.sleep(0.6)
            setup.store.faults.set({"down": True})
            gevent.sleep(0.3)
            setup.store.faults.set({"down": False})
        for number in range(400):
            runner = {"service": "s", "address": f"10.9.{number}.1:80", "zone": "z"}
            record = {**runner, "state": "ready", "slots": 4, "text": "x" * 400}
            setup.store.put(names.RUNNERS_TOPIC, f"x-{number}", record)
        gevent.sleep(1.2)
        assert f"{names.NEWEST} {names.OPERATOR_TOPIC}" not in asked
        assert f"{names.NEWEST} {names.RUNNERS_TOPIC}" not in asked
