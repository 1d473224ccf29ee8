"""Entry role: HTTP for callers, admission and placement."""
