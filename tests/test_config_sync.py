"""Configuration reaches a daemon that can't reach the log."""

from __future__ import annotations

from dataclasses import replace

import gevent

from bench.fleet import Fleet, daemon_settings
from bench.loopback import IP
from godwitrudder import codec
from godwitrudder.platform.hosts import HostEntry
from godwitrudder.process.daemon import Daemon
from godwitrudder.validation import Address
from godwitrudder.version.config_records import CONFIG_STREAM, Change, Edit

UNREACHABLE = Address(IP, 1)


def test_a_daemon_without_the_log_follows_its_peers() -> None:
    """It starts with the document of its peers and applies later edits from them."""
    own = replace(daemon_settings(3), log=UNREACHABLE)
    with Fleet(2, 1, 0) as fleet:
        entry = HostEntry(
            id=own.host,
            role="router",
            address=str(own.peer),
            failure_domain=own.failure_domain,
        )
        fleet.platform.set_hosts([*fleet.platform.hosts, entry])
        peer = fleet.daemons[0].configuration
        with Daemon(own) as daemon:
            assert daemon.configuration.fold.digest() == peer.fold.digest()
            assert daemon.status().in_force_seconds < 0
            version = peer.fold.version_of("turns")
            text = peer.document.text_by_section["turns"]
            edit = Edit("later", "admin", (Change("turns", version, text),))
            fleet.platform.streams_by_name[CONFIG_STREAM].append(codec.encode(edit))
            while daemon.configuration.fold.version_of("turns") == version:
                gevent.sleep(0.05)
            assert daemon.status().in_force_seconds >= 0
