"""Runs the tasks of jobs under leases at the executors of a platform.

`Front` processes the jobs of its clients; `Worker` manages the runs at one
executor. `limpetlanding.runs.ports` defines the interfaces to executors and to
the store.
"""

from limpetlanding.runs.catalog import CatalogHolder
from limpetlanding.runs.dispatcher import (
    Dispatcher,
    JobAbandoned,
    JobNotStarted,
)
from limpetlanding.runs.front import Front
from limpetlanding.runs.model import (
    Catalog,
    Job,
    JobState,
    Queue,
    Resources,
    RunEnd,
    Step,
)
from limpetlanding.runs.supervisor import RunSupervisor
from limpetlanding.runs.worker import UnknownPool, Worker

__all__ = (
    'Catalog',
    'CatalogHolder',
    'Dispatcher',
    'Front',
    'Job',
    'JobAbandoned',
    'JobNotStarted',
    'JobState',
    'Queue',
    'Resources',
    'RunEnd',
    'RunSupervisor',
    'Step',
    'UnknownPool',
    'Worker',
)
