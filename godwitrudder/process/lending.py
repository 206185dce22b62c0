"""The lending task: carries loans between hosts as sealed datagrams.

A loan is repeated until its reader has confirmed it.  Nothing here waits for a
host that is silent for longer than a question's time.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from random import Random
from typing import Final

import gevent
from gevent import socket
from gevent.event import AsyncResult, Event

from godwitrudder import codec
from godwitrudder.connection.loans import (
    DATAGRAM_BYTES,
    Age,
    AgeAsk,
    Ask,
    Loan,
    Message,
    Receipt,
    seal,
    unseal,
)
from godwitrudder.process.decisions import DecisionLog
from godwitrudder.request.host_holdings import HostHoldings
from godwitrudder.request.lending import Lending
from godwitrudder.sections import Address
from godwitrudder.version.statements import Statement

ANSWER_SECONDS: Final = 0.02
"""Longest wait for a host's answer: a twentieth of the shortest aim of a generation,
0.4 s (the users' sheets); an answer takes 2 to 6 ms."""
QUESTIONS_MOST: Final = 6
"""Hosts that are asked for one request."""
REPEAT_SECONDS: Final = 0.1
"""Until a loan without a receipt is sent again."""
REPEATS_MOST: Final = 60
"""Times that a loan is sent again: a freeze of some seconds passes."""
AGE_HOSTS: Final = 8
"""Hosts that a restarted one asks for the age of its former statement: one that has
run on is enough."""
AGE_SECONDS: Final = 0.08
"""Longest wait for their answers, once; it is asked twice, as datagrams get lost."""
AGE_TRIES: Final = 2
BIND_SECONDS: Final = 0.05
"""Between tries to take the port while a former process still ends, and after an error
of the socket."""


@dataclass(slots=True)
class Sent:
    """A loan without a receipt, as it was sealed: for one incarnation only."""

    host: str
    loan: Loan
    datagram: bytes
    address: tuple[str, int]
    times: int = 0


@dataclass(frozen=True, slots=True)
class Reader:
    """How one incarnation of a host is reached."""

    epoch: int
    address: tuple[str, int]
    key: bytes


class LendingTask:
    """Lends and borrows for one process.

    Parameters
    ----------
    address : Address
        Where messages come in.
    key : bytes
        What others seal messages for this process with.
    clock : callable
        Returns the seconds that statements carry.
    served : callable
        Called when borrowed tokens have come.

    Attributes
    ----------
    epoch : int
        Of this incarnation, once its ledger is open.
    bound : Event
        Set once the port is this process's.
    refused : int
        Messages that were not accepted.
    loans : Counter of str
        Loans by outcome: lent, borrowed, nothing, silent, lost.
    """

    def __init__(
        self,
        purse: HostHoldings,
        address: Address,
        key: bytes,
        clock: Callable[[], float],
        served: Callable[[], None],
        log: DecisionLog,
        random: Random,
    ) -> None:
        self.lending = Lending(purse, random)
        self.epoch = 0
        self.refused = 0
        self.loans: Counter[str] = Counter()
        self._purse = purse
        self._address = address
        self._key = key
        self._clock = clock
        self._served = served
        self._log = log
        self._numbers = count(1)
        self._answer_by_number: dict[int, AsyncResult] = {}
        self._sent_by_number: dict[int, Sent] = {}
        self._age_keys: dict[tuple[str, int], bytes] = {}
        self._ages: list[float] = []
        self._random = random
        self._socket: socket.socket | None = None
        self.bound = Event()

    def _bind(self) -> socket.socket:
        """Take the port; nobody has it twice, so a former process has ended."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        while True:
            try:
                sock.bind((self._address.ip, self._address.port))
                return sock
            except OSError as error:
                self._log.note("peer_port", why=str(error))
                gevent.sleep(BIND_SECONDS)

    def close(self) -> None:
        """Give the port back."""
        sock, self._socket = self._socket, None
        if sock is not None:
            sock.close()

    def run(self) -> None:
        """Read messages for as long as the process lives."""
        sock = self._socket = self._bind()
        self.bound.set()
        while self._socket is sock:
            try:
                datagram, address = sock.recvfrom(DATAGRAM_BYTES + 1)
            except OSError as error:  # a former send was refused
                self._log.note("peer_read", why=str(error))
                gevent.sleep(BIND_SECONDS)
                continue
            message = unseal(datagram, self._age_keys.get(address, self._key))
            if isinstance(message, codec.Malformed):
                self.refused += 1
                self._log.note("peer_refused", why=message.reason)
                continue
            self._handle(message, address)

    def repeat(self) -> None:
        """Send loans without a receipt again."""
        while True:
            gevent.sleep(REPEAT_SECONDS)
            for number, sent in list(self._sent_by_number.items()):
                sent.times += 1
                if sent.times == 1:
                    continue  # it has just been sent
                if sent.times > REPEATS_MOST:
                    del self._sent_by_number[number]
                    self.loans["lost"] += 1
                    self._log.note(
                        "loan_lost",
                        to=sent.host,
                        workspace=sent.loan.workspace,
                        tokens=sent.loan.tokens,
                    )
                    continue
                self._put(sent.host, sent.datagram, sent.address)

    def borrow(self, request: str, workspace: str, needed: int, rank: int) -> bool:
        """Ask hosts in turn until one has lent what is needed; whether one has."""
        asked: list[str] = []
        holding = self._purse.holding(workspace)
        while len(asked) < QUESTIONS_MOST:
            now = self._clock()
            found = self.lending.choose_lender(workspace, needed, asked, now)
            if found is None:
                break
            lender, believed = found
            asked.append(lender)
            wanted = self.lending.wanted(holding, needed, now)
            number = next(self._numbers)
            ask = Ask(
                self._purse.host,
                self.epoch,
                number,
                workspace,
                needed,
                wanted,
                round(holding.demand.per_second(now), 1),
                rank,
            )
            loan = self._ask(lender, ask)
            self.loans[_outcome(loan)] += 1
            self._log.note(
                "loan",
                request,
                workspace=workspace,
                lender=lender,
                needed=needed,
                believed=believed,
                tokens=None if loan is None else loan.tokens,
                left=None if loan is None else loan.left,
                seconds=round(self._clock() - now, 4),
            )
            if loan is not None and loan.tokens:
                return True
        return False

    def age(self, statement: Statement) -> float | None:
        """Ask hosts how old a former statement of this one can be, in seconds.

        Returns None where none of them has seen it come.
        """
        host = self._purse.host
        others = [name for name in self._purse.book.statements_by_host if name != host]
        self._random.shuffle(others)
        readers = [self._reader(name) for name in others[:AGE_HOSTS]]
        self._age_keys = {each.address: each.key for each in readers if each}
        self._ages = []
        for number in range(AGE_TRIES):
            ask = AgeAsk(host, number, statement.epoch, statement.sent)
            for address, key in self._age_keys.items():
                self._put(host, seal(ask, key), address)
            gevent.sleep(AGE_SECONDS)
            if self._ages:
                break
        self._age_keys = {}
        return min(self._ages, default=None)

    def _tell_age(self, ask: AgeAsk, address: tuple[str, int]) -> None:
        """Answer a restarted host, under the key that it knows."""
        now = self._clock()
        seconds = self._purse.book.max_age(ask.host, ask.epoch, ask.sent, now)
        self._log.note("age", to=ask.host, seconds=seconds)
        age = Age(self._purse.host, ask.number, seconds)
        self._put(ask.host, seal(age, self._key), address)

    def _ask(self, host: str, ask: Ask) -> Loan | None:
        """Ask one host; None where it gives no answer in time."""
        answer: AsyncResult = AsyncResult()
        self._answer_by_number[ask.number] = answer
        try:
            self._send(host, ask)
            loan: Loan | None = answer.wait(ANSWER_SECONDS)
        finally:
            del self._answer_by_number[ask.number]
        if loan is None:
            self.lending.record_timeout(host, self._clock())
        return loan

    def _handle(self, message: Message, address: tuple[str, int]) -> None:
        match message:
            case Ask():
                self._lend(message)
            case Loan():
                self._take(message)
            case Receipt():
                self._sent_by_number.pop(message.number, None)
            case AgeAsk():
                self._tell_age(message, address)
            case Age() if address in self._age_keys and message.seconds is not None:
                self._ages.append(max(0.0, message.seconds))

    def _lend(self, ask: Ask) -> None:
        reader = self._reader(ask.host)
        if reader is None or reader.epoch != ask.epoch:
            self._log.note("lend_unknown", to=ask.host, epoch=ask.epoch)
            return
        tokens, left = self.lending.lend(ask, self._clock())
        number = next(self._numbers)
        own = self._purse.host
        workspace = ask.workspace
        loan = Loan(own, self.epoch, number, ask.number, workspace, tokens, left)
        datagram = seal(loan, reader.key)
        if tokens:
            sent = Sent(ask.host, loan, datagram, reader.address)
            self._sent_by_number[number] = sent
        if tokens:
            self.loans["lent"] += 1
        self._log.note(
            "lend",
            to=ask.host,
            workspace=ask.workspace,
            needed=ask.needed,
            tokens=tokens,
            left=left,
        )
        self._put(ask.host, datagram, reader.address)

    def _take(self, loan: Loan) -> None:
        counted = self.lending.accept(loan, self._clock())
        answer = self._answer_by_number.get(loan.answers)
        if loan.tokens:
            self._send(loan.host, Receipt(self._purse.host, self.epoch, loan.number))
            if answer is None or not counted:
                self._log.note(
                    "loan_late",
                    lender=loan.host,
                    workspace=loan.workspace,
                    tokens=loan.tokens,
                    counted=counted,
                )
        if counted:
            self._served()
        if answer is not None:
            answer.set(loan)

    def _send(self, host: str, message: Message) -> None:
        """Send to a host's newest incarnation, if it can be reached."""
        reader = self._reader(host)
        if reader is not None:
            self._put(host, seal(message, reader.key), reader.address)

    def _reader(self, host: str) -> Reader | None:
        """Return how a host is reached; None where it said nothing usable."""
        statement = self._purse.book.statements_by_host.get(host)
        if statement is None:
            return None
        ip, _, port = statement.peer.rpartition(":")
        if not ip or not port.isdecimal():
            return None
        return Reader(statement.epoch, (ip, int(port)), statement.key)

    def _put(self, host: str, datagram: bytes, address: tuple[str, int]) -> None:
        if self._socket is None:
            return
        try:
            self._socket.sendto(datagram, address)
        except (OSError, OverflowError) as error:
            self._log.note("peer_send", to=host, why=str(error))


def _outcome(loan: Loan | None) -> str:
    """Return what a question brought, for counters."""
    if loan is None:
        return "silent"
    return "borrowed" if loan.tokens else "nothing"
