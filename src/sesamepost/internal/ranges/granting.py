"""Sends the grants that are due to the local endpoint."""

import asyncio
from collections import Counter
from collections.abc import Callable
from functools import partial

import structlog
from structlog.contextvars import bind_contextvars

from sesamepost.internal.clock import boottime
from sesamepost.internal.ranges.commands import (
    EndpointCommands,
    EndpointGoneError,
    EndpointUnconfirmedError,
    EndpointUnresponsiveError,
    FenceBoundError,
    GrantDelayedError,
)
from sesamepost.internal.ranges.fence_groups import FenceGroups
from sesamepost.internal.ranges.grant_right import GrantRight
from sesamepost.internal.ranges.hold_times import GrantCommand
from sesamepost.internal.ranges.holds import HoldTracker
from sesamepost.internal.ranges.local_owner import LocalOwner
from sesamepost.internal.ranges.table import KeyRange
from sesamepost.internal.tasks import cancel_all

log = structlog.get_logger()


class GrantSender:
    """Grants and renews the holds of the local endpoint by commands.

    ``on_granted`` is called after each grant that the endpoint has accepted, ``wake``
    is set when the holds need another step.
    """

    def __init__(
        self,
        local: LocalOwner,
        right: GrantRight,
        commands: EndpointCommands,
        wake: asyncio.Event,
        on_granted: Callable[[], None],
        counters: Counter[str],
    ) -> None:
        self.local = local
        self.right = right
        self.commands = commands
        self.wake = wake
        self.on_granted = on_granted
        self.counters = counters
        self.fences = FenceGroups()
        self.knows_inherited_fences = False
        # The grants in flight, by first key, last key and fence.
        self.pending: dict[tuple[int, int, int], asyncio.Task] = {}

    async def close(self) -> None:
        """Cancel the grants in flight."""
        await cancel_all(self.pending.values())

    def note_missing_table(self) -> None:
        """Record that no table exists, so no process has sent a fence of it."""
        self.knows_inherited_fences = True

    def note_fences(self, fences: list[int]) -> None:
        """Record the fences in use; a previous process may have sent the first ones."""
        if not self.knows_inherited_fences:
            self.knows_inherited_fences = True
            self.fences.note_inherited(fences)
        self.fences.keep_only(fences)

    def send_due(self) -> None:
        """Send the grants that are due and covered by the right of the node."""
        now = boottime()
        holds = self.local.holds
        commands = holds.due_grants(self.right.until, now)
        self.right.covers_all([command.key_range for command in commands])
        for command in commands:
            r = command.key_range
            key = r.first, r.last, r.fence
            if not self.right.covers(r) or key in self.pending:
                continue
            holds.note_sent(command, now)
            self.pending[key] = asyncio.ensure_future(self._grant(key, command, now))

    async def wait_for(self, first: int, last: int) -> None:
        """Wait for grants in flight, which could be accepted after a release."""
        pending = [
            task
            for (begin, end, _), task in self.pending.items()
            if begin <= last and first <= end
        ]
        if pending:
            await asyncio.wait(pending)

    async def _grant(
        self, key: tuple[int, int, int], command: GrantCommand, planned_at: float
    ) -> None:
        r = command.key_range
        holds = self.local.holds
        sent_at = boottime()
        self.counters["grants"] += 1
        if r.owner is not None:
            # The lines of this task name the incarnation that the grant is meant for.
            bind_contextvars(
                endpoint=r.owner.endpoint_id,
                born=r.owner.born,
                first=r.first,
                fence=r.fence,
            )
        try:
            is_granted = await self.commands.grant(
                r.first,
                r.last,
                r.fence,
                command.end,
                r.handover,
                partial(self._may_send, r),
            )
        except EndpointUnresponsiveError as error:
            self.counters["grants_unanswered"] += 1
            holds.note_unanswered(command, error.hold_end)
            log.info(
                "grant_unanswered",
                first=r.first,
                fence=r.fence,
                planned_ago_s=round(boottime() - planned_at, 3),
                error=str(error),
            )
            return
        except FenceBoundError as error:
            self._require_fences_for(error.group)
            return
        except (
            EndpointGoneError,
            EndpointUnconfirmedError,
            GrantDelayedError,
        ) as error:
            self.counters["grants_not_sent"] += 1
            log.info("grant_not_sent", first=r.first, error=str(error))
            return
        finally:
            self.pending.pop(key, None)
        if is_granted:
            self._note_granted(holds, command, planned_at, sent_at)
        else:
            log.warning("grant_refused", first=r.first, last=r.last, fence=r.fence)
            holds.note_refused(command)
            self.wake.set()

    def _note_granted(
        self,
        holds: HoldTracker,
        command: GrantCommand,
        planned_at: float,
        sent_at: float,
    ) -> None:
        r = command.key_range
        hold = holds.find(r.first)
        is_current = r.owner == self.local.owner
        if not is_current:
            self.counters["grants_of_former_incarnations"] += 1
        is_new = hold is not None and not hold.is_accepted
        is_start = hold is not None and hold.certain_until < sent_at
        if is_new or is_start or not is_current:
            log.info(
                "granted",
                first=r.first,
                last=r.last,
                fence=r.fence,
                **self.right.revisions_of(r),
                is_current=is_current,
                planned_ago_s=round(boottime() - planned_at, 3),
                answered_after_s=round(boottime() - sent_at, 3),
            )
        holds.note_granted(command, sent_at)
        self.on_granted()

    def _may_send(self, key_range: KeyRange, group: int) -> bool:
        """Return whether a grant of a range may be sent over a group now.

        It may have waited for a connection, and the range be leaving meanwhile.
        """
        hold = self.local.holds.find(key_range.first)
        if hold is None or hold.key_range.fence != key_range.fence:
            return False
        if hold.is_releasing or not self.local.is_serving:
            return False
        return self.fences.claim(key_range.fence, group)

    def _require_fences_for(self, group: int) -> None:
        """Request higher fences for ranges whose fences may not be sent over a group.

        They may have been sent to an earlier incarnation of the endpoint.
        """
        bound = [
            hold
            for hold in self.local.holds.holds.values()
            if not hold.is_refused
            and not self.fences.is_claimable(hold.key_range.fence, group)
        ]
        if not bound:
            return
        self.counters["fences_bound"] += len(bound)
        log.info("fences_bound", group=group, ranges=len(bound))
        for hold in bound:
            hold.is_refused = True
        self.wake.set()
