"""Obtains proofs that the local endpoint holds keys no longer."""

import asyncio
from typing import Protocol

import structlog

from sesamepost.internal.clock import boottime
from sesamepost.internal.ranges.commands import (
    EndpointCommands,
    EndpointGoneError,
    EndpointUnresponsiveError,
)
from sesamepost.internal.ranges.granting import GrantSender
from sesamepost.internal.ranges.heartbeat_holds import HeartbeatHolds
from sesamepost.internal.ranges.hold_ends import (
    CHECK_INTERVAL_S,
    HoldEnd,
    HoldEnds,
    HoldExpired,
    ReleaseAnswered,
    ReportedFree,
)
from sesamepost.internal.ranges.hold_times import HOLD_S
from sesamepost.internal.ranges.holds import HoldTracker
from sesamepost.internal.ranges.local_owner import LocalOwner
from sesamepost.internal.ranges.table import KeyRange
from sesamepost.internal.ranges.table_store import TableStore

RELEASE_RETRY_S = 0.3
# Requests that take longer than this are cut off when their hold ends.
TOTAL_RELEASE_TIMEOUT_S = HOLD_S + 1.0

log = structlog.get_logger()


class Releaser(Protocol):
    """Releases keys of the local endpoint."""

    async def release(self, holds: HoldTracker, first: int, last: int) -> HoldEnd:
        """Release owned keys; return the best proof that could be obtained.

        It may count only later, see ``hold_ends``.
        """


class CommandReleaser:
    """Sends release commands until the endpoint holds nothing or has ended."""

    def __init__(
        self,
        local: LocalOwner,
        tables: TableStore,
        commands: EndpointCommands,
        grants: GrantSender,
    ) -> None:
        self.local = local
        self.tables = tables
        self.commands = commands
        self.grants = grants

    async def release(self, holds: HoldTracker, first: int, last: int) -> HoldEnd:
        """Release the parts of all ranges of the endpoint between two keys."""
        await self.grants.wait_for(first, last)
        table = self.tables.table
        tokens = []
        for r in table.owned_by(self.local.vm) if table else []:
            if r.last < first or r.first > last or r.owner != self.local.owner:
                continue
            part = (max(first, r.first), min(last, r.last), r.fence)
            tokens.append(await self._release_part(holds, *part))
        return _end_by_tokens(holds, first, last, tokens)

    async def release_range(self, holds: HoldTracker, key_range: KeyRange) -> HoldEnd:
        """Release a range that the table gives to another owner."""
        first, last = key_range.first, key_range.last
        await self.grants.wait_for(first, last)
        token = await self._release_part(holds, first, last, key_range.fence)
        return _end_by_tokens(holds, first, last, [token])

    async def _release_part(
        self, holds: HoldTracker, first: int, last: int, fence: int
    ) -> str:
        """Release keys of one range; return the token, or "" if none was returned."""
        end = min(
            boottime() + TOTAL_RELEASE_TIMEOUT_S, holds.possible_until(first, last)
        )
        while boottime() < end and not self.local.ends.has_process_ended:
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


class HeartbeatReleaser:
    """Waits for heartbeats that prove a release.

    The answers to the heartbeats leave out the keys of all moves.
    """

    def __init__(self, ends: HoldEnds, heartbeat_holds: HeartbeatHolds) -> None:
        self.ends = ends
        self.heartbeat_holds = heartbeat_holds

    async def release(self, holds: HoldTracker, first: int, last: int) -> HoldEnd:
        """Wait until a heartbeat proves the release, or until the hold has ended."""
        # Later reports of the keys do not prolong the hold.
        expired = HoldExpired(holds.possible_until(first, last))
        release = asyncio.ensure_future(self.heartbeat_holds.release(first, last))
        try:
            while not release.done():
                remaining_s = expired.possible_until - boottime()
                if remaining_s <= 0 or self.ends.has_process_ended:
                    return expired
                timeout_s = min(remaining_s, CHECK_INTERVAL_S)
                await asyncio.wait({release}, timeout=timeout_s)
            return ReportedFree(release.result())
        finally:
            release.cancel()


def _end_by_tokens(
    holds: HoldTracker, first: int, last: int, tokens: list[str]
) -> HoldEnd:
    """Return the end of holds whose release commands were answered by ``tokens``."""
    if not tokens or not all(tokens):
        return HoldExpired(holds.possible_until(first, last))
    token = tokens[0] if len(tokens) == 1 else ""
    return ReleaseAnswered(token, holds.unanswered_until(first, last))
