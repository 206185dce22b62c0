"""Asks a runner for its report, which only engines have."""

from __future__ import annotations

import time
from typing import Final

import msgspec

from godwitrudder import codec
from godwitrudder.connection.http import RunnerLink
from godwitrudder.connection.messages import End, Incomplete, ResponseHead
from godwitrudder.connection.traffic import Traffic
from godwitrudder.platform import names
from godwitrudder.platform.documents import LoadedModel
from godwitrudder.validation import Address

TIMEOUT_SECONDS: Final = 0.4
"""Timeout of the connect and of the whole answer; a report needs no slot."""


class ReportModel(msgspec.Struct):
    """What an engine says of itself."""

    models: list[LoadedModel]


def loaded_models(address: Address, traffic: Traffic) -> frozenset[str] | str:
    """Return the models that the engine at an address has loaded, or the error.

    A plain service has no such report.

    Parameters
    ----------
    traffic : Traffic
        Byte counters.
    """
    try:
        link = RunnerLink(address, TIMEOUT_SECONDS, names.REQUEST_ID, traffic)
    except OSError as error:
        return f"{type(error).__name__}: {error}"
    try:
        body = _read_report(link, str(address))
    finally:
        link.close()
    if isinstance(body, str):
        return body
    report: ReportModel | codec.Malformed = codec.decode_json(body, ReportModel)
    if isinstance(report, codec.Malformed):
        return report.reason
    return frozenset(model.name for model in report.models)


def _read_report(link: RunnerLink, host: str) -> bytes | str:
    """Return the body of a report, or the error; its size is bounded by the link."""
    link.wait_until = time.monotonic() + TIMEOUT_SECONDS
    headers = [(b"host", host.encode())]
    body = b""
    for event in link.exchange(b"GET", names.ENGINE_REPORT, headers, b"", b""):
        if isinstance(event, ResponseHead):
            if event.status != 200:
                return f"status {event.status}"
        elif isinstance(event, bytes):
            body += event
        elif isinstance(event, End):
            return body
        elif isinstance(event, Incomplete):
            return event.reason
    return "no answer"
