"""Load reports that hosts pass on, and each host's share of the headroom."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import replace
from random import Random
from types import SimpleNamespace
from typing import cast

import gevent

from bench.loopback import IP
from godwitrudder import codec
from godwitrudder.connection.loans import DATAGRAM_BYTES, SEAL_BYTES
from godwitrudder.options import Options, Queueing
from godwitrudder.process.forwarding.headroom_gossip import HeadroomGossip
from godwitrudder.request.placing.candidate import Candidate
from godwitrudder.request.queueing.gossip import (
    choose_peers,
    is_newer,
    newest_reports,
)
from godwitrudder.request.queueing.share import (
    Fraction,
    HostShare,
    PeerDemands,
    TargetRoom,
)
from godwitrudder.validation import Address
from godwitrudder.version.catalogue import ListedRunner
from standins.platform_runner import ReceivedRequest, Step, build_response
from tests.entry_setup import EntrySetup, run_fleet, status_of

HOSTS = 78
RUNNERS = 45


def runner(number: int) -> Candidate:
    """Return a runner with an id as long as a report admits."""
    entry = ListedRunner(f"i-{number:038}", "t", Address(IP, 1), "a", False, 24)
    return Candidate(entry)


def test_a_report_fits_into_a_datagram() -> None:
    """A datagram above 1,200 bytes may be fragmented, and the newest must be in it."""
    candidates = {f"{number}": runner(number) for number in range(RUNNERS)}
    for number, each in enumerate(candidates.values()):
        each.reported(20_000, 70_000, 10.0 - number / 100, 24, 250.0)
    directory = SimpleNamespace(candidates=lambda target: list(candidates.values()))
    reservations = SimpleNamespace(
        host_holdings=SimpleNamespace(host="front-1"), lending=None
    )
    gossip = HeadroomGossip(
        cast("object", directory),  # type: ignore[arg-type]
        cast("object", reservations),  # type: ignore[arg-type]
        *(cast("object", None),) * 3,  # type: ignore[arg-type]
        Random(1),
    )
    demands = {"t": 999_999.9, "x" * 41: 1.0}
    report = gossip._report(demands, 10.0)
    size = len(codec.encode(report)) + SEAL_BYTES
    assert 0.9 * DATAGRAM_BYTES < size <= DATAGRAM_BYTES
    (told,) = report.targets
    newest = [each.entry.id for each in list(candidates.values())[: len(told.runners)]]
    assert [load.runner for load in told.runners] == newest


def test_most_hosts_hear_of_most_runners_in_time() -> None:
    """Among 78 hosts, one that saw no report itself must not be left without any."""
    random, now = Random(3), 100.0
    hosts = [[runner(number) for number in range(RUNNERS)] for _ in range(HOSTS)]
    names = [str(number) for number in range(HOSTS)]
    heard = Counter[str]()
    for _ in range(20):
        now += 0.5
        for known in hosts[: HOSTS // 2]:  # each sees six runners a round
            for each in random.sample(known, 6):
                each.reported(10, 0, now - random.random() / 2, 24, 100.0)
        for own, known in enumerate(hosts):
            newest = newest_reports(known, now)[:30]
            for peer in choose_peers(names, names[own], random):
                heard[peer] += 1
                for told in newest:
                    number = int(told.entry.id[2:])
                    if is_newer(hosts[int(peer)][number], told.others_at + 0.005):
                        hosts[int(peer)][number].reported(
                            10, 0, told.others_at + 0.005, 24, 100.0
                        )
    covered = [len(newest_reports(known, now)) for known in hosts[HOSTS // 2 :]]
    assert sum(covered) / len(covered) >= 0.5 * RUNNERS
    assert max(heard.values()) <= 20 * 8


def test_a_report_in_a_circle_does_not_stay_new() -> None:
    """A report that hosts tell each other must still expire."""
    first, second = runner(1), runner(1)
    first.reported(24, 0, 10.0)
    at = 10.0
    for _ in range(20):
        for known in (second, first):
            at += 0.005
            if is_newer(known, at):
                known.reported(24, 0, at)
            at = known.others_at
    assert first.others_at == 10.0
    assert not newest_reports([first, second], 11.01)


def shares(demands: list[float], free: float, silent: bool) -> list[int]:
    """Return how many requests each host starts at once after the same reports."""
    started: list[int] = []
    for own, demand in enumerate(demands):
        peers, share = PeerDemands(), HostShare()
        for host, other in enumerate(demands):
            if host != own and not silent:
                peers.record(str(host), {"t": other}, 10.0)
        fraction = peers.fraction("t", demand, len(demands), 10.5)
        share.measure(TargetRoom(1080.0, free), fraction, 10.5)
        count = 0
        while count < 2000 and share.allows(10.51):
            count += 1
            share.start(10.51)
        started.append(count)
    return started


def test_hosts_together_start_what_is_free() -> None:
    """Hosts that act on the same reports must not fill the headroom many times."""
    demands = [2.0] * 70 + [12.0] * 8
    started = shares(demands, 400.0, silent=False)
    assert 0.9 * 400 <= sum(started) <= 400 + HOSTS
    assert started[-1] >= 5 * started[0]


def test_each_host_may_start_one_request() -> None:
    """A target whose slots are fewer than the hosts must stay in use."""
    assert shares([2.0] * HOSTS, 0.0, silent=False) == [1] * HOSTS


def test_silent_peers_leave_an_equal_part() -> None:
    """A host that hears nobody must take no more than all others could at once."""
    assert shares([2.0] * 77 + [50.0], 400.0, silent=True) == [5] * HOSTS


def test_ample_headroom_is_not_divided() -> None:
    """A burst at one host must not wait while most slots are free."""
    assert min(shares([2.0] * HOSTS, 900.0, silent=False)) >= 300


def test_ended_requests_free_their_share() -> None:
    """Short requests must not wait until load reports show them."""
    share = HostShare()
    share.measure(TargetRoom(18.0, 3.0), Fraction(1 / HOSTS, False), 10.0)
    for _ in range(20):
        assert share.allows(10.05)
        key = share.start(10.05)
        assert not share.allows(10.05)
        share.end(key)
    share.start(10.05)
    assert share.allows(10.6)


def test_demand_of_hosts_that_left_expires() -> None:
    """A host must not share with one that no longer says what it needs."""
    peers = PeerDemands()
    peers.record("gone", {"t": 1000.0}, 0.0)
    peers.record("a", {"t": 1.0}, 10.5)
    assert peers.fraction("t", 1.0, 4, 10.6) == Fraction(0.25, False)
    assert peers.fraction("t", 1.0, 4, 12.6) == Fraction(0.25, True)


def slow_machine(seen: ReceivedRequest, _number: int) -> list[Step]:
    """Answer that work takes two and a half times as long."""
    load = "X-Godwitrudder-Server-Load: 3,1,4,250"
    return [build_response(seen, "200 OK", b"hello", load)]


def known_percent(host: EntrySetup) -> float | None:
    """Return how long work takes on the only runner, as a host knows it."""
    (candidate,) = host.entry.directory.candidates("s")
    return candidate.work_percent


def test_hosts_share_what_a_runner_reported() -> None:
    """A host without a report of its own must learn the headroom from the others."""
    with run_fleet(3, slow_machine, lending=True) as fleet:
        fleet.hosts[2].entry.settings = replace(
            fleet.hosts[2].entry.settings, options=Options(queueing=Queueing.OFF)
        )
        fleet.hosts[0].ask()
        end = time.monotonic() + 3.0
        while known_percent(fleet.hosts[1]) is None and time.monotonic() < end:
            gevent.sleep(0.05)
        assert known_percent(fleet.hosts[1]) == 250
        assert known_percent(fleet.hosts[2]) is None
        (candidate,) = fleet.hosts[1].entry.directory.candidates("s")
        assert (candidate.others, candidate.reported_slots) == (4, 4)
        assert fleet.hosts[1].entry.reservations.lending is not None
        assert not fleet.hosts[1].entry.reservations.lending.refused_messages


def slow(seen: ReceivedRequest, _number: int) -> list[Step]:
    """Answer after a while."""
    return [0.25, build_response(seen, "200 OK", b"hello")]


def test_a_host_without_peers_keeps_to_an_equal_part() -> None:
    """With three hosts and four slots, one that hears nobody starts one at a time."""
    with run_fleet(3, slow) as fleet:
        host = fleet.hosts[0]
        options = Options(queueing=Queueing.ON)
        host.entry.settings = replace(host.entry.settings, options=options)
        asked = [gevent.spawn(host.ask) for _ in range(3)]
        gevent.sleep(0.15)
        assert len(fleet.runners[0].received_requests) == 1
        gevent.joinall(asked)
        assert [status_of(each.value) for each in asked] == [200] * 3
        lines = [fields for kind, _, fields in host.log.decisions if "peers" in kind]
        assert lines == [{"silent": True, "hosts": 3}]


def test_without_a_queue_nothing_is_sent() -> None:
    """Deployments whose runners do not report times of work must stay as they are."""
    with run_fleet(2, slow_machine, lending=True) as fleet:
        for host in fleet.hosts:
            options = Options(queueing=Queueing.OFF)
            host.entry.settings = replace(host.entry.settings, options=options)
        fleet.hosts[0].ask()
        gevent.sleep(1.2)
        for host in fleet.hosts:
            assert b'headroom_reports_total{direction="' not in (
                host.entry.render_metrics()
            )
