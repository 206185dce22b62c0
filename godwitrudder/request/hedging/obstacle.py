"""The rules that keep a slow request from a second attempt."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Obstacle(enum.StrEnum):
    """Why a slow request gets no second attempt; the values stand in the metrics."""

    DRAINING = "draining"
    MAX_ATTEMPTS = "max_attempts"
    SHARE = "share"
    RETRY_BUDGET = "retry_budget"
    SUSPECT_PROMPT = "suspect_prompt"
    QUEUE = "queue"
    HEADROOM = "headroom"
    TOKENS = "tokens"
    NO_RUNNER = "no_runner"


@dataclass(frozen=True, slots=True)
class Situation:
    """What a host knows when a request has been silent for the delay.

    Attributes
    ----------
    draining : bool
        Whether the process is stopping.
    runs_left : int
        Further runners that the request may run on.
    bucket_has_one : bool
        Whether the operator's share allows a second attempt.
    retries_suffice : bool
        Whether enough of the retry window is left.
    prompt_free : bool
        Whether no part of the prompt is suspect or held back.
    queued : int
        Requests in the target's queue.
    headroom : bool
        Whether the target has headroom.
    """

    draining: bool
    runs_left: int
    bucket_has_one: bool
    retries_suffice: bool
    prompt_free: bool
    queued: int
    headroom: bool


def find_obstacle(situation: Situation) -> Obstacle | None:
    """Return the first rule against a second attempt, None if there is none.

    Tokens and the runner come after these rules, because reserving and choosing
    change state.
    """
    rules = {
        Obstacle.DRAINING: situation.draining,
        Obstacle.MAX_ATTEMPTS: situation.runs_left < 1,
        Obstacle.SHARE: not situation.bucket_has_one,
        Obstacle.RETRY_BUDGET: not situation.retries_suffice,
        Obstacle.SUSPECT_PROMPT: not situation.prompt_free,
        Obstacle.QUEUE: situation.queued > 0,
        Obstacle.HEADROOM: not situation.headroom,
    }
    return next((obstacle for obstacle, holds in rules.items() if holds), None)
