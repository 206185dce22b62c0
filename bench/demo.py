"""Demo: sends requests through three daemons and checks them against the ledger."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402
from dataclasses import dataclass  # noqa: E402
from typing import Final  # noqa: E402

import gevent  # noqa: E402
from gevent.pool import Pool  # noqa: E402

from bench.callers import CallerResult, budget_totals, chat, transfer  # noqa: E402
from bench.fleet import Fleet  # noqa: E402

# Each of these workspaces has a budget of the same name.
WORKSPACES: Final = ("registry", "patrol", "harbour")
CHAT_COUNT: Final = 24
CONCURRENT_CALLERS: Final = 6


@dataclass(frozen=True, slots=True)
class Row:
    """One request and its result as the caller saw it."""

    label: str
    runner: str
    result: CallerResult

    def __str__(self) -> str:
        """Return the row as a line of the table."""
        mark = "" if self.result.is_correct else "  WRONG ANSWER"
        return (
            f"{self.label:18}{self.result.workspace:12}{self.result.router:12}"
            f"{self.runner:14}{self.result.code:22}{self.result.tokens:7}{mark}"
        )


def main() -> int:
    """Run the demo and check its results.

    Returns
    -------
    int
        Exit code: 1 if an answer is wrong, the transfer did not run exactly once, or
        the ledger disagrees with the callers; else 0.
    """
    print("3 daemons, 3 engines, 2 services; progress:", end=" ", flush=True)
    with Fleet() as fleet:
        rows = Pool(CONCURRENT_CALLERS).map(
            lambda number: _send_chat(fleet, number), range(CHAT_COUNT)
        )
        rows += _transfer_twice(fleet)
        # After a drain, all requests are billed in the log.
        for daemon in fleet.daemons:
            daemon.drain(grace_seconds=0.0)
        return _report(rows, fleet)


def _send_chat(fleet: Fleet, number: int) -> Row:
    workspace = WORKSPACES[number % 3]
    stream = number % 2 == 0
    prompt = f"Draft a gear loss claim for pot {number}"
    result = chat(fleet, (number // 3) % 3, workspace, prompt, stream)
    print(".", end="", flush=True)
    name = f"chat {number:2d}" + (" stream" if stream else "")
    return Row(name, _runner_of(fleet, prompt), result)


def _runner_of(fleet: Fleet, prompt: str) -> str:
    for number, engine in enumerate(fleet.engines):
        if any(s.prompt == prompt for s in engine.streams_by_attempt.values()):
            return f"engine-{number}"
    return "-"


def _transfer_twice(fleet: Fleet) -> list[Row]:
    """Send one non-idempotent call through two daemons at the same time."""
    calls = [
        gevent.spawn(transfer, fleet, router, "registry", "transfer-7")
        for router in range(2)
    ]
    gevent.joinall(calls)
    ran = sum(sum(s.runs_by_request.values()) for s in fleet.services)
    return [Row(f"transfer, ran {ran}x", "service", call.value) for call in calls]


def _report(rows: list[Row], fleet: Fleet) -> int:
    headings = ("request", "workspace", "router", "runner", "outcome", "tokens")
    print("\n{:18}{:12}{:12}{:14}{:22}{:>7}".format(*headings))
    for row in rows:
        print(row)
    ran = sum(sum(s.runs_by_request.values()) for s in fleet.services)
    agreed = all(row.result.is_correct for row in rows) and ran == 1
    folds = fleet.refold()
    print(f"\n{'workspace':12}{'paid':>8}{'spent':>8}{'open':>8}")
    for name in WORKSPACES:
        paid, spent, still_open = budget_totals(folds, name)
        agreed = agreed and spent == _received_tokens(rows, name) <= paid
        print(f"{name:12}{paid:8}{spent:8}{still_open:8}")
    print(
        "the ledger agrees"
        if agreed
        else "CHECK FAILED: wrong answer, transfer not run once, or ledger disagrees"
    )
    return 0 if agreed else 1


def _received_tokens(rows: list[Row], workspace: str) -> int:
    """Return the tokens that callers saw; a replayed transfer is billed once."""
    chats = sum(
        row.result.tokens
        for row in rows
        if row.result.workspace == workspace and row.label.startswith("chat")
    )
    transfers = [
        row.result.tokens
        for row in rows
        if row.result.workspace == workspace and row.label.startswith("transfer")
    ]
    return chats + max(transfers, default=0)


if __name__ == "__main__":
    sys.exit(main())
