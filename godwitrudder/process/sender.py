"""The sender: one attempt of a request at one runner.

It counts the request at the runner, passes a stream's whole events on as they come,
collects any other answer, and judges what came.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Final

from godwitrudder.connection.http import End, Headers, ResponseHead, RunnerLink
from godwitrudder.connection.runner_pool import LinkPool
from godwitrudder.platform import headers as wire
from godwitrudder.process.decisions import DecisionLog
from godwitrudder.process.entry_metrics import EntryMetrics
from godwitrudder.process.forwarded_request import (
    Attempted,
    Forwarding,
    Lost,
    NotRun,
    Streamed,
    Whole,
)
from godwitrudder.request.event_stream import EventReader
from godwitrudder.request.placement import Candidate
from godwitrudder.version.catalogue import RouteKind

SAFE_PATIENCE: Final = 2.0
"""Silence after which a safe request goes to another runner, in aims."""
READ_TOKENS_PER_SECOND: Final = 20_000.0
"""Prompt tokens that a busy engine reads for one request, with others beside."""
GAP_PATIENCE: Final = 3.0
"""Silence after which a stream goes on at another runner, in gap aims."""


@dataclass(slots=True)
class Sending:
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
    head: ResponseHead | None = None
    reader: EventReader = field(default_factory=EventReader)
    parts: list[bytes] = field(default_factory=list)
    result: Attempted = field(default_factory=lambda: Lost("the caller left"))

    def read(self) -> None:
        """Count the prompt as read."""
        self.candidate.pending_tokens -= self.pending_tokens
        self.pending_tokens = 0


class Sender:
    """Sends requests to runners; one per process."""

    def __init__(self, pool: LinkPool, log: DecisionLog, metrics: EntryMetrics) -> None:
        self._pool = pool
        self._log = log
        self._metrics = metrics

    def connected(self) -> set[str]:
        """Return the runners to which a connection can be used again."""
        return self._pool.connected()

    def send(self, forwarding: Forwarding, candidate: Candidate) -> Attempted:
        """Send the request to one runner."""
        entry = candidate.entry
        forwarding.excluded.add(entry.id)
        link = self._pool.take(entry.id, entry.address)
        now = time.monotonic()
        if isinstance(link, str):
            candidate.unreachable(now)
            self._note_attempt(forwarding, candidate, link, now)
            return NotRun(link, False)
        sending = Sending(candidate, link, now)
        self._begin(forwarding, sending)
        try:
            self._follow(forwarding, sending)
        finally:
            self._end(forwarding, sending)
        return sending.result

    def _begin(self, forwarding: Forwarding, sending: Sending) -> None:
        """Count a request at its runner."""
        candidate, parts = sending.candidate, forwarding.ask.parts
        fresh = forwarding.ask.prompt_tokens - candidate.cached(parts)
        sending.pending_tokens = max(0, fresh)
        candidate.pending_tokens += sending.pending_tokens
        candidate.in_flight += 1
        candidate.record_prompt(parts)
        forwarding.arrivals += 1
        forwarding.ran_on += 1

    def _follow(self, forwarding: Forwarding, sending: Sending) -> None:
        """Pass on what the runner answers, and judge it."""
        request, link = forwarding.request, sending.link
        headers = self._headers(forwarding, sending.candidate)
        link.wait_until = self._first_until(forwarding)
        sending.result = Lost("no answer")
        for event in link.exchange(
            request.method, request.path, headers, request.body, forwarding.ask.request
        ):
            if isinstance(event, ResponseHead):
                sending.head = event
                self._reported(sending.candidate, event)
            elif isinstance(event, bytes):
                self._take(forwarding, sending, event)
            elif isinstance(event, End):
                sending.result = self._judge(forwarding, sending)
            else:
                sending.result = Lost(event.reason)

    def _take(self, forwarding: Forwarding, sending: Sending, data: bytes) -> None:
        """Take a part of an answer: pass on a stream's, collect any other's."""
        head = sending.head
        assert head is not None
        sending.read()
        if not self._streams(forwarding, head):
            sending.parts.append(data)
            return
        if self._pass_on(forwarding, head, sending.reader, data):
            sending.link.note_progress()
            sending.link.wait_until = self._next_until(forwarding)

    def _end(self, forwarding: Forwarding, sending: Sending) -> None:
        """Count the request off, keep or close the connection."""
        candidate, result, link = sending.candidate, sending.result, sending.link
        candidate.in_flight -= 1
        sending.read()
        if isinstance(result, NotRun):
            forwarding.ran_on -= 1
        if isinstance(result, Lost):
            link.close()
            link.reusable = False
        failed = isinstance(result, Whole) and result.head.status >= 500
        candidate.ended(not failed and not isinstance(result, Lost), time.monotonic())
        entry, head = candidate.entry, sending.head
        idle = None if head is None else wire.idle_seconds(head)
        self._pool.give(entry.id, entry.address, link, idle)
        self._note_attempt(forwarding, candidate, result, sending.began_at)

    def _headers(self, forwarding: Forwarding, candidate: Candidate) -> Headers:
        """Return what the runner is sent."""
        workspace, last = forwarding.workspace, forwarding.last_event
        return wire.runner_headers(
            forwarding.request,
            candidate.entry.id,
            None if workspace is None else workspace.name,
            self._rank(forwarding),
            forwarding.left,
            forwarding.ask.after_event if last is None else last,
        )

    def _note_attempt(
        self,
        forwarding: Forwarding,
        candidate: Candidate,
        result: Attempted | str,
        began: float,
    ) -> None:
        status = result.head.status if isinstance(result, Whole) else None
        self._log.note(
            "attempt",
            forwarding.name,
            runner=candidate.entry.id,
            outcome=result if isinstance(result, str) else type(result).__name__,
            reason=getattr(result, "reason", None),
            status=status,
            events=forwarding.events,
            seconds=round(time.monotonic() - began, 4),
        )

    def _streams(self, forwarding: Forwarding, head: ResponseHead) -> bool:
        good = 200 <= head.status < 300 and wire.has_signature(head)
        return forwarding.route.kind is RouteKind.STREAM and good

    def _reported(self, candidate: Candidate, head: ResponseHead) -> None:
        load = wire.load(head)
        if isinstance(load, str):
            self._log.note("load_unread", runner=candidate.entry.id, value=load)
        elif load is not None:
            candidate.reported(load.running, load.waiting, time.monotonic())

    def _pass_on(
        self,
        forwarding: Forwarding,
        head: ResponseHead,
        reader: EventReader,
        data: bytes,
    ) -> bool:
        """Pass on the events that are whole, each once; whether there was content."""
        ready: list[bytes] = []
        moved = False
        for event in reader.feed(data):
            if event.comment:
                ready.append(event.data)
                continue
            if event.id is not None:
                last = forwarding.last_event
                if last is not None and event.id <= last:
                    continue
                forwarding.last_event = event.id
            moved = True
            forwarding.events += 1
            ready.append(event.data)
        if not ready or not (moved or forwarding.begun):
            return False
        if not forwarding.begun:
            forwarding.begun = True
            seconds = time.monotonic() - forwarding.started_at
            forwarding.first_seconds = round(seconds, 4)
            self._metrics.first_event.labels(forwarding.target.name).observe(seconds)
            forwarding.link.send_head(head.status, head.headers, None)
        forwarding.link.send_chunk(b"".join(ready))
        return moved

    def _judge(self, forwarding: Forwarding, sending: Sending) -> Attempted:
        """Judge an answer that is whole as far as the protocol goes."""
        head = sending.head
        assert head is not None
        if wire.not_executed(head):
            return NotRun(f"status {head.status}", head.status != 421)
        if self._streams(forwarding, head):
            if sending.reader.rest or not forwarding.begun:
                return Lost("the stream ended in mid-event")
            forwarding.link.end_response()
            return Streamed()
        if 200 <= head.status < 300 and not wire.has_signature(head):
            return Lost("a success without proof")
        return Whole(head, b"".join(sending.parts))

    def _first_until(self, forwarding: Forwarding) -> float:
        """Return until when a first byte is waited for."""
        route = forwarding.route
        if not route.repeatable or forwarding.ran_on >= route.max_attempts:
            return forwarding.until
        patience = route.latency_objective_seconds * SAFE_PATIENCE
        patience += forwarding.ask.prompt_tokens / READ_TOKENS_PER_SECOND
        return min(forwarding.until, time.monotonic() + patience)

    def _next_until(self, forwarding: Forwarding) -> float:
        """Return until when a stream's next event is waited for."""
        route = forwarding.route
        if not route.repeatable or forwarding.ran_on >= route.max_attempts:
            return forwarding.until
        patience = max(1.0, route.max_event_gap_seconds * GAP_PATIENCE)
        return min(forwarding.until, time.monotonic() + patience)

    def _rank(self, forwarding: Forwarding) -> int:
        workspace = forwarding.workspace
        if workspace is not None and workspace.rank is not None:
            return workspace.rank
        return forwarding.route.rank
