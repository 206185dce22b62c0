"""Choice of the runner for a request."""
