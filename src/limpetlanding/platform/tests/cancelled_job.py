"""A job that the tests of cancellations start and cancel."""

import asyncio

from limpetlanding.platform.tests.rig import body

JOB = '5c0e7a21d94b36f8'
PATH = f'/quote/{JOB}'
FAILED = (200, {'state': 'failed'})
OK = 200
GONE = 410
WAIT_MS = 9000
START_S = 0.3
WORK_S = 1


async def start_job(system, front=0):
    """Start a job of four steps at a front."""
    for executor in system.executors:
        executor.work_s = lambda _: WORK_S
    content = body(1, estimateMs=1000)
    (step,) = content['pipeline']
    content['pipeline'] = [
        step | ({'dependsOn': [number - 1]} if number else {})
        for number in range(4)
    ]
    job = asyncio.create_task(system.submit(JOB, content, WAIT_MS, front=front))
    await asyncio.sleep(START_S)
    assert JOB in system.fronts[front].dispatcher.jobs
    return job


async def cancel(system, front):
    """Send a DELETE; return status, headers and elapsed seconds."""
    loop = asyncio.get_running_loop()
    begin = loop.time()
    status, _, answer_headers = await system.call('DELETE', PATH, front=front)
    return status, answer_headers, loop.time() - begin
