"""Soak test: real processes of the platform under injected random faults."""
