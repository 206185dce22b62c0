"""The sender: one attempt of a request at one runner.

It counts the request at the runner, passes a stream's whole events on as they come,
collects any other answer, and judges what came.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Final

from godwitrudder.connection.http import End, Head, Headers, RunnerLink
from godwitrudder.connection.links import LinkPool
from godwitrudder.platform import headers as wire
from godwitrudder.process.decisions import DecisionLog
from godwitrudder.process.entry_metrics import EntryMetrics
from godwitrudder.process.forwarding import (
    AttemptResult,
    ForwardedRequest,
    Lost,
    NotRun,
    Streamed,
    Whole,
)
from godwitrudder.request.event_stream import EventReader
from godwitrudder.request.placement import Candidate
from godwitrudder.version.catalogue import Kind

FIRST_BYTE_TIMEOUT_AIMS: Final = 2.0
"""Silence after which a safe request goes to another runner, in aims."""
PREFILL_TOKENS_PER_SECOND: Final = 20_000.0
"""Prompt tokens that a busy engine reads for one request, with others beside."""
NEXT_EVENT_TIMEOUT_GAP_AIMS: Final = 3.0
"""Silence after which a stream goes on at another runner, in gap aims."""


@dataclass(slots=True)
class Attempt:
    """One attempt under way.

    Attributes
    ----------
    pending_tokens : int
        Prompt tokens that the runner has still to read, as counted there.
    """

    candidate: Candidate
    link: RunnerLink
    began_at: float
    pending_tokens: int = 0
    head: Head | None = None
    event_reader: EventReader = field(default_factory=EventReader)
    body_parts: list[bytes] = field(default_factory=list)
    result: AttemptResult = field(default_factory=lambda: Lost("the caller left"))

    def prompt_read(self) -> None:
        """Count the prompt as read."""
        self.candidate.pending_tokens -= self.pending_tokens
        self.pending_tokens = 0


class Sender:
    """Sends requests to runners; one per process."""

    def __init__(self, pool: LinkPool, log: DecisionLog, metrics: EntryMetrics) -> None:
        self._pool = pool
        self._log = log
        self._metrics = metrics

    def connected_runners(self) -> set[str]:
        """Return the runners to which a connection can be used again."""
        return self._pool.connected()

    def send(self, forwarding: ForwardedRequest, candidate: Candidate) -> AttemptResult:
        """Send the request to one runner."""
        entry = candidate.entry
        forwarding.excluded.add(entry.id)
        link = self._pool.take(entry.id, entry.address)
        now = time.monotonic()
        if isinstance(link, str):
            candidate.unreachable(now)
            self._log_attempt(forwarding, candidate, link, now)
            return NotRun(link, False)
        sending = Attempt(candidate, link, now)
        self._count_at_runner(forwarding, sending)
        try:
            self._exchange(forwarding, sending)
        finally:
            self._finish(forwarding, sending)
        return sending.result

    def _count_at_runner(self, forwarding: ForwardedRequest, sending: Attempt) -> None:
        """Count a request at its runner."""
        candidate, parts = sending.candidate, forwarding.ask.parts
        fresh = forwarding.ask.prompt_tokens - candidate.cached(parts)
        sending.pending_tokens = max(0, fresh)
        candidate.pending_tokens += sending.pending_tokens
        candidate.in_flight += 1
        candidate.has_read(parts)
        forwarding.sends += 1
        forwarding.possible_runs += 1

    def _exchange(self, forwarding: ForwardedRequest, sending: Attempt) -> None:
        """Pass on what the runner answers, and judge it."""
        request, link = forwarding.request, sending.link
        headers = self._runner_headers(forwarding, sending.candidate)
        link.wait_until = self._first_byte_deadline(forwarding)
        sending.result = Lost("no answer")
        for event in link.exchange(
            request.method, request.path, headers, request.body, forwarding.ask.request
        ):
            if isinstance(event, Head):
                sending.head = event
                self._apply_load_report(sending.candidate, event)
            elif isinstance(event, bytes):
                self._handle_data(forwarding, sending, event)
            elif isinstance(event, End):
                sending.result = self._classify_answer(forwarding, sending)
            else:
                sending.result = Lost(event.reason)

    def _handle_data(
        self, forwarding: ForwardedRequest, sending: Attempt, data: bytes
    ) -> None:
        """Take a part of an answer: pass on a stream's, collect any other's."""
        head = sending.head
        assert head is not None
        sending.prompt_read()
        if not self._is_stream(forwarding, head):
            sending.body_parts.append(data)
            return
        if self._pass_on_events(forwarding, head, sending.event_reader, data):
            sending.link.passed_on()
            sending.link.wait_until = self._next_event_deadline(forwarding)

    def _finish(self, forwarding: ForwardedRequest, sending: Attempt) -> None:
        """Count the request off, keep or close the connection."""
        candidate, result, link = sending.candidate, sending.result, sending.link
        candidate.in_flight -= 1
        sending.prompt_read()
        if isinstance(result, NotRun):
            forwarding.possible_runs -= 1
        if isinstance(result, Lost):
            link.close()
            link.reusable = False
        failed = isinstance(result, Whole) and result.head.status >= 500
        candidate.ended(not failed and not isinstance(result, Lost), time.monotonic())
        entry, head = candidate.entry, sending.head
        idle = None if head is None else wire.idle_seconds(head)
        self._pool.give(entry.id, entry.address, link, idle)
        self._log_attempt(forwarding, candidate, result, sending.began_at)

    def _runner_headers(
        self, forwarding: ForwardedRequest, candidate: Candidate
    ) -> Headers:
        """Return what the runner is sent."""
        workspace, last = forwarding.workspace, forwarding.last_event_id
        return wire.to_runner(
            forwarding.request,
            candidate.entry.id,
            None if workspace is None else workspace.name,
            self._rank(forwarding),
            forwarding.seconds_left,
            forwarding.ask.after_event if last is None else last,
        )

    def _log_attempt(
        self,
        forwarding: ForwardedRequest,
        candidate: Candidate,
        result: AttemptResult | str,
        began: float,
    ) -> None:
        status = result.head.status if isinstance(result, Whole) else None
        self._log.note(
            "attempt",
            forwarding.request_id,
            runner=candidate.entry.id,
            outcome=result if isinstance(result, str) else type(result).__name__,
            reason=getattr(result, "reason", None),
            status=status,
            events=forwarding.events,
            seconds=round(time.monotonic() - began, 4),
        )

    def _is_stream(self, forwarding: ForwardedRequest, head: Head) -> bool:
        good = 200 <= head.status < 300 and wire.proven(head)
        return forwarding.route.kind is Kind.STREAM and good

    def _apply_load_report(self, candidate: Candidate, head: Head) -> None:
        load = wire.load(head)
        if isinstance(load, str):
            self._log.note("load_unread", runner=candidate.entry.id, value=load)
        elif load is not None:
            candidate.reported(load.running, load.waiting, time.monotonic())

    def _pass_on_events(
        self, forwarding: ForwardedRequest, head: Head, reader: EventReader, data: bytes
    ) -> bool:
        """Pass on the events that are whole, each once; whether there was content."""
        ready: list[bytes] = []
        moved = False
        for event in reader.feed(data):
            if event.comment:
                ready.append(event.data)
                continue
            if event.id is not None:
                last = forwarding.last_event_id
                if last is not None and event.id <= last:
                    continue
                forwarding.last_event_id = event.id
            moved = True
            forwarding.events += 1
            ready.append(event.data)
        if not ready or not (moved or forwarding.answer_begun):
            return False
        if not forwarding.answer_begun:
            forwarding.answer_begun = True
            seconds = time.monotonic() - forwarding.started_at
            forwarding.first_event_seconds = round(seconds, 4)
            self._metrics.first_event_seconds.labels(forwarding.target.name).observe(
                seconds
            )
            forwarding.link.begin(head.status, head.headers, None)
        forwarding.link.piece(b"".join(ready))
        return moved

    def _classify_answer(
        self, forwarding: ForwardedRequest, sending: Attempt
    ) -> AttemptResult:
        """Judge an answer that is whole as far as the protocol goes."""
        head = sending.head
        assert head is not None
        if wire.not_executed(head):
            return NotRun(f"status {head.status}", head.status != 421)
        if self._is_stream(forwarding, head):
            if sending.event_reader.rest or not forwarding.answer_begun:
                return Lost("the stream ended in mid-event")
            forwarding.link.finish()
            return Streamed()
        if 200 <= head.status < 300 and not wire.proven(head):
            return Lost("a success without proof")
        return Whole(head, b"".join(sending.body_parts))

    def _first_byte_deadline(self, forwarding: ForwardedRequest) -> float:
        """Return until when a first byte is waited for."""
        route = forwarding.route
        if not route.repeatable or forwarding.possible_runs >= route.attempts_most:
            return forwarding.deadline
        patience = route.aim_seconds * FIRST_BYTE_TIMEOUT_AIMS
        patience += forwarding.ask.prompt_tokens / PREFILL_TOKENS_PER_SECOND
        return min(forwarding.deadline, time.monotonic() + patience)

    def _next_event_deadline(self, forwarding: ForwardedRequest) -> float:
        """Return until when a stream's next event is waited for."""
        route = forwarding.route
        if not route.repeatable or forwarding.possible_runs >= route.attempts_most:
            return forwarding.deadline
        patience = max(1.0, route.gap_seconds * NEXT_EVENT_TIMEOUT_GAP_AIMS)
        return min(forwarding.deadline, time.monotonic() + patience)

    def _rank(self, forwarding: ForwardedRequest) -> int:
        workspace = forwarding.workspace
        if workspace is not None and workspace.rank is not None:
            return workspace.rank
        return forwarding.route.rank
