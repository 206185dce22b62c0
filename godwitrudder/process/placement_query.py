"""Answers placement queries from what this host knows, without any change of state."""

from __future__ import annotations

import math
import re
import time
from dataclasses import asdict
from random import Random
from typing import Final
from urllib.parse import parse_qsl

import msgspec

from godwitrudder.placement_view import (
    BadQuery,
    BudgetView,
    PlacementView,
    RouteView,
    RunnerView,
    TargetView,
)
from godwitrudder.process.directory import Directory
from godwitrudder.process.forwarding.eligibility import homes_of
from godwitrudder.process.forwarding.runner_choice import RunnerChoice
from godwitrudder.process.forwarding.runner_queues import RunnerQueues
from godwitrudder.process.quarantine import FleetQuarantine
from godwitrudder.process.reservations import ReservationTask
from godwitrudder.request.hedging.headroom import slots_in_use
from godwitrudder.request.placing.candidate import Candidate, Part
from godwitrudder.request.placing.placement import Weighed
from godwitrudder.request.quarantine import Free, Quarantined, Trial, Verdict
from godwitrudder.version.catalogue import (
    Catalogue,
    Homes,
    Route,
    Target,
    WeightedTarget,
    Workspace,
)

PATH: Final = b"/placement"
"""Path of the query at the metrics port."""
FIELDS: Final = ("host", "path", "key", "tokens", "parts")
_TOKENS: Final = re.compile(r"([0-9]{1,15})(?:,([0-9]{1,15}))?")
_PART: Final = re.compile(r"([^:,]+):([0-9]{1,15})")


class PlacementQuery:
    """Answers queries at the metrics port; one per process.

    Parameters
    ----------
    host : str
        Name of this host.
    queues : RunnerQueues
        Asked how long they are and whether they are on, without a change of state.
    """

    def __init__(
        self,
        host: str,
        directory: Directory,
        reservations: ReservationTask,
        choice: RunnerChoice,
        quarantine: FleetQuarantine,
        queues: RunnerQueues,
    ) -> None:
        self._host = host
        self._directory = directory
        self._reservations = reservations
        self._choice = choice
        self._quarantine = quarantine
        self._queues = queues
        # Apart from the one that requests use, so that a query changes no choice.
        self._random = Random()

    def answer(self, query: bytes) -> tuple[int, bytes]:
        """Return status and JSON body for the query part of a URL."""
        view = self._answer(query)
        if isinstance(view, BadQuery):
            return 400, msgspec.json.encode(view)
        return (503 if view is None else 200), msgspec.json.encode(view)

    def _answer(self, query: bytes) -> PlacementView | BadQuery | None:
        """Return the answer; None if no configuration is known yet."""
        fields = _parse_fields(query)
        if isinstance(fields, BadQuery):
            return fields
        parts = _parse_parts(fields.get("parts", ""))
        if parts is None:
            return BadQuery("parts", "ID:TOKENS,... with at least one")
        tokens = _TOKENS.fullmatch(fields.get("tokens", "0"))
        if tokens is None:
            return BadQuery("tokens", "PROMPT,OUTPUT as whole numbers")
        catalogue = self._directory.current()
        if catalogue is None:
            return None
        host = fields["host"].lower().partition(":")[0]
        route = catalogue.route(host, fields["path"].partition("?")[0])
        if route is None:
            return BadQuery("path", "a path that a route of the host serves")
        workspace = catalogue.workspaces_by_key.get(fields.get("key", ""))
        if workspace is None and ("key" in fields or not route.public):
            return BadQuery("key", "the API key of a workspace")
        needed = int(tokens[1]) + int(tokens[2] or 0)
        return self._view(catalogue, route, workspace, needed, parts)

    def _view(
        self,
        catalogue: Catalogue,
        route: Route,
        workspace: Workspace | None,
        needed: int,
        parts: tuple[Part, ...],
    ) -> PlacementView:
        verdict = self._quarantine.preview([part.id for part in parts[:-1]])
        on_trial = isinstance(verdict, Trial)
        homes = homes_of(route, workspace)
        rank = route.rank
        if workspace is not None and workspace.rank is not None:
            rank = workspace.rank
        return PlacementView(
            self._host,
            catalogue.version,
            RouteView(
                route.name,
                str(route.kind),
                route.latency_objective_seconds,
                route.max_attempts,
                rank,
            ),
            _describe(verdict),
            round(time.monotonic() - self._directory.answered_at, 3),
            None if workspace is None else self._budget(workspace, needed),
            tuple(
                self._target(catalogue, share, homes, parts, on_trial, needed)
                for share in route.shares
            ),
        )

    def _budget(self, workspace: Workspace, needed: int) -> BudgetView:
        silent = round(self._reservations.silent_seconds, 3)
        if workspace.prepaid is None:
            name = workspace.name
            return BudgetView(name, None, None, None, None, needed, True, silent)
        holdings = self._reservations.host_holdings
        holding = holdings.holdings.get(workspace.name)
        held = spendable = 0
        if holding is not None:
            held = holding.granted - holding.spent
            spendable = holding.spendable(self._reservations.now())
        free = holdings.remainder(workspace.name).tokens
        return BudgetView(
            workspace.name,
            workspace.prepaid,
            held,
            spendable,
            free,
            needed,
            needed <= spendable,
            silent,
        )

    def _target(
        self,
        catalogue: Catalogue,
        share: WeightedTarget,
        homes: tuple[Homes, ...],
        parts: tuple[Part, ...],
        on_trial: bool,
        needed: int,
    ) -> TargetView:
        name, now = share.target, time.monotonic()
        target = catalogue.targets_by_name.get(name) or Target(name, 0, None)

        def fits(candidate: Candidate) -> bool:
            return self._queues.would_fit(target, needed, candidate)

        weighed, chosen = self._choice.preview(
            target, homes, parts, on_trial, fits, self._random
        )
        used, slots = slots_in_use([each.candidate for each in weighed], now)
        return TargetView(
            name,
            share.weight,
            round(slots, 1),
            round(used, 1),
            self._queues.would_queue(name),
            self._queues.queued(name),
            None if chosen is None else chosen.entry.id,
            tuple(_runner_view(each, fits(each.candidate), now) for each in weighed),
        )


def _runner_view(weighed: Weighed, fits: bool, now: float) -> RunnerView:
    candidate, cost = weighed.candidate, weighed.cost
    age = now - candidate.others_at
    return RunnerView(
        candidate.entry.id,
        candidate.entry.failure_domain,
        weighed.exclusion,
        fits,
        None if cost is None else round(cost.total, 1),
        {} if cost is None else {k: round(v, 1) for k, v in asdict(cost).items()},
        round(candidate.load(now), 2),
        round(age, 3) if math.isfinite(age) else None,
    )


def _parse_fields(query: bytes) -> dict[str, str] | BadQuery:
    """Return the query's fields by name."""
    try:
        text = query.decode("ascii")
        pairs = parse_qsl(text, keep_blank_values=True, errors="strict")
    except ValueError:
        return BadQuery("", "percent-encoded fields")
    fields: dict[str, str] = {}
    for name, value in pairs:
        if name not in FIELDS:
            return BadQuery(name, f"one of {', '.join(FIELDS)}")
        if name in fields:
            return BadQuery(name, "one value")
        fields[name] = value
    for name in ("host", "path"):
        if not fields.get(name):
            return BadQuery(name, "a value")
    return fields


def _parse_parts(text: str) -> tuple[Part, ...] | None:
    """Return the parts of a prompt; None if the text names none correctly."""
    if not text:
        return ()
    found = [_PART.fullmatch(entry) for entry in text.split(",")]
    parts = [Part(match[1], int(match[2])) for match in found if match is not None]
    return tuple(parts) if len(parts) == len(found) else None


def _describe(verdict: Verdict) -> str:
    match verdict:
        case Free():
            return "free"
        case Trial():
            return "on trial"
        case Quarantined():
            return "quarantined"
        case _:
            return "waiting for a trial"
