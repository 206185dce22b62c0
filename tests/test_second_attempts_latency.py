"""What second attempts do to the slowest answers, and how much work they add."""

from __future__ import annotations

import time
from dataclasses import dataclass, replace

from gevent.pool import Pool

from godwitrudder.options import Options
from standins.platform_runner import ReceivedRequest, Script, Step
from tests.entry_setup import EntrySetup, run_entry, streaming

RUNNERS = 20
REQUESTS = 400
CALLERS = 6
SHARE = 0.1
USUAL_SECONDS = 0.01
SLOW_SECONDS = 0.4
SLOW_EVERY = 30


@dataclass(frozen=True)
class Measured:
    """Times to the end of short streams, in seconds by percentile, and attempts."""

    seconds_by_percentile: dict[float, float]
    attempts: int


def at_times_slow() -> Script:
    """Return a script for all runners of which every ``SLOW_EVERY``-th answer is slow.

    Placement would send a runner that is always slow few requests.
    """
    received = 0

    def script(seen: ReceivedRequest, number: int) -> list[Step]:
        nonlocal received
        received += 1
        seconds = USUAL_SECONDS if received % SLOW_EVERY else SLOW_SECONDS
        return [seconds, *streaming(0)(seen, number)]

    return script


def measure(share: float) -> Measured:
    """Ask an entry process with this share of second attempts."""
    with run_entry(*[at_times_slow()] * RUNNERS) as setup:
        options = Options(second_attempt_share=share)
        setup.entry.settings = replace(setup.entry.settings, options=options)
        times = sorted(
            Pool(CALLERS).imap_unordered(lambda _: timed(setup), range(REQUESTS))
        )
        percentiles = {
            share: round(times[int(share * REQUESTS)], 3)
            for share in (0.5, 0.99, 0.999)
        }
        attempts = sum(len(runner.received_requests) for runner in setup.runners)
        return Measured(percentiles, attempts)


def timed(setup: EntrySetup) -> float:
    began = time.monotonic()
    assert setup.ask("/stream/1", "POST", body=b"x").endswith(b"0\r\n\r\n")
    return time.monotonic() - began


def test_second_attempts_cut_the_99th_percentile_within_their_share() -> None:
    without, with_them = measure(0.0), measure(SHARE)
    print(without, with_them)
    assert without.attempts == REQUESTS
    assert with_them.attempts <= REQUESTS * (1 + SHARE)
    assert with_them.seconds_by_percentile[0.99] < without.seconds_by_percentile[0.99]
