"""Carries out the moves that ``balance`` decides on."""

from typing import Protocol

import structlog

from sesamepost.internal.clock import boottime
from sesamepost.internal.ranges.balance import (
    MIN_BUSY,
    MIN_MOVE_INTERVAL_S,
    KeyCounts,
    OwnerLoad,
    choose_move,
    choose_target,
)
from sesamepost.internal.ranges.keeper import RangeKeeper
from sesamepost.internal.ranges.table import Owner
from sesamepost.internal.tasks import PeriodicTask

CHECK_INTERVAL_S = 0.25
# A target that just got keys has not shown their load yet.
SETTLE_S = 2.0
# Moves that only make answers faster are worth a call of each node's watch this often.
MIN_SPEED_INTERVAL_S = 4.0

log = structlog.get_logger()


class LocalLoad(Protocol):
    """The load of the endpoint beside this node."""

    key_counts: KeyCounts

    def busy(self) -> float:
        """Return the recent use of the slots."""

    def mean_s(self) -> float:
        """Return the recent mean time of a request."""


class PeerLoads(Protocol):
    """The loads that other nodes have reported."""

    def busy_of(self, vm: str, now: float) -> float | None:
        """Return the use of the slots, None if it is not known."""

    def mean_of(self, vm: str) -> float | None:
        """Return the mean time of a request, None if it is not known."""


class Balancing(PeriodicTask):
    """Moves keys from the local endpoint to others when it is the busier one."""

    interval_s = CHECK_INTERVAL_S

    def __init__(self, keeper: RangeKeeper, local: LocalLoad, loads: PeerLoads) -> None:
        self.keeper = keeper
        self.local = local
        self.loads = loads
        self.moved_at = 0.0
        self.settling: dict[Owner, float] = {}

    async def step(self) -> None:
        """Start a move if one is due."""
        keeper = self.keeper
        now = boottime()
        table = keeper.tables.table
        mine = keeper.owner
        if table is None or mine is None or keeper.is_leaving or keeper.moves:
            return
        if now - self.moved_at < MIN_MOVE_INTERVAL_S or not keeper.endpoint.is_ready:
            return
        sizes = table.keys_by_owner()
        ranges = [r for r in table.owned_by(keeper.vm) if r.owner == mine]
        if not ranges or not keeper.tables.mirror.in_contact:
            return
        my_load = OwnerLoad(
            mine, self.local.busy(), sizes.get(mine, 0), self.local.mean_s()
        )
        others = []
        for owner in keeper.other_owners():
            keys = sizes.get(owner, 0)
            busy = self.loads.busy_of(owner.vm, now)
            if now < self.settling.get(owner, 0.0) or (busy is None and keys):
                continue
            mean_s = self.loads.mean_of(owner.vm) or 0.0
            others.append(OwnerLoad(owner, busy or 0.0, keys, mean_s))
        target = choose_target(my_load, others)
        if target is None:
            return
        is_relief = my_load.busy >= MIN_BUSY or target.keys == 0
        if not is_relief and now - self.moved_at < MIN_SPEED_INTERVAL_S:
            return
        move = choose_move(my_load, target, ranges, self.local.key_counts)
        if move is None:
            return
        self.moved_at = now
        self.settling[move.target] = now + SETTLE_S
        log.info(
            "balance_move",
            first=move.first,
            last=move.last,
            target=move.target.vm,
            busy=round(my_load.busy, 2),
            target_busy=round(target.busy, 2),
        )
        keeper.move(move.first, move.last, move.target, "balance")
