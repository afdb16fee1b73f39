"""Hands ranges of the local endpoint over to other owners."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import replace

import structlog

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.nodes import NodeTable
from sesamepost.internal.ranges.balance import Move
from sesamepost.internal.ranges.local_owner import LocalOwner
from sesamepost.internal.ranges.placement import Placement, owner_on
from sesamepost.internal.ranges.releasing import Releaser
from sesamepost.internal.ranges.table import (
    KeyRange,
    Owner,
    RangeTable,
    distribute,
    reassign,
)
from sesamepost.internal.ranges.table_store import TableStore
from sesamepost.internal.tasks import cancel_all

MOVE_RETRY_S = 0.25

# Returns the table after a move with the handover token, or None if it is not possible.
MoveTransform = Callable[[RangeTable, str], RangeTable | None]

log = structlog.get_logger()


class RangeMover:
    """Releases ranges, waits for the proof of that and writes their next owners.

    With ``is_stopped_first``, no more grants of a range are sent once its move has
    started. Otherwise the range is served until the answer that leaves it out.
    ``on_moved`` is called with the first and last key after each move; ``wake`` is set
    when the holds need another step.
    """

    def __init__(
        self,
        local: LocalOwner,
        tables: TableStore,
        nodes: NodeTable,
        releaser: Releaser,
        wake: asyncio.Event,
        is_stopped_first: bool,
        placement: Placement,
    ) -> None:
        self.local = local
        self.tables = tables
        self.nodes = nodes
        self.releaser = releaser
        self.wake = wake
        self.is_stopped_first = is_stopped_first
        self.placement = placement
        self.moves: dict[tuple[int, int], asyncio.Task] = {}
        # Earliest time of the next handover of ranges whose move failed.
        self.retry_at: dict[tuple[int, int], float] = {}
        self.on_moved: Callable[[int, int], None] = lambda first, last: None

    async def close(self) -> None:
        """Cancel the moves."""
        await cancel_all(self.moves.values())

    def is_moving(self, key: int) -> bool:
        """Return whether ``key`` is being moved to another owner."""
        return any(first <= key <= last for first, last in self.moves)

    def other_owners(self) -> list[Owner]:
        """Return the other endpoints that may own keys of the service.

        An endpoint that is not to hold ranges any more leaves them to any other rather
        than to none.
        """
        service = self.tables.service
        others = [
            node
            for node in self.nodes.endpoints_of(service)
            if node.vm != self.local.vm and not node.is_stopping
        ]
        found = self.placement.eligible(service, others)
        if not found and not self.local.is_serving:
            found = self.placement.best(service, others)
        return [owner_on(node) for node in found]

    def receivers(self) -> list[Owner]:
        """Return the other owners that balance may give keys now."""
        nodes = self.nodes.endpoints_of(self.tables.service)
        returning = {n.vm for n in nodes if self.placement.is_returning(n, nodes)}
        return [owner for owner in self.other_owners() if owner.vm not in returning]

    def move(self, moves: Sequence[Move], reason: str) -> None:
        """Hand adjacent key ranges over to the targets of ``moves`` in one step."""
        owner = self.local.owner
        first = min(move.first for move in moves)
        last = max(move.last for move in moves)

        def transform(table: RangeTable, token: str) -> RangeTable | None:
            overlapping = [
                r for r in table.ranges if r.first <= last and first <= r.last
            ]
            if any(r.owner != owner for r in overlapping):
                return None
            for move in moves:
                table = reassign(table, move.first, move.last, move.target, token)
            return table

        self._start(first, last, reason, transform)

    def hand_over(self, ranges: list[KeyRange], reason: str) -> None:
        """Distribute ranges to the other owners, if there are any."""
        if not ranges or not self.other_owners():
            return
        now = boottime()
        for r in ranges:
            if now >= self.retry_at.get((r.first, r.last), 0.0):
                self._start(r.first, r.last, reason, self._distribute(r))

    def _distribute(self, old: KeyRange) -> MoveTransform:
        def transform(table: RangeTable, token: str) -> RangeTable | None:
            others = self.other_owners()
            r = table.find(old.first)
            if not others or r.owner != old.owner:
                return None
            orphan = replace(r, handover=token)
            return distribute(table, [orphan], others)

        return transform

    def _start(
        self, first: int, last: int, reason: str, transform: MoveTransform
    ) -> None:
        if any(begin <= last and first <= end for begin, end in self.moves):
            return
        if self.is_stopped_first:
            self.local.holds.start_release(first, last)
        task = asyncio.ensure_future(self._move(first, last, reason, transform))
        self.moves[first, last] = task
        self.wake.set()

    async def _move(
        self, first: int, last: int, reason: str, transform: MoveTransform
    ) -> None:
        log.info("move_started", first=first, last=last, reason=reason)
        holds, started_at = self.local.holds, boottime()
        is_moved = False
        try:
            end = await self.releaser.release(holds, first, last)
            token = await self.local.ends.wait_until_free(
                holds, first, last, end, started_at
            )
            holds.note_released(first, last)
            is_moved = await self.tables.change(
                reason, lambda table: table and transform(table, token)
            )
            if is_moved:
                self.on_moved(first, last)
        finally:
            if self.is_stopped_first and not is_moved:
                holds.stop_release(first, last)
            self.moves.pop((first, last), None)
            self.retry_at.pop((first, last), None)
            if not is_moved:
                if self.tables.has_unanswered_write(first, last):
                    # The store may still carry out the move. A write of a higher fence
                    # either makes it void or conflicts with it.
                    holds.require_higher_fence(first, last)
                # The range may come from an update that the mirror does not have yet.
                self.retry_at[first, last] = boottime() + MOVE_RETRY_S
            self.wake.set()
