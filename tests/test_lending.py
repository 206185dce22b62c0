"""Tests of token loans between hosts: amounts, duplicates and malformed messages."""

from __future__ import annotations

import hmac
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from random import Random
from typing import Any

import gevent
import pytest
from gevent import socket
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.loopback import IP
from godwitrudder import codec
from godwitrudder.connection.loans import (
    DATAGRAM_BYTES,
    KEY_BYTES,
    Ask,
    Loan,
    Receipt,
    seal,
    unseal,
)
from godwitrudder.platform.store import Store
from godwitrudder.process import lending as task
from godwitrudder.process.decisions import DecisionLog
from godwitrudder.process.lending import LendingTask
from godwitrudder.process.reservations import ReservationTask
from godwitrudder.request.holding import Holding, Policy
from godwitrudder.request.host_holdings import HostHoldings
from godwitrudder.request.lending import KNOWN_LOANS, Lending, Receipts
from godwitrudder.request.tokens.reservation import Reservation, ReservationRefused
from godwitrudder.validation import Address
from godwitrudder.version.statements import Row, Statement
from tests.ports import free_datagram_port

KEY = bytes(KEY_BYTES)


def host_holdings_with(host: str, held: int, opened: int | None = None) -> HostHoldings:
    """Return the holdings of a host with tokens of one workspace."""
    holdings = HostHoldings(host, Policy())
    cap = held if opened is None else opened
    holdings.holdings["w"] = Holding(granted=held, stated=Row(held, cap))
    return holdings


def ask(needed: int, wanted: int = 0, demand: float = 0.0) -> Ask:
    return Ask("h1", 1, 1, "w", needed, max(wanted, needed), demand)


def loan(number: int, tokens: int = 10, epoch: int = 1) -> Loan:
    return Loan("h0", epoch, number, 1, "w", tokens, 0)


def test_a_loan_moves_what_may_be_spent() -> None:
    """Guards against refusals on one host while others hold free tokens.

    During a network cut one host refused 370 requests; the others held 1.1 million
    free tokens.
    """
    lender, borrower = host_holdings_with("h0", 9000), host_holdings_with("h1", 2000)
    lent, left = Lending(lender, Random(1)).lend(ask(6000), 5.0)
    assert (lent, left) == (6000, 3000)
    taken = Loan("h0", 1, 1, 1, "w", lent, left)
    assert Lending(borrower, Random(1)).accept(taken, 5.0)
    assert borrower.holding("w").reserve(8000, 5.0)
    assert not lender.holding("w").reserve(3001, 5.0)


def test_only_what_is_open_is_lent() -> None:
    """A restarted lender takes over the tokens that its statement has not opened."""
    lender = Lending(host_holdings_with("h0", 9000, opened=1000), Random(1))
    assert lender.lend(ask(1001), 5.0) == (0, 1000)
    assert lender.lend(ask(1000), 5.0)[0] == 1000


@pytest.mark.parametrize(
    ("own", "theirs", "lent"), [(100, 100, 5000), (0, 100, 10_000), (900, 100, 1000)]
)
def test_a_loan_ahead_is_shared_by_demand(own: int, theirs: int, lent: int) -> None:
    held = host_holdings_with("h0", 10_000)
    if own:
        held.holding("w").demand.expect(own, 5.0)
    tokens, _ = Lending(held, Random(1)).lend(ask(500, 20_000, float(theirs)), 5.0)
    assert tokens == pytest.approx(lent, rel=0.11)


def test_a_loan_counts_once_per_incarnation() -> None:
    receipts = Receipts()
    assert receipts.take(1, 7)
    assert not receipts.take(1, 7)
    assert receipts.take(2, 7)
    assert not receipts.take(1, 8)


def test_a_loan_that_may_have_come_before_is_refused() -> None:
    """Only a bounded set of loan numbers is kept; any lower number is refused."""
    receipts = Receipts()
    for number in range(1, KNOWN_LOANS + 2):
        assert receipts.take(1, number)
    assert len(receipts.numbers) <= KNOWN_LOANS
    assert not receipts.take(1, 1)
    assert not receipts.take(1, KNOWN_LOANS + 1)


def statement(peer: str = "127.0.0.1:1", limit: int = 1000, cap: int = 0) -> bytes:
    row = Row(limit, cap)
    return codec.encode(Statement(1, 1.0, 0.0, {"w": row}, peer, KEY))


def test_the_host_asked_is_one_that_states_enough() -> None:
    holdings = host_holdings_with("h1", 0)
    holdings.apply_statement("h0", statement(limit=1000), 5.0)
    holdings.apply_statement("h2", statement(limit=100), 5.0)
    holdings.apply_statement("h3", statement(peer="", limit=9000), 5.0)
    lending = Lending(holdings, Random(1))
    assert lending.choose_lender("w", 500, [], 6.0) == ("h0", 1000)
    assert lending.choose_lender("w", 500, ["h0"], 6.0) is None
    lending.record_timeout("h0", 6.0)
    assert lending.choose_lender("w", 500, [], 6.0) is None
    assert lending.choose_lender("w", 500, [], 60.0) == ("h0", 1000)


def test_an_answer_is_believed_until_a_newer_statement_comes() -> None:
    holdings = host_holdings_with("h1", 0)
    holdings.apply_statement("h0", statement(limit=1000), 5.0)
    lending = Lending(holdings, Random(1))
    lending.accept(Loan("h0", 1, 1, 1, "w", 0, 30), 6.0)
    assert lending.choose_lender("w", 500, [], 6.1) is None
    holdings.apply_statement("h0", statement(limit=1000), 6.2)
    assert lending.choose_lender("w", 500, [], 6.3) == ("h0", 1000)


def test_a_message_for_another_incarnation_is_not_read() -> None:
    """Guards against two incarnations of a host that both count the same loan."""
    sealed = seal(loan(1), KEY)
    assert unseal(sealed, KEY) == loan(1)
    assert isinstance(unseal(sealed, b"x" * KEY_BYTES), codec.Malformed)
    assert isinstance(unseal(sealed[:-1], KEY), codec.Malformed)
    assert isinstance(unseal(sealed + bytes(DATAGRAM_BYTES), KEY), codec.Malformed)


@pytest.mark.parametrize(
    "body",
    [
        ["loan", "h0", 1, 1, 1, "w", -5, 0],
        ["ask", "h1", 1, 1, "w", 5, 5, float("nan"), 0],
        ["ask", "h1", 1, 1, "w", 5, 5, float("inf"), 0],
        ["ask", "h1", 1, 1, "w", 2**60, 5, 0.0, 0],
        ["other"],
        [],
        7,
    ],
)
def test_a_sealed_message_out_of_its_bounds_is_refused(body: object) -> None:
    data = codec.encode(body)
    sealed = hmac.digest(KEY, data, "sha256")[:16] + data
    assert isinstance(unseal(sealed, KEY), codec.Malformed)


@settings(max_examples=300, derandomize=True, deadline=None, database=None)
@given(st.binary(max_size=200), st.booleans())
def test_no_bytes_break_the_reader(data: bytes, sealed: bool) -> None:
    if sealed:
        data = hmac.digest(KEY, data, "sha256")[:16] + data
    assert unseal(data, KEY) is not None


class KindRecorder(DecisionLog):
    """Records the kinds of the decisions that are logged."""

    def __init__(self) -> None:
        self.kinds: list[str] = []

    def note(self, kind: str, request: str = "", **inputs: Any) -> None:
        self.kinds.append(kind)


@dataclass
class Host:
    """A host that lends over real datagrams."""

    task: LendingTask
    holdings: HostHoldings
    log: KindRecorder
    address: Address


@contextmanager
def running_hosts(*held: int) -> Iterator[list[Host]]:
    """Run hosts that have read each other's statements."""
    running = []
    for number, tokens in enumerate(held):
        holdings = host_holdings_with(f"h{number}", tokens)
        key, log = bytes([number]) * KEY_BYTES, KindRecorder()
        address = Address(IP, free_datagram_port())
        lending = LendingTask(
            holdings, address, key, time.monotonic, lambda: None, log, Random(1)
        )
        lending.epoch = 1
        running.append(Host(lending, holdings, log, address))
    for number, host in enumerate(running):
        row = host.holdings.holding("w").stated
        assert row is not None
        key = bytes([number]) * KEY_BYTES
        stated = Statement(
            1, 1.0, 0.0, {"w": Row(row.limit, 0)}, str(host.address), key
        )
        for other in running:
            other.holdings.apply_statement(
                f"h{number}", codec.encode(stated), time.monotonic()
            )
    tasks = [gevent.spawn(each.task.run) for each in running]
    tasks += [gevent.spawn(each.task.resend_loans) for each in running]
    gevent.sleep(0)
    try:
        yield running
    finally:
        gevent.killall(tasks)
        for each in running:
            each.task.close()


def test_a_host_borrows_from_another_within_the_answer_timeout() -> None:
    with running_hosts(9000, 1000) as (lender, borrower):
        assert borrower.task.borrow("r-1", "w", 5000)
        gevent.sleep(0.02)
        assert lender.holdings.holding("w").spent == 5000
        assert borrower.holdings.holding("w").spent == -5000
        assert not borrower.task.borrow("r-2", "w", 5000)


def test_a_silent_host_costs_a_bounded_time(monkeypatch: pytest.MonkeyPatch) -> None:
    with running_hosts(9000, 1000) as (lender, borrower):
        lender.task.close()
        began = time.monotonic()
        assert not borrower.task.borrow("r-1", "w", 5000)
        assert time.monotonic() - began < task.ANSWER_TIMEOUT_SECONDS * 10
        assert not borrower.task.borrow("r-2", "w", 5000)
        assert borrower.log.kinds.count("loan") == 1


def test_a_loan_without_a_receipt_is_sent_again_and_counts_once() -> None:
    """A loan is resent if its borrower was suspended or its receipt was lost."""
    with running_hosts(9000, 1000) as (lender, borrower):
        lender.task._handle_ask(Ask("h1", 1, 99, "w", 5000, 5000, 0.0))
        pending = next(iter(lender.task._unacknowledged_by_number.values()))
        for _ in range(3):
            lender.task._send_datagram("h1", pending.datagram, pending.address)
        gevent.sleep(0.05)
        assert borrower.holdings.holding("w").spent == -5000
        assert not lender.task._unacknowledged_by_number
        assert borrower.log.kinds.count("loan_late") == 4


def test_a_loan_is_not_sent_on_to_a_successor() -> None:
    """If it were sealed again for the successor, both incarnations could count it."""
    with running_hosts(9000, 1000) as (lender, borrower):
        successor_key = b"s" * KEY_BYTES
        lender.task._handle_ask(Ask("h1", 1, 99, "w", 5000, 5000, 0.0))
        pending = next(iter(lender.task._unacknowledged_by_number.values()))
        stated = Statement(2, 1.0, 0.0, {}, str(borrower.address), successor_key)
        lender.holdings.apply_statement("h1", codec.encode(stated), time.monotonic())
        borrower.task._key = successor_key
        gevent.sleep(0.3)
        assert borrower.holdings.holding("w").spent == 0
        assert isinstance(unseal(pending.datagram, successor_key), codec.Malformed)
        lender.task._handle_ask(Ask("h1", 1, 100, "w", 10, 10, 0.0))
        assert "lend_unknown" in lender.log.kinds


def test_invalid_datagrams_are_refused_and_logged() -> None:
    with running_hosts(9000, 1000) as (lender, borrower):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            destination = (lender.address.ip, lender.address.port)
            for data in (
                b"",
                b"x",
                bytes(60_000),
                seal(Receipt("h1", 1, 5), b"n" * 16),
            ):
                sock.sendto(data, destination)
        gevent.sleep(0.05)
        assert lender.task.refused_messages == 4
        assert lender.log.kinds.count("peer_refused") == 4
        assert borrower.task.borrow("r-1", "w", 5000)


def test_binding_waits_for_a_former_process_to_release_the_port() -> None:
    """The second process waits, so two processes of one host never act at once."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as former:
        former.bind((IP, 0))
        address = Address(IP, former.getsockname()[1])
        log = KindRecorder()
        lending = LendingTask(
            host_holdings_with("h0", 0),
            address,
            KEY,
            time.monotonic,
            lambda: None,
            log,
            Random(1),
        )
        running = gevent.spawn(lending.run)
        gevent.sleep(0.02)
        assert not lending.bound.is_set()
        assert "peer_port" in log.kinds
        former.close()
        assert lending.bound.wait(1.0)
        running.kill()
        lending.close()


def test_a_peer_tells_how_old_a_statement_can_be() -> None:
    with running_hosts(9000, 1000) as (peer, restarted):
        stated = restarted.holdings.statements.statements_by_host["h1"]
        book = peer.holdings.statements
        assert restarted.task.former_statement_age(stated) is None
        book.sent_after_by_host["h1"] = time.monotonic() - 2.0
        age = restarted.task.former_statement_age(stated)
        assert age is not None and 2.0 <= age < 3.0


def reservations_without_store(rate: float) -> ReservationTask:
    """Return a task without a store; its holding opens at ``rate`` tokens a second."""
    reservations = ReservationTask(
        Store(Address(IP, free_datagram_port())),
        "h1",
        lambda: None,
        KindRecorder(),
        Policy(),
        Address(IP, free_datagram_port()),
        Random(1),
    )
    reservations.opened.set()
    reservations.exchange.answered_at = reservations.now() - 5.0
    holding = reservations.host_holdings.holding("w")
    holding.granted = 1000
    holding.stated, holding.stated_at = Row(1000, 0, rate=rate), reservations.now()
    return reservations


@pytest.mark.parametrize(("rate", "had"), [(5000.0, True), (100.0, False)])
def test_a_request_waits_for_what_opens_in_time_where_nobody_lends(
    rate: float, had: bool
) -> None:
    """Guards against a refusal as soon as no host lends.

    Such a request was refused 0.1 s before its own tokens became spendable.
    """
    began = time.monotonic()
    reserved = reservations_without_store(rate).reserve("r-1", "w", 500, 0.3)
    assert isinstance(reserved, Reservation) == had
    assert time.monotonic() - began < 0.25


def test_a_wait_ends_when_the_budget_turns_out_to_be_spent() -> None:
    """Guards against waits for tokens that by fresh knowledge nobody can have."""
    reservations = reservations_without_store(0.0)
    reservations.host_holdings.configure({"w": 1000})
    reservations.exchange.answered_at = reservations.now()
    waits = gevent.spawn(reservations.reserve, "r-1", "w", 500, 2.0, 1)
    gevent.sleep(0.05)
    assert not waits.ready()
    reservations.host_holdings.configure({"w": 100})
    reservations._queue.end_hopeless()
    refused = waits.get(timeout=0.5)
    assert isinstance(refused, ReservationRefused) and refused.exhausted
