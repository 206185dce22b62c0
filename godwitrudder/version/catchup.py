"""Catching up with a peer: configuration records with their offsets.

A daemon cut off from the log takes records from any peer that has them, or a
snapshot where the peer has dropped them.  What arrives goes through the same
fold as the log's own records, so it can only move forwards.
"""

from __future__ import annotations

from godwitrudder.connection.queries import ConfigAnswer, ConfigAsk
from godwitrudder.platform.log import LogRecord
from godwitrudder.version.edits import MAX_RECORD_BYTES, SnapshotPart
from godwitrudder.version.revisions import ConfigFold, Result


def answer(fold: ConfigFold, ask: ConfigAsk) -> ConfigAnswer:
    """Return what the asker lacks, as much as fits one frame."""
    kept = fold.records_from(ask.next_offset)
    if kept is None:
        return ConfigAnswer(fold.next_offset, parts=_parts(fold, ask))
    records: list[LogRecord] = []
    size = 0
    for offset, time, data in kept:
        size += len(data)
        if records and size > MAX_RECORD_BYTES:
            break
        records.append(LogRecord(offset, time, data))
    return ConfigAnswer(fold.next_offset, tuple(records))


def _parts(fold: ConfigFold, ask: ConfigAsk) -> tuple[SnapshotPart, ...]:
    parts: list[SnapshotPart] = []
    size = 0
    for part in fold.snapshot():
        if part.digest == ask.digest and part.section in ask.sections:
            continue
        size += len(part.text.encode())
        if parts and size > MAX_RECORD_BYTES:
            break
        parts.append(part)
    return tuple(parts)


class CatchUp:
    """One process's side of catching up; feeds its fold."""

    def __init__(self, fold: ConfigFold) -> None:
        self._fold = fold
        self._parts_by_section: dict[str, SnapshotPart] = {}
        self._digest = ""

    def ask(self) -> ConfigAsk:
        """Return the next question."""
        sections = tuple(self._parts_by_section)
        return ConfigAsk(self._fold.next_offset, self._digest, sections)

    def apply_answer(self, given: ConfigAnswer) -> list[Result]:
        """Apply an answer; records beyond a gap are left out."""
        results: list[Result] = []
        for record in given.records:
            results += self._fold.fill(record.offset, record.time, record.data)
        for part in given.parts:
            results += self._collect(part)
        return results

    def is_behind(self, given: ConfigAnswer) -> bool:
        """Whether the answering process has more."""
        return given.next_offset > self._fold.next_offset

    def _collect(self, part: SnapshotPart) -> list[Result]:
        if part.digest != self._digest:
            self._parts_by_section = {}
            self._digest = part.digest
        self._parts_by_section[part.section] = part
        if set(self._parts_by_section) != set(part.sections):
            return []
        parts = list(self._parts_by_section.values())
        self._parts_by_section = {}
        self._digest = ""
        return self._fold.restore(parts)
