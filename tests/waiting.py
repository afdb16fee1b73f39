"""Waiting for a condition that other tasks bring about."""

import asyncio
from collections.abc import Callable

TIMEOUT_S = 10.0
INTERVAL_S = 0.01


async def until(condition: Callable[[], bool]) -> None:
    """Return when ``condition`` holds; fail after ``TIMEOUT_S``."""
    loop = asyncio.get_running_loop()
    end = loop.time() + TIMEOUT_S
    for _ in iter(lambda: bool(condition()), True):
        assert loop.time() < end, "the condition never held"
        await asyncio.sleep(INTERVAL_S)
