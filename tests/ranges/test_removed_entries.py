"""The store removes an entry, but not the lease to which it was bound."""

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
from sesamepost.internal.ranges.holds import HOLD_S
from sesamepost.internal.ranges.table import new_table
from sesamepost.internal.ranges.table_store import TableStore
from sesamepost.internal.ranges.takeover import Takeover
from tests.clocks import StoppableClock
from tests.coordination.memory_store import MemoryStore
from tests.ranges.test_takeover import A, B, entry, put_and_mirror, step

STEP_S = 0.25
# Time until the removed node hears of the removal, for which its watch may be silent.
UNAWARE_S = 3.0
MAX_STEPS = 60


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


async def renew(registration: Registration) -> None:
    """Renew the lease if the store still knows it; it rejects all writes."""

    async def reject() -> None:
        raise StoreRejectedError("too many calls")

    registration._write = reject
    with suppress(StoreError):
        await registration._renew_or_write()


async def test_ranges_wait_for_holds_that_an_unaware_owner_renews(clock):
    # Guards against OWNER: the store removes the entry of a node alone, and the node
    # goes on renewing its lease and the holds of its endpoint until it hears of that.
    # Others counted the longest hold from the removal.
    store = RemovingStore()
    registration = await registered(store)
    mirror = Mirror(store)
    nodes, tables = NodeTable(mirror), TableStore(store, mirror, "desk")
    await put_and_mirror(store, mirror, nodes.node_key(B.vm), entry(B).encode())
    mirror._replace(await store.list(""))
    mirror.in_contact = True
    await tables.change("test", lambda table: new_table([A, B]))
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
