"""The witness task: acknowledges intents of peers, fences and closes silent holders.

It also reports where a request was dispatched, so that any router can find a stream
of a dead router.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final
from uuid import uuid4

import gevent

from godwitrudder.clock import Clock
from godwitrudder.connection.escrow import (
    Acked,
    Announce,
    Beat,
    FenceAsk,
    Fenced,
    FindIntent,
    Found,
    OpenIntent,
    Standing,
)
from godwitrudder.connection.peer import Handlers, PeerLinks
from godwitrudder.process.guard import Loop, TaskOwner
from godwitrudder.process.ledger import Ledger
from godwitrudder.process.members import Members
from godwitrudder.process.metrics import Metrics
from godwitrudder.request.holder import handover_of
from godwitrudder.request.witness import (
    Action,
    AskFence,
    BillOrphan,
    CloseHolder,
    Witness,
    candidates,
)
from godwitrudder.request.witnesses import WitnessSet, host_of
from godwitrudder.version import records
from godwitrudder.version.fold import Applied, Effect
from godwitrudder.version.records import Entry

TICK_SECONDS: Final = 1.0
ASK_TIMEOUT_SECONDS: Final = 1.0
FIRST_TICK_SECONDS: Final = 0.05

Listener = Callable[[str, tuple[OpenIntent, ...]], None]


class WitnessService(TaskOwner):
    """Acts as witness for peers and selects witness hosts for this process.

    Parameters
    ----------
    host, domain : str
        Host and failure domain of this process.
    witness_set : WitnessSet
        Receives the hosts that may be witnesses for this process.
    """

    def __init__(
        self,
        incarnation: str,
        host: str,
        domain: str,
        ledger: Ledger,
        members: Members,
        peers: PeerLinks,
        clock: Clock,
        metrics: Metrics,
        witness_set: WitnessSet,
    ) -> None:
        self.witness = Witness(incarnation)
        self._host = host
        self._domain = domain
        self._ledger = ledger
        self._members = members
        self._peers = peers
        self._clock = clock
        super().__init__(metrics)
        self._witness_set = witness_set
        self._listeners: list[Listener] = []
        ledger.listen(self._on_effect)

    def loops(self) -> tuple[Loop, ...]:
        """Return the periodic task that ticks the witness."""
        return (self._tick_loop,)

    def listen(self, listener: Listener) -> None:
        """Call ``listener`` with each holder that this process closes.

        The second argument holds its open intents.
        """
        self._listeners.append(listener)

    def register(self, handlers: Handlers) -> None:
        """Register the handlers for messages from holders of other daemons."""
        handlers.register(Announce, self._handle_announce)
        handlers.register(Beat, self._handle_heartbeat)
        handlers.register(FindIntent, self._handle_find)
        handlers.register(FenceAsk, self.witness.answer)

    def find(self, request: str) -> Found:
        """Ask all other routers for the dispatch of a request.

        Returns
        -------
        Found
            Holder, runner, attempt and reservation.  Has no intents if no reachable
            router knows the request.
        """
        message = FindIntent(request)
        hosts = [host for host in self._members.routers_by_id if host != self._host]
        asked = [
            gevent.spawn(self._peers.ask, host, message, ASK_TIMEOUT_SECONDS)
            for host in hosts
        ]
        found = self._handle_find(message)
        for task in gevent.iwait(asked, timeout=ASK_TIMEOUT_SECONDS):
            if found.intents:
                break
            if isinstance(task.value, Found):
                found = task.value
        gevent.killall(asked, block=False)
        return found

    def _handle_announce(self, message: Announce) -> Acked:
        return Acked(self.witness.announce(message, self._clock.now()))

    def _handle_heartbeat(self, message: Beat) -> Standing:
        if message.leaving:
            self.witness.leave(message.holder)
            return Standing(self.witness.incarnation, True)
        if self.witness.incarnation not in message.witnesses:
            return Standing(self.witness.incarnation, False)
        now = self._clock.now()
        accepted = self.witness.beat(message.holder, message.witnesses, now)
        return Standing(self.witness.incarnation, not accepted)

    def _handle_find(self, message: FindIntent) -> Found:
        found = self.witness.find(message.request)
        return Found("", ()) if found is None else Found(found[0], (found[1],))

    def _on_effect(self, effect: Effect) -> None:
        if isinstance(effect, Applied) and isinstance(effect.entry, records.Bill):
            self.witness.billed(effect.entry.request)

    def _tick_loop(self) -> None:
        while True:
            known = bool(self._members.routers_by_id)
            gevent.sleep(TICK_SECONDS if known else FIRST_TICK_SECONDS)
            domain_by_host = {
                entry.id: entry.failure_domain
                for entry in self._members.routers_by_id.values()
                if entry.state == "live"
            }
            order = candidates(self._host, self._domain, domain_by_host)
            self._witness_set.set_candidate_hosts(order, domain_by_host, self._domain)
            for action in self.witness.tick(
                self._clock.now(), self._ledger.log_reachable
            ):
                self._execute(action)

    def _execute(self, action: Action) -> None:
        if isinstance(action, AskFence):
            gevent.spawn(self._ask_fence, action)
            return
        for budget, entry in entries_of(action, self.witness.incarnation):
            if budget is None:
                self._ledger.submit_everywhere(entry)
            else:
                self._ledger.submit(budget, entry)
        if isinstance(action, CloseHolder):
            self._metrics.closings.inc()
            for listener in self._listeners:
                listener(action.holder, action.intents)

    def _ask_fence(self, action: AskFence) -> None:
        host = host_of(action.message.witness)
        answer = self._peers.ask(host, action.message, ASK_TIMEOUT_SECONDS)
        if isinstance(answer, Fenced):
            for closing in self.witness.fenced(answer, self._clock.now()):
                self._execute(closing)


def entries_of(
    action: CloseHolder | BillOrphan, witness: str
) -> list[tuple[str | None, Entry]]:
    """Return the records of an action, each with its budget.

    A budget of None means that the record goes to every partition.
    """
    if isinstance(action, BillOrphan):
        intent = action.intent
        bill = records.Bill(intent.request, intent.budget, action.holder, intent.tokens)
        return [(intent.budget, bill)]
    entries: list[tuple[str | None, Entry]] = [
        (transfer.budget, handover_of(transfer)) for transfer in action.transfers
    ]
    intents = tuple(_intent_record(intent) for intent in action.intents)
    closing = records.Closing(uuid4().hex, action.holder, witness, intents)
    return [*entries, (None, closing)]


def _intent_record(intent: OpenIntent) -> records.Intent:
    return records.Intent(intent.request, intent.budget, intent.tokens)
