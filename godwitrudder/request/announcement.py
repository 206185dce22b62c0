"""Announcements: a witness acknowledges each dispatch before it is made.

Every witness is told and the first acknowledgement counts, because a closing
needs the fence of all of them.

Intents gather while an announcement is on its way to a witness and go out with
the next one, so a busy holder sends few large messages.  A witness that did not
answer counts as lost until it answers again or is replaced; where all are lost,
requests turn to the isolated share at once.  Nothing here does I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from godwitrudder.connection.escrow import Announce, OpenIntent, Transfer

BATCH_INTENTS: Final = 200
OVER_MOST: Final = 2000


@dataclass(frozen=True, slots=True)
class SendAnnouncement:
    """Send an announcement; report ``acked`` or ``lost``."""

    message: Announce


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """A witness acknowledged the intent."""

    request: str


@dataclass(frozen=True, slots=True)
class Unwitnessed:
    """No witness can acknowledge the intent."""

    request: str


@dataclass(slots=True)
class Outbox:
    """What one witness has still to be told."""

    lost: bool = False
    sending: Announce | None = None
    intents_by_request: dict[str, OpenIntent] = field(default_factory=dict)
    over: dict[str, None] = field(default_factory=dict)
    settled_by_request: dict[str, OpenIntent] = field(default_factory=dict)
    received: list[Transfer] = field(default_factory=list)


Result = SendAnnouncement | Acknowledged | Unwitnessed


class Announcements:
    """Intents on their way from one process to its witnesses."""

    def __init__(self) -> None:
        self.holder = ""
        self.witnesses: tuple[str, ...] = ()
        self._outbox_by_witness: dict[str, Outbox] = {}
        self._asked_by_request: dict[str, set[str]] = {}
        self._told_by_request: dict[str, tuple[str, ...]] = {}

    @property
    def lost(self) -> bool:
        """Whether there are witnesses and none answers."""
        outboxes = self._outbox_by_witness.values()
        return bool(outboxes) and all(outbox.lost for outbox in outboxes)

    def name(self, holder: str, witnesses: tuple[str, ...]) -> list[Result]:
        """Go on with a new holder and its witnesses; open intents fail."""
        failed = list(self._asked_by_request)
        self._asked_by_request.clear()
        self._told_by_request.clear()
        self.holder = holder
        self.witnesses = witnesses
        self._outbox_by_witness = {name: Outbox() for name in witnesses}
        return [Unwitnessed(request) for request in failed]

    def announce(self, intent: OpenIntent) -> list[Result]:
        """Have an intent acknowledged by a witness."""
        if not self.witnesses:
            return [Acknowledged(intent.request)]
        if self.lost:
            return [Unwitnessed(intent.request)]
        self._told_by_request[intent.request] = self.witnesses
        asked = [w for w, box in self._outbox_by_witness.items() if not box.lost]
        self._asked_by_request[intent.request] = set(asked)
        results: list[Result] = []
        for witness in asked:
            outbox = self._outbox_by_witness[witness]
            outbox.intents_by_request[intent.request] = intent
            results.extend(self._send(witness))
        return results

    def received(self, transfers: tuple[Transfer, ...]) -> None:
        """Tell of hand-overs with the next announcement, before any spend of them."""
        for transfer in transfers:
            self._told_by_request[transfer.op] = self.witnesses
        for outbox in self._outbox_by_witness.values():
            outbox.received.extend(transfers)

    def settle(self, intent: OpenIntent) -> None:
        """Tell what an intent came to, before anything its rest may pay for."""
        for witness in self._told_by_request.get(intent.request, ()):
            outbox = self._outbox_by_witness.get(witness)
            if outbox is not None:
                outbox.intents_by_request.pop(intent.request, None)
                outbox.settled_by_request[intent.request] = intent

    def over(self, request: str) -> None:
        """Let the witnesses forget an intent with the next announcement.

        Call this once its bill was read back, or where it was never dispatched.
        """
        for witness in self._told_by_request.pop(request, ()):
            outbox = self._outbox_by_witness.get(witness)
            if outbox is None:
                continue
            outbox.settled_by_request.pop(request, None)
            unsent = outbox.intents_by_request.pop(request, None)
            if unsent is None and len(outbox.over) < OVER_MOST:
                outbox.over[request] = None

    def flush(self) -> list[Result]:
        """Send what is over where nothing else goes out."""
        results: list[Result] = []
        for witness, outbox in self._outbox_by_witness.items():
            told = outbox.over or outbox.settled_by_request
            if told and not outbox.lost:
                results.extend(self._send(witness))
        return results

    def acked(self, message: Announce) -> list[Result]:
        """Note that a witness accepted an announcement."""
        outbox = self._outbox_by_witness.get(message.witness)
        if outbox is None or outbox.sending is not message:
            return []
        outbox.sending = None
        results: list[Result] = []
        for intent in message.intents:
            if self._asked_by_request.pop(intent.request, None) is not None:
                results.append(Acknowledged(intent.request))
        return results + self._send(message.witness, only_new=True)

    def failed(self, message: Announce) -> list[Result]:
        """Note that a witness did not answer, or has fenced this holder."""
        outbox = self._outbox_by_witness.get(message.witness)
        if outbox is None or outbox.sending is not message:
            return []
        outbox.sending = None
        outbox.lost = True
        outbox.intents_by_request.clear()
        outbox.over.update(dict.fromkeys(message.over))
        outbox.received[:0] = message.received
        for intent in message.settled:
            if intent.request not in outbox.over:
                outbox.settled_by_request.setdefault(intent.request, intent)
        waiting = []
        for request, asked in self._asked_by_request.items():
            asked.discard(message.witness)
            if not asked:
                waiting.append(request)
        for request in waiting:
            del self._asked_by_request[request]
        return [Unwitnessed(request) for request in waiting]

    def found(self, witness: str) -> None:
        """Note that a lost witness answers again."""
        outbox = self._outbox_by_witness.get(witness)
        if outbox is not None:
            outbox.lost = False

    def _send(self, witness: str, only_new: bool = False) -> list[Result]:
        outbox = self._outbox_by_witness[witness]
        if outbox.sending is not None:
            return []
        told = outbox.over or outbox.settled_by_request
        if not outbox.intents_by_request and (only_new or not told):
            return []
        requests = list(outbox.intents_by_request)[:BATCH_INTENTS]
        intents = tuple(outbox.intents_by_request.pop(name) for name in requests)
        message = Announce(
            self.holder,
            witness,
            intents,
            tuple(outbox.over),
            tuple(outbox.received),
            self.witnesses,
            tuple(outbox.settled_by_request.values()),
        )
        outbox.settled_by_request.clear()
        outbox.over.clear()
        outbox.received.clear()
        outbox.sending = message
        return [SendAnnouncement(message)]
