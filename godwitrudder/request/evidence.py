"""What the end of an attempt tells about the shared parts of its prompt.

A sound answer clears them, the crash of a runner that had not begun to answer makes
them suspects.  An answer without a length ends with its connection, so a few of its
events may be what a crash has left of it.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Final

ANSWERED_EVENTS: Final = 3
"""Events after which a runner counts as having answered a prompt."""


class AttemptEnd(Enum):
    """How an attempt ended; ``UNREAD`` if its caller did not read."""

    WHOLE = auto()
    STREAMED = auto()
    LOST = auto()
    UNREAD = auto()
    FAILED = auto()


class Evidence(Enum):
    """What an attempt tells: ``CRASH`` only if the runner's process has ended."""

    NONE = auto()
    SOUND = auto()
    CRASH = auto()


def is_answered(events: int) -> bool:
    """Return whether a runner has answered a prompt with so many events."""
    return events >= ANSWERED_EVENTS


def evidence_of(end: AttemptEnd, events: int, framed: bool) -> Evidence:
    """Return what an attempt tells about the parts of its prompt.

    Parameters
    ----------
    events : int
        Events with content that the runner has sent.
    framed : bool
        Whether the answer's head tells where its body ends.
    """
    if end is AttemptEnd.WHOLE:
        return Evidence.SOUND
    if end is AttemptEnd.STREAMED and (framed or is_answered(events)):
        return Evidence.SOUND
    if end in (AttemptEnd.FAILED, AttemptEnd.UNREAD) or is_answered(events):
        return Evidence.NONE
    return Evidence.CRASH
