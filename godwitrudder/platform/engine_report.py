"""Asks a runner for its report, which only engines have."""

from __future__ import annotations

from typing import Final

import msgspec
from geventhttpclient import HTTPClient

from godwitrudder.platform import names
from godwitrudder.validation import Address

TIMEOUT_SECONDS: Final = 0.4
"""Timeout of the connect and of the answer; it takes no slot of the runner."""


class ModelModel(msgspec.Struct):
    """A model that an engine has loaded."""

    name: str


class ReportModel(msgspec.Struct):
    """What an engine says of itself."""

    models: list[ModelModel]


def loaded_models(address: Address) -> frozenset[str] | str:
    """Return the models that the engine at an address has loaded, or the error.

    A plain service has no such report.
    """
    client = HTTPClient(
        address.ip,
        address.port,
        connection_timeout=TIMEOUT_SECONDS,
        network_timeout=TIMEOUT_SECONDS,
    )
    try:
        response = client.get(names.ENGINE_REPORT)
        if response.status_code != 200:
            return f"status {response.status_code}"
        report = msgspec.json.decode(bytes(response.read()), type=ReportModel)
    except Exception as error:  # the client raises many unrelated types
        return f"{type(error).__name__}: {error}"
    finally:
        client.close()
    return frozenset(model.name for model in report.models)
