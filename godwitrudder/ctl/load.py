"""``load``: a bounded number of requests through the fleet, by hand."""

from __future__ import annotations

import json
import os
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import ClassVar, Final

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from gevent.pool import Pool
from geventhttpclient import HTTPClient

from godwitrudder.ctl.client import OperatorClient
from godwitrudder.ctl.command import Exit, FleetCommand
from godwitrudder.ctl.settings import CtlSettings
from godwitrudder.sections import Address

MAX_REQUESTS: Final = 100_000
MAX_AT_ONCE: Final = 256
ANSWER_SECONDS: Final = 120.0
KEY_ENVIRONMENT: Final = "GODWITCTL_CALLER_KEY"


@dataclass(slots=True)
class Report:
    """What callers saw; times in seconds."""

    outcomes: Counter[str] = field(default_factory=Counter)
    tokens: int = 0
    seconds: list[float] = field(default_factory=list)

    def percentile(self, share: float) -> float:
        """Return the answer time that a share of the requests kept."""
        ordered = sorted(self.seconds)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class Load(FleetCommand):
    """Send requests to a model through all callers' addresses in turn."""

    name = "load"
    description = "Send a bounded number of requests and say what became of them."
    arguments: ClassVar[list[Argument]] = [argument("model", "Target to ask.")]
    own_options: ClassVar[list[Option]] = [
        option("requests", None, "How many.", flag=False, default="20"),
        option("at-once", None, "How many at once.", flag=False, default="4"),
        option("max-tokens", None, "Longest answer.", flag=False, default="32"),
    ]

    def act(self, settings: CtlSettings, client: OperatorClient) -> Exit:
        """Send them; rejected if one did not complete."""
        numbers = [self._number("requests", MAX_REQUESTS)]
        numbers += [self._number("at-once", MAX_AT_ONCE)]
        numbers += [self._number("max-tokens", MAX_REQUESTS)]
        key = os.environ.get(KEY_ENVIRONMENT, "")
        if 0 in numbers or not key or not settings.callers:
            self.fail(
                f"expected callers in the settings, a caller's key in"
                f" {KEY_ENVIRONMENT}, 1 to {MAX_REQUESTS} requests,"
                f" 1 to {MAX_AT_ONCE} at once"
            )
            return Exit.USAGE
        report = self._send_all(settings, key, *numbers)
        self._print(report)
        completed = report.outcomes["completed"]
        return Exit.DONE if completed == numbers[0] else Exit.REJECTED

    def _number(self, name: str, most: int) -> int:
        text = self.option(name)
        return int(text) if text.isdecimal() and int(text) <= most else 0

    def _send_all(
        self, settings: CtlSettings, key: str, count: int, at_once: int, most: int
    ) -> Report:
        report = Report()
        model = self.argument("model")
        bar = self.progress_bar(count)

        def send(number: int) -> None:
            address = settings.callers[number % len(settings.callers)]
            start = time.monotonic()
            outcome, tokens = ask(address, key, model, number, most)
            report.seconds.append(time.monotonic() - start)
            report.outcomes[outcome] += 1
            report.tokens += tokens
            if not self.for_scripts:
                bar.advance()

        Pool(at_once).map(send, range(count))
        return report

    def _print(self, report: Report) -> None:
        p50, p95 = report.percentile(0.5), report.percentile(0.95)
        if self.for_scripts:
            view = {"outcomes": dict(report.outcomes), "tokens": report.tokens}
            self.print_json({**view, "p50_seconds": p50, "p95_seconds": p95})
            return
        self.line("")
        self.print_table(["outcome", "requests"], sorted(report.outcomes.items()))
        self.line(f"{report.tokens} tokens, p50 {p50:.3f} s, p95 {p95:.3f} s")


def ask(
    address: Address, key: str, model: str, number: int, most: int
) -> tuple[str, int]:
    """Send one request; return its outcome and its tokens."""
    body = {
        "model": model,
        "messages": [{"role": "user", "content": f"load {number}"}],
        "max_tokens": most,
    }
    headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
    client = HTTPClient(address.ip, address.port, network_timeout=ANSWER_SECONDS)
    try:
        response = client.post("/v1/chat/completions", json.dumps(body), headers)
        answer = json.loads(bytes(response.read()))
    except Exception as error:  # the client raises many unrelated types
        return type(error).__name__, 0
    finally:
        client.close()
    if response.status_code != 200:
        return str(answer.get("error", {}).get("code", response.status_code)), 0
    return "completed", int(answer["usage"]["total_tokens"])


COMMANDS: Final = (Load,)
