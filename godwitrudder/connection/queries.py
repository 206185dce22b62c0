"""Frames with which a daemon asks another what it has."""

from __future__ import annotations

import msgspec

from godwitrudder.platform.log import LogRecord
from godwitrudder.process.timeline import Events, EventsAsk
from godwitrudder.version.edits import SnapshotPart


class ConfigHave(msgspec.Struct, frozen=True, array_like=True, tag="config_have"):
    """The sender applied the configuration stream up to an offset."""

    host: str
    next_offset: int


class ConfigAsk(msgspec.Struct, frozen=True, array_like=True, tag="config_ask"):
    """Asks for the configuration records from an offset on.

    Attributes
    ----------
    digest : str
        Of a snapshot that the sender has parts of; empty for none.
    sections : tuple of str
        The parts that it has.
    """

    next_offset: int
    digest: str = ""
    sections: tuple[str, ...] = ()


class ConfigAnswer(msgspec.Struct, frozen=True, array_like=True, tag="config"):
    """Records that follow, or parts of a snapshot where they are gone.

    Attributes
    ----------
    next_offset : int
        How far the answering process has applied the stream.
    """

    next_offset: int
    records: tuple[LogRecord, ...] = ()
    parts: tuple[SnapshotPart, ...] = ()


class StatusAsk(msgspec.Struct, frozen=True, array_like=True, tag="status_ask"):
    """Asks a daemon how it is."""


class Status(msgspec.Struct, frozen=True, array_like=True, tag="status"):
    """How a daemon is.

    Attributes
    ----------
    config_version, next_offset : int
        Version of the document in force, and offset applied up to.
    in_force_seconds : float
        From the log's time of the newest accepted record to its being in force;
        negative if the daemon began with it.
    uptime_seconds : float
        Since the daemon started.
    in_flight : int
        Requests under way.
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
