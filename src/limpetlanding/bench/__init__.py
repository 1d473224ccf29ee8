"""Bench and demo."""
