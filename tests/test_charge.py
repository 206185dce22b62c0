"""Tests of what a request costs its workspace once it has ended."""

from __future__ import annotations

import pytest

from standins.platform_runner import (
    ReceivedRequest,
    Script,
    Step,
    build_event,
    encode_chunk,
    stream_head,
)
from tests.entry_setup import (
    PREPAID,
    garbled,
    good,
    rejecting,
    resetting,
    run_entry,
    silent,
    status_of,
    streaming,
)


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
