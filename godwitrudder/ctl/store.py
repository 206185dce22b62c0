"""``store``: budgets, configuration and runners, read from the platform's store.

The commands send nothing to entry processes, so they also work while none runs.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar, Final

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from godwitrudder.codec import Malformed
from godwitrudder.ctl.client import OperatorClient
from godwitrudder.ctl.command import BaseCommand, ExitCode
from godwitrudder.ctl.settings import CtlSettings
from godwitrudder.platform import documents, names
from godwitrudder.platform.store import KeyedRecord, Page, Store
from godwitrudder.validation import Problem, parse_address
from godwitrudder.version.catalogue import Catalogue, ListedRunner
from godwitrudder.version.statement_table import StatementTable


@dataclass(frozen=True, slots=True)
class StoredBudget:
    """One workspace's budget, in tokens.

    Attributes
    ----------
    prepaid : int or None
        Prepaid amount; None for no limit.
    spent_at_most : int
        Upper bound of the tokens spent.  Requests in flight count with their
        maximum, and a host that is gone with all that it may have spent.
    held : int
        Tokens beyond ``spent_at_most`` that hosts may spend without a new statement.
    free : int or None
        Tokens that no host holds; negative after the prepaid amount was lowered;
        None for no limit.
    hosts : int
        Active hosts of the workspace.
    """

    workspace: str
    prepaid: int | None
    spent_at_most: int
    held: int
    free: int | None
    hosts: int


class StoreCommand(BaseCommand):
    """A command that reads the store and uses no daemon."""

    arguments: ClassVar[list[Argument]] = [
        argument("store", "Address of the platform's store, IP:PORT.")
    ]

    def run_command(self, settings: CtlSettings, client: OperatorClient) -> ExitCode:
        """Not used: the command reads the store only."""
        raise AssertionError("store commands read the store only")

    def read_topics(self, topics: tuple[str, ...]) -> list[Page] | ExitCode:
        """Return the newest record of each key by topic, or an error's exit code."""
        address = parse_address("store", "IP:PORT", str(self.argument("store")))
        if isinstance(address, Problem):
            self.print_error(str(address))
            return ExitCode.USAGE
        store = Store(address)
        try:
            pages = [store.newest(topic) for topic in topics]
        finally:
            store.close()
        for page in pages:
            if not isinstance(page, Page):
                self.print_error(str(page))
                return ExitCode.UNREACHABLE
        return [page for page in pages if isinstance(page, Page)]

    def find_catalogue(self, page: Page) -> Catalogue | ExitCode:
        """Return the configuration in force, or the exit code of an error."""
        for record in page.records:
            if record.key == names.CONFIGURATION_KEY and record.value is not None:
                found = documents.catalogue(record.value)
                if isinstance(found, Malformed):
                    self.print_error(f"the configuration can't be read: {found.reason}")
                    return ExitCode.FAILED
                return found
        self.print_error("the store holds no configuration")
        return ExitCode.UNKNOWN


class BudgetsCommand(StoreCommand):
    """Print the prepaid, spent, held and free tokens of each budget."""

    name = "store budgets"
    description = "Print prepaid, spent, held and free tokens, read from the store."

    def handle(self) -> int:
        """Read configuration and statements; ``FAILED`` if one is unreadable."""
        pages = self.read_topics((names.OPERATOR_TOPIC, names.LEDGER_TOPIC))
        if isinstance(pages, ExitCode):
            return pages
        catalogue = self.find_catalogue(pages[0])
        if isinstance(catalogue, ExitCode):
            return catalogue
        table = StatementTable()
        for record in pages[1].records:
            table.put(record.key, record.value, 0.0)
        views = budget_views(catalogue, table)
        unreadable = sorted(table.unreadable_hosts)
        if self.json_output:
            self.print_json({"budgets": views, "unread": unreadable})
        else:
            headers = ["workspace", "prepaid", "spent at most", "held", "free", "hosts"]
            self.print_table(headers, (_budget_row(view) for view in views))
        for host in unreadable:
            self.print_error(
                f"the statement of {host} can't be read; no host can draw more tokens"
            )
        return ExitCode.FAILED if unreadable else ExitCode.DONE


class StatusCommand(StoreCommand):
    """Print the configuration version and the runners of each target."""

    name = "store status"
    description = "Print the configuration version and runners, read from the store."

    def handle(self) -> int:
        """Read configuration and runner records."""
        pages = self.read_topics((names.OPERATOR_TOPIC, names.RUNNERS_TOPIC))
        if isinstance(pages, ExitCode):
            return pages
        catalogue = self.find_catalogue(pages[0])
        if isinstance(catalogue, ExitCode):
            return catalogue
        entries, unreadable = _parse_entries(pages[1].records)
        if self.json_output:
            view = {
                "version": catalogue.version,
                "runners": entries,
                "unread": unreadable,
            }
            self.print_json(view)
            return ExitCode.DONE
        self.print_text(f"version {catalogue.version}")
        headers = ["target", "runner", "address", "failure domain", "state"]
        self.print_table(headers, (_runner_row(entry) for entry in entries))
        for text in unreadable:
            self.print_text(text)
        return ExitCode.DONE


def budget_views(catalogue: Catalogue, table: StatementTable) -> list[StoredBudget]:
    """Return the budget of each workspace, sorted by name."""
    views: list[StoredBudget] = []
    for name, workspace in sorted(catalogue.workspaces_by_name.items()):
        totals = table.totals_excluding("", name)
        prepaid = workspace.prepaid
        views.append(
            StoredBudget(
                name,
                prepaid,
                totals.cap,
                totals.limit - totals.cap,
                None if prepaid is None else prepaid - totals.limit,
                totals.hosts,
            )
        )
    return views


def _budget_row(view: StoredBudget) -> list[object]:
    prepaid = "no limit" if view.prepaid is None else view.prepaid
    free = "no limit" if view.free is None else view.free
    return [view.workspace, prepaid, view.spent_at_most, view.held, free, view.hosts]


def _parse_entries(
    records: tuple[KeyedRecord, ...],
) -> tuple[list[ListedRunner], list[str]]:
    """Return runners sorted by target and id, and a text per unreadable record."""
    entries: list[ListedRunner] = []
    unreadable: list[str] = []
    for record in records:
        if record.value is None:
            continue
        found = documents.entry(record.key, record.value)
        if isinstance(found, Malformed):
            unreadable.append(f"{record.key} can't be read: {found.reason}")
        else:
            entries.append(found)
    return sorted(entries, key=lambda entry: (entry.target, entry.id)), unreadable


def _runner_row(entry: ListedRunner) -> list[object]:
    state = "leaving" if entry.leaving else "ready"
    return [entry.target, entry.id, entry.address, entry.failure_domain, state]


COMMANDS: Final = (BudgetsCommand, StatusCommand)
