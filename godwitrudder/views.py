"""Request and response bodies of the operators' port.

The daemon and ``godwitctl`` share them.  All are JSON.  Amounts are in tokens,
versions are offsets of the log.
"""

from __future__ import annotations

import enum

import msgspec

from godwitrudder.process.timeline import Events


class ChangeOutcome(enum.StrEnum):
    """Outcome of a change that an operator requested.

    Attributes
    ----------
    ACCEPTED : str
        The change is in force.
    REJECTED : str
        The change is not in force; the view says why.
    UNKNOWN : str
        The change was not read back from the log in time.
    """

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


class ErrorView(msgspec.Struct, kw_only=True):
    """Why a request to the operators' port failed."""

    code: str
    message: str


class SectionView(msgspec.Struct, kw_only=True):
    """One section in force; the author is empty if no longer known."""

    version: int
    text: str
    author: str = ""


class ConfigView(msgspec.Struct, kw_only=True):
    """The document in force in the daemon that answers."""

    version: int
    sections: dict[str, SectionView]


class ChangeBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """New text of a section, and the section's version that it was made on."""

    made_on: int
    text: str


class EditBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """An edit; the same ``op`` can be sent again after a lost answer."""

    op: str
    changes: dict[str, ChangeBody]


class DrainBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Takes a target, runner or failure domain out of service, or puts it back."""

    op: str
    kind: str
    id: str
    draining: bool


class EditView(msgspec.Struct, kw_only=True):
    """Outcome of an edit or a drain.

    Attributes
    ----------
    outcome : ChangeOutcome
        Unknown if the record was not read back in time; send the same ``op`` again.
    version : int
        Offset of the record; -1 if it was not published.
    problems : list of str
        Section, key path and expected value of each problem.
    standing : dict
        The sections in force, for an edit that was made on an older version.
    """

    outcome: ChangeOutcome
    op: str
    version: int = -1
    problems: list[str] = []
    standing: dict[str, SectionView] = {}


class VerdictView(msgspec.Struct, kw_only=True):
    """Outcome of one record; the fields are those of ``edits.Verdict``."""

    op: str
    author: str
    offset: int
    time: float
    made_on_by_section: dict[str, int]
    problem: str
    standing_by_section: dict[str, int]
    what: str


class HistoryView(msgspec.Struct, kw_only=True):
    """The outcomes of the newest configuration records, oldest first."""

    verdicts: list[VerdictView]


class DaemonView(msgspec.Struct, kw_only=True):
    """Status of one daemon; the fields are those of ``queries.Status``."""

    host: str
    incarnation: str
    failure_domain: str
    config_version: int
    next_offset: int
    in_force_seconds: float
    uptime_seconds: float
    in_flight: int
    draining: bool


class StatusView(msgspec.Struct, kw_only=True):
    """Status of each daemon, and the hosts that did not answer."""

    daemons: list[DaemonView]
    missing: list[str]


class BudgetView(msgspec.Struct, kw_only=True):
    """A budget.

    Attributes
    ----------
    document_tokens : int
        Tokens that the document pays in; -1 for a budget that it does not name.
    base_tokens : int
        Tokens of these that are in force in the ledger.  The two differ if the
        document's amount is below what is granted, or has just changed.
    """

    id: str
    document_tokens: int
    base_tokens: int
    topped_up: int
    billed: int
    open: int
    free: int
    note: str = ""


class TopUpBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Tokens paid in once per ``op``."""

    op: str
    tokens: int
    reason: str


class TopUpView(msgspec.Struct, kw_only=True):
    """Outcome of a top-up."""

    outcome: ChangeOutcome
    op: str
    note: str = ""


class WorkspaceView(msgspec.Struct, kw_only=True):
    """A workspace.

    Attributes
    ----------
    keys : int
        Number of its API keys.
    weights_by_target : dict
        Its weight at each target in ``targets``.
    """

    id: str
    keys: int
    targets: list[str]
    budgets: list[BudgetView]
    weights_by_target: dict[str, float]


class RunnerView(msgspec.Struct, kw_only=True):
    """A runner, with its state in the daemon that answers."""

    id: str
    address: str
    failure_domain: str
    state: str


class TargetView(msgspec.Struct, kw_only=True):
    """A target and its runners."""

    id: str
    kind: str
    slots_per_runner: int
    drained: bool
    runners: list[RunnerView]


class TargetsView(msgspec.Struct, kw_only=True):
    """All targets, and everything that is drained."""

    targets: list[TargetView]
    drains: list[str]


class EventsBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Requests a page of every daemon's events; empty filters match all.

    Attributes
    ----------
    after_by_process : dict
        Number of the last event already read from each process, by host.
    """

    request: str = ""
    workspace: str = ""
    after_by_process: dict[str, int] = {}


class EventsView(msgspec.Struct, kw_only=True):
    """A page of events per daemon, and the hosts that did not answer."""

    pages: list[Events]
    missing: list[str]
