"""A model of hosts, machines and store around the purse, driven step by step."""

from __future__ import annotations

from dataclasses import dataclass, field

from godwitrudder import codec
from godwitrudder.request.holding import Policy
from godwitrudder.request.purse import Purse
from godwitrudder.version.statements import Statement

WORKSPACE = "w"


@dataclass
class Append:
    """A statement on its way."""

    host: str
    epoch: int
    sequence: int
    data: bytes


@dataclass
class StoreModel:
    """A keyed topic with fenced producers."""

    records: list[tuple[str, bytes]] = field(default_factory=list)
    epochs: dict[str, int] = field(default_factory=dict)
    ends: dict[tuple[str, int, int], int] = field(default_factory=dict)
    late: list[Append] = field(default_factory=list)

    def fence(self, host: str, epoch: int) -> None:
        self.epochs[host] = max(epoch, self.epochs.get(host, 0))

    def append(self, append: Append) -> int | None:
        """Return the end, None where the producer is fenced."""
        if append.epoch < self.epochs.get(append.host, 0):
            return None
        key = (append.host, append.epoch, append.sequence)
        if key not in self.ends:
            expected = [k for k in self.ends if k[:2] == key[:2]]
            if append.sequence != len(expected) + 1:
                return None
            self.records.append((append.host, append.data))
            self.ends[key] = len(self.records)
        return self.ends[key]

    def newest(self) -> dict[str, bytes]:
        return dict(self.records)


@dataclass
class Process:
    """One incarnation."""

    purse: Purse
    epoch: int
    sequence: int = 0
    offset: int = 0
    pending: tuple[Statement, Append] | None = None
    requests: list[int] = field(default_factory=list)


class Fleet:
    """Hosts that share one budget, and the truth about what was spent."""

    purse_type: type[Purse] = Purse
    reuses_epoch = False

    def __init__(self, hosts: int, prepaid: int) -> None:
        self.now = 100.0
        self.prepaid = prepaid
        self.store = StoreModel()
        self.booted_by_host = {f"h{i}": 1000.0 * i for i in range(hosts)}
        self.skew_by_host = {host: 0.0 for host in self.booted_by_host}
        self.truth = 0
        self.processes: dict[str, Process] = {}
        for host in self.booted_by_host:
            self.start(host)

    def clock(self, host: str) -> float:
        """Return the machine's clock, which a reboot sets anew."""
        return self.now + self.skew_by_host[host]

    def start(self, host: str) -> None:
        """Start a process: fence, read, take over."""
        purse = self.purse_type(host, Policy())
        purse.configure({WORKSPACE: self.prepaid})
        former = self.store.newest().get(host)
        epoch = 1
        if former is not None:
            statement = codec.decode(former, Statement)
            assert isinstance(statement, Statement)
            epoch = statement.epoch + (0 if self.reuses_epoch else 1)
        epoch = max(epoch, self.store.epochs.get(host, 0) + (not self.reuses_epoch))
        self.store.fence(host, epoch)
        process = Process(purse, epoch)
        self.processes[host] = process
        self.read_newest(host)
        purse.open(self.clock(host), self.booted_by_host[host])

    def stop(self, host: str, reboot: bool) -> None:
        """Kill a process; what it had in flight counts at its most."""
        if reboot:
            self.booted_by_host[host] += 5000.0
            self.skew_by_host[host] -= 77.0
        del self.processes[host]

    def ask(self, host: str, tokens: int) -> bool:
        process = self.processes[host]
        holding = process.purse.holding(WORKSPACE)
        process.purse.asked(WORKSPACE, tokens, self.clock(host))
        if not holding.reserve(tokens, self.clock(host)):
            return False
        self.truth += tokens
        process.requests.append(tokens)
        return True

    def finish(self, host: str, used_share: float) -> None:
        process = self.processes[host]
        if process.requests:
            tokens = process.requests.pop(0)
            used = int(tokens * used_share)
            self.settle(process, tokens, used)
            self.truth -= tokens - used

    def settle(self, process: Process, tokens: int, used: int) -> None:
        process.purse.holding(WORKSPACE).settle(tokens, used)

    def state(self, host: str, fate: str) -> None:
        """Send a statement, or repeat the one under way."""
        process = self.processes[host]
        if process.pending is None:
            now = self.clock(host)
            booted = self.booted_by_host[host]
            statement = process.purse.statement(now, booted, process.epoch)
            if statement is None:
                return
            process.sequence += 1
            process.purse.sent(statement)
            data = codec.encode(statement)
            append = Append(host, process.epoch, process.sequence, data)
            process.pending = (statement, append)
        statement, append = process.pending
        if fate == "lost":
            return
        if fate == "late":
            self.store.late.append(append)
            return
        end = self.store.append(append)
        if fate == "answered" and end is not None:
            process.purse.stands(statement, end)
            process.pending = None

    def arrive_late(self) -> None:
        if self.store.late:
            self.store.append(self.store.late.pop(0))

    def read(self, host: str) -> None:
        process = self.processes[host]
        for name, data in self.store.records[process.offset :]:
            process.purse.put(name, data, self.clock(host))
        process.offset = len(self.store.records)
        process.purse.read_to(process.offset)

    def read_newest(self, host: str) -> None:
        """Read as after a history that was forgotten."""
        process = self.processes[host]
        for name, data in self.store.newest().items():
            process.purse.put(name, data, self.clock(host))
        process.offset = len(self.store.records)
        process.purse.read_to(process.offset)
