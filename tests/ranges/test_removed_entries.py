"""The store removes an entry, but not the lease to which it was bound."""

import asyncio
from contextlib import suppress

import pytest

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.mirror import Mirror
from sesamepost.internal.coordination.nodes import NodeTable, Registration
from sesamepost.internal.coordination.store import (
    Deletion,
    StoreError,
    StoreRejectedError,
)
from sesamepost.internal.ranges.holds import HOLD_S, TAKEOVER_SLACK_S
from sesamepost.internal.ranges.table import new_table
from sesamepost.internal.ranges.table_store import TableStore
from sesamepost.internal.ranges.takeover import Takeover
from tests.clocks import StoppableClock
from tests.coordination.memory_store import MemoryStore
from tests.ranges.test_takeover import A, B, entry, put_and_mirror, step
from tests.waiting import until

STEP_S = 0.25
# Time until the removed node hears of the removal, for which its watch may be silent.
UNAWARE_S = 3.0
MAX_STEPS = 60
# The keys of a lost VM are served within 4 s and the longest hold. The lease takes 3 s,
# the slack 0.4 s; the rest is for the checks, the watch and the heartbeats.
MAX_CHECKS_S = 0.35


class RemovingStore(MemoryStore):
    """Can remove a key alone, as the platform does."""

    def remove(self, key: str) -> Deletion:
        """Remove a key, whose lease lives on."""
        del self.items[key]
        self.revision += 1
        deletion = Deletion(key, self.revision)
        self.events.append(deletion)
        return deletion


@pytest.fixture
def clock(monkeypatch):
    return StoppableClock(monkeypatch)


async def registered(store: MemoryStore) -> Registration:
    """Return the registration of A, which has written its entry."""
    registration = Registration(store, Mirror(store), entry(A))
    await registration._renew_or_write()
    return registration


async def known_to_b(store: MemoryStore) -> tuple[NodeTable, TableStore]:
    """Return what B knows: both nodes, and a table in which both own keys."""
    mirror = Mirror(store)
    nodes, tables = NodeTable(mirror), TableStore(store, mirror, "desk")
    await put_and_mirror(store, mirror, nodes.node_key(B.vm), entry(B).encode())
    mirror._replace(await store.list(""))
    mirror.in_contact = True
    await tables.change("test", lambda table: new_table([A, B]))
    return nodes, tables


async def renew(registration: Registration) -> None:
    """Renew the lease if the store still knows it; it rejects all writes."""

    async def reject() -> None:
        raise StoreRejectedError("too many calls")

    registration._write = reject
    with suppress(StoreError):
        await registration._renew_or_write()


async def seconds_until_reassigned(delay_s: float) -> float:
    """Remove the entry of A while a takeover runs; return when its ranges are B's."""
    store = RemovingStore()
    registration = await registered(store)
    nodes, tables = await known_to_b(store)
    mirror = tables.mirror
    async with Takeover(B.vm, tables, nodes, mirror) as takeover:
        # Only the first node in the order of names acts without a delay.
        takeover._rank = lambda: 0
        await asyncio.sleep(delay_s)
        mirror._apply(store.remove(registration.key), boottime())
        removed_at = boottime()
        await until(lambda: A not in tables.table.keys_by_owner())
        return boottime() - removed_at


async def test_checks_delay_the_keys_of_a_lost_vm_only_briefly():
    # Guards against checks that wait for each other: one finds the entry missing, the
    # next sees the ended lease, and another one the end of the longest hold. Keys of a
    # lost VM were served after 9.2 s, the bound is 9.0 s.
    delays = [0.25 + 0.05 * i for i in range(4)]
    took = await asyncio.gather(*map(seconds_until_reassigned, delays))
    assert min(took) >= HOLD_S + TAKEOVER_SLACK_S
    assert max(took) < HOLD_S + TAKEOVER_SLACK_S + MAX_CHECKS_S


async def test_ranges_wait_for_holds_that_an_unaware_owner_renews(clock):
    # Guards against OWNER: the store removes the entry of a node alone, and the node
    # goes on renewing its lease and the holds of its endpoint until it hears of that.
    # Others counted the longest hold from the removal.
    store = RemovingStore()
    registration = await registered(store)
    nodes, tables = await known_to_b(store)
    mirror = tables.mirror
    takeover = Takeover(B.vm, tables, nodes, mirror)
    mirror._apply(store.remove(registration.key), boottime())
    removed_at = boottime()
    for _ in range(MAX_STEPS):
        if boottime() - removed_at < UNAWARE_S:
            await renew(registration)
        await step(takeover)
        if A not in tables.table.keys_by_owner():
            break
        clock.stop(STEP_S)
    assert A not in tables.table.keys_by_owner()
    assert boottime() > registration.renewed_at + HOLD_S
