"""What an offset of the log defines: records, folds, configuration."""
