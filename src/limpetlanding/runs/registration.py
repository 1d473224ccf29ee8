"""Registers a worker in the store.

Fronts find the worker by its record. A worker that has restarted looks up there
whether its executor is still the same one. If so, it stops the runs of its
earlier incarnation before the next announcement, which may take 1.5 s. It
starts none: the capacity may have changed since it was recorded.
"""

import asyncio
from dataclasses import replace
from random import Random

from loguru import logger

from limpetlanding.runs.background import errors_logged
from limpetlanding.runs.backoff import FIRST_PAUSE_S, MAX_PAUSE_S
from limpetlanding.runs.model import Resources
from limpetlanding.runs.ports import (
    NOT_ANNOUNCED,
    CallTarget,
    Executor,
    ExecutorPort,
    ExecutorReplaced,
    ExecutorUnavailable,
    FenceRejected,
    StorePort,
    StoreUnavailable,
    WorkerRecord,
)
from limpetlanding.runs.worker import Worker

PROBE_INTERVAL_S = 0.1
"""Interval and timeout of calls to an executor that does not answer yet."""


class Registration:
    """Maintains the record of a worker, and reads it after a restart.

    Parameters
    ----------
    worker : Worker
        The worker to register.
    store : StorePort
        The store.
    port : ExecutorPort
        Calls to the executor.
    pool : str
        Pool of the machine according to its settings; empty if unknown.
    rng : random.Random
        Source of the jitter of the pauses.
    """

    def __init__(
        self,
        worker: Worker,
        store: StorePort,
        port: ExecutorPort,
        pool: str,
        rng: Random,
    ) -> None:
        self.worker = worker
        self.store = store
        self.port = port
        self.pool = pool
        self.rng = rng
        self.announced = asyncio.Event()
        worker.on_announce = self.announced.set

    async def run(self) -> None:
        """Read the record, use it, and keep it up to date until cancelled."""
        pause_s = FIRST_PAUSE_S
        while True:
            with errors_logged('register'):
                await self._maintain_while_reachable()
            await asyncio.sleep(pause_s * self.rng.uniform(0.5, 1))
            pause_s = min(2 * pause_s, MAX_PAUSE_S)

    async def _maintain_while_reachable(self) -> None:
        try:
            await self._maintain_record()
        except StoreUnavailable as error:
            logger.bind(step='register').info(
                'worker not registered: {}', error
            )

    async def _maintain_record(self) -> None:
        hello = self.worker.node.hello
        record = await self.store.worker(hello.node)
        current = WorkerRecord(
            hello.node, hello.address, failure_domain=hello.failure_domain
        )
        if record is None or record.address != hello.address:
            record = current
            await self.store.register_worker(record)
        elif record.capacity is not None and record.executor and self.pool:
            await self._use_recorded_executor(record)
        while True:
            await self.announced.wait()
            self.announced.clear()
            executor = self.worker.supervisor.executor
            if executor is None or executor.capacity == Resources():
                continue
            newest = replace(
                current,
                capacity=executor.capacity,
                executor=executor.incarnation,
                draining=executor.draining,
            )
            if newest != record:
                await self.store.register_worker(newest)
                record = newest

    async def _use_recorded_executor(self, record: WorkerRecord) -> None:
        supervisor = self.worker.supervisor
        # An executor that has announced itself to this process may have left.
        while not supervisor.generation:
            try:
                async with asyncio.timeout(PROBE_INTERVAL_S):
                    executor_id = await self.port.identify()
                    to = CallTarget(executor_id, supervisor.fence)
                    inventory = await self.port.inventory(to, 0, None, 0)
            except FenceRejected:
                # The supervisor raises its token once it knows the executor.
                return
            except (ExecutorUnavailable, ExecutorReplaced, TimeoutError):
                await asyncio.sleep(PROBE_INTERVAL_S)
                continue
            executor = Executor(
                executor_id=executor_id,
                start_time_ms=inventory.start_time_ms,
                pool=self.pool,
                # Unknown until the announcement, like the labels.
                capacity=Resources(),
                labels=(),
                draining=record.draining,
                sequence=NOT_ANNOUNCED,
            )
            is_recorded = executor.incarnation == record.executor
            if (
                is_recorded
                and inventory.start_time_ms
                and not supervisor.generation
            ):
                supervisor.handle_announcement(executor)
                logger.bind(step='register', peer=executor.incarnation).info(
                    'executor known from the record'
                )
            break
