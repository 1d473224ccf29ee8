"""Dispatcher for sub-second tasks with at-most-once starts."""

__version__ = '0.1.0'
