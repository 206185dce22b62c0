"""State that the logs define: records, folds, statements and the configuration."""
