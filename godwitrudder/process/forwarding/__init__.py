"""The path of one request from its caller to a runner."""
