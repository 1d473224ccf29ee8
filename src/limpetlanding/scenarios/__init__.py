"""Scenario tests that run all roles in one event loop on virtual time."""
