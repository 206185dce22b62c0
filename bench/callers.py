"""Callers of the example fleet: they send requests and record the results."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any, Final

from geventhttpclient import HTTPClient

from bench.fleet import Fleet
from godwitrudder.validation import Address
from godwitrudder.version.fold import LedgerFold
from standins.batch import answer_length, token_text

MAX_TOKENS: Final = 64
TIMEOUT_SECONDS: Final = 60.0


@dataclass(frozen=True, slots=True)
class CallerResult:
    """Result of one request as its caller saw it.

    Attributes
    ----------
    router : str
        Host of the daemon that was asked.
    status : int
        HTTP status.
    code : str
        ``completed``, ``cut`` for an answer without usage, or the error's code.
    ran : str
        ``ran``, or what the error says about whether the request ran.
    tokens : int
        Tokens of the request by the answer's usage; 0 if refused or cut.
    is_correct : bool
        Whether a completed answer is complete and belongs to this caller's prompt.
    """

    workspace: str
    router: str
    status: int
    code: str
    ran: str
    tokens: int
    is_correct: bool


def api_key(workspace: str) -> str:
    """Return the API key of an example workspace."""
    return f"penghu-{workspace}-key"


def post(
    address: Address,
    path: str,
    key: str,
    body: Any,
    headers: dict[str, str] | None = None,
) -> tuple[int, bytes]:
    """Send a POST request with a JSON body; return status and body."""
    client = HTTPClient(address.ip, address.port, network_timeout=TIMEOUT_SECONDS)
    all_headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
    all_headers.update(headers or {})
    response = client.post(path, json.dumps(body), all_headers)
    data = bytes(response.read())
    client.close()
    return response.status_code, data


def chat(
    fleet: Fleet,
    router: int,
    workspace: str,
    prompt: str,
    stream: bool = False,
    headers: dict[str, str] | None = None,
) -> CallerResult:
    """Send a chat request to the example's model through one daemon."""
    settings = fleet.daemons[router].settings
    body = {
        "model": "rudder-llm",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": MAX_TOKENS,
        "stream": stream,
        "stream_options": {"include_usage": True},
    }
    status, data = post(
        settings.caller, "/v1/chat/completions", api_key(workspace), body, headers
    )
    if status != 200:
        return _refused_result(workspace, settings.host, status, data)
    text, tokens = _parse_stream(data) if stream else _parse_body(data)
    is_correct = text == expected_answer(prompt)
    if not tokens:
        return CallerResult(
            workspace, settings.host, status, "cut", "ran", 0, is_correct
        )
    return CallerResult(
        workspace, settings.host, status, "completed", "ran", tokens, is_correct
    )


def transfer(fleet: Fleet, router: int, workspace: str, key: str) -> CallerResult:
    """Send a tag transfer, a call that may not be repeated."""
    settings = fleet.daemons[router].settings
    status, data = post(
        settings.caller,
        "/services/registry-app/transfers",
        api_key(workspace),
        {"tag": "TW-0417", "to": "boat 12"},
        {"Idempotency-Key": key},
    )
    if status != 200:
        return _refused_result(workspace, settings.host, status, data)
    return CallerResult(workspace, settings.host, status, "completed", "ran", 5, True)


def expected_answer(prompt: str) -> str:
    """Return the text that the stand-in engine generates for a prompt."""
    length = answer_length(prompt, MAX_TOKENS)
    return "".join(token_text(prompt, index) for index in range(length))


def budget_totals(folds: list[LedgerFold], budget: str) -> tuple[int, int, int]:
    """Return the paid, billed and open tokens of a budget."""
    state = next(f.budgets_by_id[budget] for f in folds if budget in f.budgets_by_id)
    return state.paid, state.billed, state.open


def _refused_result(
    workspace: str, router: str, status: int, data: bytes
) -> CallerResult:
    error = json.loads(data)["error"]
    return CallerResult(workspace, router, status, error["code"], error["ran"], 0, True)


def _parse_stream(data: bytes) -> tuple[str, int]:
    text, tokens = "", 0
    for line in data.decode().splitlines():
        if not line.startswith("data: {"):
            continue
        event: dict[str, Any] = json.loads(line[6:])
        for choice in event.get("choices", []):
            text += choice["delta"].get("content", "")
        tokens = event.get("usage", {}).get("total_tokens", tokens)
    return text, tokens


def _parse_body(data: bytes) -> tuple[str, int]:
    body = json.loads(data)
    text = body["choices"][0]["message"]["content"]
    return text, body["usage"]["total_tokens"]
