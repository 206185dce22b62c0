"""Base records that the ledger lacks, and the daemons that write them.

The document states the paid tokens of each budget, and a ``Base`` record brings them
into the ledger.  ``MAX_WRITERS`` daemons per partition, chosen by rendezvous hashing,
compare the two repeatedly and write records for the budgets that differ.  The next
comparison corrects a record that arrives late or twice.  All other daemons write none.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator, Mapping
from typing import Final

import xxhash

from godwitrudder.version import records
from godwitrudder.version.accounts import Budget
from godwitrudder.version.document import BudgetModel

MAX_WRITERS: Final = 3
RANK_DELAY_SECONDS: Final = 3.0


def rank_of(host: str, partition: int, hosts: Collection[str]) -> int:
    """Return the number of hosts that precede ``host`` as writer for a partition."""

    def weight(name: str) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(f"{partition}/{name}".encode()), name

    own = weight(host)
    return sum(weight(name) > own for name in hosts if name != host)


def may_write(rank: int, age: float) -> bool:
    """Whether a daemon of this rank may write for a document of this age.

    Parameters
    ----------
    rank : int
        Number of daemons that precede this one; each rank waits longer.
    age : float
        Seconds since this daemon first saw the document.
    """
    return rank < MAX_WRITERS and age >= rank * RANK_DELAY_SECONDS


def missing_base_records(
    budgets_by_id: Mapping[str, BudgetModel],
    names: Collection[str],
    version: int,
    state_of: Callable[[str], Budget | None],
) -> Iterator[records.Base]:
    """Yield a record for each named budget whose amount differs in the ledger."""
    for name in names:
        tokens = budgets_by_id[name].paid_tokens
        state = state_of(name)
        if state is None or state.config_offset < 0 or state.document_base != tokens:
            yield records.Base(name, tokens, version)
