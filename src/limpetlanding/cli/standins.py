"""Verbs that run stand-ins for endpoints and for the platform's log."""

from limpetlanding.standin.endpoint import run_standin_endpoint
from limpetlanding.standin.log import run_standin_log

VERBS = {'endpoint': run_standin_endpoint, 'log': run_standin_log}
