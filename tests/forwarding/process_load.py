"""Measures how long the event loop stands still and by how much the process grows."""

import asyncio
import os
import time
from pathlib import Path

SAMPLE_INTERVAL_S = 0.002
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int:
    """Return the memory of this process."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


class ProcessLoad:
    """Samples this process until it is closed.

    The stops of the event loop are measured in processor time of its thread, which
    other processes on the machine do not lengthen.
    """

    def __init__(self) -> None:
        self.longest_stop_s = 0.0
        self.first_bytes = 0
        self.peak_bytes = 0
        self.sampler: asyncio.Task | None = None

    @property
    def growth_bytes(self) -> int:
        """The largest growth since the start."""
        return self.peak_bytes - self.first_bytes

    async def __aenter__(self) -> "ProcessLoad":
        self.first_bytes = self.peak_bytes = resident_bytes()
        self.sampler = asyncio.create_task(self._sample())
        await asyncio.sleep(0)
        return self

    async def __aexit__(self, *error) -> None:
        await asyncio.sleep(2 * SAMPLE_INTERVAL_S)
        self.sampler.cancel()

    async def _sample(self) -> None:
        while True:
            slept_at = time.thread_time()
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            self.longest_stop_s = max(
                self.longest_stop_s, time.thread_time() - slept_at
            )
            self.peak_bytes = max(self.peak_bytes, resident_bytes())
