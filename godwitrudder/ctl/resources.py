"""``budget``, ``workspace``, ``target`` and ``fleet``: show state, top up, drain."""

from __future__ import annotations

from typing import ClassVar, Final
from urllib.parse import quote
from uuid import uuid4

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from godwitrudder.ctl.client import Failure, OperatorClient
from godwitrudder.ctl.command import BaseCommand, ExitCode
from godwitrudder.ctl.config import EXIT_BY_OUTCOME
from godwitrudder.ctl.settings import CtlSettings
from godwitrudder.views import (
    BudgetView,
    ChangeOutcome,
    DrainBody,
    EditView,
    StatusView,
    TargetsView,
    TopUpBody,
    TopUpView,
    WorkspaceView,
)

BUDGET_HEADERS: Final = ["budget", "paid", "billed", "granted", "free", "note"]


def budget_row(view: BudgetView) -> list[object]:
    """Return the table cells of a budget, amounts in tokens."""
    paid = view.base_tokens + view.topped_up
    return [view.id, paid, view.billed, view.open, view.free, view.note]


class BudgetShow(BaseCommand):
    """Print a budget."""

    name = "budget show"
    description = "Print the paid, billed and granted tokens of a budget."
    arguments: ClassVar[list[Argument]] = [argument("budget", "Identifier.")]

    def run_command(self, settings: CtlSettings, client: OperatorClient) -> ExitCode:
        """Print the budget."""
        name = quote(self.argument("budget"), safe="")
        view = client.get(f"/budgets/{name}", BudgetView)
        if isinstance(view, Failure):
            return self.print_failure(view)
        if self.json_output:
            self.print_json(view)
        else:
            self.print_table(BUDGET_HEADERS, [budget_row(view)])
        return ExitCode.DONE


class BudgetTopUp(BaseCommand):
    """Pay tokens into a budget, once per operation id."""

    name = "budget topup"
    description = "Pay tokens into a budget, once per operation id."
    arguments: ClassVar[list[Argument]] = [
        argument("budget", "Identifier."),
        argument("tokens", "Tokens to pay in."),
        argument("reason", "Reason, kept in the log."),
    ]
    own_options: ClassVar[list[Option]] = [
        option("op", None, "Operation id of a top-up to retry.", flag=False)
    ]

    def run_command(self, settings: CtlSettings, client: OperatorClient) -> ExitCode:
        """Publish the top-up; the exit code follows from its outcome."""
        tokens = self.argument("tokens")
        if not tokens.isdecimal():
            self.print_error(f"expected a whole number of tokens, not {tokens!r}")
            return ExitCode.USAGE
        op = self.option("op") or uuid4().hex
        body = TopUpBody(op=op, tokens=int(tokens), reason=self.argument("reason"))
        name = quote(self.argument("budget"), safe="")
        view = client.post(f"/budgets/{name}/topups", body, TopUpView)
        if isinstance(view, Failure):
            if view.status == 0:  # no daemon answered
                self.print_error(f"outcome unknown; retry with --op {op}")
            return self.print_failure(view)
        if self.json_output:
            self.print_json(view)
        elif view.outcome is ChangeOutcome.UNKNOWN:
            self.print_error(
                f"the top-up was not read back from the log in time;"
                f" retry with --op {op}"
            )
        else:
            self.line(f"{view.outcome} {view.note}".strip())
        return EXIT_BY_OUTCOME[view.outcome]


class WorkspaceShow(BaseCommand):
    """Print a workspace."""

    name = "workspace show"
    description = "Print a workspace's targets, weights and budgets."
    arguments: ClassVar[list[Argument]] = [argument("workspace", "Identifier.")]

    def run_command(self, settings: CtlSettings, client: OperatorClient) -> ExitCode:
        """Print the workspace's key count, targets and budgets."""
        name = quote(self.argument("workspace"), safe="")
        view = client.get(f"/workspaces/{name}", WorkspaceView)
        if isinstance(view, Failure):
            return self.print_failure(view)
        if self.json_output:
            self.print_json(view)
            return ExitCode.DONE
        self.line(f"{view.id}: {view.keys} keys")
        weights = view.weights_by_target
        self.print_table(["target", "weight"], [[t, weights[t]] for t in view.targets])
        self.print_table(
            BUDGET_HEADERS, [budget_row(budget) for budget in view.budgets]
        )
        return ExitCode.DONE


class TargetList(BaseCommand):
    """Print the targets, their runners and all drains."""

    name = "target list"
    description = "Print the targets, their runners and all drains."

    def run_command(self, settings: CtlSettings, client: OperatorClient) -> ExitCode:
        """Print one row per runner, then the drains."""
        view = client.get("/targets", TargetsView)
        if isinstance(view, Failure):
            return self.print_failure(view)
        if self.json_output:
            self.print_json(view)
            return ExitCode.DONE
        rows = [
            [
                target.id,
                runner.id,
                runner.address,
                runner.failure_domain,
                "drained" if target.drained else runner.state,
            ]
            for target in view.targets
            for runner in target.runners
        ]
        self.print_table(
            ["target", "runner", "address", "failure domain", "state"], rows
        )
        for drain in view.drains:
            self.line(f"drained: {drain}")
        return ExitCode.DONE


class TargetDrain(BaseCommand):
    """Take a target, a runner or a failure domain out of service."""

    name = "target drain"
    description = "Send no new work to a target, runner or failure domain."
    draining: ClassVar[bool] = True
    arguments: ClassVar[list[Argument]] = [argument("id", "Identifier.")]
    own_options: ClassVar[list[Option]] = [
        option("runner", None, "The identifier is a runner's."),
        option("failure-domain", None, "The identifier is a failure domain's."),
        option("op", None, "Operation id of a change to retry.", flag=False),
    ]

    def run_command(self, settings: CtlSettings, client: OperatorClient) -> ExitCode:
        """Publish the change; the exit code follows from its outcome."""
        kind = "failure_domain" if self.option("failure-domain") else "target"
        kind = "runner" if self.option("runner") else kind
        body = DrainBody(
            op=self.option("op") or uuid4().hex,
            kind=kind,
            id=self.argument("id"),
            draining=self.draining,
        )
        view = client.post("/drains", body, EditView)
        if isinstance(view, Failure):
            if view.status == 0:  # no daemon answered
                self.print_error(f"outcome unknown; retry with --op {body.op}")
            return self.print_failure(view)
        if self.json_output:
            self.print_json(view)
        else:
            problems = "; ".join(view.problems)
            self.line(f"{view.outcome} {problems or view.version}")
        return EXIT_BY_OUTCOME[view.outcome]


class TargetUndrain(TargetDrain):
    """Put a target, a runner or a failure domain back into service."""

    name = "target undrain"
    description = "Send work to a target, runner or failure domain again."
    draining: ClassVar[bool] = False


class FleetStatus(BaseCommand):
    """Print the status of each daemon."""

    name = "fleet status"
    description = "Print the status of each daemon."

    def run_command(self, settings: CtlSettings, client: OperatorClient) -> ExitCode:
        """Print the table; ``FAILED`` if a daemon does not answer."""
        view = client.get("/fleet/status", StatusView)
        if isinstance(view, Failure):
            return self.print_failure(view)
        if self.json_output:
            self.print_json(view)
        else:
            headers = ["daemon", "failure domain", "up s", "in flight", "version", ""]
            rows: list[list[object]] = [
                [
                    s.host,
                    s.failure_domain,
                    f"{s.uptime_seconds:.0f}",
                    s.in_flight,
                    s.config_version,
                    "draining" if s.draining else "",
                ]
                for s in view.daemons
            ]
            rows += [[host, "", "", "", "", "no answer"] for host in view.missing]
            self.print_table(headers, rows)
        return ExitCode.FAILED if view.missing else ExitCode.DONE


COMMANDS: Final = (
    BudgetShow,
    BudgetTopUp,
    WorkspaceShow,
    TargetList,
    TargetDrain,
    TargetUndrain,
    FleetStatus,
)
