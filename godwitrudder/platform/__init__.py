"""Clients of the platform's store, log, host list and weight store, and its formats."""
