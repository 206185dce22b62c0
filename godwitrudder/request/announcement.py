"""Announcements: a witness acknowledges each dispatch before it is made.

Every witness gets the announcement and the first acknowledgement suffices, since a
closing needs the fence of all of them.

Intents queue up while an announcement to a witness is in flight and are sent with the
next one, so a busy holder sends few large messages. A witness that did not answer
counts as lost until it answers again or is replaced. If all witnesses are lost,
requests use the isolated tokens at once. Nothing here does I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from godwitrudder.connection.escrow import Announce, OpenIntent, Transfer

# Intents in one announcement.
BATCH_INTENTS: Final = 200
# Finished intents queued for a witness; further ones are not announced as finished.
MAX_FINISHED: Final = 2000


@dataclass(frozen=True, slots=True)
class SendAnnouncement:
    """Send an announcement; report ``acked`` or ``failed``."""

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
    """The announcements still to be sent to one witness."""

    lost: bool = False
    in_flight: Announce | None = None
    intents_by_request: dict[str, OpenIntent] = field(default_factory=dict)
    finished: dict[str, None] = field(default_factory=dict)
    settled_by_request: dict[str, OpenIntent] = field(default_factory=dict)
    received: list[Transfer] = field(default_factory=list)


Result = SendAnnouncement | Acknowledged | Unwitnessed


class Announcements:
    """Intents announced by one process to its witnesses."""

    def __init__(self) -> None:
        self.holder = ""
        self.witnesses: tuple[str, ...] = ()
        self._outbox_by_witness: dict[str, Outbox] = {}
        self._unanswered_by_request: dict[str, set[str]] = {}
        self._witnesses_by_request: dict[str, tuple[str, ...]] = {}

    @property
    def lost(self) -> bool:
        """Whether there are witnesses and none of them answers."""
        outboxes = self._outbox_by_witness.values()
        return bool(outboxes) and all(outbox.lost for outbox in outboxes)

    def set_holder(self, holder: str, witnesses: tuple[str, ...]) -> list[Result]:
        """Switch to a new holder and its witnesses; open intents fail."""
        failed = list(self._unanswered_by_request)
        self._unanswered_by_request.clear()
        self._witnesses_by_request.clear()
        self.holder = holder
        self.witnesses = witnesses
        self._outbox_by_witness = {name: Outbox() for name in witnesses}
        return [Unwitnessed(request) for request in failed]

    def announce(self, intent: OpenIntent) -> list[Result]:
        """Announce an intent to the witnesses."""
        if not self.witnesses:
            return [Acknowledged(intent.request)]
        if self.lost:
            return [Unwitnessed(intent.request)]
        self._witnesses_by_request[intent.request] = self.witnesses
        asked = [w for w, box in self._outbox_by_witness.items() if not box.lost]
        self._unanswered_by_request[intent.request] = set(asked)
        results: list[Result] = []
        for witness in asked:
            outbox = self._outbox_by_witness[witness]
            outbox.intents_by_request[intent.request] = intent
            results.extend(self._send(witness))
        return results

    def received(self, transfers: tuple[Transfer, ...]) -> None:
        """Add hand-overs to the next announcement, before their tokens are spent."""
        for transfer in transfers:
            self._witnesses_by_request[transfer.op] = self.witnesses
        for outbox in self._outbox_by_witness.values():
            outbox.received.extend(transfers)

    def settle(self, intent: OpenIntent) -> None:
        """Queue the final amount of an intent, before its unused tokens are spent."""
        for witness in self._witnesses_by_request.get(intent.request, ()):
            outbox = self._outbox_by_witness.get(witness)
            if outbox is not None:
                outbox.intents_by_request.pop(intent.request, None)
                outbox.settled_by_request[intent.request] = intent

    def finish(self, request: str) -> None:
        """Let the witnesses forget an intent with the next announcement.

        Call this after its bill was read back, or if it was never dispatched.
        """
        for witness in self._witnesses_by_request.pop(request, ()):
            outbox = self._outbox_by_witness.get(witness)
            if outbox is None:
                continue
            outbox.settled_by_request.pop(request, None)
            unsent = outbox.intents_by_request.pop(request, None)
            if unsent is None and len(outbox.finished) < MAX_FINISHED:
                outbox.finished[request] = None

    def flush(self) -> list[Result]:
        """Send finished and settled intents that no announcement has included yet."""
        results: list[Result] = []
        for witness, outbox in self._outbox_by_witness.items():
            pending = outbox.finished or outbox.settled_by_request
            if pending and not outbox.lost:
                results.extend(self._send(witness))
        return results

    def acked(self, message: Announce) -> list[Result]:
        """Process the acknowledgement of an announcement."""
        outbox = self._outbox_by_witness.get(message.witness)
        if outbox is None or outbox.in_flight is not message:
            return []
        outbox.in_flight = None
        results: list[Result] = []
        for intent in message.intents:
            if self._unanswered_by_request.pop(intent.request, None) is not None:
                results.append(Acknowledged(intent.request))
        return results + self._send(message.witness, only_new=True)

    def failed(self, message: Announce) -> list[Result]:
        """Process an announcement that was not answered, or refused by a fence."""
        outbox = self._outbox_by_witness.get(message.witness)
        if outbox is None or outbox.in_flight is not message:
            return []
        outbox.in_flight = None
        outbox.lost = True
        outbox.intents_by_request.clear()
        outbox.finished.update(dict.fromkeys(message.over))
        outbox.received[:0] = message.received
        for intent in message.settled:
            if intent.request not in outbox.finished:
                outbox.settled_by_request.setdefault(intent.request, intent)
        unwitnessed = []
        for request, asked in self._unanswered_by_request.items():
            asked.discard(message.witness)
            if not asked:
                unwitnessed.append(request)
        for request in unwitnessed:
            del self._unanswered_by_request[request]
        return [Unwitnessed(request) for request in unwitnessed]

    def witness_recovered(self, witness: str) -> None:
        """Record that a lost witness answers again."""
        outbox = self._outbox_by_witness.get(witness)
        if outbox is not None:
            outbox.lost = False

    def _send(self, witness: str, only_new: bool = False) -> list[Result]:
        outbox = self._outbox_by_witness[witness]
        if outbox.in_flight is not None:
            return []
        pending = outbox.finished or outbox.settled_by_request
        if not outbox.intents_by_request and (only_new or not pending):
            return []
        requests = list(outbox.intents_by_request)[:BATCH_INTENTS]
        intents = tuple(outbox.intents_by_request.pop(name) for name in requests)
        message = Announce(
            self.holder,
            witness,
            intents,
            tuple(outbox.finished),
            tuple(outbox.received),
            self.witnesses,
            tuple(outbox.settled_by_request.values()),
        )
        outbox.settled_by_request.clear()
        outbox.finished.clear()
        outbox.received.clear()
        outbox.in_flight = message
        return [SendAnnouncement(message)]
