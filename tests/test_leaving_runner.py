"""A runner that says in its answers that it leaves gets no further requests."""

from __future__ import annotations

import gevent

from godwitrudder.platform import names
from standins.platform_runner import ReceivedRequest, Step, build_response
from tests.entry_setup import (
    EntrySetup,
    good,
    list_runner,
    rejecting,
    run_entry,
    status_of,
)

LIST_SECONDS = 0.6
"""Time after which a host has read a changed list."""


def leaving(seen: ReceivedRequest, _number: int) -> list[Step]:
    return [build_response(seen, "200 OK", b"hello", "Server-Leaving: 1")]


def ask_until_it_says_so(setup: EntrySetup) -> int:
    """Ask while all other runners reject; return what the leaving one got."""
    setup.runners[1].script = rejecting
    assert status_of(setup.ask()) == 200
    return len(setup.runners[0].received_requests)


def test_a_runner_that_says_it_leaves_gets_no_further_request() -> None:
    """The store may list it as leaving later, or never."""
    with run_entry(leaving, good) as setup:
        before = ask_until_it_says_so(setup)
        assert [status_of(setup.ask()) for _ in range(4)] == [503] * 4
        setup.runners[1].script = good
        assert [status_of(setup.ask()) for _ in range(4)] == [200] * 4
        assert len(setup.runners[0].received_requests) == before


def test_no_entry_of_the_same_instance_brings_it_back() -> None:
    """Its heartbeats go on, and its entry may expire and return."""
    with run_entry(leaving, good) as setup:
        before = ask_until_it_says_so(setup)
        list_runner(setup.store, 0, setup.runners[0], seq=2)
        gevent.sleep(LIST_SECONDS)
        assert status_of(setup.ask()) == 503
        setup.store.put(names.RUNNERS_TOPIC, "i-0", None)
        gevent.sleep(2.5)
        list_runner(setup.store, 0, setup.runners[0], seq=3)
        gevent.sleep(LIST_SECONDS)
        assert status_of(setup.ask()) == 503
        assert len(setup.runners[0].received_requests) == before


def test_a_new_instance_under_the_same_id_is_used() -> None:
    with run_entry(leaving, good) as setup:
        ask_until_it_says_so(setup)
        setup.runners[0].script = good
        list_runner(setup.store, 0, setup.runners[0], born=1_774_000_000_000)
        gevent.sleep(LIST_SECONDS)
        assert status_of(setup.ask()) == 200


def test_an_entry_that_returns_before_the_answer_is_of_the_same_instance() -> None:
    """The request was sent under the former entry."""

    def relisted(seen: ReceivedRequest, number: int) -> list[Step]:
        directory = setup.entry.directory
        entry = directory.candidates("s")[0].entry
        directory._drop(entry.id, "expired")
        directory._add(entry)
        return leaving(seen, number)

    with run_entry(relisted) as setup:
        assert status_of(setup.ask()) == 200
        assert status_of(setup.ask()) == 503
        assert len(setup.runners[0].received_requests) == 1


def test_a_late_answer_of_a_former_instance_does_not_bind_its_successor() -> None:
    def succeeded(seen: ReceivedRequest, number: int) -> list[Step]:
        list_runner(setup.store, 0, setup.runners[0], born=1_774_000_000_000)
        setup.runners[0].script = good
        return [LIST_SECONDS, *leaving(seen, number)]

    with run_entry(succeeded) as setup:
        statuses = [status_of(setup.ask("/unsafe/1", "POST")) for _ in range(2)]
        assert statuses == [200, 200]
