"""Statements: each host's record of its share of the prepaid tokens.

Every host keeps one record in the store, which replaces its previous one.  For each
workspace it states three cumulative figures, counted since the budgets began:

- the *limit*: the most that the host may spend,
- the *cap*: the most that it may spend immediately,
- the *rate*: tokens a second by which the spendable amount rises from the cap to
  the limit with the age of the statement.

Once its own statement is in the store, a host may spend up to what the newest
statements of all other hosts leave of the prepaid amount.  The sum over all hosts
never exceeds the prepaid amount.  Proof: let hosts i and j take their bounds from
reads at offsets a < b.  The read at b counts the newest limit of i.  What i may spend
is never above that limit, because i lowers its own bound before it states a lower
limit.  This holds under any loss, delay, reordering or repetition, for as long as the
store forgets nothing that it has confirmed: within one era.  Only the newest records
matter, so a history that the store has dropped changes nothing.

The store may come back from an older copy; then its era rises.  What each host may
spend stays valid, as the sum does not grow, but an older limit now stands for some
hosts.  So a statement names its era, and a host raises its own bound only by reads of
the new era that include its own statement of that era.  Hosts that have not stated
again count with a bound.  Grants rise freely up to limits that all active hosts are
known to remember; above them no faster than a token bucket allows: by at most
``allowance * (1 + t / ALLOWANCE_SECONDS)`` in t seconds.  Whoever remembers a limit of
a host, and an upper bound on its age, thereby bounds all that the host may spend, also
by statements that were lost before anyone read them.  A host that has stated nothing
lately, or is stopping, trusts no memory.  Without a bound no host may raise its own.
Hosts pass bounds on in their statements, to hosts that started since.
``docs/design/restored-store.md`` has the complete proof.

If nobody who is alive remembers anything, only the older copy is left.  So the fleet
as a whole has a *ceiling* for each workspace: all grants together are at most the
ceiling in force.  A raise of it comes into force ``CEILING_SECONDS`` after it was read.
If a copy is shown to be younger than that, it has all raises that were ever in force.
The fleet can then have been granted no more than the highest ceiling in the copy.  What
exceeds the limits in the copy counts as lost, by no host in particular.

Cap and rate tell the next process on the same host what the previous one cannot have
spent: all that was not yet spendable when the next process started.  While the store
answers, a new statement follows soon.  A process that is killed and restarted at once
therefore gets back nearly all that it held.  A process that is killed while the store
is silent gets back what its callers could not have requested until then.

After a reboot the machine's clock says nothing about the age of a statement.  A peer
then bounds the age: a host sends a statement only once its previous one is in the
store, and that one was not yet there when the peer's preceding full read began.  If
all hosts lost power, no peer can bound the age, and the limits count.

A loan between hosts adds to the lender's spent tokens the amount that it subtracts
from the borrower's, so the sum over both stays the same.  The lender spends the loan
within its own bound.  A loan that does not arrive, or whose borrower dies, counts as
spent.
"""

from __future__ import annotations

import math
from typing import Final

import msgspec


class Row(msgspec.Struct, frozen=True, array_like=True):
    """One workspace in a statement.

    Attributes
    ----------
    limit, cap : int
        Cumulative tokens.
    demand, expected : float
        Tokens a second that callers requested, and that the host expects.
    waiting_tokens : int
        Tokens of requests that wait for this statement to be stored.
    rate : float
        Tokens a second by which the spendable amount rises from the cap.
    allowance : int
        Tokens by which the host's grant may rise at once above a limit that others
        know, and again in ``ALLOWANCE_SECONDS``.
    allowance_in_force : int
        The part of it that all active hosts are known to have read.
    ceiling : int
        Cumulative tokens that all hosts together may be granted, as far as this host
        knows, whatever is prepaid.
    raised : bool
        Whether a host has raised it to that; hosts that know of a raised ceiling don't
        use the floor.
    """

    limit: int
    cap: int
    demand: float = 0.0
    waiting_tokens: int = 0
    expected: float = 0.0
    rate: float = 0.0
    allowance: int = 0
    allowance_in_force: int = 0
    ceiling: int = 0
    raised: bool = False

    def spendable_at(self, age: float) -> int:
        """Return the cumulative tokens spendable at an age in seconds."""
        if age <= 0:
            return min(self.limit, self.cap)
        return min(self.limit, self.cap + math.ceil(self.rate * age))

    def age_when_spendable(self, tokens: int) -> float | None:
        """Return the age in seconds at which ``tokens`` are spendable, or None."""
        if tokens <= min(self.cap, self.limit):
            return 0.0
        if tokens > self.limit or self.rate <= 0:
            return None
        return (tokens - self.cap) / self.rate

    def max_later_grant(self, age: float) -> int:
        """Return the most that the host can have been granted by this age."""
        return self.limit + math.ceil(self.allowance * (1 + age / ALLOWANCE_SECONDS))


class RememberedRows(msgspec.Struct, frozen=True, array_like=True):
    """What a host remembers of another one's newest statement; see ``Statement``."""

    sent: float
    booted: float
    rows_by_workspace: dict[str, Row]


class RunnerCrash(msgspec.Struct, frozen=True, array_like=True):
    """The end of a runner, and the prompt parts that may have caused it.

    Attributes
    ----------
    at : float
        Unix seconds.
    sent_at_by_part : dict
        Unix seconds at which a prompt with that part was last sent there.
    """

    runner: str
    at: float
    sent_at_by_part: dict[str, float]


class NamedLimit(msgspec.Struct, frozen=True, array_like=True):
    """A rate limit that a runner has named to the host.

    Attributes
    ----------
    per_second : float
        Requests per second from all hosts together.
    at : float
        Unix seconds at which the runner last named it.
    """

    runner: str
    per_second: float
    at: float


class LostTokens(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that may be spent without a limit that stands for them.

    Attributes
    ----------
    era : int
        Era in which this was found out.
    """

    era: int
    tokens_by_workspace: dict[str, int]


class CeilingRecord(msgspec.Struct, frozen=True, array_like=True):
    """What bounds the fleet's grants by a copy of the store that has this statement.

    Attributes
    ----------
    raises_by_workspace : dict
        Higher ceilings that will be in force later.
    read_sent : float or None
        Send time of an earlier statement of this process that lies far enough below
        ``Statement.read_to`` to be in each copy that has as many records; None if there
        is none.
    era_end : int
        End of the records at the process's first read in that era.
    """

    raises_by_workspace: dict[str, int] = {}
    read_sent: float | None = None
    era_end: int = 0


class Statement(msgspec.Struct, frozen=True, array_like=True):
    """The record of one host.

    Attributes
    ----------
    epoch : int
        Number of the host's incarnation; a higher one fences all lower ones.
    sent : float
        Send time in seconds, on the machine's clock that also runs in suspension.
    booted : float
        Wall clock time in seconds at which that clock was zero; identifies the boot.
    peer : str
        Address for messages from other hosts, as IP:PORT; empty for none.
    key : bytes
        Key with which messages to this incarnation are sealed.
    crashes : tuple of RunnerCrash
        What hosts that restarted or missed a report must know.
    limits : tuple of NamedLimit
        Likewise.
    era : int
        The store's era in which the host made it.
    read_to : int
        Offset before which the host has read all records of that era.
    fence : int
        Highest epoch that the host has used as a producer.
    bounds_by_host : dict
        For hosts that have stated nothing in that era as far as is known: upper bounds
        of what each may spend, by workspace; None if unknown.
    remembered_by_host : dict
        The statements from which these bounds follow.  The next process on the same
        machine knows how old such a statement was when the former process ended.
    stopping : bool
        Whether the process is stopping; others then don't wait for it to read anything.
    lost : LostTokens or None
        None if nothing is known to be lost.
    ceilings : CeilingRecord or None
        None from a process that keeps no ceilings.
    """

    epoch: int
    sent: float
    booted: float
    rows_by_workspace: dict[str, Row]
    peer: str = ""
    key: bytes = b""
    crashes: tuple[RunnerCrash, ...] = ()
    limits: tuple[NamedLimit, ...] = ()
    era: int = 0
    read_to: int = 0
    fence: int = 0
    bounds_by_host: dict[str, dict[str, int] | None] = {}
    remembered_by_host: dict[str, RememberedRows] = {}
    stopping: bool = False
    lost: LostTokens | None = None
    ceilings: CeilingRecord | None = None


ALLOWANCE_SECONDS: Final = 3.0
"""Time in which a grant may rise by the allowance once more."""
EPOCHS_PER_ERA: Final = 2**20
"""More incarnations than a host has in one era of the store."""
UNBOUNDED_TOKENS: Final = 2**53
"""More tokens than any budget has."""
ACTIVE_SECONDS: Final = 15.0
"""A host without a statement for this long, while others made some, has no demand.
Longer than a network cut of 7 to 9 s, after which hosts return one after the other."""
BOOT_SLACK_SECONDS: Final = 1.0
"""Two boots of a machine are further apart than any correction of its wall clock."""


def first_epoch(era: int, former: Statement | None) -> int:
    """Return an epoch above those of all former incarnations that are known.

    It is also above those of older eras, whose records the store may have lost.
    """
    highest = 0 if former is None else max(former.epoch, former.fence)
    return max(highest + 1, era * EPOCHS_PER_ERA)


def same_boot(statement: Statement | RememberedRows, now: float, booted: float) -> bool:
    """Whether the machine has not rebooted since it sent the statement."""
    near = abs(booted - statement.booted) <= BOOT_SLACK_SECONDS
    return near and now >= statement.sent


def max_spent(
    row: Row,
    statement: Statement,
    now: float,
    booted: float,
    age: float | None = None,
) -> int:
    """Return the most that a host that is gone by ``now`` can have spent, in tokens.

    Parameters
    ----------
    now, booted : float
        Seconds, as ``sent`` and ``booted``, read on the same machine.
    age : float or None
        Upper bound on the statement's age after a reboot, in seconds, from a peer.
        None if no peer knows one; then the limit counts.
    """
    if not same_boot(statement, now, booted):
        return row.limit if age is None else row.spendable_at(age)
    return row.spendable_at(now - statement.sent)
