"""The holder: allotment and announcements of one process, joined.

A request first gets its tokens reserved, then is announced to the witnesses,
then dispatched.  Where the witnesses can't all acknowledge, it turns to the
isolated share; where that is too small it waits for new witnesses, up to its
deadline.  All of it is decided here, without I/O; a task carries the actions out
and brings back what came of them.
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
    """The request may be dispatched."""

    request: str


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to the process of a holder or a witness."""

    target: str
    message: CallBack | Given


@dataclass(frozen=True, slots=True)
class Handing:
    """A hand-over that the witnesses have to acknowledge, and its answer."""

    action: HandOver
    answer: Given


@dataclass(frozen=True, slots=True)
class Propose:
    """Append a set of witnesses for the next holder id."""

    op: str
    holder: str
    witnesses: tuple[str, ...]


@dataclass(slots=True)
class Dispatch:
    """A request that was announced, or waits to be; deadline in seconds."""

    intent: OpenIntent
    deadline: float
    parked: bool = False


Step = Action | SendAnnouncement | DispatchAllowed | Send | Propose


class Holder:
    """What one process may spend and what its witnesses know of it.

    Parameters
    ----------
    allotment : Allotment
        Decides on grants.
    new_op : callable
        Returns a fresh operation id.
    """

    def __init__(self, allotment: GrantAllocator, new_op: Callable[[], str]) -> None:
        self.allotment = allotment
        self.witness_set = WitnessSet()
        self.announcements = Announcements()
        self._new_op = new_op
        self._dispatch_by_request: dict[str, Dispatch] = {}
        self._handing_by_op: dict[str, Handing] = {}
        self._announced: set[str] = set()
        self._numbers = count(1)
        self._proposed: int | None = None
        self.announcements.name(allotment.holder, ())

    def handle(self, event: Event, now: float) -> list[Step]:
        """Take an event of the allotment."""
        return list(self._steps(self.allotment.handle(event, now), now))

    def announce(
        self, request: str, runner: str, attempt: str, deadline: float, now: float
    ) -> list[Step]:
        """Have a dispatch acknowledged; ends in ``Go`` or ``Refuse``."""
        reservation = self.allotment.reservations_by_request[request]
        intent = OpenIntent(
            request, reservation.budget, reservation.tokens, runner, attempt
        )
        self._dispatch_by_request[request] = Dispatch(intent, deadline)
        return list(self._announce(request, now))

    def ended(self, request: str, used: int, now: float) -> list[Step]:
        """End a request that has a reservation; bill what it used."""
        announced = request in self._announced
        self._announced.discard(request)
        if request in self.allotment.reservations_by_request:
            self._settle(request, used)
        dispatch = self._dispatch_by_request.pop(request, None)
        if request not in self.allotment.reservations_by_request:
            if dispatch is None:
                return []
            gone = events.Abandoned(request, dispatch.intent.budget)
            return self.handle(gone, now)
        return self.handle(events.Ended(request, used, announced), now)

    def _settle(self, request: str, used: int) -> None:
        reservation = self.allotment.reservations_by_request[request]
        tokens = 0 if reservation.isolated else min(used, reservation.tokens)
        self.announcements.settle(OpenIntent(request, reservation.budget, tokens))

    def acked(self, message: SendAnnouncement, now: float) -> list[Step]:
        """Note that a witness accepted an announcement."""
        results = self.announcements.acked(message.message)
        return list(self._results(results, now))

    def failed(self, message: SendAnnouncement, now: float) -> list[Step]:
        """Note that a witness did not accept an announcement."""
        results = self.announcements.failed(message.message)
        return list(self._results(results, now))

    def call_back(self, message: CallBack, now: float) -> list[Step]:
        """Answer a call-back; a hand-over is acknowledged first."""
        mine = self.allotment.holder.rsplit("+", 1)[0] + "+"
        asks_host = mine.startswith(message.holder)
        if not asks_host and not message.holder.startswith(mine):
            return []
        asked = events.Asked(
            message.budget, message.asker, message.tokens, message.rank
        )
        actions = self.allotment.handle(asked, now)
        reply = next(a for a in actions if isinstance(a, events.Reply))
        answer = Given(
            message.budget,
            message.holder,
            self.allotment.holder,
            message.asker,
            (),
            reply.busy,
            reply.idle,
        )
        steps: list[Step] = []
        handing = False
        for action in actions:
            if isinstance(action, HandOver):
                handing = True
                last = action.last
                self._handing_by_op[last.op] = Handing(action, answer)
                intent = OpenIntent(last.op, last.budget, last.tokens)
                steps += self._results(self.announcements.announce(intent), now)
            elif not isinstance(action, events.Reply):
                steps.append(action)
        return steps if handing else [*steps, Send(message.asker, answer)]

    def handle_given(self, message: Given, now: float) -> list[Step]:
        """Take the answer to a call-back."""
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
        """Note a sign of life of a host that witnesses, or may."""
        self.witness_set.record_standing(host, incarnation, fenced, now)
        if fenced:
            return []
        self.announcements.found(incarnation)
        return list(self._unpark(now))

    def apply_effect(self, effect: Effect, now: float) -> list[Step]:
        """Take what the log made of a record that concerns this process."""
        entry = effect.entry
        if isinstance(entry, records.Witnesses):
            return self._read_witnesses(effect, entry, now)
        if isinstance(entry, records.Closing) and isinstance(effect, Applied):
            return self._closed(entry.incarnation, now)
        if isinstance(entry, records.Bill) and self._settled(effect):
            self.announcements.over(entry.request)
        if isinstance(entry, records.Handover) and self._settled(effect):
            self.announcements.over(entry.op)
        steps: list[Step] = []
        if isinstance(entry, records.Grant) and isinstance(effect, Voided):
            if effect.reason is Void.CLOSED:
                steps += self._closed(entry.incarnation, now)
        for event in events_of(effect, self.allotment.holder):
            steps += self.handle(event, now)
        return steps

    def tick(self, now: float) -> list[Step]:
        """Let time pass: deadlines, idle wallets, a better set of witnesses."""
        steps = self.handle(events.Tick(), now)
        steps += self._results(self.announcements.flush(), now)
        for request, dispatch in list(self._dispatch_by_request.items()):
            if dispatch.parked and now >= dispatch.deadline:
                del self._dispatch_by_request[request]
                tokens = dispatch.intent.tokens
                budget = dispatch.intent.budget
                steps.append(Refuse(request, budget, tokens, False, None))
        return steps + list(self._propose(now))

    @staticmethod
    def _settled(effect: Effect) -> bool:
        """Whether the record stands, or never will."""
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
        reservation = self.allotment.reservations_by_request[request]
        dispatch = self._dispatch_by_request[request]
        dispatch.parked = False
        if reservation.isolated:
            yield from self._go(request)
            return
        if reservation.holder != self.allotment.holder:
            actions = self.allotment.release(request, dispatch.deadline, now)
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
        handing = self._handing_by_op.pop(request, None)
        if handing is not None:
            transfers = handing.action.transfers
            yield events.Append(transfers)
            answer = structs.replace(handing.answer, transfers=transfers)
            yield Send(answer.asker, answer)
        elif request in self._dispatch_by_request:
            yield from self._go(request)
        else:
            self.announcements.over(request)

    def _go(self, request: str) -> Iterator[Step]:
        del self._dispatch_by_request[request]
        self._announced.add(request)
        yield DispatchAllowed(request)

    def _unwitnessed(self, request: str, now: float) -> Iterator[Step]:
        handing = self._handing_by_op.pop(request, None)
        if handing is not None:
            kept = handing.action.last
            self.announcements.settle(OpenIntent(kept.op, kept.budget, 0))
            busy = handing.answer.busy + kept.tokens
            yield Send(kept.receiver, structs.replace(handing.answer, busy=busy))
            yield from self.handle(events.Undone(kept.op), now)
        elif request in self._dispatch_by_request:
            if self.allotment.isolate(request):
                self._settle(request, 0)
                yield from self._go(request)
            else:
                self._dispatch_by_request[request].parked = True

    def _unpark(self, now: float) -> Iterator[Step]:
        """Announce again what waits, where every witness answers."""
        if self.announcements.lost:
            return
        for request, dispatch in list(self._dispatch_by_request.items()):
            if dispatch.parked:
                yield from self._announce(request, now)

    def _propose(self, now: float) -> Iterator[Step]:
        """Propose a set of witnesses under a number that was never used."""
        if self._proposed is not None:
            return
        witnesses = self.witness_set.proposal(now)
        if witnesses is not None:
            self._proposed = next(self._numbers)
            name = self.allotment.name(self._proposed)
            yield Propose(self._new_op(), name, witnesses)

    def _read_witnesses(
        self, effect: Effect, entry: records.Witnesses, now: float
    ) -> list[Step]:
        """Go on as the holder that the set was read back for."""
        number = self._proposed
        if number is None or entry.incarnation != self.allotment.name(number):
            return []
        self._proposed = None
        if isinstance(effect, Voided):
            return []
        steps = self.handle(events.Renewed(number), now)
        return steps + self._renamed(entry.witnesses, now)

    def _renamed(self, witnesses: tuple[str, ...], now: float) -> list[Step]:
        self.witness_set.in_force(witnesses)
        results = self.announcements.name(self.allotment.holder, witnesses)
        steps = list(self._results(results, now))
        return steps + list(self._unpark(now))

    def _closed(self, holder: str, now: float) -> list[Step]:
        """Note a closing: what this process held came back without it."""
        if holder != self.allotment.holder:
            return []
        steps = self.handle(events.Closed(next(self._numbers)), now)
        return steps + self._renamed(self.witness_set.witnesses, now)


def events_of(effect: Effect, holder: str) -> Iterator[Event]:
    """Yield what an effect means to the process that now spends as ``holder``."""
    mine = holder.rsplit("+", 1)[0] + "+"
    if isinstance(effect, Voided):
        yield from _void(effect, mine)
        return
    entry = effect.entry
    match entry:
        case records.Grant() if entry.incarnation.startswith(mine):
            isolated = min(entry.isolated, max(0, effect.tokens - entry.needed))
            yield events.Granted(
                entry.op, entry.incarnation, entry.budget, effect.tokens, isolated
            )
        case records.Handover():
            yield events.Transferred(transfer_of(entry))
    budget = getattr(entry, "budget", None)
    if budget is not None:
        yield events.Changed(budget)


def _void(effect: Voided, mine: str) -> Iterator[Event]:
    entry = effect.entry
    match entry:
        case records.Grant() if entry.incarnation.startswith(mine):
            if effect.reason is not Void.REPEATED:
                yield events.DrawVoid(entry.op, entry.budget)
        case records.Handover() if effect.reason is Void.REPEATED:
            yield events.Transferred(transfer_of(entry))
        case records.Handover() if effect.reason is Void.CLOSED:
            yield events.Undone(entry.op)


def transfer_of(entry: records.Handover) -> Transfer:
    """Return what a record hands over."""
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
    """Return the records that carry an action out; none for other actions.

    Parameters
    ----------
    witnesses : tuple of str
        Named in a grant.
    share_permille : int
        Most of the free tokens that one draw takes beyond what is needed.
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
        case Propose():
            return [records.Witnesses(step.op, step.holder, 0, step.witnesses)]
        case _:
            return []
