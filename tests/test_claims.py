"""Claims: a call runs at most once, and each answer says whether it ran."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

import gevent
import pytest

from godwitrudder.process import claims
from godwitrudder.process.claims import ClaimManager
from godwitrudder.process.ledger import Ledger
from godwitrudder.request.answer import ServiceAnswer
from godwitrudder.request.outcome import Failed, Ran, Reason, Refused, refuse
from godwitrudder.version import records
from godwitrudder.version.fold import Effect, LedgerFold
from godwitrudder.version.records import Entry


class FakeLedger:
    """A ``Ledger`` for claim managers whose appends the test can hold back."""

    def __init__(self) -> None:
        self.fold = LedgerFold()
        self.queued: list[Entry] = []
        self.available = True
        self._listeners: list[Callable[[Effect], None]] = []

    def listen(self, listener: Callable[[Effect], None]) -> None:
        """Pass all effects to ``listener``."""
        self._listeners.append(listener)

    def submit(self, key: str, entry: Entry) -> None:
        """Queue a record, and append it soon if the log is available."""
        self.queued.append(entry)
        if self.available:
            gevent.spawn(self.flush)

    def fold_of(self, key: str) -> LedgerFold:
        """Return the only fold."""
        return self.fold

    def flush(self, copies: int = 1) -> None:
        """Append the queued records, ``copies`` times to simulate lost answers."""
        entries, self.queued = self.queued, []
        for _ in range(copies):
            data = records.encode_batch("w", entries)
            for effect in self.fold.apply(self.fold.next_offset, 0.0, data):
                for listener in self._listeners:
                    listener(effect)


class Target:
    """Counts its runs and returns the given answer."""

    def __init__(self, answer: claims.Answer) -> None:
        self.answer = answer
        self.runs = 0

    def __call__(self) -> claims.Answer:
        """Count one run and return the answer."""
        self.runs += 1
        return self.answer


DONE = ServiceAnswer(201, b"done", 5, "text/plain")


def claims_of(log: FakeLedger, name: str, seconds: float = 1.0) -> ClaimManager:
    """Return the claims of an incarnation."""
    return ClaimManager(cast(Ledger, log), name, seconds)


@pytest.fixture(autouse=True)
def short_result_wait(monkeypatch: Any) -> None:
    """Shorten the wait for results of other routers."""
    monkeypatch.setattr(claims, "RESULT_WAIT_SECONDS", 0.2)


def test_two_routers_at_once_run_it_once() -> None:
    """The router with the later claim returns the stored answer of the first one."""
    log, target = FakeLedger(), Target(DONE)
    log.available = False
    managers = [claims_of(log, "a"), claims_of(log, "b")]
    calls = [gevent.spawn(d.run_once, "r", "f", target) for d in managers]
    gevent.sleep(0)
    log.available = True
    log.flush(copies=2)
    gevent.joinall(calls)
    assert target.runs == 1
    assert [(c.value.status, c.value.body) for c in calls] == [(201, b"done")] * 2
    assert sum(call.value.tokens for call in calls) == DONE.tokens
    assert calls[1].value.content_type == "text/plain"


def test_claim_that_lands_late_is_never_run() -> None:
    """A claim read back after its timeout is refused as not run and released.

    Once the log is available again, a later attempt runs the call once.
    """
    log, target = FakeLedger(), Target(DONE)
    log.available = False
    late = claims_of(log, "a", seconds=0.01)
    refused = late.run_once("r", "f", target)
    assert isinstance(refused, Refused) and refused.ran is Ran.NOT_RUN
    log.available = True
    log.flush(copies=2)
    gevent.sleep(0.01)
    assert target.runs == 0
    assert log.fold.claims_by_request["r"].released
    assert claims_of(log, "b").run_once("r", "f", target) == DONE
    assert target.runs == 1
    again = late.run_once("r", "f", target)
    assert isinstance(again, ServiceAnswer) and target.runs == 1


def test_refusal_before_dispatch_releases_the_claim() -> None:
    """A retry at any router runs the call; a late copy of the old claim is void."""
    log = FakeLedger()
    first = Target(refuse(Reason.NO_RUNNER, 1.0, target="t"))
    assert isinstance(claims_of(log, "a").run_once("r", "f", first), Refused)
    gevent.sleep(0.01)
    old = log.fold.claims_by_request["r"].ops[0]
    log.submit("r", records.Claim("r", "a", "f", old))
    gevent.sleep(0.01)
    assert log.fold.claims_by_request["r"].released
    assert claims_of(log, "b").run_once("r", "f", Target(DONE)) == DONE


def test_holder_that_died_leaves_unknown() -> None:
    """A claim without a result is answered as unknown; no other router runs it."""
    log, target = FakeLedger(), Target(DONE)
    log.submit("r", records.Claim("r", "dead", "f", "op"))
    gevent.sleep(0.01)
    answer = claims_of(log, "b").run_once("r", "f", target)
    assert isinstance(answer, Failed) and answer.ran is Ran.UNKNOWN
    assert target.runs == 0


def test_other_request_under_the_same_key_is_refused() -> None:
    """A stored answer is returned only for the same request fingerprint."""
    log, target = FakeLedger(), Target(DONE)
    claims_of(log, "a").run_once("r", "f", target)
    gevent.sleep(0.01)
    refused = claims_of(log, "b").run_once("r", "g", target)
    assert isinstance(refused, Refused) and refused.reason is Reason.KEY_REUSED


def test_large_answer_is_known_to_have_run() -> None:
    """An answer too large to store is reported as run."""
    log = FakeLedger()
    large = Target(ServiceAnswer(200, b"x" * 100_000, 5))
    claims_of(log, "a").run_once("r", "f", large)
    gevent.sleep(0.01)
    again = claims_of(log, "b").run_once("r", "f", large)
    assert isinstance(again, Failed) and again.ran is Ran.RAN
    assert large.runs == 1
