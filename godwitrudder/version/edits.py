"""Records of the configuration stream, as they stand in CBOR.

An edit names, for each section that it changes, the version that it was made
on.  Several sections in one edit change together or not at all, so a workspace
and the target that it needs can be published at once.  A snapshot is the state
before an offset, in parts that fit one record each.
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
    """A new text of one section.

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
    """Changes that come into force together.

    Attributes
    ----------
    op : str
        Operation id; a repeated one is void.
    author : str
        The operators' team.
    changes : tuple of Change
        At most one per section.
    format : int
        Of the record; a fold voids a format that it does not know.
    """

    op: str
    author: str
    changes: tuple[Change, ...]
    format: int = FORMAT


class Drain(msgspec.Struct, frozen=True, array_like=True, tag="drain"):
    """Takes something out of service, or puts it back."""

    op: str
    author: str
    key: DrainKey
    draining: bool
    format: int = FORMAT


class Verdict(msgspec.Struct, frozen=True, array_like=True):
    """What the fold made of one record, kept for the history.

    Attributes
    ----------
    op, author : str
        Of the record.
    offset : int
        Of the record; the new version of each changed section if accepted.
    time : float
        The log's time of the record, in seconds since the epoch.
    made_on_by_section : dict
        Versions that the edit named.
    problem : str
        Why it is void; empty if accepted.
    standing_by_section : dict
        Versions that stood when it was judged.
    what : str
        Words for an operator.
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
        """Whether the record came into force."""
        return not self.problem


class SnapshotPart(msgspec.Struct, frozen=True, array_like=True, tag="snapshot"):
    """One section of the state before the offset ``covers``.

    Attributes
    ----------
    covers : int
        Records below this offset are in the state.
    digest : str
        Of the whole state; parts belong together if it is the same.
    sections : tuple of str
        Sections that have a part; a last one is named ``history``.
    section, text : str
        What this part holds.
    section_version, version : int
        Of the section and of the document.
    verdicts, drains : tuple
        In the part named ``history``.
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
    """Decode one record; an unknown format is malformed."""
    record: ConfigRecord | codec.Malformed = codec.decode(data, ConfigRecord)
    if not isinstance(record, codec.Malformed) and record.format != FORMAT:
        return codec.Malformed(f"format {record.format} is not {FORMAT}")
    return record


def digest_of(version: int, texts: dict[str, str], drains: list[DrainKey]) -> str:
    """Return a short digest of a document, the same in every process."""
    parts = [version, sorted(texts.items()), sorted(drains)]
    return hashlib.sha256(codec.encode(parts)).hexdigest()[:16]
