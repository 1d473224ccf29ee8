"""Load of a scenario, and a record of the answers to its callers."""

import asyncio
from dataclasses import dataclass, field

import aiohttp

from limpetlanding.scenarios.tests.system import KEYS

ENTRY_URLS = ('http://127.0.0.1:8001', 'http://127.0.0.1:8002')
MAX_ATTEMPTS = 12
DEADLINE_MS = 5000
# Errors of the request itself; sending it again gives the same answer.
REJECTED_STATUSES = (400, 401, 403, 409, 413)
# Longer than the deadline and the margin of the entry together, so that only a
# connection without any answer makes a caller time out.
ATTEMPT_TIMEOUT_S = 8


@dataclass
class Job:
    """One job, its attempts and its answer."""

    customer: str
    tasks: list
    first_entry: int
    # In seconds after the start of the load.
    offered_s: float
    job_id: str = ''
    status: int = 0
    answer: dict = field(default_factory=dict)
    # Number of requests whose connection broke after they were sent.
    cut: int = 0

    @property
    def outcome(self):
        return self.answer.get('outcome')

    @property
    def rejected(self):
        """Whether the request was rejected without a state of the job."""
        return self.status in REJECTED_STATUSES and self.outcome is None

    @property
    def task_ids(self):
        return [f'{self.job_id}/{index}' for index in range(len(self.tasks))]


class Callers:
    """Callers that, without an answer, resubmit a job at the other entry.

    The job keeps its id.
    """

    def __init__(self, system, session):
        self.system = system
        self.rng = system.rng
        self.session = session
        self.jobs = []
        self.unfinished = set()
        self.started_at = system.loop.time()

    def task(self, work_ms=None, **fields):
        work_ms = work_ms or self.rng.choice((50, 100, 200, 400))
        nonce = self.rng.getrandbits(40)
        payload = {'work_ms': work_ms, 'nonce': nonce}
        return {'kind': 'cut', 'payload': payload, 'run_ms': work_ms} | fields

    def offer(self, tasks):
        """Submit a job in the background."""
        customer = self.rng.choice(tuple(KEYS))
        offered_s = self.system.loop.time() - self.started_at
        job = Job(customer, tasks, self.rng.randrange(2), offered_s)
        self.jobs.append(job)
        task = asyncio.create_task(self._run(job))
        self.unfinished.add(task)
        task.add_done_callback(self.unfinished.discard)

    async def offer_steadily(self, jobs_per_s=6):
        """Submit jobs of 1 to 3 tasks at random times until cancelled."""
        while True:
            await asyncio.sleep(self.rng.expovariate(jobs_per_s))
            self.offer([self.task() for _ in range(self.rng.randint(1, 3))])

    async def call(
        self, job, method, url, timeout_s=ATTEMPT_TIMEOUT_S, **options
    ):
        headers = {'Authorization': f'Bearer {KEYS[job.customer]}'}
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        async with self.session.request(
            method, url, headers=headers, timeout=timeout, **options
        ) as response:
            return response.status, await response.json(content_type=None)

    async def _run(self, job):
        for attempt in range(MAX_ATTEMPTS):
            url = ENTRY_URLS[(job.first_entry + attempt) % 2]
            try:
                if await self._attempt(job, url):
                    return
            except aiohttp.ClientConnectorError:
                pass
            except aiohttp.ClientError:
                job.cut += 1
            except TimeoutError:
                pass
            await asyncio.sleep(self.rng.uniform(0.2, 0.6))

    async def _attempt(self, job, url):
        if not job.job_id:
            status, body = await self.call(
                job, 'POST', f'{url}/v1/ids', 3, json={'count': 1}
            )
            if status != 200:
                return False
            (job.job_id,) = body['ids']
        body = {
            'id': job.job_id,
            'tasks': job.tasks,
            'deadline_ms': DEADLINE_MS,
        }
        answered = await self.call(job, 'POST', f'{url}/v1/jobs', json=body)
        while answered[0] == 202:
            answered = await self.job_state(url, job, 5000)
        job.status, job.answer = answered
        return job.outcome is not None or job.rejected

    async def job_state(self, url, job, wait_ms=0):
        query = f'{url}/v1/jobs/{job.job_id}?wait_ms={wait_ms}'
        return await self.call(job, 'GET', query)

    async def cancel_all(self):
        """Cancel every job that has no answer yet."""
        waiting = [x for x in self.jobs if x.job_id and not x.outcome]
        await asyncio.gather(
            *[
                self.call(
                    x,
                    'DELETE',
                    f'{ENTRY_URLS[x.first_entry]}/v1/jobs/{x.job_id}',
                )
                for x in waiting
            ],
            return_exceptions=True,
        )
