"""Publishes the first configuration document to the log of the simulated platform."""

from __future__ import annotations

from pathlib import Path
from uuid import uuid4

from godwitrudder import codec
from godwitrudder.version.config_records import CONFIG_STREAM, Change, Edit
from standins.platform import Platform


def publish_document(
    platform: Platform, folder: Path, file_by_section: dict[str, str]
) -> None:
    """Append all sections as one edit.

    One edit, because sections refer to each other and the references must resolve
    from the first version on.

    Parameters
    ----------
    folder : Path
        Folder of the section files.
    file_by_section : dict
        File name of each section.
    """
    changes = tuple(
        Change(section, -1, (folder / name).read_text(encoding="utf-8"))
        for section, name in file_by_section.items()
    )
    edit = Edit(uuid4().hex, "stand-in", changes)
    platform.streams_by_name[CONFIG_STREAM].append(codec.encode(edit))
