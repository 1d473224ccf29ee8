"""Adapter between the users' platform and `limpetlanding.runs`.

It converts the platform's messages into the types of `limpetlanding.runs` and
`limpetlanding.platform.settings` and makes no decisions on jobs. The platform's
names are used in this package only.
"""
