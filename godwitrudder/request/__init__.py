"""Logic of a single request: admission, queuing, runner choice, outcome."""
