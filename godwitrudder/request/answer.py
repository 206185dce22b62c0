"""Calls and the pieces of their answers, as plain data.

All modules that handle calls share these types, so that decisions, tasks and
connections depend on them and not on one another.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from godwitrudder.request.outcome import Completed, Failed, Refused
from godwitrudder.version.document import CallModel


@dataclass(frozen=True, slots=True)
class Chunk:
    """One token of an answer."""

    index: int
    text: str


@dataclass(frozen=True, slots=True)
class Usage:
    """The engine's own token counts at the end of an answer."""

    prompt_tokens: int
    completion_tokens: int


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """The whole answer of a plain service.

    Attributes
    ----------
    tokens : int
        Tokens charged for the call; 0 for a replayed answer.
    """

    status: int
    body: bytes
    tokens: int
    content_type: str = "application/json"


Piece = Chunk | Usage | ServiceAnswer | Completed | Failed | Refused


@dataclass(frozen=True, slots=True)
class Prompt:
    """The input of an engine.

    Attributes
    ----------
    options : dict
        Sampling options, passed on unchanged.
    """

    messages: tuple[dict[str, str], ...]
    model: str
    max_tokens: int
    priority: float
    options: dict[str, object] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Call:
    """A request to a model engine.

    Attributes
    ----------
    request : str
        Id under which it is billed once.
    max_prompt_tokens : int
        Upper bound of the prompt, in tokens.
    fingerprint : str
        Hash of the request body; equal for a retry of the same request.
    keyed : bool
        Whether the caller chose the id, so that the request may be repeated.
    """

    request: str
    workspace: str
    budget: str
    target: str
    prompt: Prompt
    max_prompt_tokens: int
    fingerprint: str = ""
    keyed: bool = False

    @property
    def bound(self) -> int:
        """Upper bound of prompt and answer, in tokens."""
        return self.max_prompt_tokens + self.prompt.max_tokens


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A request to a plain service; ``path`` includes the query string."""

    request: str
    workspace: str
    budget: str
    target: str
    method: str
    path: str
    body: bytes
    rule: CallModel
    fingerprint: str
    content_type: str = ""
    keyed: bool = False
