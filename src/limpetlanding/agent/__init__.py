"""Agent role: coordinator and executor on a worker."""

from limpetlanding.agent.coordinator import Coordinator
from limpetlanding.agent.core import AgentCore, CoreInterfaces, CoreOptions
from limpetlanding.agent.endpoints import Announcement, Endpoints
from limpetlanding.agent.executor import Executor
from limpetlanding.agent.records import JobRecord, Ledger, RecordLimits
from limpetlanding.agent.role import AgentRole, run_agent

__all__ = (
    'AgentCore',
    'AgentRole',
    'Announcement',
    'Coordinator',
    'CoreInterfaces',
    'CoreOptions',
    'Endpoints',
    'Executor',
    'JobRecord',
    'Ledger',
    'RecordLimits',
    'run_agent',
)
