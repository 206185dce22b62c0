"""Whether and when a slow request gets a second attempt; no I/O."""
