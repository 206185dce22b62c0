"""The fold of the configuration stream, ``ConfigFold``, and its snapshots.

All processes that read the same records compute the same document.  The log's order
resolves races: an edit made on a version that is no longer in force is rejected.  The
fold only moves forwards: a record or snapshot from below ``next_offset`` has no effect,
so the configuration never reverts.  A reader that meets a gap, because the log dropped
old records, buffers the records that it reads until a snapshot closes the gap.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, Final

from godwitrudder import codec
from godwitrudder.validation import Problem
from godwitrudder.version.checks import problems
from godwitrudder.version.config_records import (
    CONFIG_STREAM,
    MAX_RECORD_BYTES,
    Drain,
    Edit,
    SnapshotPart,
    Verdict,
    decode,
    digest_of,
)
from godwitrudder.version.document import SECTIONS, Document, DrainKey, build

# Length of the history; a repeated operation id is recognised only within it.
MAX_VERDICTS: Final = 256
# Bytes of applied records that are stored for peers that catch up.
MAX_RECENT_BYTES: Final = 1_000_000
MAX_PROBLEM_CHARACTERS: Final = 500
HISTORY: Final = "history"


@dataclass(frozen=True, slots=True)
class Accepted:
    """The record takes effect from its offset on."""

    record: Edit | Drain
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class Rejected:
    """The record is rejected and has no effect.

    Attributes
    ----------
    record : Edit, Drain or None
        None for a malformed record or an invalid snapshot, which get no verdict.
    """

    record: Edit | Drain | None
    problem: Problem
    verdict: Verdict | None = None


@dataclass(frozen=True, slots=True)
class Restored:
    """A snapshot was restored; it covers all records below ``offset``."""

    offset: int


Result = Accepted | Rejected | Restored
# Offset, log time in seconds since the epoch, and encoded record.
StoredRecord = tuple[int, float, bytes]


class ConfigFold:
    """The document after all records below ``next_offset``.

    Attributes
    ----------
    snapshot_time : float or None
        Log time of the newest snapshot that was read in order, in seconds since the
        epoch; without one, of the first record that was applied.  0 if the state was
        restored before any record was applied, so that a snapshot is due.  None if
        nothing was applied.
    diverged_snapshots : int
        Number of snapshots in the log with this state's version and another digest.
    """

    def __init__(self) -> None:
        self.next_offset = 0
        self.document = Document()
        self.verdicts_by_op: dict[str, Verdict] = {}
        self.snapshot_time: float | None = None
        self.diverged_snapshots = 0
        self._recent: deque[StoredRecord] = deque()
        self._recent_bytes = 0
        self._buffered: list[StoredRecord] = []
        self._parts_by_section: dict[str, SnapshotPart] = {}

    @property
    def awaits_snapshot(self) -> bool:
        """Whether there is a gap that only a snapshot or a peer can close."""
        return bool(self._buffered)

    @property
    def read_offset(self) -> int:
        """Offset of the next record to read from the log."""
        return self._buffered[-1][0] + 1 if self._buffered else self.next_offset

    def apply(self, offset: int, time: float, data: bytes) -> list[Result]:
        """Apply one record; a record that was already applied has no effect.

        Returns the results of all records that could be applied with it.
        """
        if offset < self.read_offset:
            return []
        if offset > self.read_offset or self._buffered:
            return self._buffer_record(offset, time, data)
        return self._apply_in_order(offset, time, data)

    def apply_next(self, offset: int, time: float, data: bytes) -> list[Result]:
        """Apply the record at ``next_offset``, also while records after a gap wait."""
        if offset != self.next_offset:
            return []
        return [*self._apply_in_order(offset, time, data), *self._apply_buffered()]

    def stored_records_from(self, offset: int) -> list[StoredRecord] | None:
        """Return the records from ``offset`` on; None if some are no longer stored."""
        if offset >= self.next_offset:
            return []
        if not self._recent or offset < self._recent[0][0]:
            return None
        return [kept for kept in self._recent if kept[0] >= offset]

    def digest(self) -> str:
        """Return the digest of the document."""
        document = self.document
        drains = list(document.drains)
        return digest_of(document.version, document.text_by_section, drains)

    def snapshot(self) -> list[SnapshotPart]:
        """Return the state as parts that each fit in one record."""
        document = self.document
        names = (*sorted(document.text_by_section), HISTORY)
        digest = self.digest()

        def part(name: str, **rest: Any) -> SnapshotPart:
            return SnapshotPart(
                self.next_offset, digest, names, name, document.version, **rest
            )

        parts = [
            part(
                name,
                section_version=document.version_by_section[name],
                text=document.text_by_section[name],
            )
            for name in names[:-1]
        ]
        verdicts = tuple(self.verdicts_by_op.values())
        drains = tuple(sorted(document.drains))
        return [*parts, part(HISTORY, verdicts=verdicts, drains=drains)]

    def restore(self, parts: list[SnapshotPart]) -> list[Result]:
        """Replace the state by a snapshot.

        No effect if parts are missing or the snapshot is not ahead of ``next_offset``.
        """
        head = parts[0]
        by_section = {part.section: part for part in parts}
        if head.next_offset <= self.next_offset or set(by_section) != set(
            head.sections
        ):
            return []
        history = by_section.pop(HISTORY)
        document = build(
            head.version,
            {name: part.section_version for name, part in by_section.items()},
            {name: part.text for name, part in by_section.items()},
            frozenset(history.drains),
            self.document,
        )
        if isinstance(document, Problem):
            return [Rejected(None, document)]
        self.document = document
        self.next_offset = head.next_offset
        self.verdicts_by_op = {verdict.op: verdict for verdict in history.verdicts}
        if self.snapshot_time is None:
            # The log may have no snapshot; a time of 0 makes this process write one.
            self.snapshot_time = 0.0
        self._recent.clear()
        self._recent_bytes = 0
        return [Restored(head.next_offset), *self._apply_buffered()]

    def _buffer_record(self, offset: int, time: float, data: bytes) -> list[Result]:
        """Buffer a record after a gap; a complete snapshot closes the gap."""
        if offset > self.read_offset:
            self._buffered.clear()
        self._buffered.append((offset, time, data))
        record = decode(data)
        if not isinstance(record, SnapshotPart):
            return []
        parts = self._collect(record)
        if parts is None or record.next_offset < self._buffered[0][0]:
            return []
        return self.restore(parts)

    def _apply_buffered(self) -> list[Result]:
        """Apply the buffered records, unless a gap still precedes them."""
        if not self._buffered or self._buffered[0][0] > self.next_offset:
            return []
        self._parts_by_section = {}
        buffered, self._buffered = self._buffered, []
        results: list[Result] = []
        for offset, time, data in buffered:
            if offset >= self.next_offset:
                results.extend(self._apply_in_order(offset, time, data))
        return results

    def _collect(self, part: SnapshotPart) -> list[SnapshotPart] | None:
        """Return all parts of a snapshot once the last one has arrived."""
        for other in self._parts_by_section.values():
            if (other.next_offset, other.digest) != (part.next_offset, part.digest):
                self._parts_by_section = {}
                break
        self._parts_by_section[part.section] = part
        if set(self._parts_by_section) != set(part.sections):
            return None
        parts = list(self._parts_by_section.values())
        self._parts_by_section = {}
        return parts

    def _apply_in_order(self, offset: int, time: float, data: bytes) -> list[Result]:
        self.next_offset = offset + 1
        self._store_recent(offset, time, data)
        if self.snapshot_time is None:
            self.snapshot_time = time
        record = decode(data)
        if isinstance(record, codec.Malformed):
            return [Rejected(None, Problem(CONFIG_STREAM, "", record.reason))]
        if isinstance(record, SnapshotPart):
            self._compare_snapshot(record, time)
            return []
        if record.op in self.verdicts_by_op:
            return []
        return [self._decide(offset, time, record)]

    def _store_recent(self, offset: int, time: float, data: bytes) -> None:
        """Store a record for peers; drop the oldest above ``MAX_RECENT_BYTES``."""
        self._recent.append((offset, time, data))
        self._recent_bytes += len(data)
        while self._recent_bytes > MAX_RECENT_BYTES:
            self._recent_bytes -= len(self._recent.popleft()[2])

    def _compare_snapshot(self, part: SnapshotPart, time: float) -> None:
        if self._collect(part) is None:
            return
        self.snapshot_time = time
        if part.version == self.document.version and part.digest != self.digest():
            self.diverged_snapshots += 1

    def _decide(
        self, offset: int, time: float, record: Edit | Drain
    ) -> Accepted | Rejected:
        if isinstance(record, Edit):
            document = apply_edit(self.document, offset, record)
            made_on = {change.section: change.made_on for change in record.changes}
            what = "edit of " + ", ".join(made_on)
        else:
            document = apply_drain(self.document, offset, record)
            made_on = {}
            verb = "drain" if record.draining else "undrain"
            what = f"{verb} of {record.key.kind} {record.key.id}"
        problem = document if isinstance(document, Problem) else None
        verdict = Verdict(
            record.op,
            record.author,
            offset,
            time,
            made_on,
            "" if problem is None else str(problem)[:MAX_PROBLEM_CHARACTERS],
            {name: self.version_of(name) for name in made_on},
            what,
        )
        self._store_verdict(verdict)
        if isinstance(document, Problem):
            return Rejected(record, document, verdict)
        self.document = document
        return Accepted(record, verdict)

    def version_of(self, section: str) -> int:
        """Return the version of a section that is in force; -1 for none."""
        return self.document.version_by_section.get(section, -1)

    def _store_verdict(self, verdict: Verdict) -> None:
        self.verdicts_by_op[verdict.op] = verdict
        if len(self.verdicts_by_op) > MAX_VERDICTS:
            del self.verdicts_by_op[next(iter(self.verdicts_by_op))]


def apply_edit(document: Document, offset: int, edit: Edit) -> Document | Problem:
    """Return the document after an edit, or the first problem of the edit."""
    texts = dict(document.text_by_section)
    versions = dict(document.version_by_section)
    seen: set[str] = set()
    for change in edit.changes:
        if change.section not in SECTIONS or change.section in seen:
            expected = f"expected each of {', '.join(SECTIONS)} at most once"
            return Problem(change.section, "", expected)
        seen.add(change.section)
        current = document.version_by_section.get(change.section, -1)
        if change.made_on != current:
            expected = f"made on version {change.made_on}, version {current} stands"
            return Problem(change.section, "", expected)
        texts[change.section] = change.text
        versions[change.section] = offset
    if sum(len(change.text.encode()) for change in edit.changes) > MAX_RECORD_BYTES:
        return Problem("edit", "", f"expected at most {MAX_RECORD_BYTES} bytes")
    return _check_document(build(offset, versions, texts, document.drains, document))


def apply_drain(document: Document, offset: int, drain: Drain) -> Document | Problem:
    """Return the document after a drain record, or the problem of the record."""
    key = drain.key
    if key.kind == "target" and key.id not in document.targets_by_id:
        return Problem("targets", key.id, "expected a target of the section targets")
    set_operation: Callable[[frozenset[DrainKey]], frozenset[DrainKey]]
    set_operation = (
        document.drains.union if drain.draining else document.drains.difference
    )
    drains = set_operation(frozenset([key]))
    return replace(document, version=offset, drains=drains)


def _check_document(document: Document | Problem) -> Document | Problem:
    if isinstance(document, Problem):
        return document
    return next(problems(document), document)
