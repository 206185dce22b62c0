"""Attempts in progress, and the race between two attempts at one request."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

from gevent.event import Event

from godwitrudder.connection.http import RunnerLink
from godwitrudder.connection.messages import ResponseHead
from godwitrudder.process.forwarding.forwarded_request import (
    AttemptResult,
    Lost,
    Streamed,
    Whole,
)
from godwitrudder.request.event_stream import EventReader
from godwitrudder.request.evidence import AttemptEnd, Evidence, evidence_of
from godwitrudder.request.placing.candidate import Candidate, Directives


@dataclass(slots=True)
class Attempt:
    """One attempt in progress.

    Attributes
    ----------
    began_at : float
        Monotonic seconds at which it began.
    directives : Directives
        What the instance that it was sent to has asked for.
    pending_tokens : int
        Prompt tokens that the runner still has to read; ``candidate`` counts them.
    tokens_ahead : int
        Prompt tokens that the runner had to read up to the first event, as far as this
        host knew when it sent the request.
    blocked_before : float
        Time for which writes to the caller were blocked before, in seconds.
    is_awaited : bool
        Whether the runner has sent nothing yet.
    shared_parts : tuple of str
        Parts of the prompt that other requests may share.
    events : int
        Events with content that this runner has sent.
    aborted : bool
        Whether it was ended here, because its prompt is quarantined or because another
        attempt has won; its end then tells nothing about the runner's process.
    race : Race or None
        The attempts that may run beside it; None if it runs alone.
    overtaken : bool
        Whether another attempt has won.
    ended : bool
        Whether it has ended; its connection may then serve another request.
    body_parts : list of bytes
        Body of an answer that is not a stream.
    """

    candidate: Candidate
    link: RunnerLink
    began_at: float
    directives: Directives
    shared_parts: tuple[str, ...] = ()
    pending_tokens: int = 0
    tokens_ahead: int = 0
    blocked_before: float = 0.0
    is_awaited: bool = False
    events: int = 0
    aborted: bool = False
    race: Race | None = None
    overtaken: bool = False
    ended: bool = False
    head: ResponseHead | None = None
    event_reader: EventReader = field(default_factory=EventReader)
    body_parts: list[bytes] = field(default_factory=list)
    result: AttemptResult = field(
        default_factory=lambda: Lost("the caller disconnected")
    )

    @property
    def evidence(self) -> Evidence:
        """What it tells about the shared parts of its prompt."""
        framed = self.head is not None and self.head.framed
        return evidence_of(_end_of(self.result), self.events, framed)

    def sent(self, uncached_tokens: int) -> None:
        """Count the prompt as pending at the runner, and the answer as awaited."""
        self.pending_tokens = uncached_tokens
        self.candidate.pending_tokens += uncached_tokens
        self.tokens_ahead = self.candidate.pending_tokens
        self.candidate.silence.sent(self.began_at)
        self.is_awaited = True

    def heard(self, now: float) -> None:
        """Record that the runner has sent something."""
        self.candidate.silence.heard(now)
        self.stop_awaiting()

    def stop_awaiting(self) -> None:
        """Stop counting the answer as awaited."""
        if self.is_awaited:
            self.is_awaited = False
            self.candidate.silence.stopped()

    def prompt_read(self) -> None:
        """Stop counting the prompt as pending at the runner."""
        self.candidate.pending_tokens -= self.pending_tokens
        self.pending_tokens = 0

    def claim(self) -> bool:
        """Claim the request; only an attempt that gets True may write to the caller."""
        return self.race is None or self.race.claim(self)

    def end_overtaken(self) -> None:
        """Close the connection, so that the runner stops working on the request."""
        self.overtaken = self.aborted = True
        self.link.close()


@dataclass(slots=True)
class Race:
    """The attempts at one request that run at the same time; one of them may answer.

    The first one to claim the request wins, and the connections of the others are
    closed before the winner writes to the caller.

    Attributes
    ----------
    winner : Attempt or None
        The attempt that has claimed the request.
    won_after : float
        Seconds from the begin of the winner to its claim.
    changed : Event
        Set when an attempt has claimed the request or ended.
    """

    attempts: list[Attempt] = field(default_factory=list)
    winner: Attempt | None = None
    won_after: float = 0.0
    changed: Event = field(default_factory=Event)

    def enter(self, attempt: Attempt) -> None:
        """Add an attempt whose request is about to be sent."""
        self.attempts.append(attempt)

    def claim(self, attempt: Attempt) -> bool:
        """Give the request to the first attempt that asks; return whether it has it."""
        if self.winner is None:
            self.winner = attempt
            self.won_after = time.monotonic() - attempt.began_at
            for other in self.attempts:
                if other is not attempt and not other.ended:
                    other.end_overtaken()
            self.changed.set()
        return self.winner is attempt


def _end_of(result: AttemptResult) -> AttemptEnd:
    match result:
        case Streamed():
            return AttemptEnd.STREAMED
        case Whole(head) if head.status < 300:
            return AttemptEnd.WHOLE
        case Lost(by_caller=True):
            return AttemptEnd.UNREAD
        case Lost():
            return AttemptEnd.LOST
        case _:
            return AttemptEnd.FAILED
