"""Decisions of the dispatcher as pure functions and small state."""
