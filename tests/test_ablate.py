"""Each ablation still finds the text that it replaces."""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest

from bench.ablate import EDITS_BY_MECHANISM, switch_off

ROOT = Path(__file__).parent.parent


@pytest.mark.parametrize("mechanism", EDITS_BY_MECHANISM)
def test_a_mechanism_can_be_switched_off(mechanism: str, tmp_path: Path) -> None:
    for edit in EDITS_BY_MECHANISM[mechanism]:
        copy = tmp_path / edit.path
        copy.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(ROOT / edit.path, copy)
    switch_off(mechanism, tmp_path)
    for edit in EDITS_BY_MECHANISM[mechanism]:
        compile((tmp_path / edit.path).read_text(), edit.path, "exec")
