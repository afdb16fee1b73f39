"""Tests of ``Registration``: lost responses, ended leases and rejected renewals."""

from contextlib import asynccontextmanager
from dataclasses import replace

from structlog.testing import capture_logs

from sesamepost.internal.coordination.mirror import Mirror
from sesamepost.internal.coordination.nodes import (
    LAST_LEASE_PREFIX,
    EndpointInfo,
    NodeEntry,
    NodeTable,
    Registration,
    decode_node,
)
from sesamepost.internal.coordination.store import (
    Deletion,
    Item,
    StoreRejectedError,
    Transaction,
)
from tests.coordination.memory_store import MemoryStore
from tests.waiting import until

ENDPOINT = EndpointInfo("desk", "i-1", 1, 6, "v1", True)
KEY = "sesamepost/nodes/10.0.0.1"
ENTRY = NodeEntry("10.0.0.1", "node-1", 77, 7600, "a", "r", ENDPOINT)


@asynccontextmanager
async def registered(store: MemoryStore):
    mirror = Mirror(store)
    NodeTable(mirror)
    registration = Registration(store, mirror, ENTRY)
    async with mirror, registration:
        yield registration, mirror


def stored_entry(store: MemoryStore) -> NodeEntry | None:
    item = store.items.get(KEY)
    return None if item is None else decode_node(item)


async def test_an_entry_is_bound_to_a_lease_that_is_recorded():
    store = MemoryStore()
    async with registered(store):
        await until(lambda: stored_entry(store) == ENTRY)
        assert store.items[KEY].lease in store.leases
        assert store.items[LAST_LEASE_PREFIX + "10.0.0.1"].lease == 0


async def test_a_write_whose_answer_was_lost_is_recognised():
    # Guards against a node that mistakes its own write for that of another process,
    # because the response to the write was lost.
    store = MemoryStore()
    store.loses_next_answer = True
    async with registered(store) as (registration, _):
        await until(lambda: registration.written_entry == ENTRY)
        assert stored_entry(store) == ENTRY


async def test_an_ended_lease_is_replaced_and_recorded_again():
    # Guards against a takeover that misses the return of a node: the transaction relies
    # on the changed lease record to notice it.
    store = MemoryStore()
    async with registered(store) as (registration, _):
        await until(lambda: registration.written_entry == ENTRY)
        revision = store.items[LAST_LEASE_PREFIX + "10.0.0.1"].revision
        await store.end_lease(registration.lease)
        await until(lambda: stored_entry(store) == ENTRY)
        assert store.items[LAST_LEASE_PREFIX + "10.0.0.1"].revision > revision


async def test_renewed_at_does_not_advance_while_renewals_are_rejected():
    # Guards against holds that outlast the time for which a takeover waits.
    store = MemoryStore()
    async with registered(store) as (registration, _):
        registration.is_owner = True
        await until(lambda: registration.written_entry == ENTRY)
        store.failure = StoreRejectedError("busy")
        registration.wake.set()
        await until(lambda: registration.counters["failures"] >= 1)
        renewed_at = registration.renewed_at
        await until(lambda: registration.counters["failures"] >= 3)
        assert registration.renewed_at == renewed_at


async def test_a_changed_entry_is_written_soon():
    store = MemoryStore()
    async with registered(store) as (registration, _):
        await until(lambda: registration.written_entry == ENTRY)
        registration.update(is_stopping=True)
        await until(lambda: stored_entry(store).is_stopping)


def test_an_unreadable_entry_is_ignored():
    mirror = Mirror(MemoryStore())
    nodes = NodeTable(mirror)
    mirror.offer(Item("sesamepost/nodes/10.0.0.9", b"\xc1 no entry", 3))
    mirror.offer(Item(KEY, ENTRY.encode(), 4))
    assert set(nodes.nodes) == {"10.0.0.1"}


async def test_an_entry_that_vanished_during_its_write_is_written_again():
    # Guards against a node that grants on without an entry: the watch reported the
    # removal before the response to the write had arrived, and the lease goes on.
    class Store(MemoryStore):
        async def commit(self, transaction):
            revision = await super().commit(transaction)
            if len(self.commits) == 1:
                await self.remove(KEY)
                await until(lambda: KEY in mirror.deleted)
            return revision

        async def remove(self, key):
            del self.items[key]
            self.revision += 1
            self.events.append(Deletion(key, self.revision))
            await self._notify()

    store = Store()
    mirror = Mirror(store)
    async with mirror, Registration(store, mirror, ENTRY):
        await until(lambda: len(store.commits) >= 2)
        assert stored_entry(store) == ENTRY


class LateAnswerStore(MemoryStore):
    """Answers a transaction only after ``watcher`` has got its changes."""

    watcher: Mirror | None = None

    async def commit(self, transaction: Transaction) -> int:
        revision = await super().commit(transaction)
        if self.watcher is not None:
            for write in transaction.writes:
                self.watcher.offer(self.items[write.key])
        return revision


async def test_an_own_write_that_the_watch_shows_first_is_recognised():
    # Guards against a node that can write no range any more: it took its own entry for
    # that of another writer, and a record of its lease that it did not write for one
    # with the revision of the entry. Found by the checker of ownership, order 1-14.
    store = LateAnswerStore()
    async with registered(store) as (registration, mirror):
        await until(lambda: registration.written_entry == ENTRY)
        store.watcher = mirror
        with capture_logs() as logs:
            for slots in range(1, 4):
                changed = replace(ENTRY, endpoint=replace(ENDPOINT, slots=slots))
                registration.update(endpoint=changed.endpoint)
                await until(lambda: registration.written_entry == changed)  # noqa: B023
        assert not [line for line in logs if line["event"] == "own_entry_overwritten"]
        key = registration.last_lease_key
        assert mirror.revision_of(key) == store.items[key].revision
