"""A plain service that counts the runs of each request."""

from __future__ import annotations

from collections import Counter

from godwitrudder.validation import Address
from standins.http import Request, Response, StandIn, json_response


class Service(StandIn):
    """One runner of a plain service.

    Attributes
    ----------
    runs_by_request : Counter
        Number of runs by request id.
    leaving : bool
        Whether the runner refuses new requests with status 503.
    """

    def __init__(self, address: Address, seed: int = 0) -> None:
        super().__init__(address, seed)
        self.runs_by_request: Counter[str] = Counter()
        self.leaving = False

    def answer(self, request: Request) -> Response:
        """Answer one request."""
        if request.path == "/load":
            return json_response({"running": 0, "waiting": 0})
        if request.path == "/cache-events":
            return json_response({"error": f"nothing at {request.path}"}, 404)
        if self.leaving:
            return json_response({"error": "leaving"}, 503)
        self.runs_by_request[request.headers.get("x-request-id", "")] += 1
        echo = request.body.decode(errors="replace")
        return json_response({"path": request.path, "echo": echo})
