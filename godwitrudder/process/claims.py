"""Claims that make a non-idempotent call run at most once.

The owner of the first claim in the log runs the call, once and without retry.  Other
routers answer with the stored result, or with an error that the result is unknown.  A
claim is released if it is read back only after ``CLAIM_TIMEOUT_SECONDS``, or if the
call was refused before its dispatch.  Nobody runs a released claim; a later attempt
may claim the request again.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final
from uuid import uuid4

import gevent
from gevent.event import AsyncResult
from gevent.timeout import Timeout

from godwitrudder.process.ledger import Ledger
from godwitrudder.request.answer import ServiceAnswer
from godwitrudder.request.outcome import Failed, Ran, Reason, Refused, fail, refuse
from godwitrudder.version import records
from godwitrudder.version.claims import MAX_RESULT_BYTES
from godwitrudder.version.fold import Applied, ClaimState, Effect, Void

CLAIM_TIMEOUT_SECONDS: Final = 5.0
RESULT_WAIT_SECONDS: Final = 2.0
RESULT_POLL_SECONDS: Final = 0.05

Answer = ServiceAnswer | Refused | Failed


class ClaimManager:
    """Makes and releases the claims of one incarnation.

    Parameters
    ----------
    timeout_seconds : float
        Longest wait for a claim to be read back.
    """

    def __init__(
        self,
        ledger: Ledger,
        incarnation: str,
        timeout_seconds: float = CLAIM_TIMEOUT_SECONDS,
    ) -> None:
        self._ledger = ledger
        self._incarnation = incarnation
        self._timeout_seconds = timeout_seconds
        self._waiting_by_op: dict[str, AsyncResult[Effect]] = {}
        self._abandoned_ops: set[str] = set()
        ledger.listen(self._on_effect)

    def run_once(
        self, request: str, fingerprint: str, run: Callable[[], Answer]
    ) -> Answer:
        """Claim the request and run it, or return the result of an earlier claim."""
        state = self._claim_state(request)
        if state is not None and not state.released:
            return self._stored_answer(request, fingerprint)
        op = uuid4().hex
        effect = self._claim(records.Claim(request, self._incarnation, fingerprint, op))
        if isinstance(effect, Applied):
            return self._run_claimed(request, op, run)
        if effect is None or effect.reason is Void.STALE:
            return refuse(Reason.LOG_UNREACHABLE, 5.0)
        return self._stored_answer(request, fingerprint)

    def _claim(self, claim: records.Claim) -> Effect | None:
        """Append a claim and return its effect, or None after the timeout."""
        result: AsyncResult[Effect] = AsyncResult()
        self._waiting_by_op[claim.op] = result
        self._ledger.submit(claim.request, claim)
        try:
            effect: Effect = result.get(timeout=self._timeout_seconds)
            return effect
        except Timeout:
            self._abandoned_ops.add(claim.op)
            return None
        finally:
            del self._waiting_by_op[claim.op]

    def _run_claimed(self, request: str, op: str, run: Callable[[], Answer]) -> Answer:
        answer = run()
        if isinstance(answer, Refused):
            self._release(request, op)
        elif isinstance(answer, ServiceAnswer):
            self._ledger.submit(request, _result_record(request, op, answer))
        return answer

    def _release(self, request: str, op: str) -> None:
        self._ledger.submit(request, records.Result(request, records.NOT_RUN, b"", op))

    def _stored_answer(self, request: str, fingerprint: str) -> Answer:
        """Return the stored answer of a claim, or why there is none.

        The claim's holder may still be running the call.
        """
        state = self._wait_for_result(request)
        if state.fingerprint and state.fingerprint != fingerprint:
            return refuse(Reason.KEY_REUSED)
        if state.released or self._abandoned_ops.intersection(state.ops):
            return refuse(Reason.LOG_UNREACHABLE, 1.0)
        result = state.result
        if result is None:
            return fail(Reason.ALREADY_CLAIMED, Ran.UNKNOWN, 1.0, request=request)
        if not result.kept:
            return fail(Reason.ANSWER_NOT_KEPT, Ran.RAN)
        return ServiceAnswer(result.status, result.body, 0, result.content_type)

    def _wait_for_result(self, request: str) -> ClaimState:
        """Return the state of a claim once it has a result or is released.

        After ``RESULT_WAIT_SECONDS``, returns the state without a result.
        """
        state = None
        with gevent.Timeout(RESULT_WAIT_SECONDS, False):
            while True:
                state = self._claim_state(request)
                if state is not None and (state.result or state.released):
                    break
                gevent.sleep(RESULT_POLL_SECONDS)
        return state or ClaimState("", "")

    def _claim_state(self, request: str) -> ClaimState | None:
        return self._ledger.fold_of(request).claim_of(request)

    def _on_effect(self, effect: Effect) -> None:
        """Handle a claim of this incarnation that was read back.

        A claim that was read back after the timeout is released.
        """
        entry = effect.entry
        if not isinstance(entry, records.Claim):
            return
        if entry.incarnation != self._incarnation:
            return
        waiting = self._waiting_by_op.get(entry.op)
        if waiting is not None and not waiting.ready():
            waiting.set(effect)
        elif entry.op in self._abandoned_ops:
            self._abandoned_ops.discard(entry.op)
            if isinstance(effect, Applied):
                self._release(entry.request, entry.op)


def _result_record(request: str, op: str, answer: ServiceAnswer) -> records.Result:
    kept = len(answer.body) <= MAX_RESULT_BYTES
    body = answer.body if kept else b""
    return records.Result(request, answer.status, body, op, answer.content_type, kept)
