"""Reports between hosts about runners and prompt parts, as authenticated datagrams.

Each report is complete in itself and may arrive twice, late or never: a host that has
missed one learns the same from its own requests or from the statements in the store.
Ages instead of times make them independent of the hosts' clocks.
"""

from __future__ import annotations

from typing import Annotated, Final

import msgspec

MAX_PARTS: Final = 24
"""Parts in one report; they fit into one datagram."""
MAX_NAME_CHARACTERS: Final = 40
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]
Names = Annotated[list[Name], msgspec.Meta(max_length=MAX_PARTS)]
MAX_AGE_SECONDS: Final = 3600.0
Age = Annotated[float, msgspec.Meta(ge=0, le=MAX_AGE_SECONDS)]


class CrashReport(msgspec.Struct, frozen=True, array_like=True, tag="crash"):
    """A runner ended before it had begun to answer a request.

    Attributes
    ----------
    host : str
        Host that reports it.
    parts : list of str
        Suspect parts of the request's prompt.
    age : float
        Seconds since the request was sent to the runner.
    """

    host: str
    runner: Name
    parts: Names
    age: Age


class AnswerReport(msgspec.Struct, frozen=True, array_like=True, tag="answer"):
    """Parts of prompts that were answered.

    Attributes
    ----------
    age : float
        Seconds since the oldest of these answers.
    """

    host: str
    parts: Names
    age: Age


class TrialReport(msgspec.Struct, frozen=True, array_like=True, tag="trial"):
    """A host tries a request with suspect parts; others wait for the outcome."""

    host: str
    parts: Names


class LimitReport(msgspec.Struct, frozen=True, array_like=True, tag="limit"):
    """A runner named another rate limit than before, or none any more.

    Attributes
    ----------
    host : str
        Host that reports it.
    per_second : float or None
        Requests per second from all hosts together; None for no limit.
    age : float
        Seconds since the runner said so.
    """

    host: str
    runner: Name
    per_second: Annotated[float, msgspec.Meta(ge=0)] | None
    age: Age


MAX_COUNT: Final = 1_000_000
"""More requests than any runner takes."""
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
MAX_TARGETS: Final = 100
MAX_RUNNERS: Final = 100
"""Targets and runners in one report; fewer fit into one datagram."""


class RunnerLoad(msgspec.Struct, frozen=True, array_like=True):
    """The newest load report of a runner.

    Attributes
    ----------
    running, waiting, slots : int
        Requests that it works on, that wait there, and that it can work on at a time;
        ``slots`` is 0 if it did not say.
    percent : float or None
        How long work takes on its machine, 100 as usual; None if it did not say.
    age : float
        Seconds since the runner said so.
    """

    runner: Name
    running: Count
    waiting: Count
    slots: Count
    percent: Annotated[float, msgspec.Meta(gt=0)] | None
    age: Age


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """What a host knows of a target's runners.

    Attributes
    ----------
    demand : float
        Requests per second to the target that arrive at the host that reports.
    runners : list of RunnerLoad
        The newest reports of runners, as many as fit.
    """

    target: Name
    demand: Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]
    runners: Annotated[list[RunnerLoad], msgspec.Meta(max_length=MAX_RUNNERS)]


class HeadroomReport(msgspec.Struct, frozen=True, array_like=True, tag="headroom"):
    """What a host knows of the headroom of targets whose queue is on."""

    host: str
    targets: Annotated[list[TargetLoad], msgspec.Meta(max_length=MAX_TARGETS)]


Report = CrashReport | AnswerReport | TrialReport | LimitReport | HeadroomReport


def fitting_names(values: list[str] | tuple[str, ...]) -> list[str]:
    """Return the values that fit into a report."""
    return [value for value in values if len(value) <= MAX_NAME_CHARACTERS][:MAX_PARTS]
