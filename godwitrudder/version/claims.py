"""Claims of non-idempotent calls: the first claimant in the log may run the call once.

The claimant may release its claim by reporting that the call did not run and never
will.  The next claim then wins, but not a late copy of an earlier one.

A claim and its result are kept for the replay window, at most ``MAX_CLAIMS`` of them;
the oldest are dropped first.  The existence of a claim is kept for
``CLAIM_WINDOW_SECONDS``.  Results are bounded in size, each and in total.  Beyond the
total, the oldest results lose their bodies first.
"""

from __future__ import annotations

from collections import deque
from typing import Final

from msgspec import structs

from godwitrudder.version import records
from godwitrudder.version.accounts import Applied, ClaimState, Effect, Void, Voided
from godwitrudder.version.replay import REPLAY_WINDOW_SECONDS, ReplayIndex, key_of

CLAIM_WINDOW_SECONDS: Final = 21_600.0
MAX_RESULT_BYTES: Final = 16_384
MAX_TOTAL_RESULT_BYTES: Final = 2_097_152
MAX_CLAIMS: Final = 20_000
MAX_RELEASES: Final = 16


class ClaimFold:
    """Claims of one partition."""

    def __init__(self) -> None:
        self.claims_by_request: dict[str, ClaimState] = {}
        # Log time in seconds, and request id, of each claim; oldest first.
        self.claim_times: deque[tuple[float, str]] = deque()
        self.answered_requests: deque[str] = deque()
        self.result_bytes = 0
        self.claim_index = ReplayIndex(CLAIM_WINDOW_SECONDS)

    def get(self, request: str) -> ClaimState | None:
        """Return the state of a request's claim; None if it has no claim.

        After the replay window the state holds only that the claim exists.
        """
        state = self.claims_by_request.get(request)
        if state is None and key_of("claim", request) in self.claim_index:
            return ClaimState("", "")
        return state

    def apply_claim(self, time: float, entry: records.Claim) -> Effect:
        """Grant the right to run to the first claim of a request."""
        key = key_of("claim", entry.request)
        if key in self.claim_index:
            return self._reclaim(entry)
        self.claim_index.add(key, time)
        state = ClaimState(entry.incarnation, entry.fingerprint, ops=(entry.op,))
        self.claims_by_request[entry.request] = state
        self.claim_times.append((time, entry.request))
        if len(self.claim_times) > MAX_CLAIMS:
            self._drop_oldest()
        return Applied(entry, 0)

    def apply_result(self, entry: records.Result) -> Effect:
        """Store the first result of a claimed call; ``NOT_RUN`` releases the claim."""
        claim = self.claims_by_request.get(entry.request)
        if claim is None or entry.op != claim.ops[-1]:
            return Voided(entry, Void.NOT_HELD)
        if claim.result is not None or claim.released:
            return Voided(entry, Void.REPEATED)
        if entry.status == records.NOT_RUN:
            claim.released = True
            return Applied(entry, 0)
        if len(entry.body) > MAX_RESULT_BYTES:
            return Voided(entry, Void.TOO_LARGE)
        claim.result = entry
        self.answered_requests.append(entry.request)
        self.result_bytes += len(entry.body)
        self._drop_oldest_bodies()
        return Applied(entry, 0)

    def drop_expired(self, now: float) -> None:
        """Drop claims that are older than their windows at the log time ``now``."""
        self.claim_index.drop_expired(now)
        before = now - REPLAY_WINDOW_SECONDS
        while self.claim_times and self.claim_times[0][0] < before:
            self._drop_oldest()

    def _reclaim(self, entry: records.Claim) -> Effect:
        """Let a new claim take over a released one, at most ``MAX_RELEASES`` times."""
        state = self.claims_by_request.get(entry.request)
        if state is None or not state.released or entry.op in state.ops:
            return Voided(entry, Void.LATER_CLAIM)
        if len(state.ops) > MAX_RELEASES:
            return Voided(entry, Void.LATER_CLAIM)
        state.incarnation = entry.incarnation
        state.fingerprint = entry.fingerprint
        state.ops = (*state.ops, entry.op)
        state.released = False
        return Applied(entry, 0)

    def _drop_oldest(self) -> None:
        _, request = self.claim_times.popleft()
        claim = self.claims_by_request.pop(request)
        if claim.result is not None:
            self.result_bytes -= len(claim.result.body)

    def _drop_oldest_bodies(self) -> None:
        # A result whose body is dropped stays, with ``kept`` set to False.
        while (
            self.result_bytes > MAX_TOTAL_RESULT_BYTES
            or len(self.answered_requests) > MAX_CLAIMS
        ):
            request = self.answered_requests.popleft()
            claim = self.claims_by_request.get(request)
            if claim is not None and claim.result is not None:
                self.result_bytes -= len(claim.result.body)
                claim.result = structs.replace(claim.result, body=b"", kept=False)
