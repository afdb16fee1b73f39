"""The range table of a service, its updates from other nodes and its writes."""

import asyncio

from sesamepost.internal.coordination.mirror import Mirror
from sesamepost.internal.coordination.store import (
    ConditionFailedError,
    Item,
    StoreSilentError,
)
from sesamepost.internal.ranges.messages import range_update
from sesamepost.internal.ranges.table import (
    LAST_KEY,
    KeyRange,
    Owner,
    RangeTable,
    new_table,
    reassign,
)
from sesamepost.internal.ranges.table_store import MAX_RANGE_UPDATES, TableStore
from sesamepost.internal.wire.messages import decode, encode
from tests.coordination.memory_store import MemoryStore, SlowStore

A, B = Owner("10.0.0.1", "i-1", 1), Owner("10.0.0.2", "i-2", 2)


def offer_table(tables: TableStore, table: RangeTable, revision: int) -> None:
    for index, key in enumerate(tables.keys):
        tables.mirror.offer(Item(key, table.section(index).encode(), revision))


def table_store_at(revision: int = 5) -> TableStore:
    mirror = Mirror(SlowStore())
    tables = TableStore(mirror.store, mirror, "s")
    offer_table(tables, new_table([A, B]), revision)
    return tables


def synced_table_store() -> TableStore:
    """Return a table store whose table is both in the store and in the mirror."""
    tables = table_store_at()
    tables.store.revision = 5
    tables.store.items.update(tables.mirror.items)
    return tables


def test_a_range_update_takes_effect_at_once():
    tables = table_store_at()
    notified = []
    tables.on_range_update = lambda: notified.append(True)
    tables.offer_range(7, KeyRange(100, 199, B, 9, "t"))
    assert tables.table.find(150) == KeyRange(100, 199, B, 9, "t")
    assert tables.table.find(99).owner == tables.table.find(200).owner == A
    assert tables.table.fence == 9
    assert tables.revision == 7
    assert notified


def test_a_newer_stored_table_replaces_range_updates():
    # Guards against a range that stays with an owner that has already handed it over.
    tables = table_store_at()
    tables.offer_range(7, KeyRange(100, 199, B, 9))
    newer = reassign(new_table([A, B]), 0, 300, A)
    offer_table(tables, newer, 8)
    assert tables.table.find(150).owner == A
    tables.offer_range(7, KeyRange(100, 199, B, 9))
    assert tables.table.find(150).owner == A


def test_the_later_of_two_range_updates_wins_in_any_order():
    tables = table_store_at()
    tables.offer_range(9, KeyRange(100, 199, A, 11))
    tables.offer_range(7, KeyRange(100, 199, B, 9))
    assert tables.table.find(150).owner == A


def test_a_range_update_without_a_known_table_is_ignored():
    mirror = Mirror(MemoryStore())
    tables = TableStore(mirror.store, mirror, "s")
    tables.offer_range(7, KeyRange(100, 199, B, 9))
    assert tables.table is None


def test_the_number_of_range_updates_is_bounded():
    tables = table_store_at()
    for number in range(2 * MAX_RANGE_UPDATES):
        tables.offer_range(7 + number, KeyRange(number, number, B, 9 + number))
    assert len(tables.range_updates) == MAX_RANGE_UPDATES


async def test_changes_are_based_on_the_stored_table_without_range_updates():
    # Guards against writing ranges that the store never had.
    tables = synced_table_store()
    tables.offer_range(7, KeyRange(100, 199, B, 9))
    seen = []
    await tables.change("test", lambda table: seen.append(table.find(150).owner))
    assert seen == [A]


def test_a_range_update_carries_a_range_with_and_without_an_owner():
    for key_range in (KeyRange(1, 2, A, 3, "t"), KeyRange(1, 2, None, 3)):
        message = decode(encode(range_update("s", 4, key_range)))
        assert (message.service, message.revision) == ("s", 4)
        assert message.key_range == key_range


async def test_changes_in_different_sections_do_not_conflict():
    # Guards against moves that fail while their keys are released. With 41 owners, half
    # of the moves were abandoned after ten writes that conflicted with other owners.
    tables, other = synced_table_store(), table_store_at()
    store = other.store = tables.store
    assert await tables.change("test", lambda t: reassign(t, 10, 20, B))
    assert await other.change("test", lambda t: reassign(t, LAST_KEY, LAST_KEY, A))
    assert len(store.commits) == 2
    for change in store.commits:
        assert len(change.writes) == len(change.conditions) == 1


async def test_a_change_is_based_on_the_newest_version_of_its_section():
    # Guards against a lost update when two owners write the same section.
    tables, other = synced_table_store(), table_store_at()
    other.store = tables.store
    assert await tables.change("test", lambda t: reassign(t, 10, 20, B))
    assert await other.change("test", lambda t: reassign(t, 30, 40, B))
    assert other.table.find(15).owner == other.table.find(35).owner == B
    assert other.table.find(35).fence > other.table.find(15).fence


def test_a_range_has_the_revision_of_its_section():
    # Guards against an update that replaces a newer owner at its recipient, because it
    # has the revision of a later change in another section.
    tables = table_store_at()
    newer = reassign(new_table([A, B]), LAST_KEY, LAST_KEY, A)
    tables.mirror.offer(Item(tables.keys[-1], newer.section(7).encode(), 9))
    assert tables.revision == tables.revision_of(LAST_KEY) == 9
    assert tables.revision_of(100) == 5


async def test_changes_that_wait_for_a_write_share_the_next_one():
    # Guards against conflicts between the writes of one owner: an endpoint that left
    # with 16 ranges caused 16 writes that conflicted with each other.
    tables = synced_table_store()
    store = tables.store
    changes = [
        tables.change("test", lambda t, k=key: reassign(t, k, k, B))
        for key in range(0, 1600, 100)
    ]
    assert all(await asyncio.gather(*changes))
    assert len(store.commits) <= 2
    assert all(tables.table.find(key).owner == B for key in range(0, 1600, 100))


async def test_a_change_with_conditions_is_written_alone():
    # Guards against a takeover whose failed condition makes other changes fail.
    tables = synced_table_store()
    failing = tables.change("test", lambda t: reassign(t, 1, 1, B), {"missing": 3})
    others = [
        tables.change("test", lambda t, k=key: reassign(t, k, k, B)) for key in (5, 7)
    ]
    assert await asyncio.gather(failing, *others) == [False, True, True]
    assert tables.table.find(1).owner == A


async def test_a_cancelled_change_does_not_block_others():
    # Guards against a change of a stopped keeper that is written or blocks later ones.
    tables = synced_table_store()
    first = asyncio.ensure_future(tables.change("a", lambda t: reassign(t, 1, 1, B)))
    second = asyncio.ensure_future(tables.change("b", lambda t: reassign(t, 5, 5, B)))
    await asyncio.sleep(0)
    second.cancel()
    assert await first
    assert await tables.change("c", lambda t: reassign(t, 7, 7, B))
    assert tables.pending == []
    assert tables.table.find(5).owner == A


class UnreadableStore(SlowStore):
    """Rejects all reads, and the first transactions without the conflicting items."""

    failures = 2

    async def get(self, key):
        raise StoreSilentError("no answer in time")

    async def commit(self, transaction):
        if self.failures > 0:
            self.failures -= 1
            raise ConditionFailedError("a conflict reported through a peer")
        return await super().commit(transaction)


async def test_a_failed_read_after_a_conflict_is_retried():
    # Guards against a failed read that ends the move with an unhandled exception, which
    # leaves its keys released until the next iteration.
    tables = table_store_at()
    store = tables.store = UnreadableStore()
    store.revision = 5
    store.items.update(tables.mirror.items)
    assert await tables.change("test", lambda t: reassign(t, 10, 20, B))


def test_a_section_that_cannot_be_read_leaves_the_last_one_in_force():
    # Guards against a service without a table because another writer wrote one section.
    tables = table_store_at()
    before = tables.table
    tables.mirror.offer(Item(tables.keys[2], b"odd", 6))
    assert tables.table == before


async def test_a_section_that_cannot_be_read_is_written_anew():
    tables = synced_table_store()
    assert not tables.is_damaged
    odd = Item(tables.keys[2], b"odd", 6)
    tables.store.items[odd.key], tables.store.revision = odd, 6
    tables.mirror.offer(odd)
    assert tables.is_damaged
    assert await tables.change("unreadable section", lambda table: table)
    assert not tables.is_damaged
    assert tables.store.items[odd.key].value == tables.table.section(2).encode()
