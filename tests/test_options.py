"""Options of the operator: an error names the field, and defaults change nothing."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from godwitrudder.connection.messages import ResponseHead
from godwitrudder.options import Options, Queueing, parse_options
from godwitrudder.platform import headers, settings
from godwitrudder.validation import Problem


def test_without_a_text_the_defaults_hold() -> None:
    assert parse_options("V", " ") == Options(Queueing.AUTO, 150.0, 0.0)
    text = '{queueing: "on", second_attempt_share: 0.05} // of all requests'
    assert parse_options("V", text) == Options(Queueing.ON, 150.0, 0.05)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ('{queueing: "yes"}', "V: queueing: "),
        ("{domain_tokens: -1}", "V: domain_tokens: expected `float` >= 0"),
        ("{second_attempt_share: 0.3}", "V: second_attempt_share: expected `float`"),
        ("{hedging: 1}", "V: hedging: expected a known key"),
        ("{", "V: (whole file): expected commented JSON"),
    ],
)
def test_a_bad_option_is_named(text: str, expected: str) -> None:
    """A process that ignored a bad limit would do more work than its operator set."""
    problem = parse_options("V", text)
    assert isinstance(problem, Problem)
    assert str(problem).startswith(expected)


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"3,1", headers.Load(3, 1)),
        (b"3,0,24", headers.Load(3, 0, 24)),
        (b"3, 0, 24, 250", headers.Load(3, 0, 24, 250.0)),
        (b"3,0,24,nan", "3,0,24,nan"),
        (b"3,0,24,0", "3,0,24,0"),
        (b"3", "3"),
    ],
)
def test_load_with_and_without_the_time_of_work(
    value: bytes, expected: headers.Load | str
) -> None:
    """Runners of some targets state a fourth figure; a bad one voids the report."""
    head = ResponseHead(200, [(b"x-godwitrudder-server-load", value)])
    assert headers.load(head) == expected


@pytest.mark.parametrize(
    ("contracts", "text", "expected"),
    [
        ([], "", Queueing.AUTO),
        (["pressure"], "", Queueing.ON),
        (["pressure"], '{queueing: "off"}', Queueing.OFF),
    ],
)
def test_requests_queue_where_the_settings_name_competition(
    tmp_path: Path, contracts: list[str], text: str, expected: Queueing
) -> None:
    """Deployments that name none are served as before; the operator goes first."""
    path = tmp_path / "settings.json"
    listen = {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"}
    store = {"address": "127.0.0.1:3"}
    model = {"node": "n", "zone": "z", "listen": listen, "platform": store}
    path.write_text(json.dumps({**model, "contracts": contracts}))
    options = parse_options("V", text)
    assert isinstance(options, Options)
    loaded = settings.load(path, options)
    assert isinstance(loaded, settings.EntrySettings)
    assert loaded.options.queueing is expected
