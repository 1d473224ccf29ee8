"""Known entries and agents."""
