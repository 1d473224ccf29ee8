"""Soak: real processes of the platform under random faults from outside."""
