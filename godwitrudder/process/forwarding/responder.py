"""Answers callers: passes on what runners answered, refuses and reports failures.

The status that a caller gets depends on whether a runner may have run its request.
"""

from __future__ import annotations

import time
from random import Random
from typing import Final

import msgspec

from godwitrudder.connection.http import CallerLink
from godwitrudder.connection.messages import Headers
from godwitrudder.connection.shape import error_body
from godwitrudder.platform import headers as wire
from godwitrudder.process.decisions import DecisionLog
from godwitrudder.process.entry_metrics import EntryMetrics
from godwitrudder.process.forwarding.forwarded_request import ForwardedRequest, Whole
from godwitrudder.request import retry_delay
from godwitrudder.request.outcome import Failed, Ran, Reason, Refused, fail, refuse

NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request did not run and will not run later."""


class Responder:
    """Sends callers their final answers; one per process."""

    def __init__(self, log: DecisionLog, metrics: EntryMetrics, random: Random) -> None:
        self._log = log
        self._metrics = metrics
        self._random = random

    def pass_on(self, forwarded: ForwardedRequest, whole: Whole) -> bool:
        """Pass a runner's answer on to the caller.

        A status of ``NOT_RUN_STATUSES`` is not passed on here: the runner sent it
        without the header that proves that the request did not run.
        """
        status = whole.head.status
        if status in NOT_RUN_STATUSES:
            forwarded.problem = f"status {status} without proof that it did not run"
            return self.give_up(forwarded)
        forwarded.succeeded_whole = status < 300
        forwarded.link.answer(status, whole.head.headers, whole.body)
        return self.record_answer(forwarded, status)

    def record_answer(self, forwarded: ForwardedRequest, status: int) -> bool:
        seconds = time.monotonic() - forwarded.started_at
        name = forwarded.target.name
        self._metrics.answers.labels(name, str(status)).inc()
        self._metrics.answer_seconds.labels(name).observe(seconds)
        self._log.note(
            "answered",
            forwarded.request_id,
            status=status,
            events=forwarded.events,
            arrivals=forwarded.sends,
            tokens_after=round(forwarded.token_wait_seconds, 4),
            first_after=forwarded.first_event_seconds,
            seconds=round(seconds, 4),
        )
        return True

    def give_up(self, forwarded: ForwardedRequest) -> bool:
        """Answer that no runner succeeded, and whether one may have run the request."""
        if forwarded.failed_answer is not None and not forwarded.answer_begun:
            return self.pass_on(forwarded, forwarded.failed_answer)
        if forwarded.possible_runs or forwarded.answer_begun:
            if forwarded.seconds_left <= 0:
                return self._fail(forwarded, fail(Reason.DEADLINE, Ran.UNKNOWN))
            problem = forwarded.problem
            failed = fail(Reason.RUNNER_FAILED, Ran.UNKNOWN, problem=problem)
            return self._fail(forwarded, failed)
        if forwarded.quarantine_seconds is not None:
            refused = refuse(Reason.QUARANTINED, forwarded.quarantine_seconds)
        else:
            seconds = retry_delay.jitter(
                retry_delay.NO_RUNNER_RETRY_SECONDS, self._random
            )
            seconds = max(seconds, forwarded.backoff_seconds)
            refused = refuse(Reason.NO_RUNNER, seconds, target=forwarded.target.name)
        return self.refuse(
            forwarded.link, forwarded.request_id, refused, forwarded.seconds_left
        )

    def refuse(
        self, link: CallerLink, request: str, refused: Refused, left: float | None
    ) -> bool:
        status = wire.PLATFORM_STATUS_BY_REASON[refused.reason]
        headers: Headers = [(b"content-type", b"application/json")]
        retry_after = refused.retry_after
        if retry_after is not None:
            if left is not None:
                retry_after = retry_delay.cap_retry_seconds(retry_after, left)
            headers += wire.retry_after(retry_after)
        link.answer(status, headers, msgspec.json.encode(error_body(refused)))
        self._metrics.refusals.labels(str(refused.reason)).inc()
        self._log.note(
            "refused",
            request,
            reason=str(refused.reason),
            status=status,
            retry_after=retry_after,
            detail=refused.detail,
        )
        return True

    def _fail(self, forwarded: ForwardedRequest, failed: Failed) -> bool:
        self._metrics.failures.labels(str(failed.reason)).inc()
        self._log.note(
            "failed",
            forwarded.request_id,
            reason=str(failed.reason),
            problem=forwarded.problem,
            begun=forwarded.answer_begun,
            events=forwarded.events,
        )
        if forwarded.answer_begun:
            return False
        status = wire.PLATFORM_STATUS_BY_REASON[failed.reason]
        headers: Headers = [(b"content-type", b"application/json")]
        body = msgspec.json.encode(error_body(failed))
        forwarded.link.answer(status, headers, body)
        return True
