"""The witness: acknowledges the intents of other holders, and can fence them.

A holder dispatches only what one of its witnesses, at least, has acknowledged.  A
witness fences a holder by never acknowledging for it again.  Once all witnesses
have fenced it, they know together every dispatch that was or will be made, and a
closing with all their intents gives the rest of the grants back.  A paused holder
that wakes up gets no acknowledgement and can't spend what came back; one that is
only cut off from some of its witnesses goes on.

A holder is fenced after it was silent for ``FENCE_SECONDS``: longer than a link
takes to be found dead and replaced, short beside the minute in which a dead
router's tokens should be free.  A wrong fence costs the holder a new draw and
nothing else.  A witness that was paused itself, or has not heard from the log,
does not fence.

Memory holds open intents only.  Losing them leaves tokens charged and lets
nobody overspend.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

import xxhash
from msgspec import structs

from godwitrudder.connection.escrow import (
    Announce,
    FenceAsk,
    Fenced,
    OpenIntent,
    Transfer,
)

WITNESSES: Final = 3
FENCE_SECONDS: Final = 20.0
OWN_PAUSE_SECONDS: Final = 5.0
GIVE_UP_SECONDS: Final = 3600.0
ORPHAN_BILL_SECONDS: Final = 600.0
INTENTS_MOST: Final = 20_000
FENCED_MOST: Final = 20_000


@dataclass(slots=True)
class Watched:
    """A holder that this process witnesses; times are clock readings.

    Attributes
    ----------
    unfenced : set of str
        After the own fence: witnesses that have not said they fenced it too.
    """

    heard_at: float
    witnesses: tuple[str, ...] = ()
    fenced: bool = False
    unfenced: set[str] = field(default_factory=set)
    closed_at: float | None = None
    intents_by_request: dict[str, OpenIntent] = field(default_factory=dict)
    transfers_by_op: dict[str, Transfer] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CloseHolder:
    """Append the transfers, then a closing with the intents to every partition."""

    holder: str
    intents: tuple[OpenIntent, ...]
    transfers: tuple[Transfer, ...]


@dataclass(frozen=True, slots=True)
class AskFence:
    """Ask another witness whether it has fenced the holder."""

    message: FenceAsk


@dataclass(frozen=True, slots=True)
class BillOrphan:
    """Append a bill for the full reservation of a request nobody billed."""

    holder: str
    intent: OpenIntent


Action = CloseHolder | AskFence | BillOrphan


class Witness:
    """Open intents of the holders that name this incarnation.

    Parameters
    ----------
    incarnation : str
        This process; an announcement meant for another one is not accepted.
    """

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.watched_by_holder: dict[str, Watched] = {}
        self._holders_by_request: dict[str, dict[str, None]] = {}
        self._fenced: dict[str, None] = {}
        self._ticked_at: float | None = None

    def announce(self, message: Announce, now: float) -> bool:
        """Take note of intents; False where none of them may be dispatched."""
        self._over(message.over)
        self._forget_transfers(message)
        if message.witness != self.incarnation:
            return False
        if not self.beat(message.holder, message.witnesses, now):
            return False
        if len(self._holders_by_request) + len(message.intents) > INTENTS_MOST:
            return False
        watched = self.watched_by_holder[message.holder]
        for intent in message.settled + message.intents:
            self._note(message.holder, watched, intent)
        for transfer in message.received:
            watched.transfers_by_op[transfer.op] = transfer
        return True

    def beat(self, holder: str, witnesses: tuple[str, ...], now: float) -> bool:
        """Note that a holder is alive; False where it is fenced."""
        if holder in self._fenced:
            return False
        watched = self.watched_by_holder.get(holder)
        if watched is None:
            if len(self._fenced) + len(self.watched_by_holder) >= FENCED_MOST:
                return False
            watched = self.watched_by_holder[holder] = Watched(now)
        watched.heard_at = now
        watched.witnesses = witnesses
        return True

    def answer(self, message: FenceAsk) -> Fenced:
        """Tell another witness what was acknowledged before the own fence."""
        watched = self.watched_by_holder.get(message.holder)
        done = message.witness == self.incarnation and message.holder in self._fenced
        if watched is None or not done:
            return Fenced(message.holder, message.witness, done, (), ())
        return Fenced(
            message.holder,
            message.witness,
            True,
            tuple(watched.intents_by_request.values()),
            tuple(watched.transfers_by_op.values()),
        )

    def fenced(self, message: Fenced, now: float) -> list[Action]:
        """Take the answer of another witness; close once all have fenced."""
        watched = self.watched_by_holder.get(message.holder)
        if watched is None or not message.done or watched.closed_at is not None:
            return []
        if message.witness not in watched.unfenced:
            return []
        watched.unfenced.discard(message.witness)
        for intent in message.intents:
            self._note(message.holder, watched, intent)
        for transfer in message.received:
            watched.transfers_by_op[transfer.op] = transfer
        return self._close(message.holder, watched, now)

    def leave(self, holder: str) -> None:
        """Forget a holder that gave everything back; it is fenced for good."""
        watched = self.watched_by_holder.get(holder)
        if watched is not None and not watched.intents_by_request:
            del self.watched_by_holder[holder]
            self._fenced[holder] = None

    def billed(self, request: str) -> None:
        """Forget an intent whose bill was read from the log."""
        self._over((request,))

    def find(self, request: str) -> tuple[str, OpenIntent] | None:
        """Return the holder and the intent of a request."""
        for holder in reversed(self._holders_by_request.get(request, {})):
            watched = self.watched_by_holder.get(holder)
            if watched is not None and request in watched.intents_by_request:
                return holder, watched.intents_by_request[request]
        return None

    def tick(self, now: float, log_reachable: bool) -> list[Action]:
        """Fence silent holders and bill what a dead one left."""
        paused = self._ticked_at is not None and (
            now - self._ticked_at > OWN_PAUSE_SECONDS
        )
        self._ticked_at = now
        actions: list[Action] = []
        for holder, watched in list(self.watched_by_holder.items()):
            if watched.closed_at is not None:
                actions.extend(self._bill_orphans(holder, watched, now))
            elif watched.fenced and now - watched.heard_at > GIVE_UP_SECONDS:
                self._over(list(watched.intents_by_request))
                del self.watched_by_holder[holder]
            elif watched.fenced:
                actions.extend(self._ask(holder, watched))
            elif paused or not log_reachable:
                watched.heard_at = max(watched.heard_at, now - FENCE_SECONDS / 2)
            elif now - watched.heard_at >= FENCE_SECONDS:
                actions.extend(self._fence(holder, watched, now))
        return actions

    def _fence(self, holder: str, watched: Watched, now: float) -> list[Action]:
        """Acknowledge nothing any more for the holder."""
        self._fenced[holder] = None
        watched.fenced = True
        watched.unfenced = set(watched.witnesses) - {self.incarnation}
        return self._close(holder, watched, now) + self._ask(holder, watched)

    @staticmethod
    def _ask(holder: str, watched: Watched) -> list[Action]:
        return [AskFence(FenceAsk(holder, name)) for name in sorted(watched.unfenced)]

    @staticmethod
    def _close(holder: str, watched: Watched, now: float) -> list[Action]:
        """Close; whatever is listed once all have fenced is all there can be."""
        if watched.unfenced:
            return []
        watched.closed_at = now
        closing = CloseHolder(
            holder,
            tuple(watched.intents_by_request.values()),
            tuple(watched.transfers_by_op.values()),
        )
        return [closing]

    def _bill_orphans(self, holder: str, watched: Watched, now: float) -> list[Action]:
        assert watched.closed_at is not None
        if not watched.intents_by_request:
            del self.watched_by_holder[holder]
            return []
        if now - watched.closed_at < ORPHAN_BILL_SECONDS:
            return []
        watched.closed_at = now
        intents = watched.intents_by_request.values()
        return [BillOrphan(holder, intent) for intent in intents if intent.runner]

    def _note(self, holder: str, watched: Watched, intent: OpenIntent) -> None:
        """Keep the lowest amount: a settled intent never grows again.

        A process that goes on as a new holder has given up the reservation that
        it had as the old one; another process may run the same request too.
        """
        known = watched.intents_by_request.get(intent.request)
        if known is not None and known.tokens < intent.tokens:
            intent = known
        elif known is not None and intent.tokens and not intent.runner:
            intent = structs.replace(known, tokens=intent.tokens)
        watched.intents_by_request[intent.request] = intent
        holders = self._holders_by_request.setdefault(intent.request, {})
        for other in list(holders):
            if is_former(other, holder):
                del holders[other]
                former = self.watched_by_holder.get(other)
                if former is not None:
                    former.intents_by_request.pop(intent.request, None)
        holders[holder] = None

    def _forget_transfers(self, message: Announce) -> None:
        watched = self.watched_by_holder.get(message.holder)
        if watched is not None:
            for op in message.over:
                watched.transfers_by_op.pop(op, None)

    def _over(self, requests: Iterable[str]) -> None:
        for request in requests:
            for holder in self._holders_by_request.pop(request, {}):
                watched = self.watched_by_holder.get(holder)
                if watched is not None:
                    watched.intents_by_request.pop(request, None)


def is_former(holder: str, current: str) -> bool:
    """Whether a holder is an earlier one of the same process."""
    name, _, number = holder.rpartition("+")
    current_name, _, current_number = current.rpartition("+")
    return name == current_name and int(number) < int(current_number)


def candidates(host: str, domain: str, domain_by_host: dict[str, str]) -> list[str]:
    """Return the hosts that may witness for ``host``, best first.

    Rendezvous order among the hosts of other domains, then of the own domain.
    """
    others = [name for name in domain_by_host if name != host]
    others.sort(key=lambda name: -xxhash.xxh64_intdigest(f"{host}|{name}".encode()))
    return sorted(others, key=lambda name: domain_by_host[name] == domain)
