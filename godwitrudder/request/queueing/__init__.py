"""Queueing: headroom of runners, waiting requests, and their admission."""
