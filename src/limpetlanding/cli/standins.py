"""Verbs that run the stand-ins of the platform."""

from limpetlanding.standin.endpoint import run_standin_endpoint

VERBS = {'endpoint': run_standin_endpoint}
