"""Stand-ins for the platform and for the targets, used by the demo and the tests."""
