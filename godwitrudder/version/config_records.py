"""Records of the configuration stream, encoded in CBOR.

An edit states, for each section that it changes, the version that it was made on.  All
sections of one edit change together or not at all, so a workspace and the target that
it needs can be published at once.  A snapshot is the state before an offset, in parts
that each fit in one record.  ``revisions.ConfigFold`` applies the records.
"""

from __future__ import annotations

import hashlib
from typing import Final

import msgspec

from godwitrudder import codec
from godwitrudder.version.document import DrainKey

CONFIG_STREAM: Final = "config"
FORMAT: Final = 1
# Fits, with its envelope, in one frame between daemons (``peer.MAX_FRAME_BYTES``).
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
        The section as JSON5, with comments.
    """

    section: str
    made_on: int
    text: str


class Edit(msgspec.Struct, frozen=True, array_like=True, tag="edit"):
    """Changes of sections that take effect together.

    Attributes
    ----------
    op : str
        Operation id.  The fold ignores a record whose id is among the newest
        ``revisions.MAX_VERDICTS`` verdicts.
    author : str
        Team of the operator.
    changes : tuple of Change
        At most one per section.
    format : int
        Format of the record; a record of another format is rejected as malformed.
    """

    op: str
    author: str
    changes: tuple[Change, ...]
    format: int = FORMAT


class Drain(msgspec.Struct, frozen=True, array_like=True, tag="drain"):
    """Takes a target, runner or failure domain out of service, or puts it back.

    Attributes
    ----------
    op, author : str
        As in ``Edit``.
    draining : bool
        True to take it out of service, False to put it back.
    """

    op: str
    author: str
    key: DrainKey
    draining: bool
    format: int = FORMAT


class Verdict(msgspec.Struct, frozen=True, array_like=True):
    """Decision of ``revisions.ConfigFold`` on one record, kept for the history.

    Attributes
    ----------
    op, author : str
        Operation id and author of the record.
    offset : int
        Offset of the record; if accepted, the new version of each changed section.
    time : float
        Log time of the record, in seconds since the epoch.
    made_on_by_section : dict
        Version of each section that the edit was made on; empty for a drain.
    problem : str
        Why the record is rejected; empty if accepted.
    standing_by_section : dict
        Versions of the same sections in force when the fold decided.
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
    next_offset : int
        The snapshot is the state after all records below this offset.
    digest : str
        Digest of the document; parts with the same digest belong together.
    sections : tuple of str
        Names of all parts: the sections and, last, ``history``.
    section, text : str
        Name of this part, and the section's text; no text for ``history``.
    section_version, version : int
        Versions of the section and of the document; -1 for the section version of
        ``history``.
    verdicts, drains : tuple
        Only in the part named ``history``.
    """

    next_offset: int
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
    """Return a digest of a document, 16 hex digits, the same in every process."""
    parts = [version, sorted(texts.items()), sorted(drains)]
    return hashlib.sha256(codec.encode(parts)).hexdigest()[:16]
