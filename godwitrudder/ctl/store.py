"""``store``: what the platform's store says of budgets, configuration and runners.

No entry is asked, so the commands answer also while none runs.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar, Final

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from godwitrudder.codec import Malformed
from godwitrudder.ctl.client import OperatorClient
from godwitrudder.ctl.command import Exit, FleetCommand
from godwitrudder.ctl.settings import CtlSettings
from godwitrudder.platform import documents, names
from godwitrudder.platform.store import KeyedRecord, Page, Store
from godwitrudder.sections import Problem, parse_address
from godwitrudder.version.catalogue import Catalogue, ListedRunner
from godwitrudder.version.statements import StatementTable


@dataclass(frozen=True, slots=True)
class BudgetView:
    """One workspace's budget, in tokens.

    Attributes
    ----------
    prepaid : int or None
        None for no limit.
    spent_at_most : int
        What hosts have spent, requests in flight at their most, and what a host that
        is gone may have spent.
    held : int
        What hosts may spend beyond that without the store.
    free : int or None
        What no host holds; negative after the prepaid amount was lowered.
    """

    workspace: str
    prepaid: int | None
    spent_at_most: int
    held: int
    free: int | None
    hosts: int


class StoreCommand(FleetCommand):
    """A command that reads the store and asks no fleet."""

    arguments: ClassVar[list[Argument]] = [
        argument("store", "Address of the platform's store, IP:PORT.")
    ]

    def act(self, settings: CtlSettings, client: OperatorClient) -> Exit:
        """Not used: the command reads the store only."""
        raise AssertionError("the store's commands ask no fleet")

    def read(self, topics: tuple[str, ...]) -> list[Page] | Exit:
        """Return the newest records of topics."""
        address = parse_address("store", "IP:PORT", str(self.argument("store")))
        if isinstance(address, Problem):
            self.fail(str(address))
            return Exit.USAGE
        store = Store(address)
        try:
            pages = [store.newest(topic) for topic in topics]
        finally:
            store.close()
        for page in pages:
            if not isinstance(page, Page):
                self.fail(str(page))
                return Exit.UNREACHABLE
        return [page for page in pages if isinstance(page, Page)]

    def catalogue(self, page: Page) -> Catalogue | Exit:
        """Return the configuration in force."""
        for record in page.records:
            if record.key == names.CONFIGURATION_KEY and record.value is not None:
                found = documents.catalogue(record.value)
                if isinstance(found, Malformed):
                    self.fail(f"the configuration can't be read: {found.reason}")
                    return Exit.REJECTED
                return found
        self.fail("the store holds no configuration")
        return Exit.UNKNOWN


class BudgetsCommand(StoreCommand):
    """Print what is prepaid, spent, held and free of each budget."""

    name = "store budgets"
    description = "Tell what is held where, from the platform's store."

    def handle(self) -> int:
        """Read configuration and statements."""
        pages = self.read((names.OPERATOR_TOPIC, names.LEDGER_TOPIC))
        if isinstance(pages, Exit):
            return pages
        catalogue = self.catalogue(pages[0])
        if isinstance(catalogue, Exit):
            return catalogue
        book = StatementTable()
        for record in pages[1].records:
            book.put(record.key, record.value, 0.0)
        views = budgets(catalogue, book)
        unread = sorted(book.unreadable_hosts)
        if self.for_scripts:
            self.print_json({"budgets": views, "unread": unread})
        else:
            heads = ["workspace", "prepaid", "spent at most", "held", "free", "hosts"]
            self.print_table(heads, (_cells(view) for view in views))
        for host in unread:
            self.fail(f"the statement of {host} can't be read: no host spends further")
        return Exit.REJECTED if unread else Exit.DONE


class StatusCommand(StoreCommand):
    """Print the version in force and the runners of each target."""

    name = "store status"
    description = "Tell configuration and runners, from the platform's store."

    def handle(self) -> int:
        """Read configuration and entries."""
        pages = self.read((names.OPERATOR_TOPIC, names.RUNNERS_TOPIC))
        if isinstance(pages, Exit):
            return pages
        catalogue = self.catalogue(pages[0])
        if isinstance(catalogue, Exit):
            return catalogue
        entries, unread = _entries(pages[1].records)
        if self.for_scripts:
            view = {"version": catalogue.version, "runners": entries, "unread": unread}
            self.print_json(view)
            return Exit.DONE
        self.print_text(f"version {catalogue.version}")
        heads = ["target", "runner", "address", "failure domain", "state"]
        self.print_table(heads, (_runner(entry) for entry in entries))
        for text in unread:
            self.print_text(text)
        return Exit.DONE


def budgets(catalogue: Catalogue, book: StatementTable) -> list[BudgetView]:
    """Return one view a workspace, by name."""
    views: list[BudgetView] = []
    for name, workspace in sorted(catalogue.workspaces_by_name.items()):
        totals = book.totals_excluding("", name)
        prepaid = workspace.prepaid
        views.append(
            BudgetView(
                name,
                prepaid,
                totals.cap,
                totals.limit - totals.cap,
                None if prepaid is None else prepaid - totals.limit,
                totals.hosts,
            )
        )
    return views


def _cells(view: BudgetView) -> list[object]:
    paid = "no limit" if view.prepaid is None else view.prepaid
    free = "no limit" if view.free is None else view.free
    return [view.workspace, paid, view.spent_at_most, view.held, free, view.hosts]


def _entries(records: tuple[KeyedRecord, ...]) -> tuple[list[ListedRunner], list[str]]:
    """Return the entries by target and id, and what could not be read."""
    entries: list[ListedRunner] = []
    unread: list[str] = []
    for record in records:
        if record.value is None:
            continue
        found = documents.entry(record.key, record.value)
        if isinstance(found, Malformed):
            unread.append(f"{record.key} can't be read: {found.reason}")
        else:
            entries.append(found)
    return sorted(entries, key=lambda entry: (entry.target, entry.id)), unread


def _runner(entry: ListedRunner) -> list[object]:
    state = "leaving" if entry.leaving else "ready"
    return [entry.target, entry.id, entry.address, entry.failure_domain, state]


COMMANDS: Final = (BudgetsCommand, StatusCommand)
