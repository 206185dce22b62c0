"""Patches the standard library for gevent, on which the daemon runs."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()
