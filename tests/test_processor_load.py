"""A saturated processor: requests that can't be answered in time are refused at once.

The load: a workspace sends 2.8 to 7.5 times its usual load to one host with a small
share of a core, which then answered all of its requests 2 to 3 s late.
"""

from __future__ import annotations

import time
from dataclasses import replace

import gevent

from godwitrudder.options import Options, Queueing
from godwitrudder.platform.settings import EntrySettings
from godwitrudder.request.queueing.processor_load import ProcessorLoad
from tests.entry_setup import good, run_entry, status_of


def load_after(*readings: float) -> ProcessorLoad:
    load = ProcessorLoad()
    for reading in readings:
        load.read(reading)
    return load


def test_a_late_host_refuses_the_least_urgent_first() -> None:
    """All ranks were late together, the most urgent one too."""
    load = load_after(*[0.1] * 40)
    assert not load.can_answer(rank=2, objective=0.27, left=10.0)
    assert load.can_answer(rank=0, objective=0.27, left=10.0)
    assert load.can_answer(rank=2, objective=1.2, left=10.0)
    assert not load.can_answer(rank=0, objective=1.2, left=0.5)
    assert not load_after(*[0.3] * 40).can_answer(rank=0, objective=0.27, left=10.0)


def test_one_long_step_refuses_nothing() -> None:
    """A large document is decoded in 0.1 s; that is no overload."""
    load = load_after(0.0, 0.1, 0.0)
    assert load.can_answer(rank=2, objective=0.27, left=2.7)
    assert not load.full


def test_new_callers_come_back_once_the_host_is_free() -> None:
    """A host that stays closed moves its load to the others for good."""
    load = load_after(*[0.2] * 10)
    assert load.full
    assert [load.read(0.0) for _ in range(10)].count(True) == 1
    assert not load.full


def test_a_saturated_host_refuses_and_asks_for_no_callers() -> None:
    with run_entry(good) as setup:
        entry = setup.entry
        entry.settings = _queueing(entry.settings, Queueing.ON)
        assert status_of(setup.ask()) == 200
        entry.processor.late_seconds, entry.processor.full = 2.0, True
        began = time.monotonic()
        data = setup.ask()
        assert status_of(data) == 503
        assert b"connection: close" in data.lower()
        assert time.monotonic() - began < 0.5
        assert not entry.ready
        assert len(setup.runners[0].received_requests) == 1
        entry.settings = _queueing(entry.settings, Queueing.OFF)
        entry.processor.late_seconds = 2.0
        assert status_of(setup.ask()) == 200
        gevent.sleep(1.5)
        assert entry.ready


def _queueing(settings: EntrySettings, queueing: Queueing) -> EntrySettings:
    return replace(settings, options=Options(queueing))
