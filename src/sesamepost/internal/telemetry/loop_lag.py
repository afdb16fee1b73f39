"""Notes when the event loop of a process runs late.

A process that is short of processor time answers late, and its calls of others seem to
time out. The log line tells that apart from a store or a peer that is silent.
"""

import asyncio
from collections import Counter

import structlog

from sesamepost.internal.clock import boottime
from sesamepost.internal.tasks import TaskOwner

CHECK_INTERVAL_S = 0.25
# Below this lateness no timeout of a call between VMs is missed.
LATE_THRESHOLD_S = 0.3

log = structlog.get_logger()


class LoopLag(TaskOwner):
    """Counts all checks and logs those later than ``LATE_THRESHOLD_S``."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()

    async def run(self) -> None:
        """Compare the time of each wake-up with the time that was asked for."""
        while True:
            due_at = boottime() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.record(boottime() - due_at)

    def record(self, late_s: float) -> None:
        """Take the lateness of one check in seconds."""
        self.counters["checks"] += 1
        if late_s <= LATE_THRESHOLD_S:
            return
        self.counters["late"] += 1
        self.counters["late_ms"] += int(late_s * 1000)
        log.info("event_loop_late", late_s=round(late_s, 2))
