"""What lives as long as the daemon: settings, tasks, metrics."""
