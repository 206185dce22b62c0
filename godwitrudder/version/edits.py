"""Records of the configuration stream, encoded in CBOR.

An edit states, for each section that it changes, the version that it was made on.  All
sections of one edit change together or not at all, so a workspace and the target that
it needs can be published at once.  A snapshot is the state before an offset, in parts
that each fit in one record.
"""

from __future__ import annotations

import hashlib
from typing import Final

import msgspec

from godwitrudder import codec
from godwitrudder.version.document import DrainKey

CONFIG_STREAM: Final = "config"
FORMAT: Final = 1
MAX_RECORD_BYTES: Final = 900_000


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A new text for one section.

    Attributes
    ----------
    section : str
        Name of the section.
    made_on : int
        Version of the section that the change was made on; -1 for none.
    text : str
        Commented JSON.
    """

    section: str
    made_on: int
    text: str


class Edit(msgspec.Struct, frozen=True, array_like=True, tag="edit"):
    """Changes of sections that take effect together.

    Attributes
    ----------
    op : str
        Operation id; a record with a repeated id is void.
    author : str
        Team of the operator.
    changes : tuple of Change
        At most one per section.
    format : int
        Format of the record; a fold voids a record of an unknown format.
    """

    op: str
    author: str
    changes: tuple[Change, ...]
    format: int = FORMAT


class Drain(msgspec.Struct, frozen=True, array_like=True, tag="drain"):
    """Takes a target, runner or failure domain out of service, or puts it back."""

    op: str
    author: str
    key: DrainKey
    draining: bool
    format: int = FORMAT


class Verdict(msgspec.Struct, frozen=True, array_like=True):
    """The fold's decision on one record, kept for the history.

    Attributes
    ----------
    op, author : str
        Operation id and author of the record.
    offset : int
        Offset of the record; if accepted, the new version of each changed section.
    time : float
        Log time of the record, in seconds since the epoch.
    made_on_by_section : dict
        Versions that the edit was made on.
    problem : str
        Why the record is void; empty if accepted.
    standing_by_section : dict
        Versions in force when the fold decided.
    what : str
        Description of the record for an operator.
    """

    op: str
    author: str
    offset: int
    time: float
    made_on_by_section: dict[str, int]
    problem: str
    standing_by_section: dict[str, int]
    what: str

    @property
    def accepted(self) -> bool:
        """Whether the record took effect."""
        return not self.problem


class SnapshotPart(msgspec.Struct, frozen=True, array_like=True, tag="snapshot"):
    """One part of a snapshot: a section, or the history.

    Attributes
    ----------
    covers : int
        The snapshot is the state after all records below this offset.
    digest : str
        Digest of the whole state; parts with the same digest belong together.
    sections : tuple of str
        Names of all parts: the sections and, last, ``history``.
    section, text : str
        Name and text of this part.
    section_version, version : int
        Versions of the section and of the document.
    verdicts, drains : tuple
        Only in the part named ``history``.
    """

    covers: int
    digest: str
    sections: tuple[str, ...]
    section: str
    version: int
    section_version: int = -1
    text: str = ""
    verdicts: tuple[Verdict, ...] = ()
    drains: tuple[DrainKey, ...] = ()
    format: int = FORMAT


ConfigRecord = Edit | Drain | SnapshotPart


def decode(data: bytes) -> ConfigRecord | codec.Malformed:
    """Decode one record; a record of an unknown format is malformed."""
    record: ConfigRecord | codec.Malformed = codec.decode(data, ConfigRecord)
    if not isinstance(record, codec.Malformed) and record.format != FORMAT:
        return codec.Malformed(f"format {record.format} is not {FORMAT}")
    return record


def digest_of(version: int, texts: dict[str, str], drains: list[DrainKey]) -> str:
    """Return a short digest of a document, the same in every process."""
    parts = [version, sorted(texts.items()), sorted(drains)]
    return hashlib.sha256(codec.encode(parts)).hexdigest()[:16]
