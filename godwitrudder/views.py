"""Bodies of the operators' port, shared by the daemon and ``godwitctl``.

All are JSON.  Amounts are in tokens, versions are offsets of the log.
"""

from __future__ import annotations

import enum

import msgspec

from godwitrudder.process.timeline import Events


class Outcome(enum.StrEnum):
    """What became of a change that an operator asked for."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


class ErrorView(msgspec.Struct, kw_only=True):
    """Why a request to the operators' port failed."""

    code: str
    message: str


class SectionView(msgspec.Struct, kw_only=True):
    """One section as it stands; the author is empty where forgotten."""

    version: int
    text: str
    author: str = ""


class ConfigView(msgspec.Struct, kw_only=True):
    """The document in force in the daemon that was asked."""

    version: int
    sections: dict[str, SectionView]


class ChangeBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """New text of a section, and the version that it was made on."""

    made_on: int
    text: str


class EditBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """An edit; the same ``op`` may be sent again after a lost answer."""

    op: str
    changes: dict[str, ChangeBody]


class DrainBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Takes a target, runner or failure domain out of service, or back."""

    op: str
    kind: str
    id: str
    draining: bool


class EditView(msgspec.Struct, kw_only=True):
    """What became of an edit or a drain.

    Attributes
    ----------
    outcome : Outcome
        Unknown if it was not read back in time; send the same ``op`` again.
    version : int
        Offset of the record; -1 if it was not published.
    problems : list of str
        Section, key path and expected value of each.
    standing : dict
        The sections as they stand, for an edit that lost a race.
    """

    outcome: Outcome
    op: str
    version: int = -1
    problems: list[str] = []
    standing: dict[str, SectionView] = {}


class VerdictView(msgspec.Struct, kw_only=True):
    """What became of one record; the problem is empty if it was accepted."""

    op: str
    author: str
    offset: int
    time: float
    made_on_by_section: dict[str, int]
    problem: str
    standing_by_section: dict[str, int]
    what: str


class HistoryView(msgspec.Struct, kw_only=True):
    """The newest records of the configuration, oldest first."""

    verdicts: list[VerdictView]


class DaemonView(msgspec.Struct, kw_only=True):
    """How one daemon is; the fields are those of ``queries.Status``."""

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
    """What each daemon says of itself, and who did not answer."""

    daemons: list[DaemonView]
    missing: list[str]


class BudgetView(msgspec.Struct, kw_only=True):
    """A budget.

    Attributes
    ----------
    document_tokens : int
        What the document pays in; -1 for a budget that it does not name.
    base_tokens : int
        What the ledger has in force of it; differs where the document is below
        what is granted, or has just changed.
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
    """What became of a top-up."""

    outcome: Outcome
    op: str
    note: str = ""


class WorkspaceView(msgspec.Struct, kw_only=True):
    """A workspace."""

    id: str
    keys: int
    targets: list[str]
    budgets: list[BudgetView]
    weights_by_target: dict[str, float]


class RunnerView(msgspec.Struct, kw_only=True):
    """A runner as the asked daemon sees it."""

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
    """All targets, and what is out of service."""

    targets: list[TargetView]
    drains: list[str]


class EventsBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Asks for a page of every daemon's events."""

    request: str = ""
    workspace: str = ""
    after_by_process: dict[str, int] = {}


class EventsView(msgspec.Struct, kw_only=True):
    """A page per daemon, and who did not answer."""

    pages: list[Events]
    missing: list[str]
