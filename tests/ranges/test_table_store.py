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


def store_with(revision: int = 5) -> TableStore:
    mirror = Mirror(SlowStore())
    tables = TableStore(mirror.store, mirror, "s")
    offer_table(tables, new_table([A, B]), revision)
    return tables


def stored() -> TableStore:
    """Return a table store whose table is both in the store and in the mirror."""
    tables = store_with()
    tables.store.revision = 5
    tables.store.items.update(tables.mirror.items)
    return tables


def test_a_range_that_is_told_counts_at_once():
    tables = store_with()
    woken = []
    tables.on_range_update = lambda: woken.append(True)
    tables.offer_range(7, KeyRange(100, 199, B, 9, "t"))
    assert tables.table.find(150) == KeyRange(100, 199, B, 9, "t")
    assert tables.table.find(99).owner == tables.table.find(200).owner == A
    assert tables.table.fence == 9
    assert tables.revision == 7
    assert woken


def test_the_table_of_the_store_replaces_what_was_told_before():
    # Guards against a range that stays with an owner that has already handed it over.
    tables = store_with()
    tables.offer_range(7, KeyRange(100, 199, B, 9))
    newer = reassign(new_table([A, B]), 0, 300, A)
    offer_table(tables, newer, 8)
    assert tables.table.find(150).owner == A
    tables.offer_range(7, KeyRange(100, 199, B, 9))
    assert tables.table.find(150).owner == A


def test_the_later_of_two_told_ranges_counts_in_any_order():
    tables = store_with()
    tables.offer_range(9, KeyRange(100, 199, A, 11))
    tables.offer_range(7, KeyRange(100, 199, B, 9))
    assert tables.table.find(150).owner == A


def test_a_range_that_is_told_before_any_table_is_known_is_left_out():
    mirror = Mirror(MemoryStore())
    tables = TableStore(mirror.store, mirror, "s")
    tables.offer_range(7, KeyRange(100, 199, B, 9))
    assert tables.table is None


def test_told_ranges_are_bounded():
    tables = store_with()
    for number in range(2 * MAX_RANGE_UPDATES):
        tables.offer_range(7 + number, KeyRange(number, number, B, 9 + number))
    assert len(tables.range_updates) == MAX_RANGE_UPDATES


async def test_changes_rest_on_the_table_of_the_store_and_not_on_what_was_told():
    # Guards against writing ranges that the store never had.
    tables = stored()
    tables.offer_range(7, KeyRange(100, 199, B, 9))
    seen = []
    await tables.change("test", lambda table: seen.append(table.find(150).owner))
    assert seen == [A]


def test_the_message_carries_a_range_with_and_without_an_owner():
    for key_range in (KeyRange(1, 2, A, 3, "t"), KeyRange(1, 2, None, 3)):
        message = decode(encode(range_update("s", 4, key_range)))
        assert (message.service, message.revision) == ("s", 4)
        assert message.key_range == key_range


async def test_changes_in_different_sections_do_not_fail_on_each_other():
    # Guards against moves that fail while their keys are released. With 41 owners, half
    # of the moves were abandoned after ten writes that conflicted with other owners.
    tables, other = stored(), store_with()
    store = other.store = tables.store
    assert await tables.change("test", lambda t: reassign(t, 10, 20, B))
    assert await other.change("test", lambda t: reassign(t, LAST_KEY, LAST_KEY, A))
    assert len(store.commits) == 2
    for change in store.commits:
        assert len(change.writes) == len(change.conditions) == 1


async def test_a_change_of_the_same_section_rests_on_the_newest_one():
    # Guards against a lost update when two owners write the same section.
    tables, other = stored(), store_with()
    other.store = tables.store
    assert await tables.change("test", lambda t: reassign(t, 10, 20, B))
    assert await other.change("test", lambda t: reassign(t, 30, 40, B))
    assert other.table.find(15).owner == other.table.find(35).owner == B
    assert other.table.find(35).fence > other.table.find(15).fence


def test_a_range_is_told_with_the_revision_of_its_section():
    # Guards against an update that replaces a newer owner at its recipient, because it
    # has the revision of a later change in another section.
    tables = store_with()
    newer = reassign(new_table([A, B]), LAST_KEY, LAST_KEY, A)
    tables.mirror.offer(Item(tables.keys[-1], newer.section(7).encode(), 9))
    assert tables.revision == tables.revision_of(LAST_KEY) == 9
    assert tables.revision_of(100) == 5


async def test_changes_that_wait_for_a_write_share_the_next_one():
    # Guards against conflicts between the writes of one owner: an endpoint that left
    # with 16 ranges caused 16 writes that conflicted with each other.
    tables = stored()
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
    tables = stored()
    failing = tables.change("test", lambda t: reassign(t, 1, 1, B), {"missing": 3})
    others = [
        tables.change("test", lambda t, k=key: reassign(t, k, k, B)) for key in (5, 7)
    ]
    assert await asyncio.gather(failing, *others) == [False, True, True]
    assert tables.table.find(1).owner == A


async def test_a_change_that_is_cancelled_does_not_hold_up_others():
    # Guards against a change of a stopped keeper that is written or blocks later ones.
    tables = stored()
    first = asyncio.ensure_future(tables.change("a", lambda t: reassign(t, 1, 1, B)))
    second = asyncio.ensure_future(tables.change("b", lambda t: reassign(t, 5, 5, B)))
    await asyncio.sleep(0)
    second.cancel()
    assert await first
    assert await tables.change("c", lambda t: reassign(t, 7, 7, B))
    assert tables.pending == []
    assert tables.table.find(5).owner == A


class Unreadable(SlowStore):
    """Rejects all reads, and the first transactions without the conflicting items."""

    failures = 2

    async def get(self, key):
        raise StoreSilentError("no answer in time")

    async def commit(self, transaction):
        if self.failures > 0:
            self.failures -= 1
            raise ConditionFailedError("a conflict reported through a peer")
        return await super().commit(transaction)


async def test_a_failed_read_after_a_lost_race_is_tried_again():
    # Guards against a failed read that ends the move with an unhandled exception, which
    # leaves its keys released until the next iteration.
    tables = store_with()
    store = tables.store = Unreadable()
    store.revision = 5
    store.items.update(tables.mirror.items)
    assert await tables.change("test", lambda t: reassign(t, 10, 20, B))
