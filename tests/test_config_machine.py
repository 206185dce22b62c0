"""Configuration folds agree in any order of edits, snapshots, losses and restarts."""

from __future__ import annotations

from unittest.mock import patch

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from godwitrudder import codec
from godwitrudder.version import catchup, config_fold
from godwitrudder.version.catchup import CatchUp
from godwitrudder.version.config_fold import ConfigFold
from godwitrudder.version.config_records import Change, Drain, Edit
from godwitrudder.version.document import DrainKey

READERS = 3
STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["edit", "repeat", "drain", "snapshot", "age", "read", "ask", "restart"]
        ),
        st.integers(0, READERS - 1),
        st.integers(0, 7),
    ),
    min_size=20,
    max_size=80,
)


class Readers:
    """A log that drops old records, and processes that read it or one another."""

    def __init__(self) -> None:
        self.log: list[bytes] = []
        self.first_kept = 0
        self.folds = [ConfigFold() for _ in range(READERS)]
        self.reference = ConfigFold()

    def append(self, data: bytes) -> None:
        """Append a record and apply it to the reference fold, which misses none."""
        self.log.append(data)
        self.reference.apply(len(self.log) - 1, 0.0, data)

    def run_step(self, step: str, reader: int, number: int) -> None:
        """Run one step: ``number`` selects the variant or the peer."""
        fold = self.folds[reader]
        before = fold.next_offset
        match step:
            case "edit":
                made_on = self.reference.version_of("turns") - number // 6
                text = f"{{}} // {number}"
                edit = Edit(f"{len(self.log)}", "t", (Change("turns", made_on, text),))
                self.append(codec.encode(edit))
            case "repeat" if self.log:
                self.append(self.log[-1 - number % len(self.log)])
            case "drain":
                key = DrainKey("runner", f"r{number // 2}")
                drain = Drain(f"{len(self.log)}", "t", key, number % 2 == 0)
                self.append(codec.encode(drain))
            case "snapshot" if fold.document.version >= 0:
                for part in fold.snapshot():
                    self.append(codec.encode(part))
            case "age":
                self.first_kept = min(
                    self.reference.next_offset, self.first_kept + number
                )
            case "read":
                self.read(fold)
            case "ask":
                self.catch_up_from(fold, self.folds[number % READERS])
            case "restart":
                self.folds[reader] = ConfigFold()
                return
        assert fold.next_offset >= before

    def read(self, fold: ConfigFold) -> None:
        """Read the records that the log still has."""
        start = max(self.first_kept, fold.read_offset)
        for offset in range(start, len(self.log)):
            fold.apply(offset, 0.0, self.log[offset])

    def catch_up_from(self, fold: ConfigFold, peer: ConfigFold) -> None:
        """Catch up from a peer by one query and its answer."""
        catch_up = CatchUp(fold)
        catch_up.apply_answer(catchup.answer(peer, catch_up.ask()))


@settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
@given(STEPS)
def test_readers_agree(steps: list[tuple[str, int, int]]) -> None:
    """No reader moves back, and readers at the same offset have the same state."""
    with patch.object(config_fold, "MAX_RECENT_BYTES", 300):
        readers = Readers()
        for step, reader, number in steps:
            readers.run_step(step, reader, number)
    for fold in readers.folds:
        readers.read(fold)
        readers.catch_up_from(fold, readers.reference)
        assert fold.next_offset == readers.reference.next_offset
        assert fold.digest() == readers.reference.digest()
        assert fold.verdicts_by_op == readers.reference.verdicts_by_op
        assert not fold.awaits_snapshot and fold.diverged_snapshots == 0
