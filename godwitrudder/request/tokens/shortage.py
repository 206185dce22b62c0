"""Why a request did not get tokens, and why other hosts lent it none."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from godwitrudder.request.holding import Holding

STORE_SILENT_AFTER_SECONDS: Final = 1.2
"""Time without an answer after which the store is treated as unreachable."""


class Shortage(StrEnum):
    """Why tokens are missing at a host.

    Attributes
    ----------
    SPENT : str
        The rest of the budget does not cover the request.
    NOT_OPEN : str
        The host holds enough, but not all of it is spendable yet.
    NOT_GRANTED : str
        The host has stated enough, but may not use all of it yet: not all hosts are
        known to remember its limit, or others' limits still stand against it.
    ELSEWHERE : str
        Other hosts hold what is missing.
    UNHELD : str
        No host holds what is missing; a statement in the store would get it.

    Where both are true, ``ELSEWHERE`` stands while the store is silent, as only other
    hosts can help then, and ``UNHELD`` otherwise.
    """

    SPENT = "spent"
    NOT_OPEN = "not_open"
    NOT_GRANTED = "not_granted"
    ELSEWHERE = "elsewhere"
    UNHELD = "unheld"


class LenderOutcome(StrEnum):
    """What came of asking other hosts for a loan.

    Attributes
    ----------
    NOT_ASKED : str
        No host was asked while the request waited.
    NONE_KNOWN : str
        No host is known that could lend.
    SILENT : str
        More hosts left the question unanswered than answered it.
    HAD_NONE : str
        The hosts asked had too few tokens.
    ASKED_TOO_MANY : str
        As many hosts as may be asked at a time were asked.
    LENT : str
        A loan came.
    """

    NOT_ASKED = "not_asked"
    NONE_KNOWN = "none_known"
    SILENT = "silent"
    HAD_NONE = "had_none"
    ASKED_TOO_MANY = "asked_too_many"
    LENT = "lent"


@dataclass(slots=True)
class AskTally:
    """Answers to the questions of one round.

    Attributes
    ----------
    asked, silent, had_none : int
        Hosts asked, those that gave no answer in time, and those that lent nothing.
    lent : bool
        Whether what was needed has come.
    most : int
        Questions that one round may have.
    """

    most: int
    asked: int = 0
    silent: int = 0
    had_none: int = 0
    lent: bool = False

    @property
    def outcome(self) -> LenderOutcome:
        """Return the outcome of the round."""
        if self.lent:
            return LenderOutcome.LENT
        if not self.asked:
            return LenderOutcome.NONE_KNOWN
        if self.asked >= self.most:
            return LenderOutcome.ASKED_TOO_MANY
        if self.silent > self.had_none:
            return LenderOutcome.SILENT
        return LenderOutcome.HAD_NONE


def find_shortage(
    holding: Holding, tokens: int, free: int, held_elsewhere: int, store_silent: bool
) -> Shortage:
    """Return why a holding lacks tokens for a request.

    Parameters
    ----------
    free : int
        Prepaid tokens that neither this host nor, by their caps, others have spent.
    held_elsewhere : int
        Tokens that other hosts hold ahead of spending.
    """
    if free < tokens:
        return Shortage.SPENT
    if holding.granted - holding.spent >= tokens:
        return Shortage.NOT_OPEN
    stated = holding.stated
    if stated is not None and stated.limit - holding.spent >= tokens:
        return Shortage.NOT_GRANTED
    missing = tokens - max(0, holding.granted - holding.spent)
    if store_silent:
        elsewhere = held_elsewhere >= missing
    else:
        elsewhere = free - held_elsewhere < tokens
    return Shortage.ELSEWHERE if elsewhere else Shortage.UNHELD
