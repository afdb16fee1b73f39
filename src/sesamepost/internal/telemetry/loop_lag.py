"""Detects when the event loop of a process runs late.

A process that lacks processor time answers late, and its own calls seem to time out.
The log line tells this case apart from an unresponsive store or peer.
"""

import asyncio
from collections import Counter

import structlog

from sesamepost.internal.clock import boottime
from sesamepost.internal.tasks import TaskOwner

CHECK_INTERVAL_S = 0.25
# Up to this lateness, no call between VMs misses its timeout.
LATE_THRESHOLD_S = 0.3

log = structlog.get_logger()


class LoopLag(TaskOwner):
    """Counts all checks and logs those later than ``LATE_THRESHOLD_S``."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()

    async def run(self) -> None:
        """Measure how late each wake-up is; never return."""
        while True:
            due_at = boottime() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.record(boottime() - due_at)

    def record(self, late_s: float) -> None:
        """Record the lateness of one check."""
        self.counters["checks"] += 1
        if late_s <= LATE_THRESHOLD_S:
            return
        self.counters["late"] += 1
        self.counters["late_ms"] += int(late_s * 1000)
        log.info("event_loop_late", late_s=round(late_s, 2))
