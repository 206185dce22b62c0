"""Writes ``Base`` records for budgets whose paid tokens differ in the ledger.

The configuration document states the paid tokens of each budget.  Changes of the
document and of the ledger are found by comparing the two periodically.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from typing import Final

from gevent.event import Event

from godwitrudder.clock import Clock
from godwitrudder.process.guard import Loop, TaskOwner
from godwitrudder.process.ledger import Ledger, partition_of
from godwitrudder.process.metrics import Metrics
from godwitrudder.version.document import BudgetModel, Document
from godwitrudder.version.payments import may_write, missing_base_records, rank_of

# Pause between polls while the document is new, so that a change is written soon.
POLL_SECONDS: Final = 0.1
# Pause between polls once the document is settled.
IDLE_POLL_SECONDS: Final = 1.0
# Time between two checks of a partition, and age from which a document is settled.
PARTITION_CHECK_INTERVAL_SECONDS: Final = 5.0


class BaseRecordWriter(TaskOwner):
    """Compares document and ledger and writes the records that the ledger lacks.

    Writes only in the partitions for which this daemon is one of the ranked writers,
    each of which waits for its own delay (see ``may_write``).

    Parameters
    ----------
    partitions : int
        Number of ledger partitions of the fleet.
    hosts : callable
        Returns the hosts of the reachable daemons, including this one.  Empty until
        the host list has been read.
    """

    def __init__(
        self,
        host: str,
        ledger: Ledger,
        partitions: int,
        hosts: Callable[[], list[str]],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._host = host
        super().__init__(metrics)
        self._ledger = ledger
        self._partitions = partitions
        self._hosts = hosts
        self._clock = clock
        self._budgets_by_id: dict[str, BudgetModel] = {}
        self._budget_names_by_partition: dict[int, list[str]] = {}
        self._version = -1
        self._document_seen_at = 0.0
        self._checked_at_by_partition: dict[int, float] = {}
        self._submitted_version_by_budget: dict[str, int] = {}
        self._document_changed = Event()

    def loops(self) -> tuple[Loop, ...]:
        """Return the loop that compares document and ledger."""
        return (self._run,)

    def set_document(self, document: Document) -> None:
        """Use a new document if its budgets section changed."""
        version = document.version_by_section.get("budgets", -1)
        if version == self._version:
            return
        self._version = version
        self._budgets_by_id = document.budgets_by_id
        self._document_seen_at = self._clock.now()
        self._checked_at_by_partition.clear()
        names: defaultdict[int, list[str]] = defaultdict(list)
        for name in document.budgets_by_id:
            names[partition_of(name, self._partitions)].append(name)
        self._budget_names_by_partition = dict(names)
        self._document_changed.set()

    def _run(self) -> None:
        while True:
            now = self._clock.now()
            for partition in self._budget_names_by_partition:
                self._write_missing_base_records(partition, now)
            document_settled = (
                now - self._document_seen_at > PARTITION_CHECK_INTERVAL_SECONDS
            )
            self._document_changed.wait(
                IDLE_POLL_SECONDS if document_settled else POLL_SECONDS
            )
            self._document_changed.clear()

    def _write_missing_base_records(self, partition: int, now: float) -> None:
        checked_at = self._checked_at_by_partition.get(partition)
        if (
            checked_at is not None
            and now - checked_at < PARTITION_CHECK_INTERVAL_SECONDS
        ):
            return
        hosts = self._hosts()
        rank = rank_of(self._host, partition, hosts)
        if not hosts or not may_write(rank, now - self._document_seen_at):
            return
        self._checked_at_by_partition[partition] = now
        names = self._budget_names_by_partition[partition]
        state_of = self._ledger.budget
        for entry in missing_base_records(
            self._budgets_by_id, names, self._version, state_of
        ):
            # The ledger repeats the append until it is read back, so a record is
            # submitted once per document version.
            if self._submitted_version_by_budget.get(entry.budget) != self._version:
                self._submitted_version_by_budget[entry.budget] = self._version
                self._ledger.submit(entry.budget, entry)
