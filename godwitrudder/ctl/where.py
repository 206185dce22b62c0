"""``where``: where a request would go now, as one entry process knows it."""

from __future__ import annotations

import os
from collections.abc import Iterator
from typing import ClassVar, Final
from urllib.parse import urlencode

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from geventhttpclient import HTTPClient

from godwitrudder import codec
from godwitrudder.ctl.client import (
    ANSWER_TIMEOUT_SECONDS,
    CONNECT_TIMEOUT_SECONDS,
    OperatorClient,
)
from godwitrudder.ctl.command import BaseCommand, ExitCode
from godwitrudder.ctl.load import KEY_VARIABLE
from godwitrudder.ctl.settings import CtlSettings
from godwitrudder.placement_view import (
    BadQuery,
    BudgetView,
    PlacementView,
    RunnerView,
    TargetView,
)
from godwitrudder.validation import Address, Problem, parse_address

NO_CONFIGURATION_STATUS: Final = 503


class WhereCommand(BaseCommand):
    """Print where a request would go, and what decides it."""

    name = "where"
    description = "Print where a request would go now; sends nothing to a runner."
    arguments: ClassVar[list[Argument]] = [
        argument("metrics", "Metrics port of an entry process, IP:PORT."),
        argument("host", "Host name that the request is for."),
        argument("path", "Path of the request."),
    ]
    own_options: ClassVar[list[Option]] = [
        option("tokens", None, "Tokens as PROMPT,OUTPUT.", flag=False),
        option("parts", None, "Parts of the prompt as ID:TOKENS,...", flag=False),
    ]

    def handle(self) -> int:
        """Ask the entry process; the command needs no settings."""
        text = str(self.argument("metrics"))
        address = parse_address("metrics", "IP:PORT", text)
        if isinstance(address, Problem):
            self.print_error(str(address))
            return ExitCode.USAGE
        view = _ask(address, self._query())
        if isinstance(view, BadQuery):
            self.print_error(f"{view.field or 'query'}: expected {view.expected}")
            return ExitCode.USAGE
        if isinstance(view, str):
            self.print_error(view)
            return ExitCode.UNREACHABLE
        if self.json_output:
            self.print_json(view)
        else:
            self._print(view)
        return ExitCode.DONE

    def run_command(self, settings: CtlSettings, client: OperatorClient) -> ExitCode:
        """Not used: the command asks an entry process."""
        raise AssertionError("where asks an entry process")

    def _query(self) -> str:
        """Return the query; the key is not an argument, which other users could see."""
        fields = {
            "host": self.argument("host"),
            "path": self.argument("path"),
            "key": os.environ.get(KEY_VARIABLE),
            "tokens": self.option("tokens"),
            "parts": self.option("parts"),
        }
        return urlencode({name: text for name, text in fields.items() if text})

    def _print(self, view: PlacementView) -> None:
        route = view.route
        self.print_text(
            f"{view.host}, version {view.version}: route {route.name} ({route.kind}), "
            f"rank {route.rank}, latency objective {route.latency_objective} s, "
            f"at most {route.max_attempts} runs"
        )
        self.print_text(
            f"prompt: {view.prompt}; runners as of {view.entries_age} s ago"
        )
        self.print_text(_budget_text(view.budget))
        for target in view.targets:
            self.print_text(_target_text(target))
            self.print_table(
                ["runner", "domain", "load", "report age", "cost", "terms"],
                (_runner_row(runner) for runner in sorted_runners(target)),
            )


def sorted_runners(target: TargetView) -> list[RunnerView]:
    """Return the runners of a target, cheapest first, excluded ones last."""
    return sorted(
        target.runners,
        key=lambda runner: (runner.total is None, runner.total or 0.0, runner.id),
    )


def _ask(address: Address, query: str) -> PlacementView | BadQuery | str:
    """Return the answer of an entry process, or why there is none."""
    client = HTTPClient(
        address.ip,
        address.port,
        connection_timeout=CONNECT_TIMEOUT_SECONDS,
        network_timeout=ANSWER_TIMEOUT_SECONDS,
    )
    try:
        response = client.get(f"/placement?{query}")
        status, body = response.status_code, bytes(response.read())
    except Exception as error:  # the client raises many unrelated types
        return f"{address}: {type(error).__name__}"
    finally:
        client.close()
    if status == NO_CONFIGURATION_STATUS:
        return f"{address}: no configuration was read yet"
    view: PlacementView | BadQuery | codec.Malformed = codec.decode_json(
        body, PlacementView if status == 200 else BadQuery
    )
    if isinstance(view, codec.Malformed):
        return f"{address}: status {status}, not an answer to a placement query"
    return view


def _budget_text(budget: BudgetView | None) -> str:
    if budget is None:
        return "no workspace"
    if budget.prepaid is None:
        return f"workspace {budget.workspace}: no limit"
    return (
        f"workspace {budget.workspace}: prepaid {budget.prepaid}, held {budget.held}, "
        f"spendable {budget.spendable}, free {budget.free}, needed {budget.needed}"
        f"{'' if budget.enough else ' (would wait)'}; store {budget.store_age} s ago"
    )


def _target_text(target: TargetView) -> str:
    return (
        f"target {target.name} (weight {target.weight:g}): {target.used:g} of "
        f"{target.slots:g} slots in use, queue "
        f"{'on' if target.queueing else 'off'}, {target.queued} queued; "
        f"goes to {target.choice or 'no runner'}"
    )


def _runner_row(runner: RunnerView) -> Iterator[object]:
    yield runner.id
    yield runner.failure_domain
    yield runner.load
    yield "none" if runner.report_age is None else runner.report_age
    yield runner.exclusion if runner.total is None else runner.total
    terms = [f"{name} {cost:g}" for name, cost in runner.cost.items() if cost]
    yield " ".join(terms if runner.fits else [*terms, "(no memory)"])


COMMANDS: Final = (WhereCommand,)
