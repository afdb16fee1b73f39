"""Releases ranges at the local endpoint that the table gives to another owner."""

import asyncio
from collections import Counter

import structlog

from sesamepost.internal.clock import boottime
from sesamepost.internal.ranges.holds import HoldTracker
from sesamepost.internal.ranges.local_owner import LocalOwner
from sesamepost.internal.ranges.releasing import CommandReleaser
from sesamepost.internal.ranges.table import KeyRange
from sesamepost.internal.tasks import cancel_all

log = structlog.get_logger()


class RangeReclaimer:
    """Takes ranges back whose hold has not ended though they were given to others."""

    def __init__(
        self, local: LocalOwner, releaser: CommandReleaser, counters: Counter[str]
    ) -> None:
        self.local = local
        self.releaser = releaser
        self.counters = counters
        self.tasks: set[asyncio.Task] = set()

    async def close(self) -> None:
        """Cancel the releases."""
        await cancel_all(self.tasks)

    def reclaim(self, key_range: KeyRange) -> None:
        """Release a range that the endpoint may still hold."""
        log.warning(
            "range_lost",
            first=key_range.first,
            last=key_range.last,
            fence=key_range.fence,
        )
        self.counters["ranges_lost"] += 1
        task = asyncio.ensure_future(self._release(self.local.holds, key_range))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _release(self, holds: HoldTracker, key_range: KeyRange) -> None:
        started_at = boottime()
        end = await self.releaser.release_range(holds, key_range)
        self.local.ends.log_released(
            holds, key_range.first, key_range.last, end, started_at
        )
