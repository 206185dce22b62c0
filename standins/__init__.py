"""Small stand-ins of the platform and of the targets, for demo and tests."""
