"""Logs, metrics, traces and the HTTP routes that every role serves.

Import them from `limpetlanding.telemetry.logs` and its siblings. Nothing is
exported here, because metrics, traces and routes import aioprometheus,
OpenTelemetry and aiohttp, which a process loads only when it needs them.
"""
