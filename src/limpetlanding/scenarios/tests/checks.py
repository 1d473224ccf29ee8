"""Checks the guarantees of the dispatcher after a scenario.

The endpoints' record of task starts is compared with the answers that the
callers received, and the contract versions of the roles with the published
ones.
"""

import asyncio
from collections import Counter
from contextlib import suppress

from limpetlanding.scenarios.tests.load import ENTRY_URLS
from limpetlanding.scenarios.tests.system import CONTRACT_PROPAGATION_S

OUTCOMES = {'complete', 'failed', 'not_run', 'may_have_run'}


async def guarantee_violations(system, callers):
    """Return a sentence for each violation of a guarantee.

    Published contracts get `CONTRACT_PROPAGATION_S` to reach every role.
    """
    later = await _states_at_all_entries(system, callers)
    with suppress(TimeoutError):
        async with asyncio.timeout(CONTRACT_PROPAGATION_S):
            while list(_version_violations(system)):  # noqa: ASYNC110
                await asyncio.sleep(0.5)
    found = [
        f'{task_id} started {number} times'
        for task_id, number in system.starts.items()
        if number > 1
    ]
    for job in callers.jobs:
        found += [f'{job.job_id}: {x}' for x in _job_violations(system, job)]
        answers = later.get(job.job_id, [])
        found += [
            f'{job.job_id}: {x}'
            for x in _later_violations(system, job, answers)
        ]
    return [*found, *_version_violations(system)]


def _job_violations(system, job):
    if job.rejected:
        if any(system.starts[x] for x in job.task_ids):
            yield f'rejected, but tasks started: {job.answer}'
    elif job.outcome not in OUTCOMES:
        yield f'no final answer, last response {job.status} {job.answer}'
    yield from _answer_violations(system, job, job.answer)


def _answer_violations(system, job, answer):
    started = [x for x in job.task_ids if system.starts[x]]
    if answer.get('outcome') == 'not_run' and started:
        yield f'answered not_run, but {started} started'
    if answer.get('outcome') == 'complete':
        if len(started) != len(job.tasks):
            yield f'answered complete, but only {started} started'
        if not _has_correct_results(job, answer):
            yield f'results missing or wrong: {answer}'


def _has_correct_results(job, answer):
    results = answer['results']
    payloads = [{'echo': task['payload']} for task in job.tasks]
    return (
        answer['id'] == job.job_id
        and answer['task_count'] == len(job.tasks)
        and [x['index'] for x in results] == list(range(len(job.tasks)))
        and [x['payload'] for x in results] == payloads
    )


async def _states_at_all_entries(system, callers):
    """Query the status of every job at every running entry."""
    urls = [
        url
        for number, url in enumerate(ENTRY_URLS, 1)
        if f'entry-{number}' in system.roles
    ]
    jobs = [job for job in callers.jobs if job.job_id]
    return {
        job.job_id: await asyncio.gather(
            *[callers.job_state(url, job, 5000) for url in urls]
        )
        for job in jobs
    }


def _later_violations(system, job, answers):
    for _, answer in answers:
        yield from _answer_violations(system, job, answer)
    # Status 404 means that the submission never reached the coordinator.
    outcomes = {
        'may_have_run' if status == 404 else answer.get('outcome')
        for status, answer in answers
    }
    if len(outcomes) != 1:
        yield f'entries answer differently: {answers}'
    # An answer may_have_run can later become definite; every other outcome is
    # final. If the record of a job is lost with its coordinator, its later
    # status is may_have_run.
    allowed = {job.outcome, 'may_have_run'}
    if job.outcome != 'may_have_run' and not outcomes <= allowed:
        yield f'answered {job.outcome}, later {outcomes}'


def _version_violations(system):
    for name, before, version in system.version_regressions:
        yield f'{name} went back from version {before} to {version}'
    last = {
        name: system.versions[role.hello.node, role.hello.incarnation]
        for name, role in system.roles.items()
    }
    accepted = sorted(
        (x.customer, x.version)
        for x in system.published
        if x.result == 'accepted'
    )
    newest = dict(accepted)
    if any(x != newest for x in last.values()):
        yield f'accepted versions are {newest}, but in use are {last}'


def outcome_counts(callers, from_s=0):
    """Count the jobs submitted from `from_s` seconds on, by outcome."""
    return Counter(x.outcome for x in callers.jobs if x.offered_s >= from_s)
