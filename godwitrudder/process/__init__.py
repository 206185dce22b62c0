"""Components that live as long as the daemon: settings, tasks and metrics."""
