"""The example alert rules and dashboard use only metrics that exist."""

from __future__ import annotations

import re

import pytest

from bench.fleet import EXAMPLES
from godwitrudder.process.metrics import Metrics

_NAME = re.compile(r"godwitrudder_[a-z_]+")
_HELP = re.compile(r"# TYPE (\S+) \w+")


@pytest.mark.parametrize("file", ["alerts.yml", "dashboard.json"])
def test_every_named_counter_exists(file: str) -> None:
    """Guards against a renamed metric, which would leave a rule that never fires."""
    known = set(_HELP.findall(Metrics().render().decode()))
    known |= {f"{name}_bucket" for name in known}
    named = set(_NAME.findall((EXAMPLES / "monitoring" / file).read_text()))
    assert named and named <= known
