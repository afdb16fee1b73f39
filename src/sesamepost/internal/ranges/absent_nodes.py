"""Nodes without an entry in the store, and the ends of their leases.

The entry of a node is usually removed when its lease ends. The store may also remove
the entry alone, and the node then renews its lease, and with it the holds of its
endpoint, until it hears of that. So the lease of a node without an entry is ended
first. What shows that to all nodes is the record of the lease, which is marked.
"""

import asyncio
import math
from collections.abc import Collection

import structlog

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.era_record import era_conditions
from sesamepost.internal.coordination.mirror import Mirror
from sesamepost.internal.coordination.nodes import (
    LAST_LEASE_PREFIX,
    NODE_PREFIX,
    decode_lease_record,
    encode_lease_record,
)
from sesamepost.internal.coordination.store import (
    ConditionFailedError,
    CoordinationStore,
    Item,
    StoreError,
    Transaction,
    Write,
)

# Calls to the store at the same time.
MAX_CALLS = 8

log = structlog.get_logger()


class AbsentNodes:
    """Ends the leases of nodes without an entry, and tells since when they have none.

    Once its lease has ended, a node renews no hold. Its last hold then ends within the
    longest time of a hold.
    """

    def __init__(self, store: CoordinationStore, mirror: Mirror) -> None:
        self.store = store
        self.mirror = mirror
        # Revision of the lease record of each absent VM, and when it was first seen.
        self.records: dict[str, tuple[int, float]] = {}

    def keep_only(self, vms: Collection[str]) -> None:
        """Forget all other VMs, since they have an entry again or own nothing."""
        self.records = {vm: seen for vm, seen in self.records.items() if vm in vms}

    def without_lease_since(self, vm: str, now: float) -> float:
        """Return the time since which a VM has had neither an entry nor a lease.

        It is infinite while its lease may still be renewed.
        """
        missing_since = self.mirror.missing_since(NODE_PREFIX + vm, now)
        revision = self.mirror.revision_of(LAST_LEASE_PREFIX + vm)
        known, seen_at = self.records.get(vm, (revision, now))
        if revision != known:
            seen_at = now
        self.records[vm] = revision, seen_at
        if self.lease_of(vm) is not None:
            return math.inf
        return max(missing_since, seen_at)

    def lease_of(self, vm: str) -> int | None:
        """Return the last lease of a VM, or None if there is none that may be renewed.

        No node owns ranges before its lease has been recorded.
        """
        record = self.mirror.get(LAST_LEASE_PREFIX + vm)
        return None if record is None else decode_lease_record(record)

    async def end_leases(self, vms: Collection[str], delay_s: float) -> None:
        """End the leases of VMs that have had no entry for ``delay_s`` seconds."""
        waiting = sorted(vms)
        while waiting:
            due = [vm for vm in waiting[:MAX_CALLS] if self._is_due(vm, delay_s)]
            waiting = waiting[MAX_CALLS:]
            ends = [self._try_to_end_lease(vm) for vm in due]
            if not all(await asyncio.gather(*ends)):
                # The calls for the other VMs would probably fail, too.
                return

    def _is_due(self, vm: str, delay_s: float) -> bool:
        if self.mirror.get(NODE_PREFIX + vm) is not None or self.lease_of(vm) is None:
            return False
        now = boottime()
        return now - self.mirror.missing_since(NODE_PREFIX + vm, now) >= delay_s

    async def _try_to_end_lease(self, vm: str) -> bool:
        """End the lease of a VM; return whether the store has answered."""
        try:
            await self._end_lease(vm)
        except StoreError as error:
            log.info("absent_lease_not_ended", owner_vm=vm, error=str(error))
            return isinstance(error, ConditionFailedError)
        return True

    async def _end_lease(self, vm: str) -> None:
        key, lease = LAST_LEASE_PREFIX + vm, self.lease_of(vm)
        revision = self.mirror.revision_of(key)
        conditions = {key: revision, NODE_PREFIX + vm: 0, **era_conditions(self.mirror)}
        await self.store.end_lease(lease)
        value = encode_lease_record(lease, has_ended=True)
        try:
            revision = await self.store.commit(
                Transaction(conditions, (Write(key, value),))
            )
        except ConditionFailedError as error:
            for item in error.items:
                self.mirror.offer(item)
            raise
        self.mirror.offer(Item(key, value, revision))
        log.info("absent_lease_ended", owner_vm=vm, lease=lease, revision=revision)
