"""The tests run on gevent, as the daemon does."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()
