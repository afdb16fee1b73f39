"""Assigns ranges whose owner is gone to the remaining endpoints.

Any node may do so. Nodes act in the order of their VM names, each after a longer delay
than the one before, so that usually only one writes. The store decides a race.
"""

import asyncio
from collections.abc import Callable, Collection
from contextlib import suppress

import structlog

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.era_record import open_revision
from sesamepost.internal.coordination.mirror import Mirror
from sesamepost.internal.coordination.nodes import (
    LAST_LEASE_PREFIX,
    NodeEntry,
    NodeTable,
)
from sesamepost.internal.identity import ANY_INCARNATION
from sesamepost.internal.ranges.absent_nodes import AbsentNodes
from sesamepost.internal.ranges.holds import HOLD_S, TAKEOVER_SLACK_S
from sesamepost.internal.ranges.placement import Placement, owner_on
from sesamepost.internal.ranges.table import (
    SECTIONS,
    KeyRange,
    Owner,
    RangeTable,
    distribute,
    new_table,
)
from sesamepost.internal.ranges.table_store import TableStore
from sesamepost.internal.tasks import PeriodicTask

CHECK_INTERVAL_S = 0.2
# While an owner is absent: several checks in a row delay the service of its keys.
ABSENT_CHECK_INTERVAL_S = 0.05
# Nodes that start together should all be known when the first table is made.
SETTLE_S = 0.8
MAX_SETTLE_S = 4.0
TURN_DELAY_S = 0.5
# A node learns that the one before it has ended a lease only after the pause of its
# watch.
LEASE_TURN_DELAY_S = 1.2
# A transaction of the store has at most 32 entries. Each section of the table needs
# two of them, and so does each lost VM; the writer's lease record and the key of the
# store's era need one each.
MAX_LOST_VMS_PER_WRITE = (32 - 2) // 2 - SECTIONS

log = structlog.get_logger()


def lost_owners(
    table: RangeTable,
    absent_since: dict[str, float],
    now: float,
    ended: Collection[Owner] = (),
) -> set[Owner]:
    """Return the owners whose holds have certainly ended, so their ranges are free.

    ``absent_since`` maps each VM without an entry to the time since which it has had no
    lease either. ``ended`` holds owners that their own node reported as ended.
    """
    lost = set()
    for r in table.ranges:
        if r.owner in ended:
            lost.add(r.owner)
        if r.owner is None or r.owner.vm not in absent_since:
            continue
        if now - absent_since[r.owner.vm] >= HOLD_S + TAKEOVER_SLACK_S:
            lost.add(r.owner)
    return lost


class Takeover(PeriodicTask):
    """Reassigns the ranges of a partitioned service that have no live owner."""

    def __init__(
        self,
        vm: str,
        tables: TableStore,
        nodes: NodeTable,
        mirror: Mirror,
        placement: Placement | None = None,
    ) -> None:
        self.vm = vm
        self.tables = tables
        self.nodes = nodes
        self.mirror = mirror
        self.placement = placement or Placement()
        self.settling_since: float | None = None
        self.last_joined_at = 0.0
        self.known_vms: set[str] = set()
        self.ended: set[Owner] = set()
        # Revision of the entry of an ended owner's VM when the end was reported.
        self.ended_at: dict[Owner, int] = {}
        self.absent = AbsentNodes(tables.store, mirror)
        self.ending: asyncio.Task | None = None
        self.due_since: float | None = None
        self.cached_table: RangeTable | None = None
        self.cached_owners: set[Owner] = set()
        self.has_unowned = False
        # Owners whose loss was logged before the last write.
        self.logged_lost: set[Owner] = set()
        self.on_assigned: Callable[[], None] = lambda: None

    @property
    def interval_s(self) -> float:
        """The time between two checks."""
        return ABSENT_CHECK_INTERVAL_S if self.absent.records else CHECK_INTERVAL_S

    async def __aexit__(self, *error) -> None:
        await super().__aexit__(*error)
        if self.ending is not None:
            self.ending.cancel()
            with suppress(asyncio.CancelledError):
                await self.ending

    def note_ended(self, owner: Owner, incarnation: int = ANY_INCARNATION) -> None:
        """Record the report of an endpoint's own node that it holds nothing.

        A report of a process of the node with another ``incarnation`` than the one that
        has published the node's entry is outdated.
        """
        node = self.nodes.nodes.get(owner.vm)
        if node is not None and incarnation not in (ANY_INCARNATION, node.incarnation):
            log.info(
                "outdated_end_ignored", owner_vm=owner.vm, endpoint=owner.endpoint_id
            )
            return
        log.info(
            "endpoint_ended",
            owner_vm=owner.vm,
            endpoint=owner.endpoint_id,
            born=owner.born,
            **self._entry_state(owner),
        )
        self.ended.add(owner)
        self.ended_at[owner] = self.mirror.revision_of(self.nodes.node_key(owner.vm))

    def _forget_wrong_reports(self, available: list[Owner]) -> None:
        """Forget the end of owners whose node has published them again since."""
        for owner in self.ended.intersection(available):
            revision = self.mirror.revision_of(self.nodes.node_key(owner.vm))
            if revision != self.ended_at[owner]:
                log.warning("ended_endpoint_returned", owner_vm=owner.vm)
                self.ended.discard(owner)

    async def step(self) -> None:
        """Distribute ranges without a live owner if it is this node's turn."""
        now = boottime()
        self._forget_wrong_reports(self._available_owners())
        available = self._available_nodes()
        live = [node for node in available if owner_on(node) not in self.ended]
        chosen = self.placement.best(self.tables.service, live)
        owners = [owner_on(node) for node in chosen]
        if not self.mirror.in_contact or not owners:
            return
        if open_revision(self.mirror) is None:
            return
        self._end_leases()
        if not self._is_due(now):
            return
        if not self._is_my_turn(now):
            return
        self.due_since = None
        if self.tables.table is None:
            await self.tables.change(
                "first table", lambda table: self._first_table(table, owners)
            )
            return
        if self.tables.is_damaged:
            await self.tables.change("unreadable section", lambda table: table)
            return
        lost = self._fit_into_transaction(self._lost_owners(now))
        self._log_lost(lost, now)
        conditions = self._conditions(lost)

        def transform(table: RangeTable | None) -> RangeTable | None:
            orphans = _orphans(table, lost)
            return distribute(table, orphans, owners) if orphans else None

        if await self.tables.change("owners are gone", transform, conditions):
            self.on_assigned()

    def _first_table(
        self, table: RangeTable | None, owners: list[Owner]
    ) -> RangeTable | None:
        """Return a table unless there is one, even if parts of it cannot be read.

        Its fences would be lower than those with which endpoints had the keys.
        """
        if table is not None or self.tables.exists:
            return None
        return new_table(owners, self.tables.fence_floor)

    def _conditions(self, lost: set[Owner]) -> dict[str, int]:
        """Return what must be unchanged in the store while the ranges are reassigned.

        A node without an entry must still have none, and no other lease. A node that
        reported the end of its endpoint must not have published it again.
        """
        conditions = {}
        for owner in lost:
            keys = [self.nodes.node_key(owner.vm)]
            if owner not in self.ended:
                keys.append(LAST_LEASE_PREFIX + owner.vm)
            conditions |= {key: self.mirror.revision_of(key) for key in keys}
        return conditions

    def _log_lost(self, lost: set[Owner], now: float) -> None:
        """Log once why each of these owners counts as lost."""
        for owner in lost - self.logged_lost:
            missing_s = None
            if owner.vm in self.absent.records:
                since = self.absent.without_lease_since(owner.vm, now)
                # Infinite while the lease may be renewed, which JSON cannot express.
                missing_s = round(now - since, 2) if since <= now else None
            log.info(
                "owner_lost",
                owner_vm=owner.vm,
                endpoint=owner.endpoint_id,
                born=owner.born,
                is_reported_ended=owner in self.ended,
                missing_s=missing_s,
                **self._entry_state(owner),
            )
        self.logged_lost = lost

    def _entry_state(self, owner: Owner) -> dict[str, object]:
        """Return what the entry of an owner's VM says now, for the log."""
        node = self.nodes.nodes.get(owner.vm)
        endpoint = node.endpoint if node is not None else None
        return {
            "is_entry_present": node is not None,
            "entry_endpoint": endpoint and endpoint.id,
            "entry_born": endpoint and endpoint.born,
            "entry_ready": endpoint and endpoint.is_ready,
            "known_revision": self.mirror.revision,
        }

    def _fit_into_transaction(self, lost: set[Owner]) -> set[Owner]:
        """Return as many lost owners as one transaction can name; the rest follow."""
        vms = sorted({owner.vm for owner in lost})
        named = set(vms[:MAX_LOST_VMS_PER_WRITE])
        return {owner for owner in lost if owner.vm in named}

    def _is_due(self, now: float) -> bool:
        if self.tables.table is None:
            is_due = not self.tables.exists and self._has_settled(now)
        else:
            lost = self._lost_owners(now)
            has_orphans = self.has_unowned or bool(lost & self.cached_owners)
            is_due = has_orphans or self.tables.is_damaged
        if not is_due:
            self.due_since = None
        elif self.due_since is None:
            self.due_since = now
        return is_due

    def _is_my_turn(self, now: float) -> bool:
        return now - self.due_since >= self._rank() * TURN_DELAY_S

    def _rank(self) -> int:
        """Return how many nodes have a turn before this one."""
        names = sorted(self.nodes.nodes)
        return names.index(self.vm) if self.vm in names else len(names)

    def _has_settled(self, now: float) -> bool:
        present = {node.vm for node in self.nodes.endpoints_of(self.tables.service)}
        if present - self.known_vms:
            self.known_vms |= present
            self.last_joined_at = now
        if self.settling_since is None:
            self.settling_since = now
        if now - self.settling_since >= MAX_SETTLE_S:
            return True
        return now - self.last_joined_at >= SETTLE_S

    def _lost_owners(self, now: float) -> set[Owner]:
        table = self.tables.table
        vms = self._absent_owners(table)
        self.absent.keep_only(vms)
        absent = {vm: self.absent.without_lease_since(vm, now) for vm in vms}
        if not absent and not self.ended:
            return set()
        return lost_owners(table, absent, now, self.ended)

    def _absent_owners(self, table: RangeTable) -> set[str]:
        """Return the VMs that own ranges and have no entry, readable or not."""
        vms = {owner.vm for owner in self._owners_in(table)}
        return {vm for vm in vms if self.mirror.get(self.nodes.node_key(vm)) is None}

    def _end_leases(self) -> None:
        """End the leases of absent owners in a task, as the store may not answer."""
        table = self.tables.table
        if table is None or (self.ending is not None and not self.ending.done()):
            return
        absent = self._absent_owners(table)
        if absent:
            delay_s = self._rank() * LEASE_TURN_DELAY_S
            ending = self.absent.end_leases(absent, delay_s)
            self.ending = asyncio.ensure_future(ending)

    def _owners_in(self, table: RangeTable) -> set[Owner]:
        """Return the owners in a table, cached since it may have hundreds of ranges."""
        if table is not self.cached_table:
            self.cached_table = table
            self.cached_owners = {r.owner for r in table.ranges} - {None}
            self.has_unowned = any(r.owner is None for r in table.ranges)
        return self.cached_owners

    def _available_owners(self) -> list[Owner]:
        return [owner_on(node) for node in self._available_nodes()]

    def _available_nodes(self) -> list[NodeEntry]:
        return [
            node
            for node in self.nodes.endpoints_of(self.tables.service)
            if not node.is_stopping
        ]


def _orphans(table: RangeTable, lost: set[Owner]) -> list[KeyRange]:
    """Return the ranges without a live owner, without the tokens of lost owners."""
    orphans = []
    for r in table.ranges:
        if r.owner is None:
            orphans.append(r)
        elif r.owner in lost:
            orphans.append(KeyRange(r.first, r.last, r.owner, r.fence))
    return orphans
