"""Real entry processes: requests that wait for tokens while machines and store fail."""

from __future__ import annotations

import dataclasses
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import gevent
import msgspec
import pytest
from prometheus_client.parser import text_string_to_metric_families

from godwitrudder import codec
from godwitrudder.options import Options, Queueing
from godwitrudder.platform import names
from godwitrudder.request.holding import Holding
from godwitrudder.version.statements import Row
from tests.entry_setup import (
    EntrySetup,
    FleetSetup,
    configuration,
    good,
    read_all,
    request,
    run_fleet,
    status_of,
)

NEEDED = 6000
HELD = 20_000
DEADLINE_SECONDS = 8.0
SILENT_SECONDS = 1.4
"""Longer than the time after which hosts treat the store as unreachable."""


@contextmanager
def waiting_fleet(
    hosts: int = 2, queueing: Queueing = Queueing.ON
) -> Iterator[FleetSetup]:
    """Run hosts whose routes leave time to wait."""
    with run_fleet(hosts, good, lending=True) as fleet:
        changed = configuration(2)
        for route in changed["routes"]:  # type: ignore[attr-defined]
            route["timeout_ms"] = int(DEADLINE_SECONDS * 1000)
        fleet.store.put(names.OPERATOR_TOPIC, "config", changed)
        for host in fleet.hosts:
            entry = host.entry
            options = Options(queueing)
            entry.settings = dataclasses.replace(entry.settings, options=options)
            while (read := entry.directory.current()) is None or read.version < 2:
                gevent.sleep(0.01)
        yield fleet


def cut_store(fleet: FleetSetup, opens_after: float, *lenders: int) -> None:
    """Take the store away; only lenders hold tokens, spendable after some seconds."""
    fleet.store.faults.set({"down": True})
    gevent.sleep(SILENT_SECONDS)
    for number, host in enumerate(fleet.hosts, 1):
        holdings = host.entry.reservations.host_holdings
        holding, now = holdings.holding("w"), host.entry.reservations.now()
        holding.pending, holding.waiting_tokens = None, 0
        if number - 1 not in lenders:
            holding.spent = holding.granted
            row = Row(holding.granted, holding.granted)
        else:
            holding.granted = holding.spent + HELD
            rate = NEEDED / opens_after
            row = Row(holding.granted, holding.spent, rate=rate)
        holding.stated, holding.stated_at = row, now
        for other in fleet.hosts:
            table = other.entry.reservations.host_holdings.statements
            former = table.statements_by_host[f"front-{number}"]
            stated = msgspec.structs.replace(former, rows_by_workspace={"w": row})
            table.put(f"front-{number}", codec.encode(stated), now)


def caller(host: EntrySetup, seconds: float = DEADLINE_SECONDS) -> socket.socket:
    """Send a request of ``NEEDED`` tokens with a deadline; return the connection."""
    address = host.entry.settings.callers
    sock = socket.create_connection((address.ip, address.port))
    headers = f"X-Godwitrudder-Token-Count: {NEEDED},0\r\n"
    data = request("/safe/1", headers=headers)
    sock.sendall(data.replace(b"Ms: 2000", f"Ms: {int(seconds * 1000)}".encode()))
    return sock


def ask(host: EntrySetup, seconds: float = DEADLINE_SECONDS) -> tuple[int, float]:
    """Return the status of an answer and the seconds until it came."""
    began = time.monotonic()
    with caller(host, seconds) as sock:
        return status_of(read_all(sock)), time.monotonic() - began


def waits_for(holding: Holding, tokens: int) -> bool:
    """Whether the requests that wait soon need so many tokens together."""
    deadline = time.monotonic() + 1.0
    while holding.waiting_tokens != tokens and time.monotonic() < deadline:
        gevent.sleep(0.005)
    return holding.waiting_tokens == tokens


def shortages(host: EntrySetup) -> list[dict[str, Any]]:
    return [inputs for kind, _, inputs in host.log.decisions if kind == "no_tokens"]


def test_a_request_waits_for_what_another_host_holds() -> None:
    """Guards against a refusal after 0.21 s where a lender has enough 0.7 s later."""
    with waiting_fleet() as fleet:
        cut_store(fleet, 0.9, 0)
        status, seconds = ask(fleet.hosts[1])
        metrics = fleet.hosts[1].entry.render_metrics().decode()
    assert status == 200 and 0.4 < seconds < 2.5
    values = {
        (sample.name, sample.labels.get("outcome")): sample.value
        for family in text_string_to_metric_families(metrics)
        for sample in family.samples
    }
    assert values["godwitrudder_token_waits_total", "served"] == 1
    assert values["godwitrudder_token_wait_seconds_sum", "served"] > 0.3


def test_with_the_queue_off_the_wait_is_as_before() -> None:
    with waiting_fleet(queueing=Queueing.OFF) as fleet:
        cut_store(fleet, 0.9, 0)
        status, seconds = ask(fleet.hosts[1])
        shortage = shortages(fleet.hosts[1])[0]
    assert status == 503 and seconds < 0.4
    assert shortage["shortage"] == "elsewhere" and not shortage["long_wait"]
    assert shortage["lenders"] == "had_none" and shortage["asked"] == 1


def test_a_wait_ends_early_where_the_only_lender_dies() -> None:
    with waiting_fleet() as fleet:
        cut_store(fleet, 1.7, 0)
        waits = gevent.spawn(ask, fleet.hosts[1])
        gevent.sleep(0.1)
        fleet.hosts[0].entry.close()
        status, seconds = waits.get()
        shortage = shortages(fleet.hosts[1])[0]
    assert status == 503 and seconds < 1.5
    assert shortage["lenders"] in ("silent", "none_known")


def test_another_lender_serves_where_one_dies() -> None:
    with waiting_fleet(3) as fleet:
        cut_store(fleet, 0.9, 0, 1)
        waits = gevent.spawn(ask, fleet.hosts[2])
        gevent.sleep(0.1)
        fleet.hosts[0].entry.close()
        status, seconds = waits.get()
    assert status == 200 and seconds < 2.5


def test_a_deadline_that_leaves_no_time_is_refused_at_once() -> None:
    with waiting_fleet() as fleet:
        cut_store(fleet, 0.9, 0)
        status, seconds = ask(fleet.hosts[1], seconds=0.25)
    assert status == 503 and seconds < 0.2


@pytest.mark.parametrize("drains", [True, False])
def test_a_wait_ends_when_the_caller_leaves_or_the_host_drains(drains: bool) -> None:
    """Its tokens would otherwise stay claimed, so that this host lends none."""
    with waiting_fleet() as fleet:
        host = fleet.hosts[1]
        cut_store(fleet, 1.7, 0)
        sock = caller(host)
        holding = host.entry.reservations.host_holdings.holding("w")
        assert waits_for(holding, NEEDED)
        began = time.monotonic()
        if drains:
            gevent.spawn(host.entry.stop)
            data = read_all(sock)
            assert status_of(data) == 503 and b"retry-after" in data.lower()
            assert time.monotonic() - began < 0.5
        sock.close()
        assert waits_for(holding, 0)
        assert time.monotonic() - began < 1.0
        held = holding.granted - holding.spent
        gevent.sleep(0.5)
        assert holding.granted - holding.spent >= held


def test_an_exhausted_budget_is_refused_at_once() -> None:
    with waiting_fleet() as fleet:
        for host in fleet.hosts:
            holding = host.entry.reservations.host_holdings.holding("w")
            holding.spent = holding.granted = 50_000
        gevent.sleep(1.2)
        status, seconds = ask(fleet.hosts[1])
        assert shortages(fleet.hosts[1])[0]["shortage"] == "spent"
    assert status == 402 and seconds < 0.2


def test_a_wait_is_served_once_the_store_is_back() -> None:
    with waiting_fleet() as fleet:
        cut_store(fleet, 1.7, 0)
        waits = gevent.spawn(ask, fleet.hosts[1])
        gevent.sleep(0.2)
        fleet.store.faults.set({"down": False})
        status, seconds = waits.get()
    assert status == 200 and seconds < 1.6
