"""Test oracle: compares what runners ran with what callers received.

It reports each violation of the invariants: an unsafe request runs at most once, a
refused request never runs, a response is complete, in order and of its own request,
a graceful stop cuts no response, and a workspace spends no more tokens than it has
prepaid.
"""

from __future__ import annotations

import time
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Final

TOKENS_PER_EVENT: Final = 2
MAX_RUN_SECONDS: Final = 2.0
"""A request takes less than this at a runner."""
MAX_RUNS: Final = 2000
"""Requests remembered for each runner."""
# Statuses that tell a caller that its request did not run.
NOT_RUN_STATUSES: Final = frozenset({400, 401, 402, 404, 408, 421, 429, 503})


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request as its caller sent it.

    Attributes
    ----------
    events : int
        Number of events of the complete response; 0 if it is no event stream.
    process : tuple of str and int
        Host that it was sent to, and the number of its process.
    poison_part : str
        Prompt part that ends its runner; empty for a sound request.
    """

    id: str
    workspace: str
    kind: str
    prompt_tokens: int
    events: int
    process: tuple[str, int] = ("", 0)
    poison_part: str = ""


@dataclass(frozen=True, slots=True)
class ReceivedResponse:
    """What a caller received for a request.

    Attributes
    ----------
    status : int
        HTTP status; 0 if no response arrived.
    complete : bool
        Whether the response ended as HTTP framing requires.
    host : str
        Host that the caller was connected to.
    graceful : bool
        Whether that host was stopping gracefully and had no fault, and the request's
        deadline was not reached.
    """

    status: int
    body: bytes
    complete: bool
    host: str
    graceful: bool


@dataclass(slots=True)
class Oracle:
    """Records runs and responses and collects violations of the invariants.

    Attributes
    ----------
    prepaid_by_workspace : dict
        Newest prepaid amount, in tokens; it only rises.
    requests_by_id : dict
        Requests that callers have sent.
    runs_by_id : Counter
        Number of runs of each request.
    refused_by_id : dict
        Status of each response that says that its request did not run.
    broken_by_runner : set of str
        Ids of requests whose answer a runner truncated; a missing or incomplete
        response to them is no violation.
    spent_by_workspace : Counter
        Tokens of the events that callers received and of the prompts of these
        requests, each counted once.
    statuses : Counter
        Number of responses by status.
    violations : list of str
        One line for each violation.
    """

    prepaid_by_workspace: dict[str, int] = field(default_factory=dict)
    requests_by_id: dict[str, SentRequest] = field(default_factory=dict)
    runs_by_id: Counter[str] = field(default_factory=Counter)
    refused_by_id: dict[str, int] = field(default_factory=dict)
    broken_by_runner: set[str] = field(default_factory=set)
    spent_by_workspace: Counter[str] = field(default_factory=Counter)
    statuses: Counter[int] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    _started_by_runner: dict[str, deque[tuple[float, str]]] = field(
        default_factory=dict
    )

    def started_lately(self, runner: str) -> list[str]:
        """Return the ids of the requests that a runner may still be working on."""
        since = time.monotonic() - MAX_RUN_SECONDS
        started = self._started_by_runner.get(runner, ())
        return [request_id for at, request_id in started if at >= since]

    def record_run(self, request_id: str, runner: str = "") -> None:
        """Record that a runner began a request."""
        started = self._started_by_runner.setdefault(runner, deque(maxlen=MAX_RUNS))
        started.append((time.monotonic(), request_id))
        request = self.requests_by_id.get(request_id)
        if request is None:
            self.violations.append(f"{request_id}: ran, but no caller sent it")
            return
        self.runs_by_id[request_id] += 1
        if self.runs_by_id[request_id] > 1 and request.kind == "unsafe":
            self.violations.append(f"{request_id}: unsafe request ran more than once")
        if request_id in self.refused_by_id:
            self.violations.append(f"{request_id}: ran after it was refused")

    def check_response(self, request: SentRequest, response: ReceivedResponse) -> None:
        """Record what a caller received and check it."""
        self.statuses[response.status] += 1
        if response.status in NOT_RUN_STATUSES:
            self.refused_by_id[request.id] = response.status
            if self.runs_by_id[request.id]:
                self.violations.append(
                    f"{request.id}: got status {response.status}, though it ran"
                )
        if response.status == 200:
            self._check_body(request, response)
        lost = response.status == 0 or (
            response.status == 200 and not response.complete
        )
        ran = self.runs_by_id[request.id] and request.id not in self.broken_by_runner
        if lost and ran and response.graceful:
            self.violations.append(
                f"{request.id}: response cut by the graceful stop of {response.host}"
            )

    def _check_body(self, request: SentRequest, response: ReceivedResponse) -> None:
        if not request.events:
            if response.complete and response.body != request.id.encode():
                self.violations.append(
                    f"{request.id}: expected its own id, got {response.body[:60]!r}"
                )
            return
        events = response.body.split(b"\n\n")[:-1]
        if events:
            tokens = request.prompt_tokens + len(events) * TOKENS_PER_EVENT
            self._record_spent(request.workspace, tokens)
        expected = [
            f"id: {number}\ndata: {request.id}".encode()
            for number in range(1, request.events + 1)
        ]
        if events != expected[: len(events)]:
            self.violations.append(
                f"{request.id}: events out of order or of another request"
            )
        if response.complete and len(events) != request.events:
            self.violations.append(
                f"{request.id}: complete response with {len(events)} of "
                f"{request.events} events"
            )

    def _record_spent(self, workspace: str, tokens: int) -> None:
        self.spent_by_workspace[workspace] += tokens
        spent = self.spent_by_workspace[workspace]
        if spent > self.prepaid_by_workspace[workspace]:
            self.violations.append(
                f"{workspace}: {spent} tokens spent, more than prepaid"
            )
