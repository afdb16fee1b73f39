"""Wait for a condition that other tasks establish."""

import asyncio
from collections.abc import Callable

TIMEOUT_S = 10.0
INTERVAL_S = 0.01


async def until(condition: Callable[[], bool]) -> None:
    """Wait until ``condition()`` is true; fail after ``TIMEOUT_S``."""
    loop = asyncio.get_running_loop()
    end = loop.time() + TIMEOUT_S
    for _ in iter(lambda: bool(condition()), True):
        assert loop.time() < end, "timed out waiting for the condition"
        await asyncio.sleep(INTERVAL_S)
