"""Adapter to the users' platform: translates, and decides nothing.

It decodes the platform's messages into the types of `limpetlanding.runs` and
`limpetlanding.platform.settings`; no name of the platform leaves this package.
"""
