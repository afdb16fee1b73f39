"""Ends holds of the local endpoint by release commands."""

import asyncio

import structlog

from sesamepost.internal.clock import boottime
from sesamepost.internal.ranges.commands import (
    EndpointCommands,
    EndpointGoneError,
    EndpointUnresponsiveError,
)
from sesamepost.internal.ranges.holds import HOLD_S, HoldTracker

CHECK_INTERVAL_S = 0.25
RELEASE_RETRY_S = 0.3
# Requests that take longer than this are cut off when their hold ends.
TOTAL_RELEASE_TIMEOUT_S = HOLD_S + 1.0

log = structlog.get_logger()


class EndpointReleaser:
    """Sends release commands until the endpoint holds nothing or has ended.

    ``is_gone`` says that the endpoint's process has ended, so that its holds are void.
    """

    def __init__(self, commands: EndpointCommands) -> None:
        self.commands = commands
        self.is_gone = False

    async def release(
        self, holds: HoldTracker, first: int, last: int, fence: int
    ) -> str:
        """Release keys of one range; return the token, or "" if none was returned."""
        end = min(
            boottime() + TOTAL_RELEASE_TIMEOUT_S, holds.possible_until(first, last)
        )
        while boottime() < end and not self.is_gone:
            try:
                async with asyncio.timeout(max(0.05, end - boottime())):
                    return await self.commands.release(first, last, fence)
            except EndpointGoneError as error:
                log.info("release_refused", first=first, last=last, error=str(error))
                return ""
            except (EndpointUnresponsiveError, TimeoutError) as error:
                log.info(
                    "release_unanswered", first=first, last=last, error=repr(error)
                )
                await asyncio.sleep(RELEASE_RETRY_S)
        return ""

    async def sleep_until(self, end: float) -> None:
        """Wait until the time ``end`` or until the endpoint's process has ended."""
        while not self.is_gone:
            remaining_s = end - boottime()
            if remaining_s <= 0:
                return
            await asyncio.sleep(min(remaining_s, CHECK_INTERVAL_S))
