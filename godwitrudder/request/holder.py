"""Holder: combines grants, announcements and witnesses of one process.

The tokens of a request are reserved first. Then its dispatch is announced to the
witnesses, and after their acknowledgement it is dispatched. If no witness acknowledges,
the request spends from the isolated tokens. If these are too few, it waits for new
witnesses until its deadline. All decisions are made here without I/O; a task executes
the actions and reports their results.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import count

from msgspec import structs

from godwitrudder.connection.escrow import CallBack, Given, OpenIntent, Transfer
from godwitrudder.request import announcement, events
from godwitrudder.request.announcement import Announcements, SendAnnouncement
from godwitrudder.request.events import Action, Event, HandOver, Refuse, Serve
from godwitrudder.request.grant_allocator import GrantAllocator
from godwitrudder.request.witnesses import WitnessSet
from godwitrudder.version import records
from godwitrudder.version.fold import Applied, Effect, Void, Voided
from godwitrudder.version.records import Entry


@dataclass(frozen=True, slots=True)
class DispatchAllowed:
    """Allow the dispatch of the request."""

    request: str


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to the process of a holder or a witness."""

    target: str
    message: CallBack | Given


@dataclass(frozen=True, slots=True)
class PendingHandover:
    """A hand-over that awaits its acknowledgement, and the answer to send then."""

    action: HandOver
    answer: Given


@dataclass(frozen=True, slots=True)
class ProposeWitnesses:
    """Append a set of witnesses for the next holder id."""

    op: str
    holder: str
    witnesses: tuple[str, ...]


@dataclass(slots=True)
class Dispatch:
    """A request that is announced or waits to be announced; deadline in seconds."""

    intent: OpenIntent
    deadline: float
    awaits_witnesses: bool = False


Step = Action | SendAnnouncement | DispatchAllowed | Send | ProposeWitnesses


class Holder:
    """The tokens that one process may spend and the state of its witnesses.

    Parameters
    ----------
    allocator : GrantAllocator
        Decides on grants.
    new_op : callable
        Returns a new operation id.
    """

    def __init__(self, allocator: GrantAllocator, new_op: Callable[[], str]) -> None:
        self.allocator = allocator
        self.witness_set = WitnessSet()
        self.announcements = Announcements()
        self._new_op = new_op
        self._dispatch_by_request: dict[str, Dispatch] = {}
        self._pending_handovers_by_op: dict[str, PendingHandover] = {}
        self._announced: set[str] = set()
        self._numbers = count(1)
        self._proposed_number: int | None = None
        self.announcements.set_holder(allocator.holder, ())

    def handle(self, event: Event, now: float) -> list[Step]:
        """Pass an event to the allocator; return the steps that follow."""
        return list(self._steps(self.allocator.handle(event, now), now))

    def announce(
        self, request: str, runner: str, attempt: str, deadline: float, now: float
    ) -> list[Step]:
        """Announce a dispatch; ends in ``DispatchAllowed`` or ``Refuse``."""
        reservation = self.allocator.reservations_by_request[request]
        intent = OpenIntent(
            request, reservation.budget, reservation.tokens, runner, attempt
        )
        self._dispatch_by_request[request] = Dispatch(intent, deadline)
        return list(self._announce(request, now))

    def ended(self, request: str, used: int, now: float) -> list[Step]:
        """End a request and bill the tokens that it used."""
        announced = request in self._announced
        self._announced.discard(request)
        if request in self.allocator.reservations_by_request:
            self._settle(request, used)
        dispatch = self._dispatch_by_request.pop(request, None)
        if request not in self.allocator.reservations_by_request:
            if dispatch is None:
                return []
            gone = events.Abandoned(request, dispatch.intent.budget)
            return self.handle(gone, now)
        return self.handle(events.Ended(request, used, announced), now)

    def _settle(self, request: str, used: int) -> None:
        reservation = self.allocator.reservations_by_request[request]
        tokens = 0 if reservation.isolated else min(used, reservation.tokens)
        self.announcements.settle(OpenIntent(request, reservation.budget, tokens))

    def acked(self, message: SendAnnouncement, now: float) -> list[Step]:
        """Process the acknowledgement of an announcement."""
        results = self.announcements.acked(message.message)
        return list(self._results(results, now))

    def failed(self, message: SendAnnouncement, now: float) -> list[Step]:
        """Process the failure of an announcement."""
        results = self.announcements.failed(message.message)
        return list(self._results(results, now))

    def call_back(self, message: CallBack, now: float) -> list[Step]:
        """Answer a call-back; a hand-over is acknowledged by a witness first."""
        own_prefix = self.allocator.holder.rsplit("+", 1)[0] + "+"
        asks_host = own_prefix.startswith(message.holder)
        if not asks_host and not message.holder.startswith(own_prefix):
            return []
        asked = events.Asked(
            message.budget, message.asker, message.tokens, message.rank
        )
        actions = self.allocator.handle(asked, now)
        reply = next(a for a in actions if isinstance(a, events.Reply))
        answer = Given(
            message.budget,
            message.holder,
            self.allocator.holder,
            message.asker,
            (),
            reply.busy,
            reply.idle,
        )
        steps: list[Step] = []
        hands_over = False
        for action in actions:
            if isinstance(action, HandOver):
                hands_over = True
                last = action.last
                self._pending_handovers_by_op[last.op] = PendingHandover(action, answer)
                intent = OpenIntent(last.op, last.budget, last.tokens)
                steps += self._results(self.announcements.announce(intent), now)
            elif not isinstance(action, events.Reply):
                steps.append(action)
        return steps if hands_over else [*steps, Send(message.asker, answer)]

    def handle_given(self, message: Given, now: float) -> list[Step]:
        """Process the answer to a call-back."""
        steps: list[Step] = []
        if message.transfers:
            steps += self.handle(events.Received(message.transfers), now)
        answered = events.Answered(
            message.budget, message.asked, message.busy, message.idle
        )
        return steps + self.handle(answered, now)

    def record_standing(
        self, host: str, incarnation: str, fenced: bool, now: float
    ) -> list[Step]:
        """Process the answer of a host that is, or may become, a witness."""
        self.witness_set.record_standing(host, incarnation, fenced, now)
        if fenced:
            return []
        self.announcements.witness_recovered(incarnation)
        return list(self._retry_waiting(now))

    def apply_effect(self, effect: Effect, now: float) -> list[Step]:
        """Process the effect of a log record that concerns this process."""
        entry = effect.entry
        if isinstance(entry, records.Witnesses):
            return self._read_witnesses(effect, entry, now)
        if isinstance(entry, records.Closing) and isinstance(effect, Applied):
            return self._closed(entry.incarnation, now)
        if isinstance(entry, records.Bill) and self._final(effect):
            self.announcements.finish(entry.request)
        if isinstance(entry, records.Handover) and self._final(effect):
            self.announcements.finish(entry.op)
        steps: list[Step] = []
        if isinstance(entry, records.Grant) and isinstance(effect, Voided):
            if effect.reason is Void.CLOSED:
                steps += self._closed(entry.incarnation, now)
        for event in events_of(effect, self.allocator.holder):
            steps += self.handle(event, now)
        return steps

    def tick(self, now: float) -> list[Step]:
        """Check deadlines, idle balances and the set of witnesses."""
        steps = self.handle(events.Tick(), now)
        steps += self._results(self.announcements.flush(), now)
        for request, dispatch in list(self._dispatch_by_request.items()):
            if dispatch.awaits_witnesses and now >= dispatch.deadline:
                del self._dispatch_by_request[request]
                tokens = dispatch.intent.tokens
                budget = dispatch.intent.budget
                steps.append(Refuse(request, budget, tokens, False, None))
        return steps + list(self._propose(now))

    @staticmethod
    def _final(effect: Effect) -> bool:
        """Whether the record was applied, or can never be applied."""
        return isinstance(effect, Applied) or effect.reason in (
            Void.REPEATED,
            Void.CLOSED,
        )

    def _steps(self, actions: list[Action], now: float) -> Iterator[Step]:
        for action in actions:
            match action:
                case Serve() if action.reservation.request in self._dispatch_by_request:
                    yield from self._announce(action.reservation.request, now)
                case events.Append():
                    self.announcements.received(action.transfers)
                    yield action
                case events.Ask():
                    message = CallBack(
                        action.budget,
                        action.asker,
                        action.holder,
                        action.tokens,
                        action.rank,
                    )
                    yield Send(action.holder, message)
                case _:
                    yield action

    def _announce(self, request: str, now: float) -> Iterator[Step]:
        reservation = self.allocator.reservations_by_request[request]
        dispatch = self._dispatch_by_request[request]
        dispatch.awaits_witnesses = False
        if reservation.isolated:
            yield from self._allow_dispatch(request)
            return
        if reservation.holder != self.allocator.holder:
            actions = self.allocator.release(request, dispatch.deadline, now)
            yield from self._steps(actions, now)
            return
        yield from self._results(self.announcements.announce(dispatch.intent), now)

    def _results(
        self, results: list[announcement.Result], now: float
    ) -> Iterator[Step]:
        for result in results:
            match result:
                case SendAnnouncement():
                    yield result
                case announcement.Acknowledged():
                    yield from self._acknowledged(result.request)
                case announcement.Unwitnessed():
                    yield from self._unwitnessed(result.request, now)

    def _acknowledged(self, request: str) -> Iterator[Step]:
        handover = self._pending_handovers_by_op.pop(request, None)
        if handover is not None:
            transfers = handover.action.transfers
            yield events.Append(transfers)
            answer = structs.replace(handover.answer, transfers=transfers)
            yield Send(answer.asker, answer)
        elif request in self._dispatch_by_request:
            yield from self._allow_dispatch(request)
        else:
            self.announcements.finish(request)

    def _allow_dispatch(self, request: str) -> Iterator[Step]:
        del self._dispatch_by_request[request]
        self._announced.add(request)
        yield DispatchAllowed(request)

    def _unwitnessed(self, request: str, now: float) -> Iterator[Step]:
        handover = self._pending_handovers_by_op.pop(request, None)
        if handover is not None:
            kept = handover.action.last
            self.announcements.settle(OpenIntent(kept.op, kept.budget, 0))
            busy = handover.answer.busy + kept.tokens
            yield Send(kept.receiver, structs.replace(handover.answer, busy=busy))
            yield from self.handle(events.Undone(kept.op), now)
        elif request in self._dispatch_by_request:
            if self.allocator.isolate(request):
                self._settle(request, 0)
                yield from self._allow_dispatch(request)
            else:
                self._dispatch_by_request[request].awaits_witnesses = True

    def _retry_waiting(self, now: float) -> Iterator[Step]:
        """Announce the waiting requests again, unless no witness answers."""
        if self.announcements.lost:
            return
        for request, dispatch in list(self._dispatch_by_request.items()):
            if dispatch.awaits_witnesses:
                yield from self._announce(request, now)

    def _propose(self, now: float) -> Iterator[Step]:
        """Propose a set of witnesses under a number that was never used."""
        if self._proposed_number is not None:
            return
        witnesses = self.witness_set.proposal(now)
        if witnesses is not None:
            self._proposed_number = next(self._numbers)
            name = self.allocator.holder_id(self._proposed_number)
            yield ProposeWitnesses(self._new_op(), name, witnesses)

    def _read_witnesses(
        self, effect: Effect, entry: records.Witnesses, now: float
    ) -> list[Step]:
        """Switch to the holder for which the set of witnesses was read back."""
        number = self._proposed_number
        if number is None or entry.incarnation != self.allocator.holder_id(number):
            return []
        self._proposed_number = None
        if isinstance(effect, Voided):
            return []
        steps = self.handle(events.Renewed(number), now)
        return steps + self._start_holder(entry.witnesses, now)

    def _start_holder(self, witnesses: tuple[str, ...], now: float) -> list[Step]:
        self.witness_set.confirm(witnesses)
        results = self.announcements.set_holder(self.allocator.holder, witnesses)
        steps = list(self._results(results, now))
        return steps + list(self._retry_waiting(now))

    def _closed(self, holder: str, now: float) -> list[Step]:
        """Start a new holder if the log has closed and returned the current one."""
        if holder != self.allocator.holder:
            return []
        steps = self.handle(events.Closed(next(self._numbers)), now)
        return steps + self._start_holder(self.witness_set.witnesses, now)


def events_of(effect: Effect, holder: str) -> Iterator[Event]:
    """Yield the events that an effect causes at the process of ``holder``."""
    own_prefix = holder.rsplit("+", 1)[0] + "+"
    if isinstance(effect, Voided):
        yield from _void_event(effect, own_prefix)
        return
    entry = effect.entry
    match entry:
        case records.Grant() if entry.incarnation.startswith(own_prefix):
            isolated = min(entry.isolated, max(0, effect.tokens - entry.needed))
            yield events.Granted(
                entry.op, entry.incarnation, entry.budget, effect.tokens, isolated
            )
        case records.Handover():
            yield events.Transferred(transfer_of(entry))
    budget = getattr(entry, "budget", None)
    if budget is not None:
        yield events.Changed(budget)


def _void_event(effect: Voided, own_prefix: str) -> Iterator[Event]:
    entry = effect.entry
    match entry:
        case records.Grant() if entry.incarnation.startswith(own_prefix):
            if effect.reason is not Void.REPEATED:
                yield events.DrawVoid(entry.op, entry.budget)
        case records.Handover() if effect.reason is Void.REPEATED:
            yield events.Transferred(transfer_of(entry))
        case records.Handover() if effect.reason is Void.CLOSED:
            yield events.Undone(entry.op)


def transfer_of(entry: records.Handover) -> Transfer:
    """Return the transfer that a hand-over record describes."""
    return Transfer(entry.op, entry.budget, entry.donor, entry.receiver, entry.tokens)


def handover_of(transfer: Transfer) -> records.Handover:
    """Return the record of a hand-over."""
    return records.Handover(
        transfer.op,
        transfer.budget,
        transfer.donor,
        transfer.receiver,
        transfer.tokens,
    )


def records_of(
    step: Step, witnesses: tuple[str, ...], share_permille: int
) -> list[Entry]:
    """Return the log records that carry out a step; empty for other steps.

    Parameters
    ----------
    witnesses : tuple of str
        Witnesses named in a grant.
    share_permille : int
        Largest part of the free tokens that one draw takes beyond the needed tokens.
    """
    match step:
        case events.Draw():
            grant = records.Grant(
                step.op,
                step.budget,
                step.holder,
                step.tokens,
                step.isolated,
                witnesses,
                0,
                step.needed,
                share_permille,
            )
            return [grant]
        case events.GiveBack():
            returned = records.Return(
                step.op, step.budget, step.holder, step.tokens, step.isolated
            )
            return [returned]
        case events.Charge():
            spent = step.reservation
            bill = records.Bill(
                spent.request, spent.budget, spent.holder, step.used, spent.isolated
            )
            return [bill]
        case events.Append():
            return [handover_of(transfer) for transfer in step.transfers]
        case ProposeWitnesses():
            return [records.Witnesses(step.op, step.holder, 0, step.witnesses)]
        case _:
            return []
