"""Ranges that are told early count until the mirror has caught up."""

from sesamepost.internal.coordination.mirror import Mirror
from sesamepost.internal.coordination.store import Item
from sesamepost.internal.ranges.messages import told
from sesamepost.internal.ranges.table import (
    KeyRange,
    Owner,
    new_table,
    reassign,
)
from sesamepost.internal.ranges.table_store import MAX_TOLD, TableStore
from sesamepost.internal.wire.messages import decode, encode
from tests.coordination.memory_store import MemoryStore

A, B = Owner("10.0.0.1", "i-1", 1), Owner("10.0.0.2", "i-2", 2)


def store_with(revision: int = 5) -> TableStore:
    mirror = Mirror(MemoryStore())
    tables = TableStore(mirror.store, mirror, "s")
    mirror.offer(Item(tables.key, new_table([A, B]).encode(), revision))
    return tables


def test_a_range_that_is_told_counts_at_once():
    tables = store_with()
    woken = []
    tables.on_told = lambda: woken.append(True)
    tables.offer_range(7, KeyRange(100, 199, B, 9, "t"))
    assert tables.table.find(150) == KeyRange(100, 199, B, 9, "t")
    assert tables.table.find(99).owner == tables.table.find(200).owner == A
    assert tables.table.fence == 9
    assert tables.revision == 7
    assert woken


def test_the_table_of_the_store_replaces_what_was_told_before():
    # Guards against a range that stays with an owner which has given it away again.
    tables = store_with()
    tables.offer_range(7, KeyRange(100, 199, B, 9))
    newer = reassign(new_table([A, B]), 0, 300, A)
    tables.mirror.offer(Item(tables.key, newer.encode(), 8))
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
    for number in range(2 * MAX_TOLD):
        tables.offer_range(7 + number, KeyRange(number, number, B, 9 + number))
    assert len(tables.told) == MAX_TOLD


async def test_changes_rest_on_the_table_of_the_store_and_not_on_what_was_told():
    # Guards against a write of ranges that the store never had.
    tables = store_with()
    tables.store.revision = 5
    tables.store.items[tables.key] = tables.mirror.get(tables.key)
    tables.offer_range(7, KeyRange(100, 199, B, 9))
    seen = []
    await tables.change("test", lambda table: seen.append(table.find(150).owner))
    assert seen == [A]


def test_the_message_carries_a_range_with_and_without_an_owner():
    for row in (KeyRange(1, 2, A, 3, "t"), KeyRange(1, 2, None, 3)):
        message = decode(encode(told("s", 4, row)))
        assert (message.service, message.revision) == ("s", 4)
        assert message.key_range == row
