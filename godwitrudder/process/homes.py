"""The homes of keyed requests: who answers which request.

A request whose caller chose its id may come again at any router.  Its homes are
the first two daemons in rendezvous order of the id; before the dispatch the
router notes there that it answers the request, and then at which runner.  So a
retry costs two questions, at any number of daemons, and the loss of one home
loses nothing.  All routers ask in the same order, so of two at once the first
home lets one go ahead.
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

HOMES: Final = 2
ASK_SECONDS: Final = 0.5
PLACES_MOST: Final = 10_000


class Homes:
    """Home of some requests, and the way to the homes of all.

    Parameters
    ----------
    host, incarnation : str
        This process.
    """

    def __init__(
        self, host: str, incarnation: str, members: Members, peers: PeerLinks
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._members = members
        self._peers = peers
        self._place_by_request: OrderedDict[str, AnswerLocation] = OrderedDict()

    def register(self, handlers: Handlers) -> None:
        """Answer the routers."""
        handlers.register(Enroll, self.handle)

    def enroll(
        self, request: str, fingerprint: str, replaces: str = ""
    ) -> AnswerLocation | None:
        """Note that this router answers a request.

        Returns
        -------
        Place or None
            Who answers it already; None where this router may.
        """
        message = Enroll(request, self._place(fingerprint), replaces)
        for home in self._homes(request):
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
        """Note where a request runs and who pays."""
        place = structs.replace(
            self._place(fingerprint),
            runner=runner,
            attempt=attempt,
            start=start,
            payer=reserved.holder,
            isolated=reserved.isolated,
        )
        self._tell(self._homes(request), Enroll(request, place))

    def handle(self, message: Enroll) -> Enrolled:
        """Note a place unless another one stands."""
        stands = self._place_by_request.get(message.request)
        mine = (message.place.holder, message.replaces)
        if stands is not None and stands.holder not in mine:
            return Enrolled(stands)
        self._place_by_request[message.request] = message.place
        if len(self._place_by_request) > PLACES_MOST:
            self._place_by_request.popitem(last=False)
        return Enrolled(None)

    def _place(self, fingerprint: str) -> AnswerLocation:
        return AnswerLocation(self._host, self._incarnation, fingerprint)

    def _homes(self, request: str) -> list[str]:
        """Return the request's homes, in rendezvous order."""
        hosts = {*self._members.routers_by_id, self._host}
        order = sorted(hosts, key=lambda host: _weight(request, host), reverse=True)
        return order[:HOMES]

    def _ask(self, home: str, message: Enroll) -> object:
        if home == self._host:
            return self.handle(message)
        return self._peers.ask(home, message, ASK_SECONDS)

    def _tell(self, homes: list[str], message: Enroll) -> None:
        for home in homes:
            if home == self._host:
                self.handle(message)
            else:
                self._peers.tell(home, message)


def _weight(request: str, host: str) -> int:
    return xxhash.xxh64_intdigest(f"{request}|{host}".encode())
