"""Sends and receives token loans between hosts as authenticated datagrams.

The lender resends a loan until the borrower acknowledges it or ``MAX_RESENDS`` is
reached.  A borrower waits for each host no longer than ``ANSWER_TIMEOUT_SECONDS``.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from itertools import count
from random import Random
from typing import Final

import gevent
from gevent import socket
from gevent.event import AsyncResult, Event

from godwitrudder import codec
from godwitrudder.connection.loans import (
    DATAGRAM_BYTES,
    SEAL_BYTES,
    Age,
    AgeAsk,
    Ask,
    LimitNotice,
    LimitNoticed,
    Loan,
    Message,
    Receipt,
    seal,
    unseal,
)
from godwitrudder.connection.reports import (
    AnswerReport,
    CrashReport,
    HeadroomReport,
    LimitReport,
    Report,
    TrialReport,
)
from godwitrudder.process.decisions import DecisionLog
from godwitrudder.process.loan_records import (
    PeerEndpoint,
    UnacknowledgedLoan,
    loan_outcome,
    peer_endpoint,
)
from godwitrudder.request.host_holdings import HostHoldings
from godwitrudder.request.lending import Lending
from godwitrudder.request.tokens.lenders import Question
from godwitrudder.request.tokens.shortage import AskTally
from godwitrudder.validation import Address
from godwitrudder.version.statements import Statement

ANSWER_TIMEOUT_SECONDS: Final = 0.02
"""Longest wait for a host's answer: one twentieth of the shortest latency target of a
generation, 0.4 s according to the users' specification.  An answer takes 2 to 6 ms."""
MAX_LENDERS_ASKED: Final = 6
"""Most hosts asked for a loan on behalf of one request."""
RESEND_INTERVAL_SECONDS: Final = 0.1
"""Interval at which loans without a receipt are resent."""
MAX_RESENDS: Final = 60
"""Rounds in which a loan is resent: they outlast a borrower that freezes for some
seconds."""
MAX_AGE_HOSTS: Final = 8
"""Hosts that a restarted host asks for the age of its former statement.  The answer of
one host that kept running is enough."""
AGE_TIMEOUT_SECONDS: Final = 0.08
"""Longest wait for their answers in one attempt; a second attempt follows, since
datagrams get lost."""
AGE_ATTEMPTS: Final = 2
SOCKET_RETRY_SECONDS: Final = 0.05
"""Delay between attempts to bind the port while a former process still exits, and
after a socket error."""


class LendingTask:
    """Lends and borrows tokens for one process.

    Parameters
    ----------
    address : Address
        Address that receives messages of other hosts.
    key : bytes
        Key with which other hosts seal messages for this process.
    clock : callable
        Returns the time in seconds, on the clock that statements carry.
    on_borrowed : callable
        Called when borrowed tokens have arrived.

    Attributes
    ----------
    epoch : int
        Number of this incarnation; 0 until its ledger is open.
    bound : Event
        Set once this process has bound the port.
    refused_messages : int
        Messages that were malformed or not sealed for this process.
    report_handlers : list of callable
        Called with each report of another host.
    loans_by_outcome : Counter of str
        Loans by outcome: ``lent`` (to another host), ``borrowed``, ``nothing`` (the
        lender lent none), ``silent`` (no answer in time), ``lost`` (no receipt).
    """

    def __init__(
        self,
        host_holdings: HostHoldings,
        address: Address,
        key: bytes,
        clock: Callable[[], float],
        on_borrowed: Callable[[], None],
        log: DecisionLog,
        random: Random,
    ) -> None:
        self.lending = Lending(host_holdings, random)
        self.epoch = 0
        self.refused_messages = 0
        self.report_handlers: list[Callable[[Report], None]] = []
        self.loans_by_outcome: Counter[str] = Counter()
        self._host_holdings = host_holdings
        self._address = address
        self._key = key
        self._clock = clock
        self._on_borrowed = on_borrowed
        self._log = log
        self._message_numbers = count(1)
        self._answer_by_number: dict[int, AsyncResult] = {}
        self._unacknowledged_by_number: dict[int, UnacknowledgedLoan] = {}
        self._age_key_by_address: dict[tuple[str, int], bytes] = {}
        self._age_answers: list[float] = []
        self._random = random
        self._socket: socket.socket | None = None
        self.bound = Event()

    def _bind(self) -> socket.socket:
        """Bind the port; this succeeds only once a former process has exited."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        while True:
            try:
                sock.bind((self._address.ip, self._address.port))
                return sock
            except OSError as error:
                self._log.note("peer_port", why=str(error))
                gevent.sleep(SOCKET_RETRY_SECONDS)

    def close(self) -> None:
        """Close the port."""
        sock, self._socket = self._socket, None
        if sock is not None:
            sock.close()

    def run(self) -> None:
        """Receive messages until the port is closed."""
        sock = self._socket = self._bind()
        self.bound.set()
        while self._socket is sock:
            try:
                datagram, address = sock.recvfrom(DATAGRAM_BYTES + 1)
            except OSError as error:  # an earlier send was refused
                self._log.note("peer_read", why=str(error))
                gevent.sleep(SOCKET_RETRY_SECONDS)
                continue
            message = unseal(datagram, self._age_key_by_address.get(address, self._key))
            if isinstance(message, codec.Malformed):
                self.refused_messages += 1
                self._log.note("peer_refused", why=message.reason)
                continue
            self._handle(message, address)

    def resend_loans(self) -> None:
        """Resend loans without a receipt until the process ends."""
        while True:
            gevent.sleep(RESEND_INTERVAL_SECONDS)
            for number, pending in list(self._unacknowledged_by_number.items()):
                pending.resend_rounds += 1
                if pending.resend_rounds == 1:
                    continue  # it was sent less than one interval ago
                if pending.resend_rounds > MAX_RESENDS:
                    del self._unacknowledged_by_number[number]
                    self.loans_by_outcome["lost"] += 1
                    self._log.note(
                        "loan_lost",
                        to=pending.host,
                        workspace=pending.loan.workspace,
                        tokens=pending.loan.tokens,
                    )
                    continue
                self._send_datagram(pending.host, pending.datagram, pending.address)

    def borrow(
        self, request: str, workspace: str, needed: int, tally: AskTally | None = None
    ) -> bool:
        """Ask hosts in turn for a loan; return whether one lent what is needed."""
        tally = AskTally(MAX_LENDERS_ASKED) if tally is None else tally
        asked: list[str] = []
        while len(asked) < MAX_LENDERS_ASKED:
            now = self._clock()
            found = self.lending.choose_lender(workspace, needed, asked, now)
            if found is None:
                break
            question = Question(found[0], needed, found[1], True)
            asked.append(question.host)
            with self.asking(workspace, question) as answer:
                loan: Loan | None = answer.wait(ANSWER_TIMEOUT_SECONDS)
            self.record_answer(request, workspace, question, loan, now, tally)
            if loan is not None and loan.tokens:
                tally.lent = True
                return True
        return False

    @contextmanager
    def asking(self, workspace: str, question: Question) -> Iterator[AsyncResult]:
        """Ask a host for a loan; the result gets its ``Loan``.

        A loan that arrives after the block has ended is credited as well.
        """
        now = self._clock()
        holding = self._host_holdings.holding(workspace)
        wanted = question.tokens
        if question.whole:
            wanted = self.lending.wanted(holding, question.tokens, now)
        number = next(self._message_numbers)
        ask = Ask(
            self._host_holdings.host,
            self.epoch,
            number,
            workspace,
            question.tokens,
            wanted,
            round(holding.demand.per_second(now), 1),
        )
        answer = self._answer_by_number[number] = AsyncResult()
        try:
            self._send(question.host, ask)
            yield answer
        finally:
            del self._answer_by_number[number]

    def record_answer(
        self,
        request: str,
        workspace: str,
        question: Question,
        loan: Loan | None,
        asked_at: float,
        tally: AskTally,
    ) -> None:
        """Record what a host answered, or that it did not in time."""
        now = self._clock()
        outcome = loan_outcome(loan)
        tally.asked += 1
        tally.silent += outcome == "silent"
        tally.had_none += outcome == "nothing"
        if loan is None:
            self.lending.record_timeout(question.host, now)
        self.loans_by_outcome[outcome] += 1
        self._log.note(
            "loan",
            request,
            workspace=workspace,
            lender=question.host,
            needed=question.tokens,
            believed=question.believed,
            whole=question.whole,
            tokens=None if loan is None else loan.tokens,
            left=None if loan is None else loan.left,
            seconds=round(now - asked_at, 4),
        )

    def former_statement_age(self, statement: Statement) -> float | None:
        """Ask other hosts for the age of a former statement of this host.

        Returns
        -------
        float or None
            Upper bound in seconds; None if no host saw the statement arrive.
        """
        host = self._host_holdings.host
        others = [
            name
            for name in self._host_holdings.statements.statements_by_host
            if name != host
        ]
        self._random.shuffle(others)
        endpoints = [self._endpoint(name) for name in others[:MAX_AGE_HOSTS]]
        self._age_key_by_address = {
            each.address: each.key for each in endpoints if each
        }
        self._age_answers = []
        for number in range(AGE_ATTEMPTS):
            ask = AgeAsk(host, number, statement.epoch, statement.sent)
            for address, key in self._age_key_by_address.items():
                self._send_datagram(host, seal(ask, key), address)
            gevent.sleep(AGE_TIMEOUT_SECONDS)
            if self._age_answers:
                break
        self._age_key_by_address = {}
        return min(self._age_answers, default=None)

    def _handle_age_ask(self, ask: AgeAsk, address: tuple[str, int]) -> None:
        """Answer a restarted host, sealed with this host's key, which it has read."""
        now = self._clock()
        seconds = self._host_holdings.statements.max_age(
            ask.host, ask.epoch, ask.sent, now
        )
        self._log.note("age", to=ask.host, seconds=seconds)
        age = Age(self._host_holdings.host, ask.number, seconds)
        self._send_datagram(ask.host, seal(age, self._key), address)

    def _handle(self, message: Message, address: tuple[str, int]) -> None:
        match message:
            case Ask():
                self._handle_ask(message)
            case Loan():
                self._handle_loan(message)
            case Receipt():
                self._unacknowledged_by_number.pop(message.number, None)
            case AgeAsk():
                self._handle_age_ask(message, address)
            case LimitNotice():
                self._handle_notice(message)
            case LimitNoticed():
                self._host_holdings.record_noticed(
                    message.host, message.sent, self._clock()
                )
                self._on_borrowed()
            case Age() if (
                address in self._age_key_by_address and message.seconds is not None
            ):
                self._age_answers.append(max(0.0, message.seconds))
            case (
                CrashReport()
                | AnswerReport()
                | TrialReport()
                | LimitReport()
                | HeadroomReport()
            ):
                for handle in self.report_handlers:
                    handle(message)

    def broadcast(self, report: Report | LimitNotice) -> None:
        """Send a report to all other hosts that have stated an address."""
        for host in list(self._host_holdings.statements.statements_by_host):
            if host != self._host_holdings.host:
                self._send(host, report)

    def notice_limits(self, statement: Statement) -> None:
        """Tell all other hosts the higher limits of a statement.

        They then need not read it before this host may use them.
        """
        limits = self._host_holdings.known_limits.to_notice(statement)
        own = self._host_holdings.host
        notice = LimitNotice(
            own, statement.epoch, statement.era, statement.sent, limits
        )
        if limits and len(codec.encode(notice)) + SEAL_BYTES <= DATAGRAM_BYTES:
            self.broadcast(notice)

    def _handle_notice(self, notice: LimitNotice) -> None:
        noticed = self._host_holdings.statements.notice(
            notice.host, notice.epoch, notice.era, notice.sent, notice.limits
        )
        if noticed:
            own = self._host_holdings.host
            self._send(notice.host, LimitNoticed(own, notice.sent))

    def send_report(self, host: str, report: Report) -> None:
        """Send a report to one host."""
        self._send(host, report)

    def _handle_ask(self, ask: Ask) -> None:
        endpoint = self._endpoint(ask.host)
        if endpoint is None or endpoint.epoch != ask.epoch:
            self._log.note("lend_unknown", to=ask.host, epoch=ask.epoch)
            return
        tokens, left = self.lending.lend(ask, self._clock())
        number = next(self._message_numbers)
        own = self._host_holdings.host
        workspace = ask.workspace
        loan = Loan(own, self.epoch, number, ask.number, workspace, tokens, left)
        datagram = seal(loan, endpoint.key)
        if tokens:
            pending = UnacknowledgedLoan(ask.host, loan, datagram, endpoint.address)
            self._unacknowledged_by_number[number] = pending
            self.loans_by_outcome["lent"] += 1
        self._log.note(
            "lend",
            to=ask.host,
            workspace=ask.workspace,
            needed=ask.needed,
            tokens=tokens,
            left=left,
        )
        self._send_datagram(ask.host, datagram, endpoint.address)

    def _handle_loan(self, loan: Loan) -> None:
        counted = self.lending.accept(loan, self._clock())
        answer = self._answer_by_number.get(loan.answers)
        if loan.tokens:
            self._send(
                loan.host, Receipt(self._host_holdings.host, self.epoch, loan.number)
            )
            if answer is None or not counted:
                self._log.note(
                    "loan_late",
                    lender=loan.host,
                    workspace=loan.workspace,
                    tokens=loan.tokens,
                    counted=counted,
                )
        if counted:
            self._on_borrowed()
        if answer is not None:
            answer.set(loan)

    def _send(self, host: str, message: Message) -> None:
        """Send a message to a host's newest incarnation, if its address is known."""
        endpoint = self._endpoint(host)
        if endpoint is not None:
            self._send_datagram(host, seal(message, endpoint.key), endpoint.address)

    def _endpoint(self, host: str) -> PeerEndpoint | None:
        """Return a host's endpoint, or None if it has stated no usable address."""
        statements = self._host_holdings.statements.statements_by_host
        return peer_endpoint(statements.get(host))

    def _send_datagram(
        self, host: str, datagram: bytes, address: tuple[str, int]
    ) -> None:
        if self._socket is None:
            return
        try:
            self._socket.sendto(datagram, address)
        except (OSError, OverflowError) as error:
            self._log.note("peer_send", to=host, why=str(error))
