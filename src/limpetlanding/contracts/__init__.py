"""Contracts of customers and their publication."""
