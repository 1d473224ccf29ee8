"""Reads a stream of the store, and reopens it after errors."""

import asyncio
from collections.abc import AsyncIterator, Callable
from random import Random
from typing import TypeVar

from loguru import logger

from limpetlanding.runs.ports import StoreUnavailable

FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 0.8
"""Pauses between attempts to reach the store. Outages of the store last some
seconds, and a change of the configuration must be in force within 2 s."""

Item = TypeVar('Item')


async def follow_stream(
    name: str,
    stream: Callable[[], AsyncIterator[Item]],
    handle: Callable[[Item], None],
    rng: Random,
) -> None:
    """Pass each item of a stream to `handle`; reopen the stream when it ends.

    Runs until it is cancelled. A line is logged when the store stops answering
    and when it answers again. After an unexpected error in the stream or in
    `handle` the stream is opened again.

    Parameters
    ----------
    name : str
        Name of the stream in the log.
    stream : callable
        Opens the stream, which raises `StoreUnavailable` on an error.
    handle : callable
        Receives each item.
    rng : random.Random
        Source of the jitter of the pauses.
    """
    pause_s = FIRST_PAUSE_S
    lost = False
    while True:
        try:
            async for item in stream():
                if lost:
                    logger.bind(step='store', stream=name).info(
                        'store reached again'
                    )
                lost = False
                pause_s = FIRST_PAUSE_S
                handle(item)
        except StoreUnavailable as error:
            if not lost:
                logger.bind(step='store', stream=name).info(
                    'store unavailable: {}', error
                )
            lost = True
        except Exception as error:
            # Neither an unreadable answer nor a fault in `handle` may end the
            # process.
            logger.bind(step='store', stream=name).opt(exception=error).error(
                'unexpected error'
            )
        await asyncio.sleep(pause_s * rng.uniform(0.5, 1))
        pause_s = min(2 * pause_s, MAX_PAUSE_S)
