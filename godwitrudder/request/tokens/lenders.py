"""Whom to ask for how many tokens, when no single host may have enough.

A statement's limit minus its cap is what was *not* spendable when it was made, so it
says little about what a host can lend at once: on a hard day with 86 hosts, half of the
lenders that lent nothing could have lent less than 6% of it.  What has opened since, at
the statement's rate and less the host's own demand, is nearer.  No lender had enough in
most cases, but several together often did; so a borrower also takes parts.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Final

from godwitrudder.request.holding import OPEN_SECONDS
from godwitrudder.version.statements import Row

MAX_PROBES: Final = 2
"""Hosts asked for the whole amount where the known ones don't have it together. Their
answers tell what they can lend; more would cost every lender a message a request."""


@dataclass(frozen=True, slots=True)
class KnownLender:
    """A host that may lend.

    Attributes
    ----------
    tokens : int
        Tokens that it can lend, as far as known.
    reported : bool
        Whether it has said so lately; otherwise they are estimated by its statement.
    """

    host: str
    tokens: int
    reported: bool


@dataclass(frozen=True, slots=True)
class Question:
    """A loan to ask a host for.

    Attributes
    ----------
    tokens : int
        Least that the loan must have.
    believed : int
        What the host is believed to be able to lend.
    whole : bool
        Whether this loan alone would be enough.
    """

    host: str
    tokens: int
    believed: int
    whole: bool


def estimate_lendable(row: Row, age: float) -> int:
    """Return the tokens that a host can lend by a statement of this age in seconds."""
    opened = row.spendable_at(age) - row.spendable_at(0.0)
    return max(0, int(opened + row.demand * (OPEN_SECONDS - max(0.0, age))))


def choose_questions(
    lenders: Sequence[KnownLender], missing: int, most: int, random: Random
) -> list[Question]:
    """Return the loans to ask for at the same time; empty if nobody may have any.

    One host that has enough is chosen at random, weighted by its tokens, so that hosts
    that run short at the same time ask different ones.  Else the hosts with the most
    tokens are asked for a part each, if together they have enough: parts that don't
    suffice would only leave the other hosts shorter.
    """
    if most <= 0 or missing <= 0:
        return []
    enough = [each for each in lenders if each.tokens >= missing]
    if enough:
        weights = [each.tokens for each in enough]
        chosen = random.choices(enough, weights)[0]
        return [Question(chosen.host, missing, chosen.tokens, True)]
    largest = sorted(lenders, key=lambda each: -each.tokens)[:most]
    if sum(each.tokens for each in largest) < missing:
        return _probes(lenders, missing, most)
    questions = []
    for lender in largest:
        part = min(missing, lender.tokens)
        questions.append(Question(lender.host, part, lender.tokens, False))
        missing -= part
        if not missing:
            break
    return questions


def _probes(lenders: Sequence[KnownLender], missing: int, most: int) -> list[Question]:
    unknown = [each for each in lenders if not each.reported]
    unknown.sort(key=lambda each: -each.tokens)
    return [
        Question(each.host, missing, each.tokens, True)
        for each in unknown[: min(most, MAX_PROBES)]
    ]
