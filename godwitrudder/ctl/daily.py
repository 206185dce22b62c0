"""``budget``, ``workspace``, ``target`` and ``fleet``: what is needed each day."""

from __future__ import annotations

from typing import ClassVar, Final
from urllib.parse import quote
from uuid import uuid4

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from godwitrudder.ctl.client import Failure, OperatorClient
from godwitrudder.ctl.command import Exit, FleetCommand
from godwitrudder.ctl.config import EXIT_BY_OUTCOME
from godwitrudder.ctl.settings import CtlSettings
from godwitrudder.views import (
    BudgetView,
    DrainBody,
    EditView,
    Outcome,
    StatusView,
    TargetsView,
    TopUpBody,
    TopUpView,
    WorkspaceView,
)

BUDGET_HEADS: Final = ["budget", "paid", "billed", "granted", "free", "note"]


def budget_row(view: BudgetView) -> list[object]:
    """Return the cells of a budget."""
    paid = view.base_tokens + view.topped_up
    return [view.id, paid, view.billed, view.open, view.free, view.note]


class BudgetShow(FleetCommand):
    """Print a budget."""

    name = "budget show"
    description = "Print what a budget was paid, billed and granted, in tokens."
    arguments: ClassVar[list[Argument]] = [argument("budget", "Identifier.")]

    def act(self, settings: CtlSettings, client: OperatorClient) -> Exit:
        """Print it."""
        name = quote(self.argument("budget"), safe="")
        view = client.get(f"/budgets/{name}", BudgetView)
        if isinstance(view, Failure):
            return self.failed(view)
        if self.for_scripts:
            self.print_json(view)
        else:
            self.print_table(BUDGET_HEADS, [budget_row(view)])
        return Exit.DONE


class BudgetTopUp(FleetCommand):
    """Pay tokens into a budget, once per operation id."""

    name = "budget topup"
    description = "Pay tokens into a budget, once per operation id."
    arguments: ClassVar[list[Argument]] = [
        argument("budget", "Identifier."),
        argument("tokens", "Tokens to pay in."),
        argument("reason", "Why; it stands in the log."),
    ]
    own_options: ClassVar[list[Option]] = [
        option("op", None, "Operation id of a top-up to retry.", flag=False)
    ]

    def act(self, settings: CtlSettings, client: OperatorClient) -> Exit:
        """Pay in."""
        tokens = self.argument("tokens")
        if not tokens.isdecimal():
            self.fail(f"expected a whole number of tokens, not {tokens!r}")
            return Exit.USAGE
        op = self.option("op") or uuid4().hex
        body = TopUpBody(op=op, tokens=int(tokens), reason=self.argument("reason"))
        name = quote(self.argument("budget"), safe="")
        view = client.post(f"/budgets/{name}/topups", body, TopUpView)
        if isinstance(view, Failure):
            if view.status == 0:
                self.fail(f"outcome unknown; retry with --op {op}")
            return self.failed(view)
        if self.for_scripts:
            self.print_json(view)
        elif view.outcome is Outcome.UNKNOWN:
            self.fail(f"not read back in time; retry with --op {op}")
        else:
            self.line(f"{view.outcome} {view.note}".strip())
        return EXIT_BY_OUTCOME[view.outcome]


class WorkspaceShow(FleetCommand):
    """Print a workspace."""

    name = "workspace show"
    description = "Print a workspace's targets, weights and budgets."
    arguments: ClassVar[list[Argument]] = [argument("workspace", "Identifier.")]

    def act(self, settings: CtlSettings, client: OperatorClient) -> Exit:
        """Print it."""
        name = quote(self.argument("workspace"), safe="")
        view = client.get(f"/workspaces/{name}", WorkspaceView)
        if isinstance(view, Failure):
            return self.failed(view)
        if self.for_scripts:
            self.print_json(view)
            return Exit.DONE
        self.line(f"{view.id}: {view.keys} keys")
        weights = view.weights_by_target
        self.print_table(["target", "weight"], [[t, weights[t]] for t in view.targets])
        self.print_table(BUDGET_HEADS, [budget_row(budget) for budget in view.budgets])
        return Exit.DONE


class TargetList(FleetCommand):
    """Print the targets and their runners."""

    name = "target list"
    description = "Print the targets, their runners and what is drained."

    def act(self, settings: CtlSettings, client: OperatorClient) -> Exit:
        """Print it."""
        view = client.get("/targets", TargetsView)
        if isinstance(view, Failure):
            return self.failed(view)
        if self.for_scripts:
            self.print_json(view)
            return Exit.DONE
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
        return Exit.DONE


class TargetDrain(FleetCommand):
    """Take a target, a runner or a failure domain out of service."""

    name = "target drain"
    description = "Give a target, runner or failure domain no new work."
    draining: ClassVar[bool] = True
    arguments: ClassVar[list[Argument]] = [argument("id", "Identifier.")]
    own_options: ClassVar[list[Option]] = [
        option("runner", None, "The identifier is a runner's."),
        option("failure-domain", None, "The identifier is a failure domain's."),
        option("op", None, "Operation id of a change to retry.", flag=False),
    ]

    def act(self, settings: CtlSettings, client: OperatorClient) -> Exit:
        """Publish it."""
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
            if view.status == 0:
                self.fail(f"outcome unknown; retry with --op {body.op}")
            return self.failed(view)
        if self.for_scripts:
            self.print_json(view)
        else:
            problems = "; ".join(view.problems)
            self.line(f"{view.outcome} {problems or view.version}")
        return EXIT_BY_OUTCOME[view.outcome]


class TargetUndrain(TargetDrain):
    """Put a target, a runner or a failure domain back into service."""

    name = "target undrain"
    description = "Give a target, runner or failure domain work again."
    draining: ClassVar[bool] = False


class FleetStatus(FleetCommand):
    """Print how each daemon is."""

    name = "fleet status"
    description = "Print how each daemon is."

    def act(self, settings: CtlSettings, client: OperatorClient) -> Exit:
        """Print it; rejected if a daemon does not answer."""
        view = client.get("/fleet/status", StatusView)
        if isinstance(view, Failure):
            return self.failed(view)
        if self.for_scripts:
            self.print_json(view)
        else:
            heads = ["daemon", "failure domain", "up s", "in flight", "version", ""]
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
            self.print_table(heads, rows)
        return Exit.REJECTED if view.missing else Exit.DONE


COMMANDS: Final = (
    BudgetShow,
    BudgetTopUp,
    WorkspaceShow,
    TargetList,
    TargetDrain,
    TargetUndrain,
    FleetStatus,
)
