"""Catching up from a peer: configuration records with their offsets.

A daemon that can't reach the log reads records from any peer that has them, or a
snapshot if the peer has dropped them.  The records pass through the same fold as
records read from the log, so the configuration never reverts.
"""

from __future__ import annotations

from godwitrudder.connection.queries import ConfigAnswer, ConfigAsk
from godwitrudder.platform.log import LogRecord
from godwitrudder.version.config_fold import ConfigFold, Result
from godwitrudder.version.config_records import MAX_RECORD_BYTES, SnapshotPart


def answer(fold: ConfigFold, ask: ConfigAsk) -> ConfigAnswer:
    """Return the records or snapshot parts that the querying daemon lacks.

    The answer is limited to what fits in one frame.
    """
    stored_records = fold.stored_records_from(ask.next_offset)
    if stored_records is None:
        return ConfigAnswer(fold.next_offset, parts=_snapshot_parts(fold, ask))
    records: list[LogRecord] = []
    size = 0
    for offset, time, data in stored_records:
        size += len(data)
        if records and size > MAX_RECORD_BYTES:
            break
        records.append(LogRecord(offset, time, data))
    return ConfigAnswer(fold.next_offset, tuple(records))


def _snapshot_parts(fold: ConfigFold, ask: ConfigAsk) -> tuple[SnapshotPart, ...]:
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
    """The querying side: requests records from peers and applies them to a fold."""

    def __init__(self, fold: ConfigFold) -> None:
        self._fold = fold
        self._parts_by_section: dict[str, SnapshotPart] = {}
        self._digest = ""

    def ask(self) -> ConfigAsk:
        """Return the next query to send to a peer."""
        sections = tuple(self._parts_by_section)
        return ConfigAsk(self._fold.next_offset, self._digest, sections)

    def apply_answer(self, reply: ConfigAnswer) -> list[Result]:
        """Apply a peer's answer; records after a gap are ignored."""
        results: list[Result] = []
        for record in reply.records:
            results += self._fold.apply_next(record.offset, record.time, record.data)
        for part in reply.parts:
            results += self._collect(part)
        return results

    def is_behind(self, reply: ConfigAnswer) -> bool:
        """Whether the answering peer has further records."""
        return reply.next_offset > self._fold.next_offset

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
