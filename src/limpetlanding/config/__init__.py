"""Replicated configuration of a process."""
