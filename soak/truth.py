"""The truth: what runners ran and what callers got, and what must hold between them."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Final

TOKENS_PER_EVENT: Final = 2
NOT_RUN_STATUSES: Final = frozenset({400, 401, 402, 404, 408, 421, 429, 503})


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request as its caller made it.

    Attributes
    ----------
    events : int
        Events of a whole answer; 0 for a plain one.
    """

    id: str
    workspace: str
    kind: str
    prompt_tokens: int
    events: int


@dataclass(frozen=True, slots=True)
class ReceivedResponse:
    """What a caller got.

    Attributes
    ----------
    status : int
        0 where no answer came.
    whole : bool
        Whether the answer looked complete.
    host : str
        Host that the caller was connected to.
    graceful : bool
        Whether that host was stopping and nothing else befell it.
    """

    status: int
    body: bytes
    complete: bool
    host: str
    graceful: bool


@dataclass(slots=True)
class Oracle:
    """Collects both sides and tells what does not fit.

    Attributes
    ----------
    prepaid_by_workspace : dict
        Newest prepaid amount, in tokens; it only rises.
    broken_by_runner : set of str
        Requests whose answer a runner broke off.
    findings : list of str
        One line for each broken promise.
    """

    prepaid_by_workspace: dict[str, int] = field(default_factory=dict)
    requests_by_id: dict[str, SentRequest] = field(default_factory=dict)
    runs_by_id: Counter[str] = field(default_factory=Counter)
    refused_by_id: dict[str, int] = field(default_factory=dict)
    broken_by_runner: set[str] = field(default_factory=set)
    spent_by_workspace: Counter[str] = field(default_factory=Counter)
    statuses: Counter[int] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)

    def record_run(self, request: str) -> None:
        """Note that a runner began a request."""
        asked = self.requests_by_id.get(request)
        if asked is None:
            self.violations.append(f"{request}: ran though nobody asked")
            return
        self.runs_by_id[request] += 1
        if self.runs_by_id[request] == 1:
            self._record_spent(asked.workspace, asked.prompt_tokens)
        elif asked.kind == "unsafe":
            self.violations.append(f"{request}: an unsafe request ran twice")
        if request in self.refused_by_id:
            self.violations.append(f"{request}: ran after it was refused")

    def check_response(self, asked: SentRequest, got: ReceivedResponse) -> None:
        """Judge what a caller got."""
        self.statuses[got.status] += 1
        if got.status in NOT_RUN_STATUSES:
            self.refused_by_id[asked.id] = got.status
            if self.runs_by_id[asked.id]:
                self.violations.append(f"{asked.id}: {got.status}, though it ran")
        if got.status == 200:
            self._check_body(asked, got)
        lost = got.status == 0 or (got.status == 200 and not got.complete)
        ran = self.runs_by_id[asked.id] and asked.id not in self.broken_by_runner
        if lost and ran and got.graceful:
            self.violations.append(
                f"{asked.id}: cut by the graceful stop of {got.host}"
            )

    def _check_body(self, asked: SentRequest, got: ReceivedResponse) -> None:
        if not asked.events:
            if got.complete and got.body != asked.id.encode():
                self.violations.append(f"{asked.id}: got {got.body[:60]!r}")
            return
        events = got.body.split(b"\n\n")[:-1]
        self._record_spent(asked.workspace, len(events) * TOKENS_PER_EVENT)
        due = [
            f"id: {number}\ndata: {asked.id}".encode()
            for number in range(1, asked.events + 1)
        ]
        if events != due[: len(events)]:
            self.violations.append(f"{asked.id}: events out of order or another's")
        if got.complete and len(events) != asked.events:
            self.violations.append(
                f"{asked.id}: {len(events)} of {asked.events} events"
            )

    def _record_spent(self, workspace: str, tokens: int) -> None:
        self.spent_by_workspace[workspace] += tokens
        spent = self.spent_by_workspace[workspace]
        if spent > self.prepaid_by_workspace[workspace]:
            self.violations.append(f"{workspace}: {spent} tokens spent, more than paid")
