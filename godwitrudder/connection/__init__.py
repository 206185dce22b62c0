"""What lives for one connection: callers, peers, runners."""
