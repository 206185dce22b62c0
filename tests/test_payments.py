"""Which daemons write base records, and what happens when records race."""

from __future__ import annotations

from godwitrudder.version import records
from godwitrudder.version.document import BudgetModel
from godwitrudder.version.fold import LedgerFold
from godwitrudder.version.payments import (
    MAX_WRITERS,
    may_write,
    missing_base_records,
    rank_of,
)


def test_few_daemons_write_and_each_partition_has_one_first() -> None:
    """Of 350 daemons, three per partition may write, one of them without delay."""
    hosts = [f"router-{number}" for number in range(350)]
    for partition in range(8):
        ranks = sorted(rank_of(host, partition, hosts) for host in hosts)
        assert ranks == list(range(350))
        assert sum(may_write(rank, 1e9) for rank in ranks) == MAX_WRITERS
        assert sum(may_write(rank, 1.0) for rank in ranks) == 1


def test_a_late_record_of_an_older_document_is_put_right() -> None:
    """The document states 10, 20, then 10; the record of 20 arrives after the last.

    The next comparison corrects the amount.
    """
    fold = LedgerFold()

    def due(tokens: int, version: int) -> list[records.Base]:
        budgets = {"b": BudgetModel(tokens)}
        return list(
            missing_base_records(budgets, ["b"], version, fold.budgets_by_id.get)
        )

    def apply(entries: list[records.Base]) -> None:
        batch = records.encode_batch("w", [*entries])
        fold.apply(fold.next_offset, 1.0, batch)

    apply(due(10, 1))
    late = due(20, 2)
    assert due(10, 3) == []
    apply(late)
    apply(due(10, 3))
    assert fold.budgets_by_id["b"].base == 10 and due(10, 3) == []
