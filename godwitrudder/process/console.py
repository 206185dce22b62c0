"""The read requests of the operator port, with data from all daemons."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Final, TypeVar

import msgspec
from gevent.pool import Pool

from godwitrudder.connection.frames import Message
from godwitrudder.connection.peer import Handlers, PeerLinks
from godwitrudder.connection.queries import Status, StatusAsk
from godwitrudder.process.configuration import Configuration
from godwitrudder.process.ledger import Ledger
from godwitrudder.process.members import Members
from godwitrudder.process.timeline import Events, EventsAsk, Timeline
from godwitrudder.request.choice import Runner
from godwitrudder.version.accounts import Budget
from godwitrudder.version.document import TurnModel
from godwitrudder.views import (
    BudgetView,
    ConfigView,
    DaemonView,
    EventsBody,
    EventsView,
    HistoryView,
    RunnerView,
    SectionView,
    StatusView,
    TargetsView,
    TargetView,
    VerdictView,
    WorkspaceView,
)

ANSWER_TIMEOUT_SECONDS: Final = 2.0
MAX_CONCURRENT_ASKS: Final = 32
NOTE_NOT_APPLIED: Final = "the ledger has not applied the amount of this document yet"
NOTE_LOWERED_LATER: Final = "more is billed and granted; lowered as grants are returned"

T = TypeVar("T", bound=Message)


class Console:
    """Answers the read requests of the operator port.

    Parameters
    ----------
    own_status : callable
        Returns the status of this daemon.
    """

    def __init__(
        self,
        configuration: Configuration,
        ledger: Ledger,
        members: Members,
        peers: PeerLinks,
        handlers: Handlers,
        timeline: Timeline,
        own_status: Callable[[], Status],
    ) -> None:
        self._configuration = configuration
        self._ledger = ledger
        self._members = members
        self._peers = peers
        self._timeline = timeline
        self._own_status = own_status
        handlers.register(StatusAsk, lambda ask: own_status())
        handlers.register(EventsAsk, timeline.page)

    def config(self) -> ConfigView:
        """Return the document in force."""
        document = self._configuration.document
        names = document.text_by_section
        return ConfigView(
            version=document.version,
            sections={name: self.section(name) for name in names},
        )

    def section(self, name: str) -> SectionView:
        """Return a section of the document in force, with its version and author."""
        fold = self._configuration.fold
        version = fold.version_of(name)
        author = next(
            (v.author for v in fold.verdicts_by_op.values() if v.offset == version), ""
        )
        text = fold.document.text_by_section.get(name, "")
        return SectionView(version=version, text=text, author=author)

    def history(self) -> HistoryView:
        """Return the verdicts on the most recent edits."""
        verdicts = self._configuration.fold.verdicts_by_op.values()
        views = [VerdictView(**msgspec.structs.asdict(verdict)) for verdict in verdicts]
        return HistoryView(verdicts=views)

    def status(self) -> StatusView:
        """Return the status of every daemon and the hosts that did not answer."""
        answers, missing = self._ask_all(lambda host: StatusAsk(), Status)
        daemons = [
            DaemonView(**msgspec.structs.asdict(status))
            for status in [self._own_status(), *answers]
        ]
        daemons.sort(key=lambda view: view.host)
        return StatusView(daemons=daemons, missing=missing)

    def events(self, body: EventsBody) -> EventsView:
        """Return a page of timeline events from every daemon."""

        def ask(host: str) -> EventsAsk:
            after = body.after_by_process.get(host, -1)
            return EventsAsk(after, body.request, body.workspace)

        answers, missing = self._ask_all(ask, Events)
        own = self._timeline.page(ask(self._timeline.process))
        return EventsView(pages=[own, *answers], missing=missing)

    def budget(self, name: str) -> BudgetView | None:
        """Return a budget, or None if neither document nor ledger has it."""
        model = self._configuration.document.budgets_by_id.get(name)
        state = self._ledger.budget(name)
        if model is None and state is None:
            return None
        tokens = -1 if model is None else model.paid_tokens
        if state is None:
            return BudgetView(
                id=name,
                document_tokens=tokens,
                base_tokens=0,
                topped_up=0,
                billed=0,
                open=0,
                free=0,
                note="not known to this daemon's ledger",
            )
        return BudgetView(
            id=name,
            document_tokens=tokens,
            base_tokens=state.base,
            topped_up=state.topped_up,
            billed=state.billed,
            open=state.open,
            free=state.free,
            note=_budget_note(tokens, state),
        )

    def workspace(self, name: str) -> WorkspaceView | None:
        """Return a workspace, or None if the document does not have it."""
        document = self._configuration.document
        model = document.workspaces_by_id.get(name)
        if model is None:
            return None
        budgets = dict.fromkeys(key.budget for key in model.keys)
        views = [self.budget(budget) for budget in budgets]
        weights_by_target: dict[str, float] = {}
        for target in model.targets:
            turns = document.turns_by_target.get(target, TurnModel())
            weights_by_target[target] = turns.weights_by_workspace.get(name, 1.0)
        return WorkspaceView(
            id=name,
            keys=len(model.keys),
            targets=list(model.targets),
            budgets=[view for view in views if view is not None],
            weights_by_target=weights_by_target,
        )

    def targets(self) -> TargetsView:
        """Return all targets with their runners, and all drains."""
        document = self._configuration.document
        views = [
            TargetView(
                id=name,
                kind=model.kind,
                slots_per_runner=model.slots_per_runner,
                drained=document.drained("target", name),
                runners=[*map(self._runner, self._members.runners_of(name))],
            )
            for name, model in document.targets_by_id.items()
        ]
        drains = [f"{key.kind} {key.id}" for key in sorted(document.drains)]
        return TargetsView(targets=views, drains=drains)

    def _runner(self, runner: Runner) -> RunnerView:
        drained = self._configuration.document.drained
        out_of_service = drained("runner", runner.id)
        out_of_service = out_of_service or drained(
            "failure_domain", runner.failure_domain
        )
        state = "drained" if out_of_service else "leaving" if runner.leaving else "live"
        return RunnerView(
            id=runner.id,
            address=str(runner.address),
            failure_domain=runner.failure_domain,
            state=state,
        )

    def _ask_all(
        self, ask: Callable[[str], Message], kind: type[T]
    ) -> tuple[list[T], list[str]]:
        """Ask the other daemons in parallel.

        Returns
        -------
        answers : list
            Answers of type ``kind``.
        missing : list of str
            Hosts that gave no such answer within ``ANSWER_TIMEOUT_SECONDS``.
        """
        hosts = sorted(self._other_hosts())
        pool = Pool(MAX_CONCURRENT_ASKS)
        answers = pool.map(
            lambda host: self._peers.ask(host, ask(host), ANSWER_TIMEOUT_SECONDS), hosts
        )
        answered = [answer for answer in answers if isinstance(answer, kind)]
        missing = [
            host
            for host, answer in zip(hosts, answers, strict=True)
            if not isinstance(answer, kind)
        ]
        return answered, missing

    def _other_hosts(self) -> Iterator[str]:
        own = self._timeline.process
        return (host for host in self._members.routers_by_id if host != own)


def _budget_note(document_tokens: int, state: Budget) -> str:
    """Return why the amount in the document is not in force, or an empty string."""
    if document_tokens not in (-1, state.document_base):
        return NOTE_NOT_APPLIED
    return NOTE_LOWERED_LATER if state.base > state.document_base else ""
