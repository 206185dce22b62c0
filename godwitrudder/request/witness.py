"""Witness: acknowledges the intents of other holders and can fence them.

A holder dispatches only what at least one of its witnesses has acknowledged. A witness
fences a holder by never acknowledging its intents again. After all witnesses have
fenced it, together they know every dispatch that was or will be made. A closing with
all these intents then returns the rest of the grants. A paused holder that resumes gets
no acknowledgement and can't spend the returned tokens. A holder that is cut off from
only some of its witnesses continues.

A holder is fenced after ``FENCE_SECONDS`` of silence. That is longer than it takes to
find a link dead and to replace it, and short against the minute in which the tokens of
a dead router should be free again. A wrong fence only costs the holder a new draw. A
witness that was paused itself, or cannot reach the log, does not fence.

Only open intents are kept, in memory. If they are lost, tokens stay charged, but no
budget is overspent.
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

MAX_WITNESSES: Final = 3
FENCE_SECONDS: Final = 20.0
# Time between ticks above which this process counts as paused.
OWN_PAUSE_SECONDS: Final = 5.0
# Silence after which a fenced holder is forgotten although another witness has not
# confirmed its fence.
FENCE_GIVE_UP_SECONDS: Final = 3600.0
# Time after a closing until its requests without a bill are billed in full.
ORPHAN_BILL_SECONDS: Final = 600.0
# Bounds of the memory: requests with open intents, and holders.
MAX_INTENTS: Final = 20_000
MAX_WATCHED_HOLDERS: Final = 20_000


@dataclass(slots=True)
class WatchedHolder:
    """A holder that this process witnesses; times are clock readings in seconds.

    Attributes
    ----------
    unconfirmed : set of str
        Once this process has fenced the holder: witnesses that have not confirmed their
        fence yet.
    closed_at : float or None
        Time of the closing, or of the last bills for its orphaned requests.
    """

    heard_at: float
    witnesses: tuple[str, ...] = ()
    fenced: bool = False
    unconfirmed: set[str] = field(default_factory=set)
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
    """Append a bill for the full reservation of a request that nobody billed."""

    holder: str
    intent: OpenIntent


Action = CloseHolder | AskFence | BillOrphan


class Witness:
    """Open intents of the holders that name this incarnation as a witness.

    Parameters
    ----------
    incarnation : str
        This process; announcements for another incarnation are not accepted.
    """

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.watched_by_holder: dict[str, WatchedHolder] = {}
        self._holders_by_request: dict[str, dict[str, None]] = {}
        self._fenced: dict[str, None] = {}
        self._ticked_at: float | None = None

    def announce(self, message: Announce, now: float) -> bool:
        """Record the intents of a holder; return False if none may be dispatched."""
        self._forget_requests(message.over)
        self._forget_transfers(message)
        if message.witness != self.incarnation:
            return False
        if not self.beat(message.holder, message.witnesses, now):
            return False
        if len(self._holders_by_request) + len(message.intents) > MAX_INTENTS:
            return False
        watched = self.watched_by_holder[message.holder]
        for intent in message.settled + message.intents:
            self._record_intent(message.holder, watched, intent)
        for transfer in message.received:
            watched.transfers_by_op[transfer.op] = transfer
        return True

    def beat(self, holder: str, witnesses: tuple[str, ...], now: float) -> bool:
        """Record that a holder is alive; return False if it is fenced."""
        if holder in self._fenced:
            return False
        watched = self.watched_by_holder.get(holder)
        if watched is None:
            if len(self._fenced) + len(self.watched_by_holder) >= MAX_WATCHED_HOLDERS:
                return False
            watched = self.watched_by_holder[holder] = WatchedHolder(now)
        watched.heard_at = now
        watched.witnesses = witnesses
        return True

    def answer(self, message: FenceAsk) -> Fenced:
        """Tell another witness the intents acknowledged before the own fence."""
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
        """Process a witness's answer; close the holder once all have fenced it."""
        watched = self.watched_by_holder.get(message.holder)
        if watched is None or not message.done or watched.closed_at is not None:
            return []
        if message.witness not in watched.unconfirmed:
            return []
        watched.unconfirmed.discard(message.witness)
        for intent in message.intents:
            self._record_intent(message.holder, watched, intent)
        for transfer in message.received:
            watched.transfers_by_op[transfer.op] = transfer
        return self._close(message.holder, watched, now)

    def leave(self, holder: str) -> None:
        """Forget a holder that returned all its tokens; it stays fenced."""
        watched = self.watched_by_holder.get(holder)
        if watched is not None and not watched.intents_by_request:
            del self.watched_by_holder[holder]
            self._fenced[holder] = None

    def billed(self, request: str) -> None:
        """Forget an intent whose bill was read from the log."""
        self._forget_requests((request,))

    def find(self, request: str) -> tuple[str, OpenIntent] | None:
        """Return the holder and the intent of a request."""
        for holder in reversed(self._holders_by_request.get(request, {})):
            watched = self.watched_by_holder.get(holder)
            if watched is not None and request in watched.intents_by_request:
                return holder, watched.intents_by_request[request]
        return None

    def tick(self, now: float, log_reachable: bool) -> list[Action]:
        """Fence silent holders and bill the orphaned requests of closed ones.

        Also asks the other witnesses of a fenced holder for their fences again.
        """
        paused = self._ticked_at is not None and (
            now - self._ticked_at > OWN_PAUSE_SECONDS
        )
        self._ticked_at = now
        actions: list[Action] = []
        for holder, watched in list(self.watched_by_holder.items()):
            if watched.closed_at is not None:
                actions.extend(self._bill_orphans(holder, watched, now))
            elif watched.fenced and now - watched.heard_at > FENCE_GIVE_UP_SECONDS:
                self._forget_requests(list(watched.intents_by_request))
                del self.watched_by_holder[holder]
            elif watched.fenced:
                actions.extend(self._ask_fences(holder, watched))
            elif paused or not log_reachable:
                watched.heard_at = max(watched.heard_at, now - FENCE_SECONDS / 2)
            elif now - watched.heard_at >= FENCE_SECONDS:
                actions.extend(self._fence(holder, watched, now))
        return actions

    def _fence(self, holder: str, watched: WatchedHolder, now: float) -> list[Action]:
        """Stop acknowledging intents of the holder."""
        self._fenced[holder] = None
        watched.fenced = True
        watched.unconfirmed = set(watched.witnesses) - {self.incarnation}
        return self._close(holder, watched, now) + self._ask_fences(holder, watched)

    @staticmethod
    def _ask_fences(holder: str, watched: WatchedHolder) -> list[Action]:
        return [
            AskFence(FenceAsk(holder, name)) for name in sorted(watched.unconfirmed)
        ]

    @staticmethod
    def _close(holder: str, watched: WatchedHolder, now: float) -> list[Action]:
        """Close the holder if all have fenced it: no further intent can appear."""
        if watched.unconfirmed:
            return []
        watched.closed_at = now
        closing = CloseHolder(
            holder,
            tuple(watched.intents_by_request.values()),
            tuple(watched.transfers_by_op.values()),
        )
        return [closing]

    def _bill_orphans(
        self, holder: str, watched: WatchedHolder, now: float
    ) -> list[Action]:
        assert watched.closed_at is not None
        if not watched.intents_by_request:
            del self.watched_by_holder[holder]
            return []
        if now - watched.closed_at < ORPHAN_BILL_SECONDS:
            return []
        watched.closed_at = now
        intents = watched.intents_by_request.values()
        return [BillOrphan(holder, intent) for intent in intents if intent.runner]

    def _record_intent(
        self, holder: str, watched: WatchedHolder, intent: OpenIntent
    ) -> None:
        """Record an intent with the lowest amount known: a settled one never grows.

        A process that continues as a new holder has given up the reservation of the old
        one. Another process may also run the same request.
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

    def _forget_requests(self, requests: Iterable[str]) -> None:
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
    """Return the hosts that may witness for ``host``, most preferred first.

    Hosts of other failure domains come first, then those of the own domain, each in
    rendezvous order.
    """
    others = [name for name in domain_by_host if name != host]
    others.sort(key=lambda name: -xxhash.xxh64_intdigest(f"{host}|{name}".encode()))
    return sorted(others, key=lambda name: domain_by_host[name] == domain)
