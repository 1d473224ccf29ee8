"""Service of a front process."""

import asyncio
from random import SystemRandom

from loguru import logger

from limpetlanding.lifecycle.serving import run_http_server
from limpetlanding.platform.ingress import client_app, readiness_app
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
from limpetlanding.runs.front import Front

BALANCER_DELAY_S = 2.5
"""Time until the load balancer sends no more requests to a stopping front. It
checks once a second and removes a front after two failed checks."""


async def run_front() -> None:
    """Serve clients until SIGTERM, then finish the jobs in progress."""
    settings, output = start_process('front')
    stop = asyncio.Event()
    async with (
        link_node('front', settings) as node,
        closing(LogStore(settings.store_address)) as store,
    ):
        front = Front(node, store, settings.seeds, SystemRandom())
        await node.start()
        async with (
            background_task(front.run()),
            run_http_server(
                readiness_app(front),
                settings.readiness_address,
                SHUTDOWN_TIMEOUT_S,
            ),
            run_http_server(
                client_app(front), settings.client_address, SHUTDOWN_TIMEOUT_S
            ),
            background_task(
                follow_settings(lambda x: front.add_seeds(x.seeds))
            ),
            metrics_served(
                settings,
                front.not_ready_reason,
                lambda: load_metrics_module().front_status(front),
                stop.set,
                lambda: load_metrics_module().front_metrics(front, output),
            ),
        ):
            await wait_for_stop(stop)
            front.begin_stop(settings.grace_s * DRAIN_SHARE)
            await _finish_jobs(front)
            logger.bind(step='stop', jobs=len(front.dispatcher.jobs)).info(
                'closing connections'
            )
    logger.bind(step='stop').info('stopped')


async def _finish_jobs(front: Front) -> None:
    loop = asyncio.get_running_loop()
    balancer_informed_at = loop.time() + BALANCER_DELAY_S
    while loop.time() < front.stop_deadline:
        if not front.dispatcher.jobs and loop.time() > balancer_informed_at:
            return
        await asyncio.sleep(0.05)
