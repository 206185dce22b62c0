"""Publishes the first configuration document on the stand-in's log."""

from __future__ import annotations

from pathlib import Path
from uuid import uuid4

from godwitrudder import codec
from godwitrudder.version.document import STREAM, Edit
from standins.platform import Platform


def publish(platform: Platform, folder: Path, file_by_section: dict[str, str]) -> None:
    """Append one edit per section, in the order of the settings."""
    for section, name in file_by_section.items():
        text = (folder / name).read_text(encoding="utf-8")
        edit = Edit(uuid4().hex, section, -1, text, "stand-in")
        platform.streams_by_name[STREAM].append(codec.encode(edit))
