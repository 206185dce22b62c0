"""Placement constraints: which runners a request may be sent to, and when."""
