"""Messages of the users' platform and its clients, for tests and the soak."""

from typing import Any

import aiohttp
import orjson

from limpetlanding.standin.platform_executor import StandinExecutor

PORTS_PER_MACHINE = 10

MAX_ATTEMPTS = 2
"""Failed runs of a task after which its job has failed."""


def configuration(
    version: int, host: str, prefix: str, pool: str, **changes: Any
) -> dict[str, Any]:
    """Return a configuration with one queue.

    Parameters
    ----------
    version : int
        Version of the configuration.
    host, prefix, pool : str
        Host and path prefix of the queue, and the pool that runs its tasks.
    changes : object
        Further or different fields of the queue, under the platform's names.
    """
    route = {
        'name': 'r1',
        'host': host,
        'pathPrefix': prefix,
        'service': pool,
        'maxAttempts': MAX_ATTEMPTS,
        'stretch': 1.6,
        'targetLatencyMs': 60,
    }
    return {
        'version': version,
        'routes': [route | changes],
        'services': [{'name': pool}],
        'limits': {'maxBodyBytes': 20_000},
    }


def submission(count: int, **changes: Any) -> dict[str, Any]:
    """Return a best-effort job with one step of `count` tasks.

    Parameters
    ----------
    count : int
        Number of tasks.
    changes : object
        Further or different fields of the step, under the platform's names.
    """
    step = {'count': count, 'cpu': 3000, 'memMb': 64, 'estimateMs': 100}
    return {'spec': 'x', 'bestEffort': True, 'pipeline': [step | changes]}


def headers(host: str, wait_ms: int) -> dict[str, str]:
    """Return the headers of a client that waits `wait_ms` milliseconds."""
    return {'Host': host, 'X-Deadline-Ms': str(wait_ms)}


def process_settings(
    name: str,
    host: str,
    failure_domain: str,
    first_port: int,
    store: str,
    **changes: Any,
) -> dict[str, Any]:
    """Return the content of a settings file.

    Parameters
    ----------
    name, host, failure_domain : str
        Name, IP address and failure domain of the machine.
    first_port : int
        First port of the machine's range; it is used for links.
    store : str
        Address of the store, ``host:port``.
    changes : object
        Further or different fields, under the platform's names.
    """
    return {
        'nodeName': name,
        'ip': host,
        'zone': failure_domain,
        'region': 'r',
        'portRange': [first_port, first_port + PORTS_PER_MACHINE - 1],
        'platform': {'address': store},
        'bounds': {'graceS': 6, 'stopGraceMs': 50},
        **changes,
    }


async def announce(
    session: aiohttp.ClientSession,
    control: str,
    executor: StandinExecutor,
    fields: dict[str, Any],
) -> int | None:
    """Send one heartbeat of an executor to its worker.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session that sends the request.
    control : str
        Control address of the worker, ``host:port``.
    executor : StandinExecutor
        Executor that announces itself.
    fields : dict
        Body of the announcement.

    Returns
    -------
    int or None
        Status of the answer; None if there was no answer.
    """
    url = f'http://{control}/api/instances/{executor.executor_id}'
    try:
        async with session.put(url, data=orjson.dumps(fields)) as response:
            await response.read()
            return response.status
    except (aiohttp.ClientError, OSError):
        # The worker may be down; the caller announces again later.
        return None
