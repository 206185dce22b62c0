"""Which budgets the ledger has yet to be told of, and who tells it.

The document says what each budget is paid; the ledger hears it by a record.  A
few daemons per partition, first by rendezvous hashing, compare the two again and
again and record what differs: a record that comes late, or twice, is put right
by the next comparison.  The rest of the fleet writes nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator, Mapping
from typing import Final

import xxhash

from godwitrudder.version import records
from godwitrudder.version.accounts import Budget
from godwitrudder.version.document import BudgetModel

PAYERS: Final = 3
RANK_WAIT_SECONDS: Final = 3.0


def rank_of(host: str, partition: int, hosts: Collection[str]) -> int:
    """Return how many hosts come before ``host`` for a partition."""

    def weight(name: str) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(f"{partition}/{name}".encode()), name

    own = weight(host)
    return sum(weight(name) > own for name in hosts if name != host)


def may_write(rank: int, age: float) -> bool:
    """Whether a daemon of a rank acts on a document seen ``age`` seconds ago."""
    return rank < PAYERS and age >= rank * RANK_WAIT_SECONDS


def missing_base_records(
    budgets_by_id: Mapping[str, BudgetModel],
    names: Collection[str],
    version: int,
    state_of: Callable[[str], Budget | None],
) -> Iterator[records.Base]:
    """Yield a record for each named budget that the ledger has otherwise."""
    for name in names:
        tokens = budgets_by_id[name].paid_tokens
        state = state_of(name)
        if state is None or state.config_offset < 0 or state.document_base != tokens:
            yield records.Base(name, tokens, version)
