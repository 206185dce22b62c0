"""Second attempts over real connections: one answer, one charge, nothing left over."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace

import gevent
import pytest
from gevent.event import Event

from godwitrudder.options import Options
from standins.platform_runner import (
    ReceivedRequest,
    Script,
    Step,
    build_event,
    build_response,
    encode_chunk,
    stream_head,
)
from tests.entry_setup import (
    EntrySetup,
    good,
    rejecting,
    request,
    resetting,
    run_entry,
    silent,
    status_of,
    streaming,
)

OBJECTIVE = 0.3
"""Latency objective of the routes; with no answers yet it is the delay."""
LEFT_BEHIND_SECONDS = 0.4
"""Longest time for which a runner may go on with a request that another one answers."""
TOKENS = "X-Godwitrudder-Token-Count: 100,50\r\n"
CHARGED = 104
"""Prompt and two events of two tokens."""


@contextmanager
def hedging(*scripts: Script, share: float = 0.2) -> Iterator[EntrySetup]:
    """Run an entry process whose bucket allows second attempts."""
    with run_entry(*scripts) as setup:
        options = Options(second_attempt_share=share)
        setup.entry.settings = replace(setup.entry.settings, options=options)
        for _ in range(20):
            setup.entry.second_attempts.record_request("s")
        yield setup


def in_order(*scripts: Script) -> Script:
    """Return a script for all runners: the n-th request is answered by the n-th one."""
    received = 0

    def script(seen: ReceivedRequest, number: int) -> list[Step]:
        nonlocal received
        received += 1
        return scripts[min(received, len(scripts)) - 1](seen, number)

    return script


def after(seconds: float, script: Script) -> Script:
    return lambda seen, number: [seconds, *script(seen, number)]


@dataclass
class Meeting:
    """Lets scripts go on once two requests have arrived."""

    arrived: int = 0
    both: Event = field(default_factory=Event)

    def at_once(self, script: Script) -> Script:
        def waiting(seen: ReceivedRequest, number: int) -> list[Step]:
            self.arrived += 1
            if self.arrived == 2:
                self.both.set()
            self.both.wait(2.0)
            return script(seen, number)

        return waiting


def received(setup: EntrySetup) -> int:
    return sum(len(runner.received_requests) for runner in setup.runners)


def disconnects(setup: EntrySetup) -> int:
    return sum(runner.caller_disconnects for runner in setup.runners)


def wait_until(condition: Callable[[], bool], seconds: float) -> None:
    ends_at = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < ends_at
        gevent.sleep(0.01)


def outcomes(setup: EntrySetup) -> list[str]:
    """Return how the attempts ended, in order."""
    lines = setup.log.decisions
    return [inputs["outcome"] for kind, _, inputs in lines if kind == "attempt"]


def winners(setup: EntrySetup) -> list[str]:
    lines = setup.log.decisions
    return [inputs["won"] for kind, _, inputs in lines if kind == "second_attempt"]


def not_started(setup: EntrySetup, reason: str) -> float:
    value = setup.entry._metrics.registry.get_sample_value(
        "godwitrudder_second_attempts_not_started_total",
        {"target": "s", "reason": reason},
    )
    return value or 0.0


def assert_nothing_left(setup: EntrySetup) -> None:
    """No attempt counts as load, and no runner as failed."""
    for candidate in setup.entry.directory.candidates("s"):
        assert candidate.in_flight == 0
        assert candidate.pending_tokens == 0
        assert candidate.failures == 0.0
        assert candidate.ejections == 0


def spent(setup: EntrySetup) -> int:
    return setup.entry.reservations.host_holdings.holding("w").spent


def assert_whole_stream(data: bytes) -> None:
    """The caller got one head, each event once, and the end."""
    assert data.count(b"HTTP/1.1") == 1
    assert [data.count(build_event(number)) for number in (0, 1)] == [1, 1]
    assert data.endswith(b"0\r\n\r\n")


def test_the_second_runner_answers_for_a_slow_first_one() -> None:
    with hedging(*[in_order(silent, good)] * 2) as setup:
        began = time.monotonic()
        data = setup.ask()
        answered_at = time.monotonic()
        assert OBJECTIVE <= answered_at - began < OBJECTIVE + 0.25
        assert data.count(b"HTTP/1.1 200") == 1 and data.endswith(b"hello")
        wait_until(lambda: disconnects(setup) == 1, LEFT_BEHIND_SECONDS)
        assert outcomes(setup) in (["Whole", "Overtaken"], ["Overtaken", "Whole"])
        assert winners(setup) == ["second"]
        assert_nothing_left(setup)


def test_an_overtaken_attempt_says_neither_good_nor_bad_of_its_runner() -> None:
    """Nor is it free: it takes from the share and from the retries of all hosts."""
    with hedging(*[in_order(silent, good)] * 2) as setup:
        candidates = setup.entry.directory.candidates("s")
        for candidate in candidates:
            candidate.failures, candidate.failed_at = 0.5, time.monotonic()
        assert setup.ask().endswith(b"hello")
        first, second = sorted(candidates, key=lambda each: -each.failures)
        assert first.failures == 0.5 > second.failures
        assert setup.entry.second_attempts._bucket("s")._saved == pytest.approx(3.2)
        assert len(setup.entry.forwarder._retry_window("s")._retries) == 1


def test_a_stream_comes_from_the_second_runner_whole() -> None:
    with hedging(*[in_order(silent, streaming(0, 1))] * 2) as setup:
        before = spent(setup)
        data = setup.ask("/stream/1", "POST", headers=TOKENS, body=b"x")
        assert_whole_stream(data)
        assert spent(setup) - before == CHARGED
        wait_until(lambda: disconnects(setup) == 1, LEFT_BEHIND_SECONDS)
        assert_nothing_left(setup)


def test_the_first_runner_may_still_win() -> None:
    """The second one's connection is closed, and its tokens come back."""
    scripts = in_order(after(0.4, streaming(0, 1)), silent)
    with hedging(*[scripts] * 2) as setup:
        before = spent(setup)
        data = setup.ask("/stream/1", "POST", headers=TOKENS, body=b"x")
        assert_whole_stream(data)
        assert winners(setup) == ["first"]
        assert spent(setup) - before == CHARGED
        wait_until(lambda: disconnects(setup) == 1, LEFT_BEHIND_SECONDS)
        assert_nothing_left(setup)


def test_a_begun_stream_is_not_sent_to_a_second_runner() -> None:
    """Its events may be slow, but the caller has seen the first one."""

    def slow(seen: ReceivedRequest, number: int) -> list[Step]:
        first, second = [encode_chunk(build_event(number)) for number in (0, 1)]
        return [stream_head(seen), first, 0.6, second, b"0\r\n\r\n"]

    with hedging(slow, slow) as setup:
        assert_whole_stream(setup.ask("/stream/1", "POST", body=b"x"))
        assert received(setup) == 1


@pytest.mark.parametrize("path", ["/safe/1", "/stream/1"])
def test_two_answers_at_the_same_moment_give_the_caller_one(path: str) -> None:
    for _ in range(5):
        meeting = Meeting()
        script = good if path == "/safe/1" else streaming(0, 1)
        with hedging(*[meeting.at_once(script)] * 2) as setup:
            before = spent(setup)
            data = setup.ask(path, "POST", headers=TOKENS, body=b"x")
            if path == "/safe/1":
                assert data.count(b"HTTP/1.1") == 1 and data.endswith(b"hello")
                assert spent(setup) - before == 150
            else:
                assert_whole_stream(data)
                assert spent(setup) - before == CHARGED
            assert received(setup) == 2
            assert len(winners(setup)) == 1
            assert_nothing_left(setup)


def failing(seen: ReceivedRequest, _number: int) -> list[Step]:
    return [build_response(seen, "500 Broken", b"no")]


@pytest.mark.parametrize("fault", [resetting, failing])
@pytest.mark.parametrize("first_fails", [True, False])
def test_the_other_attempt_goes_on_if_one_fails(
    fault: Script, first_fails: bool
) -> None:
    """A failed answer and a lost connection end only their own attempt."""
    meeting = Meeting()
    answering = meeting.at_once(after(0.05, good))
    ending = meeting.at_once(fault)
    order = (ending, answering) if first_fails else (answering, ending)
    with hedging(*[in_order(*order)] * 3) as setup:
        assert setup.ask().endswith(b"hello")
        assert received(setup) == 2
        assert winners(setup) == ["second" if first_fails else "first"]
        shares = [each.failures for each in setup.entry.directory.candidates("s")]
        assert sum(share > 0 for share in shares) == 1


def test_retries_go_on_if_both_attempts_are_rejected() -> None:
    meeting = Meeting()
    both = meeting.at_once(rejecting)
    with hedging(*[in_order(both, both, good)] * 3) as setup:
        assert setup.ask().endswith(b"hello")
        assert received(setup) == 3
        assert winners(setup) == ["none"]


def test_a_failed_answer_is_passed_on_if_both_attempts_fail() -> None:
    """The attempts of the route are used up, so there is no third one."""
    meeting = Meeting()
    order = (meeting.at_once(failing), meeting.at_once(resetting))
    with hedging(*[in_order(*order)] * 3) as setup:
        assert status_of(setup.ask()) == 500
        assert received(setup) == 2


def test_a_stream_that_breaks_after_a_failed_answer_gets_no_second_head() -> None:
    """The failed answer of the first runner must not follow the second one's events."""
    meeting = Meeting()
    order = (
        meeting.at_once(failing),
        meeting.at_once(after(0.1, streaming(0, whole=False))),
    )
    with hedging(*[in_order(*order)] * 2) as setup:
        data = setup.ask("/stream/1", "POST", body=b"x")
        assert data.count(b"HTTP/1.1") == 1
        assert b"500 Broken" not in data


def test_both_attempts_end_when_the_caller_leaves() -> None:
    with hedging(silent, silent) as setup:
        before = spent(setup)
        address = setup.entry.settings.callers
        with socket.create_connection((address.ip, address.port)) as sock:
            sock.sendall(request("/stream/1", "POST", headers=TOKENS, body=b"x"))
            wait_until(lambda: received(setup) == 2, 1.0)
            assert spent(setup) - before == 2 * 150
        wait_until(lambda: disconnects(setup) == 2, LEFT_BEHIND_SECONDS)
        wait_until(lambda: spent(setup) == before, 0.2)
        for candidate in setup.entry.directory.candidates("s"):
            assert candidate.in_flight == candidate.pending_tokens == 0


def test_both_attempts_end_at_the_deadline() -> None:
    with hedging(silent, silent) as setup:
        before = spent(setup)
        data = setup.ask("/stream/1", "POST", headers=TOKENS, body=b"x")
        assert status_of(data) == 504
        wait_until(lambda: disconnects(setup) == 2, LEFT_BEHIND_SECONDS)
        assert spent(setup) == before


@pytest.mark.parametrize("path", ["/unsafe/1", "/fixed/1"])
def test_a_request_that_may_not_be_repeated_is_sent_once(path: str) -> None:
    slow = after(0.6, good if path == "/unsafe/1" else streaming(0, 1))
    with hedging(slow, slow) as setup:
        assert status_of(setup.ask(path, "POST", body=b"x")) == 200
        assert received(setup) == 1


def test_a_share_of_zero_changes_nothing() -> None:
    """No second attempt, and no greenlets for attempts: the serving one sends."""
    slow = after(0.45, good)
    with hedging(slow, slow, share=0.0) as setup:
        setup.entry.second_attempts._sender = None  # type: ignore[assignment]
        assert setup.ask().endswith(b"hello")
        assert received(setup) == 1


def test_an_empty_bucket_allows_none() -> None:
    slow = after(0.45, good)
    with hedging(slow, slow) as setup:
        while setup.entry.second_attempts._bucket("s").has_one:
            setup.entry.second_attempts._bucket("s").take()
        assert setup.ask().endswith(b"hello")
        assert received(setup) == 1
        assert not_started(setup, "share") == 1


def test_a_runner_at_which_requests_wait_gets_none() -> None:
    slow = after(0.45, good)
    with hedging(slow, slow) as setup:
        asked = gevent.spawn(setup.ask)
        wait_until(lambda: received(setup) == 1, 1.0)
        for candidate in setup.entry.directory.candidates("s"):
            candidate.reported(1, 1, time.monotonic(), 4)
        assert asked.get().endswith(b"hello")
        assert received(setup) == 1
        assert not_started(setup, "no_runner") == 1


def test_a_suspect_prompt_gets_none() -> None:
    """It may end both runners."""
    slow = after(0.45, streaming(0, 1))
    headers = "X-Godwitrudder-Prefix-Hash: p1:50,own:50\r\n"
    with hedging(slow, slow) as setup:
        setup.entry.second_attempts._quarantine.record_crash("i-9", ["p1"], 0.1)
        assert_whole_stream(setup.ask("/stream/1", "POST", headers=headers, body=b"x"))
        assert received(setup) == 1


def test_a_prompt_that_becomes_suspect_in_the_meantime_gets_none() -> None:
    slow = after(0.45, streaming(0, 1))
    headers = "X-Godwitrudder-Prefix-Hash: p1:50,own:50\r\n"
    with hedging(slow, slow) as setup:
        asked = gevent.spawn(setup.ask, "/stream/1", "POST", headers=headers, body=b"x")
        wait_until(lambda: received(setup) == 1, 1.0)
        setup.entry.second_attempts._quarantine.record_crash("i-9", ["p1"], 0.1)
        assert_whole_stream(asked.get())
        assert received(setup) == 1
        assert not_started(setup, "suspect_prompt") == 1


def test_a_runner_at_its_rate_limit_gets_none() -> None:
    slow = after(0.45, good)
    with hedging(slow, slow) as setup:
        asked = gevent.spawn(setup.ask)
        wait_until(lambda: received(setup) == 1, 1.0)
        limits = setup.entry.second_attempts._choice._limits
        candidates = setup.entry.directory.candidates("s")
        for candidate in candidates:
            limits.record_limit(candidate.entry.id, 0.01)
        while permitted := limits.permitted(candidates):
            limits.take(permitted[0].entry.id)
        assert asked.get().endswith(b"hello")
        assert received(setup) == 1
        assert not_started(setup, "no_runner") == 1


def test_without_tokens_for_it_there_is_none() -> None:
    """The tokens are asked for once, without a wait, and the first attempt goes on."""
    slow = after(0.45, streaming(0, 1))
    asked_for: list[tuple[str, int]] = []
    with hedging(slow, slow) as setup:
        before = spent(setup)

        def reserve_now(workspace: str, tokens: int) -> None:
            asked_for.append((workspace, tokens))

        reservations = setup.entry.reservations
        reservations.reserve_now = reserve_now  # type: ignore[method-assign]
        data = setup.ask("/stream/1", "POST", headers=TOKENS, body=b"x")
        assert_whole_stream(data)
        assert received(setup) == 1
        assert not_started(setup, "tokens") == 1
        assert asked_for == [("w", 150)]
        assert spent(setup) - before == CHARGED


def test_tokens_for_it_come_only_from_what_may_be_spent_now() -> None:
    with hedging(good) as setup:
        reservations = setup.entry.reservations
        holding = reservations.host_holdings.holding("w")
        # More than opens while the test runs, less than what the host holds.
        missing = holding.spendable(reservations.now()) + 50_000
        assert missing < holding.granted
        assert reservations.reserve_now("w", missing) is None
        taken = reservations.reserve_now("w", 150)
        assert taken is not None
        assert spent(setup) == 150
        reservations.settle(taken, 0)
        assert spent(setup) == 0


def test_a_draining_process_starts_none() -> None:
    slow = after(0.45, good)
    with hedging(slow, slow) as setup:
        setup.entry.second_attempts.draining = True
        assert setup.ask().endswith(b"hello")
        assert received(setup) == 1
        assert not_started(setup, "draining") == 1


def test_a_fast_answer_does_not_wait_for_the_other_connection() -> None:
    """An overtaken attempt may be connecting to a machine that does not answer."""
    with hedging(*[in_order(after(0.35, good))] * 2) as setup:
        take = setup.entry.pool.take
        calls = 0

        def take_late(runner: str, address: object) -> object:
            nonlocal calls
            calls += 1
            if calls == 2:
                gevent.sleep(1.0)
            return take(runner, address)  # type: ignore[arg-type]

        setup.entry.pool.take = take_late  # type: ignore[method-assign, assignment]
        began = time.monotonic()
        assert setup.ask().endswith(b"hello")
        assert time.monotonic() - began < 0.6
        assert received(setup) == 1
        assert_nothing_left(setup)
