"""Runs every bench and writes ``bench-report.json``."""

from __future__ import annotations

import importlib
import json
import pkgutil
import sys
from pathlib import Path
from typing import Final

import bench
from bench.report import Row

REPORT: Final = Path("bench-report.json")


def main() -> int:
    """Run ``rows`` of every module named ``measure_*``.

    Returns
    -------
    int
        Exit code: 1 if a row breaks its bound.
    """
    rows: list[Row] = []
    for module in pkgutil.iter_modules(bench.__path__):
        if module.name.startswith("measure_"):
            for row in importlib.import_module(f"bench.{module.name}").rows():
                print(row.line(), flush=True)
                rows.append(row)
    REPORT.write_text(json.dumps([row.as_dict() for row in rows], indent=2) + "\n")
    return 0 if all(row.ok for row in rows) else 1


if __name__ == "__main__":
    sys.exit(main())
