"""Frames by which routers share the slots of a target's runners."""

from __future__ import annotations

import msgspec


class WorkspaceDemand(msgspec.Struct, frozen=True, array_like=True):
    """What one workspace wants of a target at one router.

    Attributes
    ----------
    workspace : str
        Identifier of the workspace.
    demand : int
        Requests queued and running; 0 takes the workspace out.
    served : float
        Units served since the last report.
    busy_seconds : float
        Seconds that its requests held slots since the last report.
    """

    workspace: str
    demand: int
    served: float = 0.0
    busy_seconds: float = 0.0


class RunnerInFlight(msgspec.Struct, frozen=True, array_like=True):
    """Requests in flight at one runner."""

    runner: str
    count: int


class ShareReport(msgspec.Struct, frozen=True, array_like=True, tag="share"):
    """A router's demand on one target, sent to the target's aggregator.

    Attributes
    ----------
    router : str
        Incarnation of the sender.
    number : int
        Counts the sender's reports; 0 for a whole one, else only what changed.
    leaving : tuple of str
        Runners that told the sender that they take no new work.
    """

    target: str
    router: str
    number: int
    needs: tuple[WorkspaceDemand, ...] = ()
    flights: tuple[RunnerInFlight, ...] = ()
    leaving: tuple[str, ...] = ()


class LimitedWorkspace(msgspec.Struct, frozen=True, array_like=True):
    """A workspace held to its share of the slots.

    Attributes
    ----------
    fraction : float
        How much of its demand entered at the router that is told.
    load : float
        Its demand in multiples of its share; at least 1.
    """

    workspace: str
    fraction: float
    load: float


class ShareAnswer(msgspec.Struct, frozen=True, array_like=True, tag="shared"):
    """A router's slots of one target, and who is held to its share.

    Attributes
    ----------
    whole : bool
        The aggregator misses reports and wants a whole one.
    level : float
        Slots per unit of weight for a held workspace; 0 where none is held.
    flights : tuple of Flight
        What changed in the other routers' work since the last answer.
    current : bool
        Whether ``flights`` holds all changes.
    period_seconds : float
        When to report next; stretched where reports are many or large.
    leaving : tuple of str
        Runners that told any router that they take no new work.
    """

    whole: bool
    slots: float = 0.0
    level: float = 0.0
    held: tuple[LimitedWorkspace, ...] = ()
    flights: tuple[RunnerInFlight, ...] = ()
    leaving: tuple[str, ...] = ()
    current: bool = False
    period_seconds: float = 0.0
