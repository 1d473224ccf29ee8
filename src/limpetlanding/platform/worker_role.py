"""Service of a worker process."""

import asyncio
from random import SystemRandom

from loguru import logger

from limpetlanding.lifecycle.serving import run_http_server
from limpetlanding.platform.control import control_app
from limpetlanding.platform.executor import ExecutorClient
from limpetlanding.platform.roles import (
    DRAIN_SHARE,
    SHUTDOWN_TIMEOUT_S,
    background_task,
    closing,
    follow_settings,
    link_node,
    load_metrics_module,
    metrics_served,
    start_process,
    wait_for_stop,
)
from limpetlanding.platform.store import LogStore
from limpetlanding.runs.registration import Registration
from limpetlanding.runs.worker import Worker


async def run_worker() -> None:
    """Run tasks at the executor on this machine until SIGTERM, then drain."""
    settings, output = start_process('worker')
    stop = asyncio.Event()
    async with (
        link_node('worker', settings) as node,
        closing(LogStore(settings.store_address)) as store,
        closing(
            ExecutorClient(
                settings.executor_address, settings.address.rpartition(':')[0]
            )
        ) as port,
    ):
        worker = Worker(node, port, settings.stop_s)
        registration = Registration(
            worker, store, port, settings.pool, SystemRandom()
        )
        worker.seed_links.add(settings.seeds)
        await node.start()
        async with (
            run_http_server(
                control_app(worker),
                settings.control_address,
                SHUTDOWN_TIMEOUT_S,
            ),
            background_task(worker.run()),
            background_task(registration.run()),
            background_task(
                follow_settings(lambda x: worker.seed_links.add(x.seeds))
            ),
            metrics_served(
                settings,
                lambda: '' if worker.supervisor.reachable else 'no executor',
                lambda: load_metrics_module().worker_status(worker),
                stop.set,
                lambda: load_metrics_module().worker_metrics(worker, output),
            ),
        ):
            await wait_for_stop(stop)
            await worker.drain(settings.grace_s * DRAIN_SHARE)
        await worker.supervisor.close()
    logger.bind(step='stop').info('stopped')
