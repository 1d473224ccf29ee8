"""Builders of tasks, agent loads and views for the policy tests."""

from limpetlanding.policy import AgentLoad
from limpetlanding.wire.job_messages import EndpointLoad, TaskSpec


def make_task(index=0, kind='quote', expected_ms=300, size=0):
    return TaskSpec(index, kind, b'{}', expected_ms, 2 * expected_ms, size)


def make_load(name, speed=1.0, slots=8, busy=0, domain='a', **fields):
    kinds = fields.pop('kinds', ['quote'])
    max_size = fields.pop('max_size', 0)
    serving = fields.pop('serving', True)
    endpoint = EndpointLoad(
        f'{name}-e', kinds, slots, busy, speed, serving, max_size
    )
    return AgentLoad(
        name, f'{name}-1', f'{name}:1', domain, [endpoint], **fields
    )


def make_view(*loads):
    return {load.agent: load for load in loads}
