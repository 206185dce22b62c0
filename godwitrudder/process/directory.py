"""Caches the configuration in force and the runners that the store lists.

Two tasks poll the store.  The configuration's version never decreases.  A runner
whose entry disappears while the store answers is removed at once.  If the store was
unreachable, the entry may only have expired, so the runner is kept until a live one
would have been listed again. It is used until then only if most of its target's
runners have lost their entries.  The same holds if the store comes back from an older
copy.  A runner that leaves, or has left, is not used again because of an older entry.

An evacuation ends only by a record, or by its absence from a complete list of the
configuration's topic.
"""

from __future__ import annotations

import math
import time
from collections import OrderedDict
from collections.abc import Callable, Collection
from dataclasses import replace
from typing import Final

import gevent
from gevent.event import Event

from godwitrudder.codec import Malformed
from godwitrudder.connection.traffic import Traffic
from godwitrudder.platform import documents, engine_report, names
from godwitrudder.platform.store import (
    TIMEOUT_SECONDS,
    Forgotten,
    KeyedRecord,
    Page,
    Rejected,
    Store,
    Unavailable,
)
from godwitrudder.process.decisions import DecisionLog
from godwitrudder.request.outage import longest_wait
from godwitrudder.request.places.evacuations import Evacuations
from godwitrudder.request.placing.candidate import Candidate, Directives
from godwitrudder.version.catalogue import Catalogue, Engine, ListedRunner
from godwitrudder.version.cursor import Cursor

RUNNERS_POLL_SHARE: Final = 0.25
"""Interval between reads of the runners, as a share of the time in which a leaving
runner must stop getting requests.  The rest of that time covers a lost read, its retry
and a request in transit."""
RETRY_INTERVAL_SECONDS: Final = 0.4
"""Least time between the starts of calls to a store that does not answer."""
STORE_SILENT_AFTER_SECONDS: Final = 1.0
"""Time between answers after which entries may have expired in the store."""
EXPIRY_SECONDS: Final = 2.5
"""Time between answers after which entries may have expired although no read failed: a
runner's entry expires after three heartbeats of 1.2 s.  A read on a full link takes a
second and says nothing about the store."""
RELIST_SECONDS: Final = 2.0
"""Time in which live runners are listed again after the store's first answer, or its
first one after a silence."""
CONFIGURATION_PAGE_KILOBYTES: Final = 128
"""Largest page of configurations.  A host that has missed more reads the newest one
instead: 30 versions of 55 KB took 4 s on a link of 5 Mbit/s."""
CATCH_UP_AFTER_SECONDS: Final = 1.5
"""Time without a read after which the newest configuration is read instead of the
changes.  Shorter failures are frequent on a busy store, and the newest records are many
times as large as a read without changes."""
MAX_FORMER_RUNNERS: Final = 1000
"""Dropped runners remembered, as their entries may return; the oldest are forgotten
first."""


class Directory:
    """The configuration in force and the listed runners.

    Parameters
    ----------
    store : Store
        The platform's store.
    on_runner_gone : callable
        Called with the id of a runner that was removed.
    leave_seconds : float
        Time after which a leaving runner gets no new requests.
    recovery_seconds : float
        Time after an outage of the store in which a newer configuration must be in
        force.
    traffic : Traffic
        Byte counters.
    evacuation_seconds : float
        Time within which an evacuation must be in force.
    failure_domains : collection of str
        Failure domains known from the settings.

    Attributes
    ----------
    catalogue : Catalogue or None
        The configuration in force; None until one was read.
    runners_read : bool
        Whether the runners were read at least once.
    ready : Event
        Set once both the configuration and the runners were read.
    candidates_by_target : dict
        Runners by id, for each target.
    evacuations : Evacuations
        The evacuated failure domains.
    answered_at : float
        Monotonic seconds at which the store last answered a read of the runners.
    """

    def __init__(
        self,
        store: Store,
        log: DecisionLog,
        on_runner_gone: Callable[[str], None],
        leave_seconds: float,
        recovery_seconds: float,
        traffic: Traffic,
        evacuation_seconds: float,
        failure_domains: Collection[str],
    ) -> None:
        self._store = store
        self._configuration_poll_seconds = longest_wait(
            min(recovery_seconds, evacuation_seconds), TIMEOUT_SECONDS
        )
        self._runners_poll_seconds = leave_seconds * RUNNERS_POLL_SHARE
        self._log = log
        self._traffic = traffic
        self._failure_domains = frozenset(failure_domains)
        self._unknown_domains: set[str] = set()
        self.evacuations = Evacuations()
        self._on_runner_gone = on_runner_gone
        self.catalogue: Catalogue | None = None
        self.runners_read = False
        self.ready = Event()
        self.candidates_by_target: dict[str, dict[str, Candidate]] = {}
        self._target_by_id: dict[str, str] = {}
        self._relist_deadline_by_id: dict[str, float] = {}
        self._unlisted_instances: set[str] = set()
        self._former_by_id: OrderedDict[str, Candidate] = OrderedDict()
        self.answered_at = 0.0
        self._read_failed = False
        self._store_returned_at = 0.0

    def current(self) -> Catalogue | None:
        """Return the configuration in force, or None if none was read yet."""
        return self.catalogue

    def candidates(self, target: str) -> list[Candidate]:
        """Return the runners listed for a target."""
        return list(self.candidates_by_target.get(target, {}).values())

    def follow_configuration(self) -> None:
        """Poll the store for new configuration versions until the task is killed.

        A host that has missed several versions reads only the newest one.
        """
        cursor, wait, read_at = Cursor(), 0.0, -math.inf
        while True:
            began = time.monotonic()
            page = self._read_page(
                names.OPERATOR_TOPIC, cursor, wait, CONFIGURATION_PAGE_KILOBYTES
            )
            # A read that waits after an outage would not tell of a restore at once.
            wait = 0.0 if page is None else self._configuration_poll_seconds
            if page is None:
                if self.catalogue is None or began - read_at > CATCH_UP_AFTER_SECONDS:
                    cursor.offset = None
                elapsed = time.monotonic() - began
                gevent.sleep(max(0.0, RETRY_INTERVAL_SECONDS - elapsed))
                continue
            read_at = time.monotonic()
            if cursor.enter_era(page.era):
                self._log.note("store_restored", topic="configuration", era=page.era)
                continue
            if isinstance(page, Forgotten):
                cursor.offset = None
                continue
            # The configuration makes the process ready, so it is applied last.
            self._apply_evacuations(page.records, cursor.offset is None)
            cursor.offset = page.next if page.whole else None
            newest_by_key = {record.key: record for record in page.records}
            for record in newest_by_key.values():
                self._apply_configuration(record)

    def follow_runners(self) -> None:
        """Poll the store for changes of the runners until the task is killed."""
        cursor, restored = Cursor(), False
        while True:
            page = self._read_page(names.RUNNERS_TOPIC, cursor)
            now = time.monotonic()
            if page is not None and cursor.enter_era(page.era):
                self._log.note("store_restored", topic="runners", era=page.era)
                self._store_returned_at = now
                restored = True
                continue
            if isinstance(page, Page):
                if self._read_failed or now - self.answered_at > EXPIRY_SECONDS:
                    self._store_returned_at = now
                    self._expect_entries_of_instances(now)
                self.answered_at, self._read_failed = now, False
                if cursor.offset is None:
                    self._remove_unlisted({record.key for record in page.records}, now)
                cursor.offset = page.next
                for record in page.records:
                    self._apply_entry(record, now, restored)
                restored = False
                self.runners_read = True
                self._note_unknown_domains()
                self._check_ready()
            elif isinstance(page, Forgotten):
                cursor.offset = None
                continue
            else:
                self._read_failed = True
            gevent.sleep(self._runners_poll_seconds)

    def _check_ready(self) -> None:
        """Set ``ready`` once the configuration and the runners were read."""
        if self.runners_read and self.catalogue is not None:
            self.ready.set()

    def _read_page(
        self,
        topic: str,
        cursor: Cursor,
        wait: float = 0.0,
        max_kilobytes: int | None = None,
    ) -> Page | Forgotten | None:
        if cursor.offset is None:
            page: Page | Forgotten | Rejected | Unavailable = self._store.newest(topic)
        else:
            page = self._store.read_keyed(topic, cursor.offset, wait, max_kilobytes)
        if isinstance(page, Rejected | Unavailable):
            self._log.note("store_no_answer", topic=topic, answer=str(page))
            return None
        return page

    def _apply_evacuations(
        self, records: Collection[KeyedRecord], complete: bool
    ) -> None:
        """Apply the records of evacuations.

        Parameters
        ----------
        complete : bool
            Whether the records are a complete list, so that others have ended.
        """
        now = time.monotonic()
        value_by_domain = {
            record.key.removeprefix(names.EVACUATION_PREFIX): record.value
            for record in records
            if record.key.startswith(names.EVACUATION_PREFIX)
        }
        if complete:
            for domain in self.evacuations.missing_from(value_by_domain):
                self._end_evacuation(domain, now)
        for domain, value in value_by_domain.items():
            if not value:
                self._end_evacuation(domain, now)
            elif self.evacuations.begin(domain):
                self._log.note("evacuation", failure_domain=domain, in_force=True)
        self._note_unknown_domains()

    def _end_evacuation(self, domain: str, now: float) -> None:
        if self.evacuations.end(domain, now):
            self._log.note("evacuation", failure_domain=domain, in_force=False)

    def _note_unknown_domains(self) -> None:
        """Log each evacuated failure domain that is not known, once per evacuation."""
        evacuated = self.evacuations.in_force
        self._unknown_domains &= evacuated
        if not self.runners_read or evacuated == self._unknown_domains:
            return
        known = self._failure_domains | {
            candidate.entry.failure_domain
            for group in self.candidates_by_target.values()
            for candidate in group.values()
        }
        for domain in sorted(evacuated - known - self._unknown_domains):
            self._log.note("evacuation_unknown", failure_domain=domain)
            self._unknown_domains.add(domain)

    def _apply_configuration(self, record: KeyedRecord) -> None:
        if record.key != names.CONFIGURATION_KEY or record.value is None:
            return
        catalogue = documents.catalogue(record.value)
        if isinstance(catalogue, Malformed):
            self._log.note("configuration_unread", why=catalogue.reason)
            return
        if self.catalogue is not None and catalogue.version <= self.catalogue.version:
            return
        self.catalogue = catalogue
        self._check_ready()
        self._log.note(
            "configuration", version=catalogue.version, bytes=len(record.value)
        )

    def _apply_entry(self, record: KeyedRecord, now: float, in_copy: bool) -> None:
        if record.value is None:
            self._remove(record.key, now)
            return
        entry = documents.entry(record.key, record.value)
        if isinstance(entry, Malformed):
            self._log.note("entry_unread", runner=record.key, why=entry.reason)
            return
        self._relist_deadline_by_id.pop(entry.id, None)
        self._unlisted_instances.discard(entry.id)
        if self._is_outdated(entry, in_copy):
            self._log.note("entry_outdated", runner=entry.id, sequence=entry.sequence)
            return
        former = self._target_by_id.get(entry.id)
        if former is not None and former != entry.target:
            self._drop(entry.id, "target")
        group = self.candidates_by_target.setdefault(entry.target, {})
        known = group.get(entry.id)
        if known is None:
            self._add(entry)
            self._log.note(
                "runner_listed",
                runner=entry.id,
                target=entry.target,
                address=str(entry.address),
                leaving=entry.leaving,
            )
            return
        if known.entry.leaving != entry.leaving:
            self._log.note("runner_leaving", runner=entry.id, leaving=entry.leaving)
        if known.entry.started_ms != entry.started_ms:
            known.directives = Directives()
            if 0 < known.entry.started_ms < entry.started_ms:
                known.cold.note_restart(now)
        if _is_newer(entry, known.entry):
            known.cold.note_record(entry.cold_seconds, now)
        known.entry = entry
        known.unlisted = known.replaced = False

    def _is_outdated(self, entry: ListedRunner, in_copy: bool) -> bool:
        """Whether an entry is older than what is known of a runner that left.

        Parameters
        ----------
        in_copy : bool
            Whether the store may have come back with an older copy of the entry.
        """
        target = self._target_by_id.get(entry.id)
        known = self._former_by_id.get(entry.id)
        if target is not None:
            known = self.candidates_by_target[target][entry.id]
        if known is None or entry.leaving or entry.started_ms > known.entry.started_ms:
            return False
        older = 0 < entry.sequence <= known.entry.sequence
        if known.entry.leaving:
            return older or in_copy
        return known.gone and in_copy

    def _add(self, entry: ListedRunner) -> None:
        now = time.monotonic()
        candidate = Candidate(entry)
        former = self._former_by_id.pop(entry.id, None)
        if former is not None:
            candidate.carry_over(former)
        if former is None or _is_newer(entry, former.entry):
            candidate.cold.note_record(entry.cold_seconds, now)
        restarted = former is not None and former.entry.started_ms < entry.started_ms
        if restarted or self._took_address(entry):
            candidate.cold.note_restart(now)
        self.candidates_by_target.setdefault(entry.target, {})[entry.id] = candidate
        self._target_by_id[entry.id] = entry.target

    def _took_address(self, entry: ListedRunner) -> bool:
        """Whether the address of a runner to add was that of another instance."""
        groups = [*self.candidates_by_target.values(), self._former_by_id]
        return any(
            other.entry.address == entry.address and other.entry.id != entry.id
            for group in groups
            for other in group.values()
        )

    def runner_replaced(self, candidate: Candidate, instance: str) -> None:
        """Use the instance at a replaced runner's address while the store is silent.

        The address may belong to a runner of another target by now. If only one target
        has engines, an engine with its model is one of that target's runners.
        """
        entry = candidate.entry
        silent = time.monotonic() - self.answered_at > STORE_SILENT_AFTER_SECONDS
        target = None if self.catalogue is None else self.catalogue.only_engine_target
        if not (silent and instance) or target is None or target.name != entry.target:
            return
        if instance not in self._target_by_id and target.engine is not None:
            self._unlisted_instances.add(instance)
            # What the former entry says of its instance does not hold for this one.
            found = replace(
                entry, id=instance, started_ms=0, sequence=0, cold_seconds=0.0
            )
            gevent.spawn(self._add_instance, found, target.engine)

    def _add_instance(self, entry: ListedRunner, engine: Engine) -> None:
        """Add an instance that the store has not listed yet, if it is an engine."""
        models = engine_report.loaded_models(entry.address, self._traffic)
        found = not isinstance(models, str) and bool(models & engine.models)
        if found and entry.id not in self._target_by_id:
            self._add(entry)
        self._log.note(
            "instance_found",
            runner=entry.id,
            target=entry.target,
            address=str(entry.address),
            used=found,
            models=models if isinstance(models, str) else sorted(models),
        )

    def _expect_entries_of_instances(self, now: float) -> None:
        """Drop the added instances that the store does not list by a deadline."""
        for runner in self._unlisted_instances & self._target_by_id.keys():
            self._expect_entry(runner, now + RELIST_SECONDS, now)
        self._unlisted_instances.clear()

    def _remove_unlisted(self, listed: set[str], now: float) -> None:
        """Remove the runners that a complete list does not contain."""
        for runner in list(self._target_by_id):
            if runner not in listed:
                self._remove(runner, now)

    def _remove(self, runner: str, now: float) -> None:
        if runner not in self._target_by_id:
            return
        deadline = self._store_returned_at + RELIST_SECONDS
        if self.runners_read and now < deadline:
            self._expect_entry(runner, deadline, now)
            target = self._target_by_id[runner]
            self.candidates_by_target[target][runner].unlisted = True
            return
        self._drop(runner, "entry removed")

    def _expect_entry(self, runner: str, deadline: float, now: float) -> None:
        """Drop a runner at the deadline unless it is listed again by then."""
        if runner not in self._relist_deadline_by_id:
            self._relist_deadline_by_id[runner] = deadline
            gevent.spawn_later(deadline - now, self._drop_if_overdue, runner, deadline)

    def _drop_if_overdue(self, runner: str, deadline: float) -> None:
        if self._relist_deadline_by_id.get(runner) == deadline:
            self._drop(runner, "not listed again")

    def _drop(self, runner: str, why: str) -> None:
        self._relist_deadline_by_id.pop(runner, None)
        target = self._target_by_id.pop(runner, None)
        if target is not None:
            candidate = self.candidates_by_target[target].pop(runner)
            candidate.gone = True
            self._former_by_id[runner] = candidate
            while len(self._former_by_id) > MAX_FORMER_RUNNERS:
                self._former_by_id.popitem(last=False)
            self._on_runner_gone(runner)
            self._log.note("runner_gone", runner=runner, target=target, why=why)


def _is_newer(entry: ListedRunner, known: ListedRunner) -> bool:
    """Whether an entry tells something newer than the known one of the same runner.

    A complete list repeats entries, and the store may come back with older ones; their
    remaining times have passed in part.
    """
    if entry.started_ms != known.started_ms:
        return entry.started_ms > known.started_ms
    if entry.sequence and known.sequence:
        return entry.sequence > known.sequence
    return entry != known
