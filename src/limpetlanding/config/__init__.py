"""Configuration in force: its store, log reader and replication."""

from limpetlanding.config.reader import ConfigReader, is_reader
from limpetlanding.config.replica import Replica
from limpetlanding.config.replication import Replication, config_status
from limpetlanding.config.store import (
    ConfigStore,
    StoredContract,
    UnacceptableRecord,
    UnreadableVersion,
)

__all__ = (
    'ConfigReader',
    'ConfigStore',
    'Replica',
    'Replication',
    'StoredContract',
    'UnacceptableRecord',
    'UnreadableVersion',
    'config_status',
    'is_reader',
)
