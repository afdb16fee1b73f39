"""Carries out the moves that ``balance`` chooses."""

from collections.abc import Callable, Iterable
from typing import Protocol

import structlog

from sesamepost.internal.clock import boottime
from sesamepost.internal.ranges.balance import (
    MAX_TARGETS,
    MIN_BUSY,
    MIN_MOVE_INTERVAL_S,
    KeyCounts,
    Move,
    OwnerLoad,
    choose_move,
    choose_relief,
    choose_target,
    relief_moves,
)
from sesamepost.internal.ranges.keeper import RangeKeeper
from sesamepost.internal.ranges.table import KeyRange, Owner, RangeTable
from sesamepost.internal.tasks import PeriodicTask

CHECK_INTERVAL_S = 0.25
# The reported load of a target does not include keys that it has just received.
SETTLE_S = 2.0
# Every move wakes the watches of all nodes, so moves that only shorten response times
# are made less often.
MIN_SPEED_MOVE_INTERVAL_S = 4.0
# No keys are moved to an endpoint whose last load report is older than this.
MAX_REPORT_AGE_S = 1.5

log = structlog.get_logger()


class LocalLoad(Protocol):
    """The load of this node's endpoint."""

    key_counts: KeyCounts

    def busy_lower_bound(self) -> float:
        """Return a lower bound of the recent share of slots in use."""

    def mean_s(self) -> float:
        """Return the recent mean time of a request, in seconds."""

    def note_moved(self, first: int, last: int) -> None:
        """Stop counting the keys that are being moved away."""


class PeerLoads(Protocol):
    """The loads reported by other nodes."""

    def busy_of(self, vm: str, now: float, max_age_s: float) -> float | None:
        """Return the share of slots in use, or None without a recent enough report."""

    def mean_of(self, vm: str) -> float | None:
        """Return the mean time of a request in seconds, or None if it is unknown."""

    def is_cold(self, vm: str, now: float) -> bool:
        """Return whether an endpoint is cold and can take few requests."""


class RangeBalancer(PeriodicTask):
    """Moves keys from the local endpoint to less busy or faster ones.

    ``request_loads`` requests the loads of VMs; it returns False if it was called too
    recently to send another request.
    """

    interval_s = CHECK_INTERVAL_S

    def __init__(
        self,
        keeper: RangeKeeper,
        local: LocalLoad,
        loads: PeerLoads,
        request_loads: Callable[[Iterable[str]], bool],
    ) -> None:
        self.keeper = keeper
        self.local = local
        self.loads = loads
        self.request_loads = request_loads
        self.last_move_at = 0.0
        self.settling_until: dict[Owner, float] = {}

    async def step(self) -> None:
        """Start a move if one is due."""
        keeper = self.keeper
        now = boottime()
        table = keeper.tables.table
        local_owner = keeper.owner
        if table is None or local_owner is None or keeper.is_leaving or keeper.moves:
            return
        if (
            now - self.last_move_at < MIN_MOVE_INTERVAL_S
            or not keeper.endpoint.is_ready
        ):
            return
        ranges = [r for r in table.owned_by(keeper.vm) if r.owner == local_owner]
        if not ranges or not keeper.tables.mirror.in_contact:
            return
        if not keeper.guard.is_settled:
            # A new owner would wait until the era of the store is settled.
            return
        moves = self._choose(table, local_owner, ranges, now)
        if not moves:
            return
        self.last_move_at = now
        for move in moves:
            self.settling_until[move.target] = now + SETTLE_S
            self.local.note_moved(move.first, move.last)
        keeper.move(moves, "balance")

    def _choose(
        self, table: RangeTable, local_owner: Owner, ranges: list[KeyRange], now: float
    ) -> list[Move]:
        local = self.local
        sizes = table.keys_by_owner()
        load = OwnerLoad(
            local_owner,
            local.busy_lower_bound(),
            sizes.get(local_owner, 0),
            local.mean_s(),
        )
        others = self._others(sizes, now)
        if load.busy >= MIN_BUSY and len(others) < MAX_TARGETS:
            known = {other.owner.vm for other in others}
            unknown = {owner.vm for owner in self.keeper.receivers()} - known
            unknown &= {owner.vm for owner in sizes if owner}
            if unknown and self.request_loads(unknown):
                return []
        pieces = choose_relief(load, others)
        moves = relief_moves(pieces, ranges, local.key_counts, len(table.ranges))
        if moves:
            _log_moves(moves, load, others)
            return moves
        target = choose_target(load, others)
        if target is None:
            return []
        if target.keys and now - self.last_move_at < MIN_SPEED_MOVE_INTERVAL_S:
            return []
        move = choose_move(load, target, ranges, local.key_counts)
        if move is None:
            return []
        _log_moves([move], load, others)
        return [move]

    def _others(self, sizes: dict[Owner | None, int], now: float) -> list[OwnerLoad]:
        """Return the loads of the owners that may receive keys now."""
        others = []
        for owner in self.keeper.receivers():
            keys = sizes.get(owner, 0)
            busy = self.loads.busy_of(owner.vm, now, MAX_REPORT_AGE_S)
            if now < self.settling_until.get(owner, 0.0) or (busy is None and keys):
                continue
            mean_s = self.loads.mean_of(owner.vm) or 0.0
            is_cold = self.loads.is_cold(owner.vm, now)
            others.append(OwnerLoad(owner, busy or 0.0, keys, mean_s, is_cold))
        return others


def _log_moves(moves: list[Move], load: OwnerLoad, others: list[OwnerLoad]) -> None:
    busy = {other.owner: other.busy for other in others}
    log.info(
        "balance_move",
        moves=[
            [move.first, move.last, move.target.vm, round(busy[move.target], 2)]
            for move in moves
        ],
        busy=round(load.busy, 2),
        mean_ms=int(load.mean_s * 1000),
    )
