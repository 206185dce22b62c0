"""Fault soak: real entry processes on loopback, with faults from outside."""
