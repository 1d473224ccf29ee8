"""Verbs that run the stand-ins of the platform."""

from limpetlanding.standin.endpoint import run_standin_endpoint
from limpetlanding.standin.log import run_standin_log

VERBS = {'endpoint': run_standin_endpoint, 'log': run_standin_log}
