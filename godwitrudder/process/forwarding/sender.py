"""Sends a request to one runner and classifies the answer.

An attempt counts as load at its runner while it lasts.  Complete events of a stream
are passed on as they arrive; any other answer is collected first.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Final

from godwitrudder.connection.messages import End, Headers, ResponseHead
from godwitrudder.connection.runner_pool import LinkPool
from godwitrudder.platform import headers as wire
from godwitrudder.process.decisions import DecisionLog
from godwitrudder.process.entry_metrics import EntryMetrics
from godwitrudder.process.forwarding.attempt import Attempt, Race
from godwitrudder.process.forwarding.eligibility import Eligibility
from godwitrudder.process.forwarding.forwarded_request import (
    AttemptResult,
    ForwardedRequest,
    Lost,
    NotRun,
    Overtaken,
    Streamed,
    Whole,
)
from godwitrudder.process.forwarding.observer import Observer
from godwitrudder.process.forwarding.responder import NOT_RUN_STATUSES
from godwitrudder.process.quarantine import FleetQuarantine
from godwitrudder.process.rate_limits import FleetLimits
from godwitrudder.request.evidence import Evidence, is_answered
from godwitrudder.request.placing.candidate import Candidate
from godwitrudder.version.catalogue import RouteKind

FIRST_BYTE_TIMEOUT_FACTOR: Final = 2.0
"""Wait for the first byte of a repeatable request before another runner is tried, as
a multiple of the route's latency objective."""
PREFILL_TOKENS_PER_SECOND: Final = 20_000.0
"""Prompt tokens that a busy engine reads for one request while others run."""
REFUSAL_VALID_SECONDS: Final = 0.5
"""Time for which a refused connection tells that a runner's process has ended."""
NEXT_EVENT_TIMEOUT_FACTOR: Final = 3.0
"""Wait for a stream's next event before it is resumed at another runner, as a multiple
of the route's longest gap between events."""


class Sender:
    """Sends requests to runners; one per process.

    Parameters
    ----------
    on_replaced : callable
        Called with a runner that was replaced and the id of the instance that
        answered at its address.

    Attributes
    ----------
    on_load_report : callable
        Called with a runner that has reported its load.
    """

    def __init__(
        self,
        pool: LinkPool,
        log: DecisionLog,
        metrics: EntryMetrics,
        on_replaced: Callable[[Candidate, str], None],
        quarantine: FleetQuarantine,
        limits: FleetLimits,
        eligibility: Eligibility,
    ) -> None:
        self._pool = pool
        self._limits = limits
        self._eligibility = eligibility
        self._quarantine = quarantine
        self._attempts: list[Attempt] = []
        quarantine.on_blamed = self._abort
        self._on_replaced = on_replaced
        self.on_load_report: Callable[[Candidate], None] = lambda candidate: None
        self._log = log
        self._metrics = metrics
        self._observer = Observer(log, metrics)

    def connected_runners(self) -> set[str]:
        """Return the ids of runners with a connection that can be reused."""
        return self._pool.connected()

    def send(
        self,
        forwarded: ForwardedRequest,
        candidate: Candidate,
        race: Race | None = None,
    ) -> AttemptResult:
        """Send the request to one runner and return the outcome.

        Parameters
        ----------
        race : Race or None
            The attempts that run at the same time; None if there is only this one.
        """
        entry = candidate.entry
        forwarded.excluded.add(entry.id)
        link = self._pool.take(entry.id, entry.address)
        now = time.monotonic()
        if isinstance(link, str):
            candidate.unreachable(now)
            self._log_attempt(forwarded, candidate, link, now, 0)
            return NotRun(link)
        obstacle = self._obstacle(forwarded, candidate, race)
        if obstacle is not None:
            link.close()
            self._log_attempt(forwarded, candidate, obstacle, now, 0)
            return NotRun(obstacle)
        attempt = Attempt(
            candidate,
            link,
            now,
            candidate.directives,
            forwarded.shared_parts,
            blocked_before=forwarded.link.writer.blocked_seconds,
        )
        if race is not None:
            attempt.race = race
            race.enter(attempt)
        self._count_at_runner(forwarded, attempt)
        try:
            self._exchange(forwarded, attempt)
        except OSError as error:
            reason = f"sending to the caller: {type(error).__name__}: {error}"
            attempt.result = Lost(reason, by_caller=True)
            raise
        finally:
            self._finish(forwarded, attempt)
        self._record_evidence(attempt)
        return attempt.result

    def _obstacle(
        self, forwarded: ForwardedRequest, candidate: Candidate, race: Race | None
    ) -> str | None:
        """Return what came up while the connection was opened, None if nothing."""
        if race is not None and race.winner is not None:
            return "another attempt answered first"
        if not candidate.may_be_used:
            return "the runner has left"
        if time.monotonic() < candidate.directives.backoff_until:
            return "the runner wants a pause"
        if self._quarantine.is_held(forwarded.shared_parts):
            return "the prompt was quarantined"
        return self._eligibility.obstacle(forwarded, candidate)

    def _record_evidence(self, attempt: Attempt) -> None:
        """Record what the end of an attempt says about the parts of its prompt."""
        parts = attempt.shared_parts
        if not parts or attempt.aborted:
            return
        told = attempt.evidence
        if told is Evidence.SOUND:
            self._quarantine.record_answer(parts)
        elif told is Evidence.CRASH and self._has_ended(attempt.candidate):
            age = time.monotonic() - attempt.began_at
            runner = attempt.candidate.entry.id
            self._quarantine.record_crash(runner, parts, age)

    def _has_ended(self, candidate: Candidate) -> bool:
        """Whether the runner's process has ended: nothing listens at its address."""
        now = time.monotonic()
        if now - candidate.refused_at > REFUSAL_VALID_SECONDS:
            entry = candidate.entry
            if not self._pool.refuses(entry.id, entry.address):
                return False
            candidate.refused_at = now
            candidate.unreachable(now)
        return True

    def _abort(self, blamed: set[str]) -> None:
        """End the attempts with blamed parts that no runner has begun to answer."""
        for attempt in self._attempts:
            if not is_answered(attempt.events) and blamed & {*attempt.shared_parts}:
                attempt.aborted = True
                attempt.link.close()

    def _count_at_runner(self, forwarded: ForwardedRequest, attempt: Attempt) -> None:
        """Count the request as load at its runner."""
        candidate, parts = attempt.candidate, forwarded.caller_headers.parts
        uncached = forwarded.caller_headers.prompt_tokens - candidate.cached(parts)
        attempt.sent(max(0, uncached))
        candidate.in_flight += 1
        candidate.trials += bool(forwarded.trial_parts)
        self._attempts.append(attempt)
        candidate.record_prompt(parts)
        forwarded.sends += 1
        forwarded.possible_runs += 1

    def _exchange(self, forwarded: ForwardedRequest, attempt: Attempt) -> None:
        """Send the request, handle the answer and set the result."""
        request, link = forwarded.request, attempt.link
        headers = self._runner_headers(forwarded, attempt.candidate)
        link.wait_until = self._first_byte_deadline(forwarded)
        attempt.result = Lost("the runner sent no answer")
        for event in link.exchange(
            request.method,
            request.path,
            headers,
            request.body,
            forwarded.caller_headers.request,
        ):
            if attempt.overtaken:
                break
            if isinstance(event, ResponseHead):
                attempt.head = event
                attempt.heard(time.monotonic())
                self._apply_load_report(attempt.candidate, event)
                if not wire.is_other_instance(event):
                    self._apply_directives(attempt, event)
            elif isinstance(event, bytes):
                self._handle_data(forwarded, attempt, event)
            elif isinstance(event, End):
                attempt.result = self._classify_answer(forwarded, attempt)
                if _is_usable(attempt.result):
                    attempt.claim()
            else:
                attempt.result = Lost(event.reason, event.timed_out)

    def _handle_data(
        self, forwarded: ForwardedRequest, attempt: Attempt, data: bytes
    ) -> None:
        """Pass on the events of a stream, or collect a part of any other body."""
        head = attempt.head
        assert head is not None
        attempt.prompt_read()
        attempt.heard(time.monotonic())
        if not self._is_stream(forwarded, head):
            attempt.body_parts.append(data)
            return
        answered = is_answered(attempt.events)
        blocked = forwarded.link.writer.blocked_seconds
        has_content = self._pass_on_events(forwarded, attempt, head, data)
        if not answered and is_answered(attempt.events):
            self._quarantine.record_answer(attempt.shared_parts)
        if has_content:
            attempt.link.note_progress()
            attempt.link.wait_until = self._next_event_deadline(forwarded)
        else:
            # The runner was not read meanwhile.
            blocked = forwarded.link.writer.blocked_seconds - blocked
            wait_until = attempt.link.wait_until + blocked
            attempt.link.wait_until = min(forwarded.deadline, wait_until)

    def _finish(self, forwarded: ForwardedRequest, attempt: Attempt) -> None:
        """Stop counting the request as load; keep or close the connection."""
        if attempt.overtaken:
            attempt.result = Overtaken()
        else:
            self._observer.attribute_loss(forwarded, attempt)
        candidate, result, link = attempt.candidate, attempt.result, attempt.link
        attempt.ended = True
        candidate.in_flight -= 1
        candidate.trials -= bool(forwarded.trial_parts)
        self._attempts.remove(attempt)
        attempt.prompt_read()
        attempt.stop_awaiting()
        if isinstance(result, NotRun):
            forwarded.possible_runs -= 1
            if result.replaced:
                candidate.replaced = True
                self._on_replaced(candidate, result.instance)
        if isinstance(result, (Lost, Overtaken)):
            link.close()
            link.reusable = False
        failed = isinstance(result, Whole) and result.head.status >= 500
        excused = isinstance(result, Lost) and result.by_caller
        if not excused and not isinstance(result, Overtaken):
            timed_out = isinstance(result, Lost) and result.timed_out
            ok = not failed and not isinstance(result, Lost)
            candidate.ended(ok, time.monotonic(), timed_out)
            self._observer.record_end(forwarded.target.name, candidate, timed_out)
        entry, head = candidate.entry, attempt.head
        idle = None if head is None else wire.idle_seconds(head)
        self._pool.give(entry.id, entry.address, link, idle)
        limit = None if head is None else wire.rate_limit(head)
        self._log_attempt(
            forwarded, candidate, result, attempt.began_at, attempt.events, limit
        )

    def _runner_headers(
        self, forwarded: ForwardedRequest, candidate: Candidate
    ) -> Headers:
        """Return the headers of the request to the runner."""
        workspace, last_event_id = forwarded.workspace, forwarded.last_event_id
        return wire.runner_headers(
            forwarded.request,
            candidate.entry.id,
            None if workspace is None else workspace.name,
            forwarded.rank,
            forwarded.seconds_left,
            (
                forwarded.caller_headers.after_event
                if last_event_id is None
                else last_event_id
            ),
        )

    def _log_attempt(
        self,
        forwarded: ForwardedRequest,
        candidate: Candidate,
        result: AttemptResult | str,
        began: float,
        attempt_events: int,
        limit: float | str | None = None,
    ) -> None:
        status = result.head.status if isinstance(result, Whole) else None
        self._log.note(
            "attempt",
            forwarded.request_id,
            runner=candidate.entry.id,
            outcome=result if isinstance(result, str) else type(result).__name__,
            reason=getattr(result, "reason", None),
            status=status,
            events=forwarded.events,
            attempt_events=attempt_events,
            limit=limit,
            parts=[part.id for part in forwarded.caller_headers.parts],
            seconds=round(time.monotonic() - began, 4),
        )

    def _is_stream(self, forwarded: ForwardedRequest, head: ResponseHead) -> bool:
        signed_success = 200 <= head.status < 300 and wire.has_signature(head)
        return forwarded.route.kind is RouteKind.STREAM and signed_success

    def _apply_load_report(self, candidate: Candidate, head: ResponseHead) -> None:
        load = wire.load(head)
        if isinstance(load, str):
            self._log.note("load_unread", runner=candidate.entry.id, value=load)
        elif load is not None:
            now = time.monotonic()
            candidate.reported(
                load.running, load.waiting, now, load.slots, load.work_percent
            )
            self.on_load_report(candidate)

    def _apply_directives(self, attempt: Attempt, head: ResponseHead) -> None:
        """Apply the directives to hosts in a runner's answer."""
        self._apply_rate_limit(attempt, head)
        self._apply_cold_time(attempt.candidate, head)
        runner, directives = attempt.candidate.entry.id, attempt.directives
        if wire.is_leaving(head) and not directives.leaving:
            directives.leaving = True
            self._log.note("runner_says_it_leaves", runner=runner)
        seconds = wire.backoff_seconds(head)
        if seconds is not None:
            directives.back_off(seconds, time.monotonic())
            self._log.note("backoff", runner=runner, seconds=seconds)

    def _apply_cold_time(self, candidate: Candidate, head: ResponseHead) -> None:
        seconds = wire.cold_seconds(head)
        if isinstance(seconds, str):
            self._log.note("cold_unread", runner=candidate.entry.id, value=seconds)
        elif seconds is not None:
            candidate.cold.note_answer(seconds, time.monotonic())

    def _apply_rate_limit(self, attempt: Attempt, head: ResponseHead) -> None:
        runner, limit = attempt.candidate.entry.id, wire.rate_limit(head)
        if isinstance(limit, str):
            self._log.note("limit_unread", runner=runner, value=limit)
        elif limit is not None:
            self._limits.record_limit(runner, limit)
        elif wire.has_signature(head) or wire.not_executed(head):
            age = time.monotonic() - attempt.began_at
            self._limits.record_no_limit(runner, age)

    def _pass_on_events(
        self,
        forwarded: ForwardedRequest,
        attempt: Attempt,
        head: ResponseHead,
        data: bytes,
    ) -> bool:
        """Pass on complete events, each of them once.

        Returns
        -------
        bool
            Whether the caller was sent an event with content.
        """
        ready: list[bytes] = []
        has_content = False
        for event in attempt.event_reader.feed(data):
            if event.comment:
                ready.append(event.data)
                continue
            if not attempt.claim():
                return False
            attempt.events += 1
            if attempt.events == 1:
                self._observer.record_first_event(forwarded.target.name, attempt)
            if event.id is not None:
                last_id = forwarded.last_event_id
                if last_id is not None and event.id <= last_id:
                    continue
                forwarded.last_event_id = event.id
            has_content = True
            forwarded.events += 1
            ready.append(event.data)
        if not ready or not (has_content or forwarded.answer_begun):
            return False
        if not forwarded.answer_begun:
            forwarded.answer_begun = True
            seconds = time.monotonic() - forwarded.started_at
            forwarded.first_event_seconds = round(seconds, 4)
            self._metrics.first_event_seconds.labels(forwarded.target.name).observe(
                seconds
            )
            forwarded.link.send_head(head.status, head.headers, None)
        forwarded.link.send_chunk(b"".join(ready))
        return has_content

    def _classify_answer(
        self, forwarded: ForwardedRequest, attempt: Attempt
    ) -> AttemptResult:
        """Classify an answer that is complete according to HTTP."""
        head = attempt.head
        assert head is not None
        if wire.not_executed(head):
            if attempt.link.requests > 1 and not wire.names_request(head):
                # It may repeat the refusal of an earlier request.
                return Lost("a refusal that names no request on a kept connection")
            replaced = wire.is_other_instance(head)
            return NotRun(f"status {head.status}", replaced, wire.instance(head))
        if self._is_stream(forwarded, head):
            if attempt.event_reader.rest or not forwarded.answer_begun:
                return Lost("the stream ended without a complete last event")
            forwarded.link.end_response()
            return Streamed()
        if 200 <= head.status < 300 and not wire.has_signature(head):
            return Lost("a successful status without a signature")
        if forwarded.answer_begun:
            return Lost(f"status {head.status} after the stream had begun")
        return Whole(head, b"".join(attempt.body_parts))

    def _first_byte_deadline(self, forwarded: ForwardedRequest) -> float:
        """Return the monotonic time until which to wait for the first byte."""
        route = forwarded.route
        if not route.repeatable or forwarded.possible_runs >= route.max_attempts:
            return forwarded.deadline
        timeout = route.latency_objective_seconds * FIRST_BYTE_TIMEOUT_FACTOR
        timeout += forwarded.caller_headers.prompt_tokens / PREFILL_TOKENS_PER_SECOND
        return min(forwarded.deadline, time.monotonic() + timeout)

    def _next_event_deadline(self, forwarded: ForwardedRequest) -> float:
        """Return the monotonic time until which to wait for a stream's next event."""
        route = forwarded.route
        if not route.repeatable or forwarded.possible_runs >= route.max_attempts:
            return forwarded.deadline
        timeout = max(1.0, route.max_event_gap_seconds * NEXT_EVENT_TIMEOUT_FACTOR)
        return min(forwarded.deadline, time.monotonic() + timeout)


def _is_usable(result: AttemptResult) -> bool:
    """Whether a result is a complete answer that the caller may get."""
    if not isinstance(result, Whole):
        return False
    return result.head.status < 500 and result.head.status not in NOT_RUN_STATUSES
