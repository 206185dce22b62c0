"""Queries between daemons: configuration, status and events."""

from __future__ import annotations

import msgspec

from godwitrudder.platform.log import LogRecord
from godwitrudder.process.timeline import Events, EventsAsk
from godwitrudder.version.config_records import SnapshotPart


class ConfigHave(msgspec.Struct, frozen=True, array_like=True, tag="config_have"):
    """The sender has applied the configuration stream before ``next_offset``."""

    host: str
    next_offset: int


class ConfigAsk(msgspec.Struct, frozen=True, array_like=True, tag="config_ask"):
    """Request for the configuration records from an offset on.

    Attributes
    ----------
    digest : str
        Digest of a snapshot that the sender has in part; empty for none.
    sections : tuple of str
        Sections of that snapshot that the sender has.
    """

    next_offset: int
    digest: str = ""
    sections: tuple[str, ...] = ()


class ConfigAnswer(msgspec.Struct, frozen=True, array_like=True, tag="config"):
    """The following records, or parts of a snapshot if the records are gone.

    Attributes
    ----------
    next_offset : int
        Offset before which the answering process has applied the stream.
    """

    next_offset: int
    records: tuple[LogRecord, ...] = ()
    parts: tuple[SnapshotPart, ...] = ()


class StatusAsk(msgspec.Struct, frozen=True, array_like=True, tag="status_ask"):
    """Request for the status of a daemon."""


class Status(msgspec.Struct, frozen=True, array_like=True, tag="status"):
    """Status of a daemon.

    Attributes
    ----------
    config_version : int
        Version of the document in force.
    next_offset : int
        Offset before which the configuration stream is applied.
    in_force_seconds : float
        Delay from the log time of the newest accepted record until it was in force;
        negative if the daemon started with it.
    uptime_seconds : float
        Time since the daemon started.
    in_flight : int
        Requests in progress.
    """

    host: str
    incarnation: str
    failure_domain: str
    config_version: int
    next_offset: int
    in_force_seconds: float
    uptime_seconds: float
    in_flight: int
    draining: bool


QueryMessage = (
    ConfigHave | ConfigAsk | ConfigAnswer | StatusAsk | Status | EventsAsk | Events
)
