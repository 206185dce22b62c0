"""Messages with which routers share the slots of a target's runners."""

from __future__ import annotations

import msgspec


class WorkspaceDemand(msgspec.Struct, frozen=True, array_like=True):
    """Demand of one workspace on a target at one router.

    Attributes
    ----------
    workspace : str
        Id of the workspace.
    demand : int
        Requests queued and running; 0 removes the workspace.
    served : float
        Units served since the last report.
    busy_seconds : float
        Time that its requests occupied slots since the last report.
    """

    workspace: str
    demand: int
    served: float = 0.0
    busy_seconds: float = 0.0


class RunnerInFlight(msgspec.Struct, frozen=True, array_like=True):
    """Number of requests in flight at one runner."""

    runner: str
    count: int


class ShareReport(msgspec.Struct, frozen=True, array_like=True, tag="share"):
    """A router's demand on one target, sent to the target's aggregator.

    Attributes
    ----------
    router : str
        Incarnation of the sender.
    number : int
        Sequence number of the sender's report; 0 for a full report, otherwise the
        report has only the changes.
    needs : tuple of WorkspaceDemand
        Demand of each workspace.
    flights : tuple of RunnerInFlight
        The sender's requests in flight at each runner.
    leaving : tuple of str
        Runners that told the sender that they accept no new work.
    """

    target: str
    router: str
    number: int
    needs: tuple[WorkspaceDemand, ...] = ()
    flights: tuple[RunnerInFlight, ...] = ()
    leaving: tuple[str, ...] = ()


class LimitedWorkspace(msgspec.Struct, frozen=True, array_like=True):
    """A workspace that is limited to its share of the slots.

    Attributes
    ----------
    fraction : float
        Part of its demand that arrived at the receiving router.
    load : float
        Its demand as a multiple of its share; at least 1.
    """

    workspace: str
    fraction: float
    load: float


class ShareAnswer(msgspec.Struct, frozen=True, array_like=True, tag="shared"):
    """A router's slots of one target, and the workspaces limited to their share.

    Attributes
    ----------
    whole : bool
        Whether the aggregator missed reports and requests a full one.
    slots : float
        Slots of the router.
    level : float
        Slots per unit of weight for a limited workspace; 0 if none is limited.
    held : tuple of LimitedWorkspace
        Limited workspaces.
    flights : tuple of RunnerInFlight
        Changes of the other routers' requests in flight since the last answer.
    leaving : tuple of str
        Runners that told any router that they accept no new work.
    current : bool
        Whether ``flights`` has all changes.
    period_seconds : float
        Delay before the next report; longer if reports are many or large.
    """

    whole: bool
    slots: float = 0.0
    level: float = 0.0
    held: tuple[LimitedWorkspace, ...] = ()
    flights: tuple[RunnerInFlight, ...] = ()
    leaving: tuple[str, ...] = ()
    current: bool = False
    period_seconds: float = 0.0
