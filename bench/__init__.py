"""The demo and the benches."""
