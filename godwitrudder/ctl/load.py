"""``load``: send a given number of requests through the fleet."""

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
from godwitrudder.ctl.command import BaseCommand, ExitCode
from godwitrudder.ctl.settings import CtlSettings
from godwitrudder.validation import Address

MAX_REQUESTS: Final = 100_000
MAX_CONCURRENCY: Final = 256
ANSWER_TIMEOUT_SECONDS: Final = 120.0
KEY_VARIABLE: Final = "GODWITCTL_CALLER_KEY"


@dataclass(slots=True)
class LoadReport:
    """Results of the requests as their callers see them.

    Attributes
    ----------
    outcomes : Counter of str
        Requests by outcome: ``completed``, an error code or an exception type.
    tokens : int
        Total of the completed requests.
    seconds : list of float
        Answer time of each request.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    tokens: int = 0
    seconds: list[float] = field(default_factory=list)

    def percentile(self, fraction: float) -> float:
        """Return the answer time, in seconds, within which a fraction finished."""
        ordered = sorted(self.seconds)
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


class Load(BaseCommand):
    """Send requests to a model, to the caller addresses of the settings in turn."""

    name = "load"
    description = "Send a given number of requests and print their outcomes."
    arguments: ClassVar[list[Argument]] = [argument("model", "Target to use.")]
    own_options: ClassVar[list[Option]] = [
        option("requests", None, "Number of requests.", flag=False, default="20"),
        option("at-once", None, "Most requests at once.", flag=False, default="4"),
        option(
            "max-tokens", None, "Most tokens of an answer.", flag=False, default="32"
        ),
    ]

    def run_command(self, settings: CtlSettings, client: OperatorClient) -> ExitCode:
        """Send the requests; ``FAILED`` if one does not complete."""
        numbers = [self._count_option("requests", MAX_REQUESTS)]
        numbers += [self._count_option("at-once", MAX_CONCURRENCY)]
        numbers += [self._count_option("max-tokens", MAX_REQUESTS)]
        key = os.environ.get(KEY_VARIABLE, "")
        if 0 in numbers or not key or not settings.callers:
            self.print_error(
                f"expected callers in the settings, a caller's key in"
                f" {KEY_VARIABLE}, 1 to {MAX_REQUESTS} requests,"
                f" 1 to {MAX_CONCURRENCY} at once"
            )
            return ExitCode.USAGE
        report = self._send_all(settings, key, *numbers)
        self._print(report)
        completed = report.outcomes["completed"]
        return ExitCode.DONE if completed == numbers[0] else ExitCode.FAILED

    def _count_option(self, name: str, maximum: int) -> int:
        text = self.option(name)
        return int(text) if text.isdecimal() and int(text) <= maximum else 0

    def _send_all(
        self,
        settings: CtlSettings,
        key: str,
        count: int,
        concurrency: int,
        max_tokens: int,
    ) -> LoadReport:
        report = LoadReport()
        model = self.argument("model")
        bar = self.progress_bar(count)

        def send(number: int) -> None:
            address = settings.callers[number % len(settings.callers)]
            start = time.monotonic()
            outcome, tokens = send_request(address, key, model, number, max_tokens)
            report.seconds.append(time.monotonic() - start)
            report.outcomes[outcome] += 1
            report.tokens += tokens
            if not self.json_output:
                bar.advance()

        Pool(concurrency).map(send, range(count))
        return report

    def _print(self, report: LoadReport) -> None:
        p50, p95 = report.percentile(0.5), report.percentile(0.95)
        if self.json_output:
            view = {"outcomes": dict(report.outcomes), "tokens": report.tokens}
            self.print_json({**view, "p50_seconds": p50, "p95_seconds": p95})
            return
        self.line("")
        self.print_table(["outcome", "requests"], sorted(report.outcomes.items()))
        self.line(f"{report.tokens} tokens, p50 {p50:.3f} s, p95 {p95:.3f} s")


def send_request(
    address: Address, key: str, model: str, number: int, max_tokens: int
) -> tuple[str, int]:
    """Send one request.

    Parameters
    ----------
    key : str
        API key of the caller.
    number : int
        Number of the request, written into the prompt.

    Returns
    -------
    outcome : str
        ``completed``, an error code or the name of an exception type.
    tokens : int
        Tokens used; 0 if the request did not complete.
    """
    body = {
        "model": model,
        "messages": [{"role": "user", "content": f"load {number}"}],
        "max_tokens": max_tokens,
    }
    headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
    client = HTTPClient(
        address.ip, address.port, network_timeout=ANSWER_TIMEOUT_SECONDS
    )
    try:
        response = client.post("/v1/chat/completions", json.dumps(body), headers)
        answer = json.loads(bytes(response.read()))
    except Exception as error:  # HTTPClient raises many unrelated types
        return type(error).__name__, 0
    finally:
        client.close()
    if response.status_code != 200:
        return str(answer.get("error", {}).get("code", response.status_code)), 0
    return "completed", int(answer["usage"]["total_tokens"])


COMMANDS: Final = (Load,)
