"""Answers the heartbeats of an endpoint that takes its holds with the answers."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

import structlog

from sesamepost.internal.clock import boottime
from sesamepost.internal.ranges.fence_writes import FenceWriter
from sesamepost.internal.ranges.grant_right import GrantRight
from sesamepost.internal.ranges.heartbeat_holds import (
    ANSWER_DELAY_S,
    HeartbeatHolds,
    HoldOrder,
    HoldReport,
)
from sesamepost.internal.ranges.local_owner import LocalOwner
from sesamepost.internal.ranges.moving import RangeMover

# An answer that orders nothing new waits this long for a change, so that a range which
# moves here need not wait for the next heartbeat. It must arrive within a second, and
# its holds run from when the heartbeat was sent.
ANSWER_WAIT_S = 0.5
MAX_LOGGED_RANGES = 8

log = structlog.get_logger()


class HeartbeatAnswers:
    """Turns each heartbeat into the order that its answer carries.

    ``step`` brings the holds in line with the table, ``wait_for_step`` waits until that
    was done again or until a timeout. ``on_ordered`` is called once the endpoint has
    read an answer.
    """

    def __init__(
        self,
        local: LocalOwner,
        right: GrantRight,
        heartbeat_holds: HeartbeatHolds,
        mover: RangeMover,
        writer: FenceWriter,
        counters: Counter[str],
    ) -> None:
        self.local = local
        self.right = right
        self.heartbeat_holds = heartbeat_holds
        self.mover = mover
        self.writer = writer
        self.counters = counters
        self.step: Callable[[], None] = lambda: None
        self.wait_for_step: Callable[[float], Awaitable[None]] = asyncio.sleep
        self.on_ordered: Callable[[], None] = lambda: None
        # First key, last key and fence of each range of the last order, None if the
        # last answer renewed nothing.
        self.ordered_ranges: tuple[tuple[int, int, int], ...] | None = None

    async def answer(self, report: HoldReport) -> HoldOrder | None:
        """Return what the endpoint is to hold, or None if the answer renews nothing."""
        local, tables = self.local, self.right.tables
        holds = local.holds
        self.heartbeat_holds.note_report(holds, report, boottime())
        self.step()
        await self._wait_for_new_order()
        table = tables.table
        if table is None or not local.is_confirmed or local.holds is not holds:
            return None
        if local.is_end_reported or self.writer.is_claiming:
            return None
        owned = table.owned_by(local.vm)
        if not self.right.covers_all(owned):
            return None
        local.set_ranges(owned)
        order = self.heartbeat_holds.order(
            holds, list(self.mover.moves), self.right.until, boottime()
        )
        self._note_order(order)
        self.mover.hand_over(self.heartbeat_holds.left_out, "the answer is full")
        self._note_read(boottime() + ANSWER_DELAY_S)
        return order

    def _note_read(self, read_at: float) -> None:
        """Call ``on_ordered`` at ``read_at``.

        A timer may fire early by some milliseconds. Nobody would wake those who wait
        for a hold that counts only from then on.
        """
        remaining_s = read_at - boottime()
        if remaining_s <= 0:
            self.on_ordered()
            return
        loop = asyncio.get_running_loop()
        loop.call_later(remaining_s, self._note_read, read_at)

    async def _wait_for_new_order(self) -> None:
        """Wait while the endpoint is to hold the same as by the last order.

        An endpoint that leaves or still has to release keys is answered immediately.
        """
        end = boottime() + ANSWER_WAIT_S
        while (remaining_s := end - boottime()) > 0 and self._is_order_unchanged():
            await self.wait_for_step(remaining_s)

    def _is_order_unchanged(self) -> bool:
        if not self.local.is_serving:
            return False
        if self.writer.writes:
            return True
        if self.mover.moves or self.ordered_ranges is None:
            return False
        holds = self.local.holds.holds
        wanted = {key for key, hold in holds.items() if hold.is_grantable}
        return wanted == set(self.ordered_ranges)

    def _note_order(self, order: HoldOrder | None) -> None:
        """Count an order, and log it if it differs from the one before."""
        self.counters["orders" if order else "heartbeats_without_order"] += 1
        ranges = None
        if order is not None:
            ranges = tuple((r.first, r.last, r.fence) for r in order.ranges)
        if ranges == self.ordered_ranges:
            return
        before = set(self.ordered_ranges or ())
        self.ordered_ranges = ranges
        log.info(
            "holds_ordered",
            ranges=0 if ranges is None else len(ranges),
            added=[r for r in ranges or () if r not in before][:MAX_LOGGED_RANGES],
            left_out=sorted(before - set(ranges or ()))[:MAX_LOGGED_RANGES],
            hold_s=round(order.hold_s, 2) if order else 0.0,
            renewed_ago_s=round(boottime() - self.right.registration.renewed_at, 2),
            revision=self.right.tables.revision,
        )
