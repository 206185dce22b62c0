"""Decisions on evacuations, homes and cold runners, without a network."""

from __future__ import annotations

import json
import math
from pathlib import Path

import pytest

from godwitrudder.codec import Malformed
from godwitrudder.connection.messages import ResponseHead
from godwitrudder.options import Options
from godwitrudder.platform import documents, headers, settings
from godwitrudder.request.places.cold_evidence import ColdEvidence
from godwitrudder.request.places.cold_slots import ColdSlots
from godwitrudder.request.places.constraints import Bound, Constraints, Exclusion
from godwitrudder.request.places.evacuations import Evacuations
from godwitrudder.request.places.regions import Regions
from godwitrudder.request.placing.candidate import Candidate
from godwitrudder.validation import Address, Problem
from godwitrudder.version.catalogue import ListedRunner, Target

TARGET = Target("s", 100, None, cold_start_seconds=10.0, cold_per_second=4.0)
REGIONS = Regions({"a": "east", "b": "west"})
NOW = 1000.0


def runner(name: str, domain: str) -> Candidate:
    entry = ListedRunner(name, "s", Address("127.0.0.1", 80), domain, False, 4)
    return Candidate(entry)


def constraints(evacuations: Evacuations | None = None) -> Constraints:
    return Constraints(
        evacuations or Evacuations(), REGIONS, ColdSlots("h"), Bound(1.5, 5.0), 0.0
    )


def test_a_request_with_homes_goes_only_to_runners_whose_region_is_known() -> None:
    group = [runner("i-a", "a"), runner("i-b", "b"), runner("i-c", "c")]
    east, west = frozenset({"east"}), frozenset({"west"})
    for homes, expected in (
        ((), ["i-a", "i-b", "i-c"]),
        ((frozenset[str](), frozenset[str]()), ["i-a", "i-b", "i-c"]),
        ((east, frozenset[str]()), ["i-a"]),
        ((east | west, west), ["i-b"]),
        ((east, west), []),
    ):
        found = constraints().select(group, TARGET, homes, ("h",), NOW)
        assert [each.entry.id for each in found.usable] == expected
        assert found.exclusions[Exclusion.OUTSIDE_HOMES] == 3 - len(expected)


def test_an_evacuation_excludes_its_runners_and_leaves_them_cold_after_its_end() -> (
    None
):
    evacuations = Evacuations()
    rules, group = constraints(evacuations), [runner("i-a", "a"), runner("i-b", "b")]
    assert evacuations.begin("a")
    assert not evacuations.begin("a")
    found = rules.select(group, TARGET, (), ("h",), NOW)
    assert [each.entry.id for each in found.usable] == ["i-b"]
    assert evacuations.missing_from({"b"}) == ["a"]
    assert evacuations.end("a", NOW)
    assert not evacuations.end("a", NOW + 5.0)
    assert rules.cold_until(group[0], TARGET) == NOW + 10.0
    assert rules.cold_until(group[1], TARGET) == -math.inf


def test_a_cold_runner_gets_a_request_only_in_a_slot() -> None:
    rules, cold, warm = constraints(), runner("i-a", "a"), runner("i-b", "b")
    cold.cold.note_record(5.0, NOW)
    found = rules.select([cold, warm], TARGET, (), None, NOW)
    assert (found.usable, found.cold) == ([warm], [cold])
    slots = 0
    for step in range(100):
        now = NOW + step / 20
        found = rules.select([cold], TARGET, (), ("h",), now)
        if found.usable:
            rules.take(found.slots_by_runner["i-a"])
            slots += 1
    assert 10 <= slots <= 22  # 4 per second bring at most 11 in 3.75 s
    assert rules.select([cold], TARGET, (), None, NOW + 5.0).usable == [cold]
    never = Target("s", 100, None, cold_start_seconds=10.0)
    assert rules.select([cold], never, (), None, NOW).usable == [cold]


def test_the_later_of_all_evidence_counts() -> None:
    evidence = ColdEvidence()
    evidence.note_answer(3.0, NOW)
    evidence.note_record(1.0, NOW)
    assert evidence.cold_until(10.0, -math.inf) == NOW + 3.0
    evidence.note_restart(NOW)
    assert evidence.cold_until(10.0, -math.inf) == NOW + 10.0
    assert evidence.cold_until(10.0, NOW + 1.0) == NOW + 11.0


@pytest.mark.parametrize(
    ("value", "seconds"), [("2500", 2.5), ("-1", 0.0), ("null", 0.0)]
)
def test_the_remaining_cold_time_of_a_record(value: str, seconds: float) -> None:
    text = f"""{{"service":"s","address":"127.0.0.1:80","state":"ready",
        "cold_remaining_ms":{value}}}"""
    entry = documents.entry("i-1", text.encode())
    assert not isinstance(entry, Malformed)
    assert entry.cold_seconds == seconds


def test_fields_of_the_configuration() -> None:
    text = b"""{"version": 1, "routes": [{"name": "r", "host": "h", "path_prefix": "/",
        "kind": "safe", "timeout_ms": 9, "service": "s", "allowed_regions": ["east"]}],
        "services": [{"name": "s", "cold_start_s": 8, "cold_per_s": 2.5}],
        "tenants": [{"name": "w", "api_keys": ["k"], "allowed_regions": ["west"]}]}"""
    catalogue = documents.catalogue(text)
    assert not isinstance(catalogue, Malformed)
    route = catalogue.route("h", "/")
    assert route is not None
    assert route.homes == {"east"}
    assert catalogue.workspaces_by_key["k"].homes == {"west"}
    target = catalogue.targets_by_name["s"]
    assert (target.cold_start_seconds, target.cold_per_second) == (8.0, 2.5)


def test_fields_of_the_settings(tmp_path: Path) -> None:
    path = tmp_path / "settings.json"
    fields = {
        "node": "front-1",
        "zone": "a",
        "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
        "platform": {"address": "127.0.0.1:3"},
    }
    path.write_text(json.dumps(fields))
    plain = settings.load(path, Options())
    assert not isinstance(plain, Problem)
    assert plain.region_by_failure_domain == {}
    assert (plain.cold_over, plain.cold_slack) == (1.5, 5.0)
    assert plain.evacuation_seconds == 5.0
    bounds = {"cold_over": 2, "cold_slack": 1, "evac_ms": 3000}
    more = {"region": "east", "zones": {"b": "west"}, "bounds": bounds}
    path.write_text(json.dumps(fields | more))
    found = settings.load(path, Options())
    assert not isinstance(found, Problem)
    assert found.region_by_failure_domain == {"a": "east", "b": "west"}
    assert (found.cold_over, found.cold_slack) == (2.0, 1.0)
    assert found.evacuation_seconds == 3.0


@pytest.mark.parametrize(
    ("value", "expected"),
    [(b"1500", 1.5), (b"-2", 0.0), (b"", None), (b"soon", "soon"), (b"nan", "nan")],
)
def test_the_cold_time_of_an_answer(value: bytes, expected: float | str | None) -> None:
    fields = [(b"x-godwitrudder-cold-ms", value)] if value else []
    assert headers.cold_seconds(ResponseHead(200, fields)) == expected
