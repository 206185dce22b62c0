"""A plain service that counts how often each call ran."""

from __future__ import annotations

import json
from collections import Counter

from godwitrudder.sections import Address
from standins.http import Request, Response, StandIn


class Service(StandIn):
    """One runner of a plain service; runs are counted by request id."""

    def __init__(self, address: Address) -> None:
        super().__init__(address)
        self.runs_by_request: Counter[str] = Counter()

    def answer(self, request: Request) -> Response:
        """Answer one request."""
        if request.path == "/load":
            return Response(200, [b'{"running": 0, "waiting": 0}'], "application/json")
        request_id = request.headers.get("x-request-id", "")
        self.runs_by_request[request_id] += 1
        body = {"path": request.path, "echo": request.body.decode(errors="replace")}
        return Response(200, [json.dumps(body).encode()], "application/json")
