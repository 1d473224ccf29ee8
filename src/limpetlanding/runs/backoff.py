"""Repeats a stream of the store until cancelled."""

import asyncio
from collections.abc import AsyncIterator, Callable
from random import Random
from typing import TypeVar

from loguru import logger

from limpetlanding.runs.ports import StoreUnavailable

FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 0.8
"""Outages of the store last seconds, and a change of the configuration has to
be in force within two."""

Item = TypeVar('Item')


async def follow(
    name: str,
    stream: Callable[[], AsyncIterator[Item]],
    take: Callable[[Item], None],
    rng: Random,
) -> None:
    """Pass each item of a stream to `take`, and open it again when it ends.

    A line is logged when the store is lost and when it is back.

    Parameters
    ----------
    name : str
        What is followed, for the log.
    stream : callable
        Opens the stream; it ends with `StoreUnavailable`.
    take : callable
        Receives each item.
    rng : random.Random
        Jitter of the pauses.
    """
    pause_s = FIRST_PAUSE_S
    lost = False
    while True:
        try:
            async for item in stream():
                if lost:
                    logger.bind(step='store', stream=name).info('store is back')
                lost = False
                pause_s = FIRST_PAUSE_S
                take(item)
        except StoreUnavailable as error:
            if not lost:
                logger.bind(step='store', stream=name).info(
                    'store lost: {}', error
                )
            lost = True
        await asyncio.sleep(pause_s * rng.uniform(0.5, 1))
        pause_s = min(2 * pause_s, MAX_PAUSE_S)
