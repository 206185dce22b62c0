"""A bill counts once even if owners of partitions are cut off, paused or disagree."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from bench.ledgers import LedgerFleet
from bench.simulation import SimulatedLog
from godwitrudder.version import records
from godwitrudder.version.ownership import AVOID_SECONDS, OwnerChoice, owners_of

HOSTS = tuple(f"d{number:03d}" for number in range(7))
FIRST, SECOND = owners_of(0, HOSTS)[:2]
WRITER = owners_of(0, HOSTS)[-1]


def test_a_host_that_goes_moves_only_its_partitions() -> None:
    """Partitions of other hosts keep their owner; those of the host go to the next."""
    for partition in range(64):
        before = owners_of(partition, HOSTS)
        for gone in HOSTS:
            left = [host for host in HOSTS if host != gone]
            assert owners_of(partition, left) == [h for h in before if h != gone]


def test_every_host_owns_about_its_share() -> None:
    """Every host owns some partitions, and the shares add up to 1."""
    shares = [OwnerChoice(host).owned_share(64, HOSTS) for host in HOSTS]
    assert sum(shares) == 1.0 and min(shares) > 0.0


def test_a_failed_owner_is_left_out_for_a_while() -> None:
    """The choice falls back to the next owner, then to this host; later it returns."""
    choice = OwnerChoice(WRITER)
    assert choice.choose(0, HOSTS, 0.0) == FIRST
    choice.report_failure(FIRST, 0.0)
    assert choice.choose(0, HOSTS, 0.0) == SECOND
    choice.report_failure(SECOND, 0.0)
    assert choice.choose(0, HOSTS, 0.0) is None
    assert choice.choose(0, HOSTS, AVOID_SECONDS) == FIRST
    assert OwnerChoice(FIRST).choose(0, HOSTS, 0.0) is None


def lost_answers(fleet: LedgerFleet) -> None:
    """Drop half of the log's answers."""
    fleet.log.lost_answers = 0.5


def two_owners(fleet: LedgerFleet) -> None:
    """Let four daemons consider the owner dead, so that they choose another one."""
    for name in HOSTS[:4]:
        fleet.nodes[name].hosts = tuple(h for h in HOSTS if h != FIRST)


def owner_cut_off(fleet: LedgerFleet) -> None:
    """Cut the owner off from all other hosts."""
    fleet.network.disconnect([FIRST], [host for host in HOSTS if host != FIRST])


def owner_without_log(fleet: LedgerFleet) -> None:
    """Cut the owner off from the log."""
    fleet.network.disconnect([FIRST], [SimulatedLog.NODE])


def owner_paused(fleet: LedgerFleet) -> None:
    """Pause the owner; it resumes with the records that it had accepted."""
    node = fleet.nodes[FIRST]
    fleet.world.after(2.0, lambda: setattr(node, "paused", True))
    fleet.world.after(15.0, lambda: setattr(node, "paused", False))


def nobody_reachable(fleet: LedgerFleet) -> None:
    """Cut every daemon off from all others, but not from the log."""
    for number, host in enumerate(HOSTS):
        fleet.network.disconnect([host], HOSTS[number + 1 :])


def log_outage(fleet: LedgerFleet) -> None:
    """Take the log down for 30 s."""
    fleet.world.after(3.0, lambda: setattr(fleet.log, "down", True))
    fleet.world.after(33.0, lambda: setattr(fleet.log, "down", False))


FAULTS = [
    lost_answers,
    two_owners,
    owner_cut_off,
    owner_without_log,
    owner_paused,
    nobody_reachable,
    log_outage,
]


@pytest.mark.parametrize("fault", FAULTS)
def test_every_bill_counts_once(fault: Callable[[LedgerFleet], None]) -> None:
    """210 requests by seven daemons are billed once, and all outboxes empty."""
    fleet = LedgerFleet(3, 7, 1)
    fleet.nodes[WRITER].submit(0, records.Base("x", 1000, 1))
    for name in HOSTS:
        grant = records.Grant(f"g{name}", "x", name, 100)
        submit_after(fleet, 0.5, name, grant)
    fleet.world.run(1.5)
    fault(fleet)
    for number in range(210):
        name = HOSTS[number % 7]
        bill = records.Bill(f"r{number}", "x", name, 2)
        submit_after(fleet, 1.0 + number * 0.05, name, bill)
    fleet.world.run(60.0)
    fleet.log.lost_answers = 0.0
    fleet.network.heal()
    fleet.world.run(120.0)
    assert fleet.folds[0].budgets_by_id["x"].billed == 420
    for node in fleet.nodes.values():
        assert not any(box.pending_by_entry for box in node.outboxes.values())


def submit_after(
    fleet: LedgerFleet, seconds: float, name: str, entry: records.Entry
) -> None:
    """Submit a record to a daemon after a delay in seconds."""
    fleet.world.after(seconds, lambda: fleet.nodes[name].submit(0, entry))
