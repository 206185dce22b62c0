"""A WSGI server over a table of routes, shared by all stand-ins."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass
from types import TracebackType
from typing import Any, Self
from urllib.parse import parse_qs

from gevent.pywsgi import WSGIServer

from godwitrudder.sections import Address


@dataclass(frozen=True, slots=True)
class Request:
    """One HTTP request, its body read."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Response:
    """One HTTP answer; ``chunks`` is sent as it is produced."""

    status: int
    chunks: Iterable[bytes]
    content_type: str = "application/cbor"


class StandIn(ABC):
    """A server on one address, as a context manager."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self._server = WSGIServer(
            (address.ip, address.port), self._application, log=None, error_log=None
        )

    def __enter__(self) -> Self:
        """Start to listen."""
        self._server.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop at once; open requests are cut."""
        self._server.stop(timeout=0)

    @abstractmethod
    def answer(self, request: Request) -> Response:
        """Answer one request."""

    def _application(self, environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        response = self.answer(read_request(environ))
        start(
            f"{response.status} .",
            [("Content-Type", response.content_type)],
        )
        return response.chunks


def read_request(environ: dict[str, Any]) -> Request:
    """Read a request from its WSGI environment."""
    query = {
        key: values[-1] for key, values in parse_qs(environ["QUERY_STRING"]).items()
    }
    headers = {
        key[5:].lower().replace("_", "-"): str(value)
        for key, value in environ.items()
        if key.startswith("HTTP_")
    }
    return Request(
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        query,
        headers,
        environ["wsgi.input"].read(),
    )
