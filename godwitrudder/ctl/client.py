"""A client of the operators' port: the first daemon that answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final, TypeVar

import msgspec
from geventhttpclient import HTTPClient

from godwitrudder.ctl.settings import CtlSettings
from godwitrudder.sections import Address
from godwitrudder.views import ErrorView

CONNECT_SECONDS: Final = 2.0
ANSWER_SECONDS: Final = 20.0
CARRIED_OUT: Final = (200, 409, 503)

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Failure:
    """No usable answer.

    Attributes
    ----------
    status : int
        HTTP status; 0 where no daemon answered.
    """

    status: int
    message: str


class OperatorClient:
    """Asks the daemons in the order of the settings.

    A change carries an operation id, so that it may be sent to the next daemon
    where one gave no answer.
    """

    def __init__(self, settings: CtlSettings) -> None:
        self._settings = settings

    def get(self, path: str, wanted: type[T]) -> T | Failure:
        """Read a view."""
        return self._ask("GET", path, None, wanted)

    def post(self, path: str, body: Any, wanted: type[T]) -> T | Failure:
        """Send a change or a query with a body."""
        return self._ask("POST", path, body, wanted)

    def _ask(self, method: str, path: str, body: Any, wanted: type[T]) -> T | Failure:
        problems: list[str] = []
        data = b"" if body is None else msgspec.json.encode(body)
        for address in self._settings.operators:
            answer = self._ask_one(address, method, path, data, wanted)
            if not isinstance(answer, Failure) or answer.status:
                return answer
            problems.append(f"{address}: {answer.message}")
        return Failure(0, "no daemon answered: " + "; ".join(problems))

    def _ask_one(
        self, address: Address, method: str, path: str, data: bytes, wanted: type[T]
    ) -> T | Failure:
        client = HTTPClient(
            address.ip,
            address.port,
            connection_timeout=CONNECT_SECONDS,
            network_timeout=ANSWER_SECONDS,
        )
        headers = {"Authorization": f"Bearer {self._settings.key}"}
        try:
            response = client.request(method, path, body=data, headers=headers)
            text = bytes(response.read())
        except Exception as error:  # the client raises many unrelated types
            return Failure(0, f"{type(error).__name__}: {error}")
        finally:
            client.close()
        return _decode(int(response.status_code), text, wanted)


def _decode(status: int, text: bytes, wanted: type[T]) -> T | Failure:
    try:
        if status in CARRIED_OUT:
            return msgspec.json.decode(text, type=wanted)
        return Failure(status, msgspec.json.decode(text, type=ErrorView).message)
    except msgspec.DecodeError as error:
        return Failure(status, f"status {status}, unreadable answer: {error}")
