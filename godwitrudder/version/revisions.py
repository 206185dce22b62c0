"""The fold of the configuration stream, and its snapshots.

Every process that reads the same records reaches the same document.  The log's
order settles races: an edit made on a version that no longer stands is void.
The fold only moves forwards: a record or snapshot from below ``next_offset``
changes nothing, so nothing reverts.  A reader that meets a gap, because records
aged out, keeps what it reads until a snapshot closes the gap.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, Final

from godwitrudder import codec
from godwitrudder.sections import Problem
from godwitrudder.version.checks import problems
from godwitrudder.version.document import SECTIONS, Document, DrainKey, build
from godwitrudder.version.edits import (
    CONFIG_STREAM,
    MAX_RECORD_BYTES,
    Drain,
    Edit,
    SnapshotPart,
    Verdict,
    decode,
    digest_of,
)

KEPT_VERDICTS: Final = 256
KEPT_BYTES: Final = 1_000_000
MAX_PROBLEM_CHARACTERS: Final = 500
HISTORY: Final = "history"


@dataclass(frozen=True, slots=True)
class Accepted:
    """The record is in force from its offset on."""

    record: Edit | Drain
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class Rejected:
    """The record is void."""

    record: Edit | Drain | None
    problem: Problem
    verdict: Verdict | None = None


@dataclass(frozen=True, slots=True)
class Restored:
    """A snapshot closed a gap; the document is that of ``offset``."""

    offset: int


Result = Accepted | Rejected | Restored
Kept = tuple[int, float, bytes]


class ConfigFold:
    """The document after the records up to ``next_offset``.

    Attributes
    ----------
    snapshot_time : float or None
        The log's time of the newest snapshot, or of the oldest record.
    diverged : int
        Snapshots of another process that differ from the own state.
    """

    def __init__(self) -> None:
        self.next_offset = 0
        self.document = Document()
        self.verdicts_by_op: dict[str, Verdict] = {}
        self.snapshot_time: float | None = None
        self.diverged = 0
        self._recent: deque[Kept] = deque()
        self._recent_bytes = 0
        self._held: list[Kept] = []
        self._parts_by_section: dict[str, SnapshotPart] = {}

    @property
    def awaits_snapshot(self) -> bool:
        """Whether a gap waits for a snapshot."""
        return bool(self._held)

    @property
    def read_offset(self) -> int:
        """Offset to read the log from."""
        return self._held[-1][0] + 1 if self._held else self.next_offset

    def apply(self, offset: int, time: float, data: bytes) -> list[Result]:
        """Apply one record; nothing for one that was applied before."""
        if offset < self.read_offset:
            return []
        if offset > self.read_offset or self._held:
            return self._hold(offset, time, data)
        return self._advance(offset, time, data)

    def fill(self, offset: int, time: float, data: bytes) -> list[Result]:
        """Apply the very next record, also while a gap waits to be closed."""
        if offset != self.next_offset:
            return []
        return [*self._advance(offset, time, data), *self._release()]

    def records_from(self, offset: int) -> list[Kept] | None:
        """Return kept records from ``offset`` on; None if some are gone."""
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
        """Return the state as parts that fit one record each."""
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
        """Take a whole snapshot over, unless it is older than the own state."""
        head = parts[0]
        by_section = {part.section: part for part in parts}
        if head.covers <= self.next_offset or set(by_section) != set(head.sections):
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
        self.next_offset = head.covers
        self.verdicts_by_op = {verdict.op: verdict for verdict in history.verdicts}
        if self.snapshot_time is None:
            # The log may have no snapshot; this makes one due.
            self.snapshot_time = 0.0
        self._recent.clear()
        self._recent_bytes = 0
        return [Restored(head.covers), *self._release()]

    def _hold(self, offset: int, time: float, data: bytes) -> list[Result]:
        """Keep a record beyond a gap; a whole snapshot closes the gap."""
        if offset > self.read_offset:
            self._held.clear()
        self._held.append((offset, time, data))
        record = decode(data)
        if not isinstance(record, SnapshotPart):
            return []
        parts = self._collect(record)
        if parts is None or record.covers < self._held[0][0]:
            return []
        return self.restore(parts)

    def _release(self) -> list[Result]:
        """Apply the held records that follow, unless a gap is left."""
        if not self._held or self._held[0][0] > self.next_offset:
            return []
        self._parts_by_section = {}
        held, self._held = self._held, []
        results: list[Result] = []
        for offset, time, data in held:
            if offset >= self.next_offset:
                results.extend(self._advance(offset, time, data))
        return results

    def _collect(self, part: SnapshotPart) -> list[SnapshotPart] | None:
        """Return all parts of a snapshot once the last one is there."""
        for other in self._parts_by_section.values():
            if (other.covers, other.digest) != (part.covers, part.digest):
                self._parts_by_section = {}
                break
        self._parts_by_section[part.section] = part
        if set(self._parts_by_section) != set(part.sections):
            return None
        parts = list(self._parts_by_section.values())
        self._parts_by_section = {}
        return parts

    def _advance(self, offset: int, time: float, data: bytes) -> list[Result]:
        self.next_offset = offset + 1
        self._keep(offset, time, data)
        if self.snapshot_time is None:
            self.snapshot_time = time
        record = decode(data)
        if isinstance(record, codec.Malformed):
            return [Rejected(None, Problem(CONFIG_STREAM, "", record.reason))]
        if isinstance(record, SnapshotPart):
            self._compare(record, time)
            return []
        if record.op in self.verdicts_by_op:
            return []
        return [self._judge(offset, time, record)]

    def _keep(self, offset: int, time: float, data: bytes) -> None:
        """Keep the newest records for peers, within a bound of bytes."""
        self._recent.append((offset, time, data))
        self._recent_bytes += len(data)
        while self._recent_bytes > KEPT_BYTES:
            self._recent_bytes -= len(self._recent.popleft()[2])

    def _compare(self, part: SnapshotPart, time: float) -> None:
        if self._collect(part) is None:
            return
        self.snapshot_time = time
        if part.version == self.document.version and part.digest != self.digest():
            self.diverged += 1

    def _judge(
        self, offset: int, time: float, record: Edit | Drain
    ) -> Accepted | Rejected:
        if isinstance(record, Edit):
            document = apply_edit(self.document, offset, record)
            made_on = {change.section: change.made_on for change in record.changes}
            what = "edit of " + ", ".join(made_on)
        else:
            document = drained(self.document, offset, record)
            made_on = {}
            word = "drain" if record.draining else "undrain"
            what = f"{word} of {record.key.kind} {record.key.id}"
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
        self._remember(verdict)
        if isinstance(document, Problem):
            return Rejected(record, document, verdict)
        self.document = document
        return Accepted(record, verdict)

    def version_of(self, section: str) -> int:
        """Return the version of a section that stands."""
        return self.document.version_by_section.get(section, -1)

    def _remember(self, verdict: Verdict) -> None:
        self.verdicts_by_op[verdict.op] = verdict
        if len(self.verdicts_by_op) > KEPT_VERDICTS:
            del self.verdicts_by_op[next(iter(self.verdicts_by_op))]


def apply_edit(document: Document, offset: int, edit: Edit) -> Document | Problem:
    """Return the document after an edit, or the first thing that is wrong."""
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
    return _checked(build(offset, versions, texts, document.drains, document))


def drained(document: Document, offset: int, drain: Drain) -> Document | Problem:
    """Return the document after a drain record."""
    key = drain.key
    if key.kind == "target" and key.id not in document.targets_by_id:
        return Problem("targets", key.id, "expected a target of the section targets")
    change: Callable[[frozenset[DrainKey]], frozenset[DrainKey]]
    change = document.drains.union if drain.draining else document.drains.difference
    drains = change(frozenset([key]))
    return replace(document, version=offset, drains=drains)


def _checked(document: Document | Problem) -> Document | Problem:
    if isinstance(document, Problem):
        return document
    return next(problems(document), document)
