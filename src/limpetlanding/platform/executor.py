"""Client of the executor on the same machine."""

from typing import Any

import aiohttp
import orjson

from limpetlanding.platform.decode import (
    Malformed,
    decode_inventory,
    is_count,
    is_executor_id,
    load_object,
)
from limpetlanding.runs.ports import (
    CallTarget,
    ExecutorDown,
    ExecutorReplaced,
    ExecutorUnavailable,
    FenceRejected,
    Inventory,
    StartOrder,
    StartReply,
)

MAX_CONNECTIONS = 12
"""An executor accepts 64 connections. A few kept open are reused, so that calls
rarely open new ones."""

KEEP_ALIVE_S = 600
"""The platform charges for opening a connection, not for keeping it."""

_EXPECTED_ID_HEADER = 'X-Expect-Instance'
_EXECUTOR_ID_HEADER = 'X-Instance-Id'
_OK = 200
_CONFLICT = 409
_MISDIRECTED = 421
_START_STATUSES = frozenset((_OK, 400, _CONFLICT))
_UNHEALTHY_STATUSES = frozenset((429, 503))
_REFUSAL_REASONS = {'late': 'expired', 'old': 'outdated', 'room': 'full'}


class ExecutorClient:
    """HTTP client of the executor at one address.

    Parameters
    ----------
    address : str
        ``host:port`` of the executor.
    own_host : str
        Host of this process; empty if unknown.
    """

    def __init__(self, address: str, own_host: str = '') -> None:
        self.address = address
        self.is_local = address.rpartition(':')[0] == own_host
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=MAX_CONNECTIONS, keepalive_timeout=KEEP_ALIVE_S
            ),
            timeout=aiohttp.ClientTimeout(total=None),
        )

    async def start(self, to: CallTarget, order: StartOrder) -> StartReply:
        """Start a run; see `ExecutorPort`."""
        body = {
            'task': order.task,
            'run': order.run,
            'spec': order.spec,
            'deadlineMs': order.lease_until_ms,
        }
        if order.checkpoint:
            body['checkpoint'] = order.checkpoint
        status, content = await self._call('run-start', to, body)
        if status in _UNHEALTHY_STATUSES:
            return StartReply(None, 'unhealthy')
        if status not in _START_STATUSES:
            # It does not show whether the run has started.
            raise ExecutorUnavailable(
                f'status {status}', step='start', peer=self.address
            )
        fields = _load(content, self.address) if content else {}
        clock_ms = fields.get('clockMs')
        if not is_count(clock_ms):
            clock_ms = None
        if status == _OK:
            return StartReply(clock_ms)
        reason = fields.get('reason')
        # An odd reason may be of any type.
        known = reason if isinstance(reason, str) else ''
        return StartReply(clock_ms, _REFUSAL_REASONS.get(known, 'invalid'))

    async def stop(self, to: CallTarget, task: str, run: int) -> None:
        """Stop a run; see `ExecutorPort`."""
        status, _ = await self._call('run-stop', to, {'task': task, 'run': run})
        if status != _OK:
            raise ExecutorUnavailable(
                f'status {status}', step='stop', peer=self.address
            )

    async def inventory(
        self,
        to: CallTarget,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_ms: int,
    ) -> Inventory:
        """Renew the lease and list the runs; see `ExecutorPort`."""
        body = {'ackedThrough': acknowledged}
        if lease_until_ms is not None:
            body['deadlineMs'] = lease_until_ms
        if wait_ms:
            body['waitMs'] = wait_ms
        status, content = await self._call('hold', to, body)
        if status != _OK:
            raise ExecutorUnavailable(
                f'status {status}', step='look', peer=self.address
            )
        try:
            return decode_inventory(content)
        except Malformed as error:
            raise ExecutorUnavailable(
                error.detail, step='look', peer=self.address
            ) from error

    async def identify(self) -> str:
        """Return the id of the executor at the address; see `ExecutorPort`."""
        try:
            async with self.session.get(
                f'http://{self.address}/health'
            ) as response:
                await response.read()
                executor_id = response.headers.get(_EXECUTOR_ID_HEADER, '')
        except (aiohttp.ClientError, OSError) as error:
            raise ExecutorUnavailable(
                repr(error), step='identify', peer=self.address
            ) from error
        if not is_executor_id(executor_id):
            raise ExecutorUnavailable(
                f'status {response.status} without a usable id',
                step='identify',
                peer=self.address,
            )
        return executor_id

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def _call(
        self, name: str, to: CallTarget, body: dict[str, Any]
    ) -> tuple[int, bytes]:
        status, content = await self._post(
            name, to.executor_id, body | {'fencingToken': to.fence}
        )
        if status == _MISDIRECTED:
            raise ExecutorReplaced(
                'another executor is at the address',
                step=name,
                peer=self.address,
            )
        if status == _CONFLICT:
            _raise_if_fenced(content, name, self.address)
        return status, content

    async def _post(
        self, name: str, executor_id: str, body: dict[str, Any]
    ) -> tuple[int, bytes]:
        headers = {
            _EXPECTED_ID_HEADER: executor_id,
            'Content-Type': 'application/json',
        }
        try:
            async with self.session.post(
                f'http://{self.address}/api/{name}',
                data=orjson.dumps(body),
                headers=headers,
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, OSError) as error:
            # aiohttp raises one type of error for all failed connects.
            cause = getattr(error, 'os_error', error)
            is_down = isinstance(cause, ConnectionRefusedError)
            raise (ExecutorDown if is_down else ExecutorUnavailable)(
                repr(error), step=name, peer=self.address
            ) from error


def _raise_if_fenced(content: bytes, name: str, address: str) -> None:
    if _load(content, address).get('reason') == 'fence':
        raise FenceRejected(
            'the executor has seen a higher fencing token',
            step=name,
            peer=address,
        )


def _load(content: bytes, address: str) -> dict[str, Any]:
    try:
        return load_object(content, 'start')
    except Malformed as error:
        raise ExecutorUnavailable(
            error.detail, step='start', peer=address
        ) from error
