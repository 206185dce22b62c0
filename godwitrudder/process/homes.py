"""Home daemons of keyed requests, which record the router that answers each request.

A request with an id from its caller may be retried at any router.  Its homes are the
first two daemons in rendezvous order of the id.  Before a dispatch, the router records
at the homes that it answers the request, and then at which runner.  A retry therefore
needs two lookups for any number of daemons, and the loss of one home loses no entry.
All routers ask the homes in the same order, so if two routers ask at the same time,
the first home accepts only one of them.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

import xxhash
from msgspec import structs

from godwitrudder.connection.answers import AnswerLocation, Enroll, Enrolled
from godwitrudder.connection.peer import Handlers, PeerLinks
from godwitrudder.process.members import Members
from godwitrudder.request.admission import Reservation

HOMES_PER_REQUEST: Final = 2
ASK_TIMEOUT_SECONDS: Final = 0.5
MAX_LOCATIONS: Final = 10_000


class Homes:
    """Stores the entries that this daemon is home of and queries other homes.

    Parameters
    ----------
    host, incarnation : str
        Host and incarnation of this process.
    """

    def __init__(
        self, host: str, incarnation: str, members: Members, peers: PeerLinks
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._members = members
        self._peers = peers
        self._location_by_request: OrderedDict[str, AnswerLocation] = OrderedDict()

    def register(self, handlers: Handlers) -> None:
        """Register the handler for messages from routers."""
        handlers.register(Enroll, self.handle_enroll)

    def enroll(
        self, request: str, fingerprint: str, replaces: str = ""
    ) -> AnswerLocation | None:
        """Record at the homes that this router answers a request.

        Parameters
        ----------
        replaces : str
            Incarnation whose entry this router replaces; empty for none.

        Returns
        -------
        AnswerLocation or None
            Location at another router that already answers the request.  None if
            this router may answer it.
        """
        message = Enroll(request, self._own_location(fingerprint), replaces)
        for home in self._homes_of(request):
            answer = self._ask(home, message)
            if isinstance(answer, Enrolled) and answer.other is not None:
                return answer.other
        return None

    def record_dispatch(
        self,
        request: str,
        fingerprint: str,
        runner: str,
        attempt: str,
        start: int,
        reserved: Reservation,
    ) -> None:
        """Record at the homes where a request runs and which holder pays."""
        location = structs.replace(
            self._own_location(fingerprint),
            runner=runner,
            attempt=attempt,
            start=start,
            payer=reserved.holder,
            isolated=reserved.isolated,
        )
        self._send(self._homes_of(request), Enroll(request, location))

    def handle_enroll(self, message: Enroll) -> Enrolled:
        """Record a location unless another one is recorded that it can't replace.

        A location replaces one of the same incarnation, or of ``replaces``.
        """
        recorded = self._location_by_request.get(message.request)
        replaceable = (message.place.holder, message.replaces)
        if recorded is not None and recorded.holder not in replaceable:
            return Enrolled(recorded)
        self._location_by_request[message.request] = message.place
        if len(self._location_by_request) > MAX_LOCATIONS:
            self._location_by_request.popitem(last=False)
        return Enrolled(None)

    def _own_location(self, fingerprint: str) -> AnswerLocation:
        return AnswerLocation(self._host, self._incarnation, fingerprint)

    def _homes_of(self, request: str) -> list[str]:
        """Return the hosts of the request's homes, in rendezvous order."""
        hosts = {*self._members.routers_by_id, self._host}
        order = sorted(hosts, key=lambda host: _weight(request, host), reverse=True)
        return order[:HOMES_PER_REQUEST]

    def _ask(self, home: str, message: Enroll) -> object:
        if home == self._host:
            return self.handle_enroll(message)
        return self._peers.ask(home, message, ASK_TIMEOUT_SECONDS)

    def _send(self, homes: list[str], message: Enroll) -> None:
        for home in homes:
            if home == self._host:
                self.handle_enroll(message)
            else:
                self._peers.tell(home, message)


def _weight(request: str, host: str) -> int:
    return xxhash.xxh64_intdigest(f"{request}|{host}".encode())
