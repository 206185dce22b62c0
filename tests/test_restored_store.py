"""Hosts whose store comes back from an older copy.

The copy lacks the newest records, and their offsets are given out again.
"""

from __future__ import annotations

import gevent

from godwitrudder.platform import names
from tests.entry_setup import EntrySetup, configuration, good, run_entry, status_of

FOLLOW_SECONDS = 1.5
"""Time in which a host reads what the store has, after a store that was down."""


def restore_unseen(setup: EntrySetup, topic: str, *values: object) -> None:
    """Restore the state before the first value; replace it while the host is cut off.

    The later values are then at the offsets of the first ones.
    """
    copied = setup.store.copy_topics()
    setup.store.put(topic, *values[0])  # type: ignore[misc]
    gevent.sleep(FOLLOW_SECONDS)
    setup.store.faults.set({"down": True})
    gevent.sleep(0.1)
    setup.store.restore(copied)
    for value in values[1:]:
        setup.store.put(topic, *value)  # type: ignore[misc]
    setup.store.faults.set({"down": False})
    gevent.sleep(FOLLOW_SECONDS)


def runner_record(setup: EntrySetup, state: str, sequence: int) -> dict[str, object]:
    address = setup.runners[1].address
    return {"service": "s", "address": address, "state": state, "seq": sequence}


def test_a_version_at_an_offset_that_was_read_before_comes_into_force() -> None:
    """CONFIG: a host that was cut off during the restore kept an older version."""
    with run_entry(good) as setup:
        key = names.CONFIGURATION_KEY
        restore_unseen(
            setup,
            names.OPERATOR_TOPIC,
            (key, configuration(2)),
            (key, configuration(3)),
        )
        catalogue = setup.entry.directory.catalogue
        assert catalogue is not None
        assert catalogue.version == 3


def test_a_version_does_not_come_back_older() -> None:
    with run_entry(good) as setup:
        key = names.CONFIGURATION_KEY
        restore_unseen(setup, names.OPERATOR_TOPIC, (key, configuration(2)))
        catalogue = setup.entry.directory.catalogue
        assert catalogue is not None
        assert catalogue.version == 2


def test_an_entry_at_an_offset_that_was_read_before_ends_new_requests() -> None:
    """DRAIN: the host would not have read that the runner leaves."""
    with run_entry(good, good) as setup:
        restore_unseen(
            setup,
            names.RUNNERS_TOPIC,
            ("i-1", runner_record(setup, "ready", 2)),
            ("i-1", runner_record(setup, "draining", 3)),
        )
        entries = {
            each.entry.id: each for each in setup.entry.directory.candidates("s")
        }
        assert entries["i-1"].entry.leaving


def test_a_runner_that_leaves_is_not_used_by_its_older_entry() -> None:
    """DRAIN: the older copy lists it as ready."""
    with run_entry(good, good) as setup:
        setup.store.put(names.RUNNERS_TOPIC, "i-1", runner_record(setup, "ready", 2))
        restore_unseen(
            setup, names.RUNNERS_TOPIC, ("i-1", runner_record(setup, "draining", 3))
        )
        before = len(setup.runners[1].received_requests)
        for _ in range(8):
            assert status_of(setup.ask()) == 200
        assert len(setup.runners[1].received_requests) == before
        setup.store.put(names.RUNNERS_TOPIC, "i-1", runner_record(setup, "ready", 4))
        gevent.sleep(FOLLOW_SECONDS)
        entries = {
            each.entry.id: each for each in setup.entry.directory.candidates("s")
        }
        assert not entries["i-1"].entry.leaving


def test_a_runner_that_is_gone_is_not_used_by_its_older_entry() -> None:
    with run_entry(good, good) as setup:
        gevent.sleep(2.5)  # entries that are removed have not just expired
        restore_unseen(setup, names.RUNNERS_TOPIC, ("i-1", None))
        listed = [each.entry.id for each in setup.entry.directory.candidates("s")]
        assert listed == ["i-0"]


def test_runners_that_the_older_copy_lacks_are_kept_until_they_are_listed_again() -> (
    None
):
    with run_entry(good, good) as setup:
        copied = setup.store.copy_topics()
        del copied[names.RUNNERS_TOPIC]
        setup.store.restore(copied)
        gevent.sleep(0.7)
        assert len(setup.entry.directory.candidates("s")) == 2
        assert status_of(setup.ask()) == 200
