"""HTTP client of the operators' port; uses the first daemon that answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final, TypeVar

import msgspec
from geventhttpclient import HTTPClient

from godwitrudder import codec
from godwitrudder.codec import Malformed
from godwitrudder.ctl.settings import CtlSettings
from godwitrudder.validation import Address
from godwitrudder.views import ErrorView

CONNECT_TIMEOUT_SECONDS: Final = 2.0
# Limit of each read from the socket.  Longer than the 10 s for which a daemon waits
# to read a change back from the log (``publisher.TIMEOUT_SECONDS``).
ANSWER_TIMEOUT_SECONDS: Final = 20.0
# Answers with these statuses carry the requested view (a type of
# ``godwitrudder.views``), others an ``ErrorView``.
VIEW_STATUSES: Final = (200, 409, 503)

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Failure:
    """A request that got no usable answer.

    Attributes
    ----------
    status : int
        HTTP status; 0 if no daemon answered.
    message : str
        What went wrong.
    """

    status: int
    message: str


class OperatorClient:
    """Sends each request to the daemons in the order of the settings.

    A change carries an operation id, so it can be sent to the next daemon if one
    gives no answer, and still takes effect once.
    """

    def __init__(self, settings: CtlSettings) -> None:
        self._settings = settings

    def get(self, path: str, view_type: type[T]) -> T | Failure:
        """Send a GET request and decode the view in the answer.

        Parameters
        ----------
        path : str
            Path with its segments percent-encoded.
        view_type : type
            Type that the answer must decode to.

        Returns
        -------
        T or Failure
            The view, or why there is none.
        """
        return self._request("GET", path, None, view_type)

    def post(self, path: str, body: Any, view_type: type[T]) -> T | Failure:
        """Send a change, or a query that has a body.

        Parameters
        ----------
        path : str
            Path with its segments percent-encoded.
        body : msgspec.Struct
            Sent as JSON.
        view_type : type
            Type that the answer must decode to.

        Returns
        -------
        T or Failure
            The view, or why there is none.
        """
        return self._request("POST", path, body, view_type)

    def _request(
        self, method: str, path: str, body: Any, view_type: type[T]
    ) -> T | Failure:
        problems: list[str] = []
        data = b"" if body is None else msgspec.json.encode(body)
        for address in self._settings.operators:
            answer = self._request_from(address, method, path, data, view_type)
            # Only a daemon that gives no answer (status 0) is followed by the next.
            if not isinstance(answer, Failure) or answer.status:
                return answer
            problems.append(f"{address}: {answer.message}")
        return Failure(0, "no daemon answered: " + "; ".join(problems))

    def _request_from(
        self, address: Address, method: str, path: str, data: bytes, view_type: type[T]
    ) -> T | Failure:
        client = HTTPClient(
            address.ip,
            address.port,
            connection_timeout=CONNECT_TIMEOUT_SECONDS,
            network_timeout=ANSWER_TIMEOUT_SECONDS,
        )
        headers = {"Authorization": f"Bearer {self._settings.key}"}
        try:
            response = client.request(method, path, body=data, headers=headers)
            content = bytes(response.read())
        except Exception as error:  # HTTPClient raises many unrelated types
            return Failure(0, f"{type(error).__name__}: {error}")
        finally:
            client.close()
        return _decode(int(response.status_code), content, view_type)


def _decode(status: int, content: bytes, view_type: type[T]) -> T | Failure:
    view: T | ErrorView | Malformed = codec.decode_json(
        content, view_type if status in VIEW_STATUSES else ErrorView
    )
    if isinstance(view, Malformed):
        reason = f"status {status}, can't decode the answer: {view.reason}"
        return Failure(status, reason)
    return Failure(status, view.message) if isinstance(view, ErrorView) else view
