"""Scripted scenarios that run whole roles on virtual time; tests only."""
