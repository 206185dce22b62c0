"""State of a forwarded request, and the outcomes of an attempt at a runner."""

from __future__ import annotations

import math
import time
from dataclasses import dataclass, field

from godwitrudder.connection.http import CallerLink
from godwitrudder.connection.messages import CallerRequest, ResponseHead
from godwitrudder.platform import headers as wire
from godwitrudder.version.catalogue import Route, Target, Workspace


@dataclass(frozen=True, slots=True)
class Whole:
    """A complete answer of a runner that is not a stream."""

    head: ResponseHead
    body: bytes


@dataclass(slots=True)
class ForwardedRequest:
    """One request in progress.

    Attributes
    ----------
    started_at, deadline : float
        Monotonic seconds at which it arrived and at which it times out.
    excluded : set of str
        Ids of runners that are not tried again.
    possible_runs : int
        Runners that may have run it.
    sends : int
        Runners that it was sent to.
    rejections : int
        Runners that did not run it.
    answer_begun : bool
        Whether the caller was sent the head of its answer.
    events : int
        Events that the caller was sent.
    last_event_id : int or None
        Id of the last of these events, after which another runner resumes the stream.
    problem : str
        Why the last attempt failed, or why no further one was made.
    sent_at : float
        Monotonic seconds at which it was last sent to a runner.
    token_wait_seconds : float
        Time that it waited for tokens.
    first_event_seconds : float or None
        Time from its arrival to its first event.
    succeeded_whole : bool
        Whether a successful answer that is not a stream is passed on.
    trial_parts : tuple of str
        Suspect parts of its prompt, about which the attempt in progress will tell.
    quarantine_seconds : float or None
        Time for which it is held back; None if it is not.
    backoff_seconds : float
        Time until the first runner in backoff may be sent a request; 0 for none.
    slot_ends_at : float
        Monotonic seconds by which it must be sent if its runner is cold.
    failed_answer : Whole or None
        A failed answer of a runner, passed on if no other runner gives a better one.
    """

    link: CallerLink
    request: CallerRequest
    caller_headers: wire.CallerHeaders
    route: Route
    target: Target
    workspace: Workspace | None
    started_at: float
    deadline: float
    excluded: set[str] = field(default_factory=set)
    possible_runs: int = 0
    sends: int = 0
    rejections: int = 0
    answer_begun: bool = False
    events: int = 0
    last_event_id: int | None = None
    problem: str = ""
    sent_at: float = 0.0
    token_wait_seconds: float = 0.0
    first_event_seconds: float | None = None
    succeeded_whole: bool = False
    trial_parts: tuple[str, ...] = ()
    quarantine_seconds: float | None = None
    backoff_seconds: float = 0.0
    slot_ends_at: float = -math.inf
    failed_answer: Whole | None = None

    @property
    def request_id(self) -> str:
        """Return the request's id for logs."""
        return self.caller_headers.request.decode("latin-1")

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Return the ids of the prompt's parts that other requests may share."""
        return tuple(part.id for part in self.caller_headers.parts[:-1])

    @property
    def rank(self) -> int:
        """Return its priority: that of its workspace, or else of its route."""
        workspace = self.workspace
        if workspace is not None and workspace.rank is not None:
            return workspace.rank
        return self.route.rank

    @property
    def workspace_name(self) -> str:
        """Return the name of its workspace, empty if it has none."""
        return "" if self.workspace is None else self.workspace.name

    @property
    def max_tokens(self) -> int:
        """Return the tokens of its prompt and of its largest output."""
        return self.caller_headers.prompt_tokens + self.caller_headers.output_tokens

    @property
    def size_bytes(self) -> int:
        """Return the bytes of its headers and body."""
        headers = sum(len(name) + len(value) for name, value in self.request.headers)
        return headers + len(self.request.body)

    @property
    def prepaid_tokens(self) -> int:
        """Return the tokens to reserve from its budget; 0 if it has none."""
        workspace, headers = self.workspace, self.caller_headers
        if workspace is None or workspace.prepaid is None:
            return 0
        return headers.prompt_tokens + headers.output_tokens

    @property
    def seconds_left(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - time.monotonic()


@dataclass(frozen=True, slots=True)
class Streamed:
    """A stream was passed on completely."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The runner did not run the request.

    Attributes
    ----------
    replaced : bool
        Whether another instance has answered at the runner's address.
    instance : str
        Id of that instance; empty if it is not known.
    """

    reason: str
    replaced: bool = False
    instance: str = ""


@dataclass(frozen=True, slots=True)
class Lost:
    """The runner may have run the request but gave no complete answer.

    Attributes
    ----------
    timed_out : bool
        Whether the runner was silent for too long.
    by_caller : bool
        Whether it was lost because the caller did not read; no failure of the runner.
    """

    reason: str
    timed_out: bool = False
    by_caller: bool = False


@dataclass(frozen=True, slots=True)
class Overtaken:
    """Another attempt at the same request answered first, so this one was ended."""

    reason: str = "another attempt answered first"


AttemptResult = Whole | Streamed | NotRun | Lost | Overtaken
