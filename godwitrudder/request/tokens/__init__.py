"""Waiting for tokens: how long, in which order, and whom to ask; no I/O."""
