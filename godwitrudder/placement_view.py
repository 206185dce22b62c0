"""Answer to a placement query: where a request would go now.

An entry process writes it at its metrics port, ``godwitctl where`` prints it.  Costs
are in prompt tokens, times in seconds.
"""

from __future__ import annotations

import msgspec


class RouteView(msgspec.Struct, frozen=True):
    """The route of the request."""

    name: str
    kind: str
    latency_objective: float
    max_attempts: int
    rank: int


class BudgetView(msgspec.Struct, frozen=True):
    """The workspace and its prepaid tokens, as this host knows them.

    Attributes
    ----------
    prepaid : int or None
        None for no limit; the other figures are None then, too.
    held : int or None
        Tokens that this host may spend without a further statement.
    spendable : int or None
        Those of them that it may spend now.
    free : int or None
        Tokens that are left of the budget, on all hosts and in the store.
    needed : int
        Tokens of the query's request.
    enough : bool
        Whether they could be reserved now, without a wait.
    store_age : float
        Time since the store last answered.
    """

    workspace: str
    prepaid: int | None
    held: int | None
    spendable: int | None
    free: int | None
    needed: int
    enough: bool
    store_age: float


class RunnerView(msgspec.Struct, frozen=True):
    """One runner.

    Attributes
    ----------
    exclusion : str
        Why it may not get the request; empty if it may.
    fits : bool
        Whether its memory has room for the request; one without room is chosen only if
        none has any.
    total : float or None
        Its cost; None if it may not get the request.
    cost : dict
        The terms of the cost by name.
    load : float
        Estimated number of requests that it works on.
    report_age : float or None
        Age of its last load report; None without any.
    """

    id: str
    failure_domain: str
    exclusion: str
    fits: bool
    total: float | None
    cost: dict[str, float]
    load: float
    report_age: float | None


class TargetView(msgspec.Struct, frozen=True):
    """One target of the route.

    Attributes
    ----------
    weight : float
        Its weight among the targets of the route.
    slots, used : float
        Slots of its runners that may be used, fewer where work takes long, and the
        requests that they work on.
    queueing : bool
        Whether requests wait in its queue while its runners lack headroom.
    queued : int
        Requests in its queue on this host.
    choice : str or None
        The runner that the request would go to; one of them if several cost the same.
    """

    name: str
    weight: float
    slots: float
    used: float
    queueing: bool
    queued: int
    choice: str | None
    runners: tuple[RunnerView, ...]


class PlacementView(msgspec.Struct, frozen=True):
    """Where a request would go now.

    Attributes
    ----------
    version : int
        Version of the configuration in force.
    prompt : str
        ``free``, ``on trial``, ``waiting for a trial`` or ``quarantined``.
    entries_age : float
        Time since the store last answered a read of the runners.
    budget : BudgetView or None
        None if the query names no workspace.
    """

    host: str
    version: int
    route: RouteView
    prompt: str
    entries_age: float
    budget: BudgetView | None
    targets: tuple[TargetView, ...]


class BadQuery(msgspec.Struct, frozen=True):
    """A query that can't be answered.

    Attributes
    ----------
    field : str
        The field at fault; empty if it is none of them.
    """

    field: str
    expected: str
