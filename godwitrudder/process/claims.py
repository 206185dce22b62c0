"""The claim desk: a non-idempotent call runs at most once.

The claim that stands first in the log runs the call, once and without retry.
Everybody else answers with the stored result, or says that it is unknown.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from gevent.event import AsyncResult
from gevent.timeout import Timeout

from godwitrudder.process.ledger import Ledger
from godwitrudder.request.answer import ServiceAnswer
from godwitrudder.request.outcome import Failed, Ran, Reason, Refused, refuse
from godwitrudder.version import records
from godwitrudder.version.fold import Applied, ClaimState, Effect

CLAIM_SECONDS: Final = 5.0


class ClaimDesk:
    """Claims of one incarnation."""

    def __init__(self, ledger: Ledger, incarnation: str) -> None:
        self._ledger = ledger
        self._incarnation = incarnation
        self._waiting_by_request: dict[str, AsyncResult[bool]] = {}
        ledger.listen(self._hear)

    def run_once(
        self,
        request: str,
        fingerprint: str,
        run: Callable[[], ServiceAnswer | Refused | Failed],
    ) -> ServiceAnswer | Refused | Failed:
        """Claim the request and run it, or answer what became of it."""
        state = self._ledger.fold_of(request).claim_of(request)
        if state is not None:
            return self._stored(request, fingerprint, state)
        won = self._claim(request, fingerprint)
        if won is None:
            return refuse(Reason.LOG_UNREACHABLE, 5.0)
        if not won:
            first = self._ledger.fold_of(request).claim_of(request)
            return self._stored(request, fingerprint, first or ClaimState("", ""))
        return self._run(request, run)

    def _claim(self, request: str, fingerprint: str) -> bool | None:
        """Return whether the claim is first; None where nobody can tell yet."""
        if request in self._waiting_by_request:
            return None
        result: AsyncResult[bool] = AsyncResult()
        self._waiting_by_request[request] = result
        claim = records.Claim(request, self._incarnation, fingerprint)
        self._ledger.submit(request, claim)
        try:
            return bool(result.get(timeout=CLAIM_SECONDS))
        except Timeout:
            return None
        finally:
            self._waiting_by_request.pop(request, None)

    def _run(
        self,
        request: str,
        run: Callable[[], ServiceAnswer | Refused | Failed],
    ) -> ServiceAnswer | Refused | Failed:
        answer = run()
        if not isinstance(answer, Refused | Failed):
            result = records.Result(request, answer.status, answer.body)
            self._ledger.submit(request, result)
        return answer

    def _stored(
        self, request: str, fingerprint: str, state: ClaimState
    ) -> ServiceAnswer | Refused | Failed:
        if state.fingerprint and state.fingerprint != fingerprint:
            return refuse(Reason.KEY_REUSED)
        if state.result is None:
            text = refuse(Reason.ALREADY_CLAIMED, request=request).detail
            return Failed(Reason.ALREADY_CLAIMED, text, Ran.UNKNOWN, 1.0)
        return ServiceAnswer(state.result.status, state.result.body, 0)

    def _hear(self, effect: Effect) -> None:
        entry = effect.entry
        if not isinstance(entry, records.Claim):
            return
        waiting = self._waiting_by_request.get(entry.request)
        if waiting is not None and not waiting.ready():
            mine = entry.incarnation == self._incarnation
            waiting.set(isinstance(effect, Applied) and mine)
