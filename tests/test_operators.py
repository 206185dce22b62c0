"""``godwitctl`` commands, as operators type them, against a running fleet."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import gevent
import pytest
from cleo.testers.application_tester import ApplicationTester

from bench.fleet import EXAMPLES, Fleet
from bench.loopback import IP
from godwitrudder.ctl.command import ExitCode
from godwitrudder.ctl.main import application
from godwitrudder.ctl.verify import broken_invariants
from godwitrudder.platform.hosts import HostEntry
from godwitrudder.version.accounts import Budget

Run = Callable[..., tuple[int, str]]


@pytest.fixture(scope="module")
def fleet() -> Iterator[Fleet]:
    """Run three daemons, one engine and no service."""
    with Fleet(3, 1, 0) as running:
        yield running


@pytest.fixture
def run(fleet: Fleet, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Run:
    """Return a function that runs a command with the key of a team."""
    settings = tmp_path / "ctl.json5"
    text = (EXAMPLES / "penghu" / "ctl.json5").read_text()
    settings.write_text(text.replace("127.0.0.1", IP))
    monkeypatch.setenv("GODWITCTL_SETTINGS", str(settings))

    def run_one(line: str, team: str = "admin") -> tuple[int, str]:
        monkeypatch.setenv("GODWITCTL_KEY", f"penghu-{team}-team-key")
        tester = ApplicationTester(application())
        code = tester.execute(line)
        return code, tester.io.fetch_output() + tester.io.fetch_error()

    return run_one


def run_json(run: Run, line: str) -> Any:
    """Run a command with ``--json`` and return its decoded output."""
    code, text = run(f"{line} --json")
    assert code == ExitCode.DONE, text
    return json.loads(text)


def test_racing_edits(run: Run, tmp_path: Path) -> None:
    """Of two edits of one version, the first is accepted and keeps its comments.

    The second is rejected with a diff from the version in force.
    """
    first, second = tmp_path / "first", tmp_path / "second"
    for path in (first, second):
        assert run(f"config edit budgets {path}")[0] == ExitCode.DONE
        # The lengths of the names give 30005 for "first" and 30006 for "second".
        path.write_text(path.read_text().replace("20000", f"3000{len(path.name)}"))
    assert "+" in run(f"config diff {first}")[1]
    code, text = run(f"config apply {first}", "budgets")
    assert code == ExitCode.DONE, text
    code, text = run(f"config apply {second}", "budgets")
    assert code == ExitCode.FAILED
    assert "was made on version 0" in text and "by budgets is in force" in text
    assert "30006" in text
    text = run("config get budgets")[1]
    assert "// A small harbour" in text and "30005" in text
    assert "edit of budgets" in run("config history")[1]


def test_an_edit_whose_answer_was_lost_is_sent_again(
    fleet: Fleet, run: Run, tmp_path: Path
) -> None:
    """The log's answers are lost; the same operation id gives one version."""
    path = tmp_path / "turns"
    run(f"config edit turns {path}")
    fleet.platform.faults.set({"lost_answers": 1.0})
    try:
        answers = [run_json(run, f"config apply --op same {path}") for _ in range(2)]
    finally:
        fleet.platform.faults.set({"lost_answers": 0.0})
    assert answers[0] == answers[1] and answers[0]["outcome"] == "accepted"


@pytest.mark.parametrize(
    ("section", "old", "new", "expected"),
    [
        ("budgets", '"endurance": 0.8', '"endurance": 8', "registry.endurance"),
        ("budgets", '"registry"', '"other"', "registry.keys[0].budget"),
        ("turns", '"unit": "tokens"', '"unit": "hours"', "rudder-llm.unit"),
    ],
)
def test_a_bad_edit_is_not_published(
    run: Run, tmp_path: Path, section: str, old: str, new: str, expected: str
) -> None:
    """The error names section and key path; no record goes to the log."""
    path = tmp_path / "file"
    run(f"config edit {section} {path}")
    path.write_text(path.read_text().replace(old, new))
    history = run_json(run, "config history")
    code, text = run(f"config apply {path}")
    assert code == ExitCode.FAILED and expected in text
    assert run_json(run, "config history") == history


def test_no_team_changes_the_section_of_another(run: Run, tmp_path: Path) -> None:
    """A team's key changes its own section only; an unknown key is denied."""
    path = tmp_path / "file"
    run(f"config edit targets {path}")
    assert run(f"config apply {path}", "budgets")[0] == ExitCode.DENIED
    assert run("target drain rudder-llm", "budgets")[0] == ExitCode.DENIED
    assert run("config status", "nobody")[0] == ExitCode.DENIED


def test_a_top_up_counts_once(run: Run) -> None:
    """The same operation id pays tokens in once."""
    before = run_json(run, "budget show patrol")["topped_up"]
    for _ in range(2):
        code, text = run("budget topup patrol 500 paid --op top-1", "budgets")
        assert code == ExitCode.DONE, text
    assert run_json(run, "budget show patrol")["topped_up"] == before + 500
    assert run("budget topup patrol -5 paid")[0] != ExitCode.DONE
    assert run("budget topup nobody 5 paid")[0] == ExitCode.FAILED


def test_a_budget_is_not_lowered_below_what_is_billed(
    fleet: Fleet, run: Run, tmp_path: Path
) -> None:
    """The error names the lowest amount that is accepted.

    The tests of the timeline and of the ledger below read this request ``r``.
    """
    ledger = fleet.daemons[0].ledger
    # 40 tokens, with a deadline (a clock reading in seconds) that never passes.
    with fleet.daemons[0].budgets.spend("r", "harbour", 40, 1e12) as spend:
        spend.tokens = 40  # type: ignore[union-attr]
    while ledger.budget("harbour").billed < 40:  # type: ignore[union-attr]
        gevent.sleep(0.01)
    path = tmp_path / "file"
    run(f"config edit budgets {path}")
    path.write_text(path.read_text().replace('"paid_tokens": 300', '"paid_tokens": 3'))
    code, text = run(f"config apply {path}")
    assert code == ExitCode.FAILED
    assert "harbour.paid_tokens: expected at least" in text


def test_every_daemon_answers(run: Run) -> None:
    """Status, targets and workspaces cover the whole fleet."""
    hosts = [status["host"] for status in run_json(run, "fleet status")["daemons"]]
    assert hosts == ["router-1", "router-2", "router-3"]
    # The command fails until all daemons have the same version.
    while run("config status")[0] != ExitCode.DONE:
        gevent.sleep(0.05)
    assert "engine-0" in run("target list")[1]
    assert run_json(run, "workspace show patrol")["targets"] == [
        "rudder-llm",
        "registry-app",
    ]
    assert run("workspace show nobody")[0] == ExitCode.FAILED


def test_a_drained_failure_domain_gets_no_new_work(fleet: Fleet, run: Run) -> None:
    """All daemons stop using its runners, and use them again after the undrain."""

    def usable() -> list[bool]:
        runners = [d.members.runners_of("rudder-llm")[0] for d in fleet.daemons]
        return [not runner.leaving for runner in runners]

    for word, wanted in (("drain", False), ("undrain", True)):
        code, text = run(f"target {word} magong --failure-domain")
        assert code == ExitCode.DONE, text
        while usable() != [wanted] * 3:
            gevent.sleep(0.05)
    assert "undrain of failure_domain magong" in run("config history")[1]


def test_the_timeline_of_all_processes(run: Run, tmp_path: Path) -> None:
    """Events of several daemons are on the page; a request's trace has its bill.

    Relies on request ``r`` of ``test_a_budget_is_not_lowered_below_what_is_billed``.
    """
    path = tmp_path / "page.html"
    code, text = run(f"timeline --html {path}")
    assert code == ExitCode.DONE, text
    assert "router-1" in path.read_text() and "router-2" in path.read_text()
    code, text = run("request trace r")
    assert code == ExitCode.DONE and "bill r 40 tokens of harbour" in text


def test_the_ledger_is_verified_from_the_log_alone(run: Run) -> None:
    """No invariant is broken; the budget history shows the top-up.

    Relies on the bill and the top-up of the tests above.
    """
    view = run_json(run, "ledger verify")
    assert view["violations"] == []
    assert sum(tally["billed"] for tally in view["partitions"]) >= 40
    history = run_json(run, "budget history patrol")
    assert [row["tokens"] for row in history if row["what"] == "top-up"] == [500]


def test_a_bounded_load_completes(run: Run, monkeypatch: pytest.MonkeyPatch) -> None:
    """Every request is counted by its outcome."""
    monkeypatch.setenv("GODWITCTL_CALLER_KEY", "penghu-registry-key")
    report = run_json(run, "load rudder-llm --requests 4")
    assert report["outcomes"] == {"completed": 4}


@pytest.mark.parametrize(
    ("budget", "invariant"),
    [
        (Budget(base=5, billed=6), "spent and granted within paid"),
        (Budget(base=9, open=4), "grants add up to what is open"),
        (Budget(base=9, billed=-1), "no amount below zero"),
    ],
)
def test_verify_names_a_broken_invariant(budget: Budget, invariant: str) -> None:
    """A budget state that no valid log produces is reported."""
    assert invariant in list(broken_invariants(budget))


def test_an_unreachable_daemon_is_named(fleet: Fleet, run: Run) -> None:
    """A daemon of the host list that does not answer is named; the exit code is 1."""
    listed = fleet.platform.hosts
    unreachable = HostEntry(
        id="router-9", role="router", address=f"{IP}:1", failure_domain="budai"
    )
    fleet.platform.set_hosts([*listed, unreachable])
    while "router-9" not in fleet.daemons[0].members.routers_by_id:
        gevent.sleep(0.05)
    for line in ("timeline", "fleet status", "config status"):
        code, text = run(line)
        assert code == ExitCode.FAILED and "router-9" in text
    fleet.platform.set_hosts(listed)
