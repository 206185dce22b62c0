"""Connections to callers, peers and runners, and the messages on them."""
