"""The operator's options: what a deployment switches on beside its configuration.

They stand in the settings file under ``options``, or in an environment variable as
JSON with comments; the file takes precedence.
"""

from __future__ import annotations

import enum
from typing import Annotated, Final

import msgspec

from godwitrudder.validation import Problem, parse

MAX_DOMAIN_TOKENS: Final = 100_000.0
"""Largest cost of another failure domain: above that of a runner without a free slot,
so that more would change nothing."""
DEFAULT_DOMAIN_TOKENS: Final = 150.0
"""Cost of another failure domain where the operator names none."""
MAX_SECOND_ATTEMPT_SHARE: Final = 0.2
"""Largest share of second attempts: the share of retries that targets allow."""


class Queueing(enum.Enum):
    """Where requests wait for room at a target's runners.

    ``AUTO`` means all targets where the platform's settings say that callers compete
    for room, and elsewhere the targets whose runners report how long work takes.
    """

    AUTO = "auto"
    ON = "on"
    OFF = "off"


class Options(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The options of one entry process.

    Attributes
    ----------
    queueing : Queueing
        Where requests wait for room.
    domain_tokens : float
        Cost of a runner in another failure domain, in prompt tokens.
    second_attempt_share : float
        Second attempts per request; 0 for none.
    """

    queueing: Queueing = Queueing.AUTO
    domain_tokens: Annotated[float, msgspec.Meta(ge=0, le=MAX_DOMAIN_TOKENS)] = (
        DEFAULT_DOMAIN_TOKENS
    )
    second_attempt_share: Annotated[
        float, msgspec.Meta(ge=0, le=MAX_SECOND_ATTEMPT_SHARE)
    ] = 0.0


def parse_options(source: str, text: str) -> Options | Problem:
    """Validate options in JSON with comments; an empty text means the defaults."""
    if not text.strip():
        return Options()
    return parse(source, text, Options)
