"""Fault soak: entry processes on loopback under faults injected from outside."""
