"""Records how fast runners answer, and logs what changes for long."""

from __future__ import annotations

import time
from typing import Final

from godwitrudder.process.decisions import DecisionLog
from godwitrudder.process.entry_metrics import EntryMetrics
from godwitrudder.process.forwarding.attempt import Attempt
from godwitrudder.process.forwarding.forwarded_request import ForwardedRequest, Lost
from godwitrudder.request.backpressure import is_ended_by_caller, is_slow
from godwitrudder.request.placing.candidate import Candidate
from godwitrudder.request.placing.speed import SILENT_SHARE, USUAL_PERCENT, Paces

UNREAD: Final = "the caller did not read the answer"
"""Beginning of the reason of an attempt that was lost through its caller."""


class Observer:
    """Turns attempts into observations of their runners; one per process.

    The speed is only observed of runners that report how long work takes on them.
    """

    def __init__(self, log: DecisionLog, metrics: EntryMetrics) -> None:
        self._log = log
        self._metrics = metrics
        self._paces = Paces()

    def record_first_event(self, target: str, attempt: Attempt) -> None:
        """Record the time from sending a request to the first event."""
        candidate = attempt.candidate
        if candidate.work_percent is None:
            return
        seconds = time.monotonic() - attempt.began_at
        factor = max(1.0, candidate.work_percent / USUAL_PERCENT)
        speed = candidate.speed
        pace = self._paces.of(target)
        speed.add(pace.deviation(seconds, attempt.tokens_ahead, factor))
        if speed.changed:
            speed.announced = speed.slowness
            self._metrics.speed_changes.labels(target).inc()
            self._log.note(
                "runner_speed",
                runner=candidate.entry.id,
                slowness=round(speed.slowness, 2),
                samples=round(speed.samples),
            )

    def attribute_loss(self, forwarded: ForwardedRequest, attempt: Attempt) -> None:
        """Tell an answer that was lost as its caller did not read from a failure."""
        writer, result = forwarded.link.writer, attempt.result
        blocked = writer.blocked_seconds - attempt.blocked_before
        target, runner = forwarded.target.name, attempt.candidate.entry.id
        if is_slow(blocked):
            self._metrics.caller_stalls.labels(target).inc()
            self._log.note(
                "caller_slow",
                forwarded.request_id,
                runner=runner,
                blocked=round(blocked, 3),
                events=attempt.events,
            )
        if not isinstance(result, Lost) or result.by_caller:
            return
        if is_ended_by_caller(blocked, time.monotonic() - writer.blocked_at):
            self._metrics.unread_losses.labels(target).inc()
            attempt.result = Lost(f"{UNREAD}: {result.reason}", by_caller=True)

    def record_end(self, target: str, candidate: Candidate, timed_out: bool) -> None:
        """Record whether an attempt timed out; its share is already updated."""
        if timed_out:
            self._metrics.attempt_timeouts.labels(target).inc()
        silence = candidate.silence
        is_silent = silence.timeout_share(time.monotonic()) >= SILENT_SHARE
        if is_silent != silence.announced:
            silence.announced = is_silent
            self._log.note(
                "runner_silent" if is_silent else "runner_answers",
                runner=candidate.entry.id,
                target=target,
                in_flight=candidate.in_flight,
            )
