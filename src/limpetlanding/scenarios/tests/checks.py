"""The promises, checked from the start record and the callers' record."""

import asyncio
from collections import Counter
from contextlib import suppress

from limpetlanding.scenarios.tests.load import ENTRIES
from limpetlanding.scenarios.tests.rig import IN_FORCE_S

OUTCOMES = {'complete', 'failed', 'not_run', 'may_have_run'}


async def problems(system, callers):
    """Return a sentence for each broken promise."""
    later = await _later(system, callers)
    with suppress(TimeoutError):
        async with asyncio.timeout(IN_FORCE_S):
            while list(_of_versions(system)):  # noqa: ASYNC110
                await asyncio.sleep(0.5)
    found = [
        f'{task_id} started {number} times'
        for task_id, number in system.starts.items()
        if number > 1
    ]
    for job in callers.jobs:
        found += [f'{job.job_id}: {x}' for x in _of_job(system, job)]
        answers = later.get(job.job_id, [])
        found += [f'{job.job_id}: {x}' for x in _of_later(system, job, answers)]
    return [*found, *_of_versions(system)]


def _of_job(system, job):
    if job.rejected:
        if any(system.starts[x] for x in job.task_ids):
            yield f'rejected, but started: {job.answer}'
    elif job.outcome not in OUTCOMES:
        yield f'no answer, last {job.status} {job.answer}'
    yield from _of_answer(system, job, job.answer)


def _of_answer(system, job, answer):
    started = [x for x in job.task_ids if system.starts[x]]
    if answer.get('outcome') == 'not_run' and started:
        yield f'not_run, but {started} started'
    if answer.get('outcome') == 'complete':
        if len(started) != len(job.tasks):
            yield f'complete, but only {started} started'
        if not _is_whole(job, answer):
            yield f'not whole: {answer}'


def _is_whole(job, answer):
    results = answer['results']
    payloads = [{'echo': task['payload']} for task in job.tasks]
    return (
        answer['id'] == job.job_id
        and answer['task_count'] == len(job.tasks)
        and [x['index'] for x in results] == list(range(len(job.tasks)))
        and [x['payload'] for x in results] == payloads
    )


async def _later(system, callers):
    """Ask for every job at every entry that runs."""
    urls = [
        url
        for number, url in enumerate(ENTRIES, 1)
        if f'entry-{number}' in system.roles
    ]
    jobs = [job for job in callers.jobs if job.job_id]
    return {
        job.job_id: await asyncio.gather(
            *[callers.state(url, job, 5000) for url in urls]
        )
        for job in jobs
    }


def _of_later(system, job, answers):
    for _, answer in answers:
        yield from _of_answer(system, job, answer)
    # 404: the submission never reached the coordinator.
    outcomes = {
        'may_have_run' if status == 404 else answer.get('outcome')
        for status, answer in answers
    }
    if len(outcomes) != 1:
        yield f'the entries differ: {answers}'
    # A told doubt may be settled later; anything else is final. A record may
    # also be lost with its coordinator, which leaves a doubt.
    allowed = {job.outcome, 'may_have_run'}
    if job.outcome != 'may_have_run' and not outcomes <= allowed:
        yield f'told {job.outcome}, later {outcomes}'


def _of_versions(system):
    for name, before, version in system.fallen:
        yield f'{name} went from version {before} to {version}'
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
        yield f'accepted was {newest}, but in force are {last}'


def summary(callers, from_s=0):
    """Return how many jobs offered from `from_s` on had each outcome."""
    return Counter(x.outcome for x in callers.jobs if x.offered_s >= from_s)
