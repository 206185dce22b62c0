"""What lives for one request: admission, turn, runner choice, outcome."""
