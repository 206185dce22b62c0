"""The demo: real requests through three daemons, checked against the ledger."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import sys  # noqa: E402
from collections import Counter  # noqa: E402
from dataclasses import dataclass  # noqa: E402
from typing import Any, Final  # noqa: E402

import gevent  # noqa: E402
from gevent.pool import Pool  # noqa: E402

from bench.fleet import Fleet, post  # noqa: E402
from godwitrudder.process.ledger import stream_of  # noqa: E402
from godwitrudder.version.fold import LedgerFold  # noqa: E402
from standins.batch import answer_length, word  # noqa: E402

BUDGETS: Final = ("registry", "patrol", "harbour")
MAX_TOKENS: Final = 64


@dataclass(frozen=True, slots=True)
class Row:
    """What one caller saw."""

    request: str
    workspace: str
    router: str
    outcome: str
    tokens: int
    right: bool


def main() -> int:
    """Run the demo; exit code 1 if the ledger disagrees with the callers."""
    with Fleet() as fleet:
        print("3 daemons, 3 engines, 2 services on 127.0.0.1")
        pool = Pool(6)
        rows = pool.map(lambda number: _ask(fleet, number), range(24))
        rows.append(_transfer(fleet))
        for daemon in fleet.daemons:
            daemon.drain(grace_seconds=0.0)
        gevent.sleep(0.2)
        return _report(rows, fleet)


def _ask(fleet: Fleet, number: int) -> Row:
    workspace = BUDGETS[number % 3]
    daemon = fleet.daemons[(number // 3) % 3]
    prompt = f"Draft a gear loss claim for pot {number}"
    body = {
        "model": "rudder-llm",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": MAX_TOKENS,
        "stream": number % 2 == 0,
        "stream_options": {"include_usage": True},
    }
    status, data = post(
        daemon.settings.caller,
        "/v1/chat/completions",
        f"penghu-{workspace}-key",
        body,
    )
    name = f"chat {number:2d}" + (" stream" if body["stream"] else "")
    if status != 200:
        code = json.loads(data)["error"]["code"]
        return Row(name, workspace, daemon.settings.host, code, 0, True)
    text, tokens = _streamed(data) if body["stream"] else _whole(data)
    wanted = "".join(word(prompt, i) for i in range(answer_length(prompt, MAX_TOKENS)))
    return Row(
        name, workspace, daemon.settings.host, "completed", tokens, text == wanted
    )


def _streamed(data: bytes) -> tuple[str, int]:
    text, tokens = "", 0
    for line in data.decode().splitlines():
        if not line.startswith("data: {"):
            continue
        event: dict[str, Any] = json.loads(line[6:])
        for choice in event["choices"]:
            text += choice["delta"].get("content", "")
        tokens = event.get("usage", {}).get("total_tokens", tokens)
    return text, tokens


def _whole(data: bytes) -> tuple[str, int]:
    body = json.loads(data)
    text = body["choices"][0]["message"]["content"]
    return text, body["usage"]["total_tokens"]


def _transfer(fleet: Fleet) -> Row:
    """Send one non-idempotent call through two daemons at once."""
    headers = {"Idempotency-Key": "transfer-7"}
    body = {"tag": "TW-0417", "to": "boat 12"}
    calls = [
        gevent.spawn(
            post,
            daemon.settings.caller,
            "/services/registry-app/transfers",
            "penghu-registry-key",
            body,
            headers,
        )
        for daemon in fleet.daemons[:2]
    ]
    gevent.joinall(calls)
    runs: Counter[str] = Counter()
    for service in fleet.services:
        runs.update(service.runs_by_request)
    done = any(call.value[0] == 200 for call in calls)
    return Row(
        "transfer x2",
        "registry",
        "router-1+2",
        "completed" if done else "failed",
        5 if done else 0,
        sum(runs.values()) == 1 and done,
    )


def _report(rows: list[Row], fleet: Fleet) -> int:
    print(f"{'request':16}{'workspace':12}{'router':12}{'outcome':22}{'tokens':>7}")
    for row in rows:
        mark = "" if row.right else "  WRONG ANSWER"
        print(
            f"{row.request:16}{row.workspace:12}{row.router:12}"
            f"{row.outcome:22}{row.tokens:7}{mark}"
        )
    folds = [_refold(fleet, partition) for partition in range(4)]
    agreed = all(row.right for row in rows)
    print(f"\n{'workspace':12}{'paid':>8}{'spent':>8}{'open':>8}")
    for name in BUDGETS:
        budget = next(f.budgets_by_id[name] for f in folds if name in f.budgets_by_id)
        seen = sum(row.tokens for row in rows if row.workspace == name)
        agreed = agreed and budget.billed == seen <= budget.paid
        print(f"{name:12}{budget.paid:8}{budget.billed:8}{budget.open:8}")
    print("the ledger agrees" if agreed else "THE LEDGER DISAGREES")
    return 0 if agreed else 1


def _refold(fleet: Fleet, partition: int) -> LedgerFold:
    """Fold a partition anew from the log's own records."""
    fold = LedgerFold()
    records = fleet.platform.streams_by_name[stream_of(partition)].records
    for record in records:
        fold.apply(record.offset, record.time, record.data)
    return fold


if __name__ == "__main__":
    sys.exit(main())
