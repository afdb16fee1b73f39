"""Tests of ``Mirror``: lost history, failures and own writes."""

import asyncio
from dataclasses import replace

from structlog.testing import capture_logs

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.mirror import LONG_GAP_S, WATCH_PACE, Mirror
from sesamepost.internal.coordination.store import (
    HistoryGoneError,
    Item,
    StoreRejectedError,
    Transaction,
    Write,
)
from tests.coordination.memory_store import MemoryStore, put
from tests.waiting import until


def value_of(mirror: Mirror, key: str) -> bytes | None:
    item = mirror.get(key)
    return None if item is None else item.value


async def test_the_watch_delivers_changes():
    store = MemoryStore()
    await put(store, "a", b"1")
    async with Mirror(store) as mirror:
        await until(lambda: value_of(mirror, "a") == b"1")
        await put(store, "a", b"2")
        await until(lambda: value_of(mirror, "a") == b"2")


async def test_an_item_that_was_deleted_meanwhile_does_not_return():
    # Guards against a node entry that stays in the mirror after the node was lost: the
    # response to a write may arrive after the watch has reported the deletion.
    store = MemoryStore()
    lease = await store.open_lease(5.0)
    await store.commit(Transaction({"b": 0}, (Write("b", b"1", lease),)))
    written = store.items["b"]
    async with Mirror(store) as mirror:
        await until(lambda: value_of(mirror, "b") == b"1")
        await store.end_lease(lease)
        await until(lambda: mirror.get("b") is None)
        mirror.offer(written)
        assert mirror.get("b") is None


async def test_a_listing_after_lost_history_removes_deleted_keys():
    store = MemoryStore()
    await put(store, "a", b"1")
    lease = await store.open_lease(5.0)
    await store.commit(Transaction({"b": 0}, (Write("b", b"1", lease),)))
    async with Mirror(store) as mirror:
        await until(lambda: value_of(mirror, "b") == b"1")
        store.watch_failure = HistoryGoneError("compacted")
        await store.end_lease(lease)
        store.events.clear()
        await until(lambda: mirror.get("b") is None)
        assert value_of(mirror, "a") == b"1"


async def test_changes_of_contact_are_reported():
    store = MemoryStore()
    seen = []
    mirror = Mirror(store)
    mirror.on_contact = seen.append
    async with mirror:
        await until(lambda: seen == [True])
        store.failure = StoreRejectedError("busy")
        await store._notify()
        await until(lambda: seen == [True, False])
        store.failure = None
        await until(lambda: seen == [True, False, True])


def test_an_older_item_never_replaces_a_newer_one():
    # Guards against settings that revert after an own write or a push.
    mirror = Mirror(MemoryStore())
    mirror.offer(Item("a", b"new", 7))
    mirror.offer(Item("a", b"old", 5))
    assert value_of(mirror, "a") == b"new"


async def test_a_long_gap_between_confirmations_is_logged():
    # Guards against logs that cannot tell a late response from a large one or from a
    # failed reader.
    store = MemoryStore()
    async with Mirror(store) as mirror:
        await until(lambda: mirror.in_contact)
        with capture_logs() as logs:
            mirror.confirmed_at -= LONG_GAP_S + 1
            await put(store, "a", b"1")
            await until(lambda: value_of(mirror, "a") == b"1")
    line = next(line for line in logs if line["event"] == "store_knowledge_gap")
    assert line["source"] == "watch"
    assert line["events"] == 1
    assert line["gap_s"] > LONG_GAP_S


class DelayedStore(MemoryStore):
    """Answers watches whose responses arrive, with their heads, ``DELAY_S`` late."""

    DELAY_S = 1.0

    async def watch(self, prefix, after, wait_s):
        batch = await super().watch(prefix, after, wait_s)
        await asyncio.sleep(self.DELAY_S)
        return replace(batch, answered_at=boottime())


async def test_a_response_that_was_under_way_for_long_does_not_count_as_recent():
    # Guards against a reader that keeps its followers although its knowledge is old: a
    # queue on the link, or a freeze of the process, delays the whole response.
    async with Mirror(DelayedStore()) as mirror:
        await until(lambda: mirror.has_listed)
        listed_at = mirror.confirmed_at
        await until(lambda: mirror.confirmed_at > listed_at)
        assert boottime() - mirror.confirmed_at >= DelayedStore.DELAY_S - 0.2
        assert mirror.confirmed_at <= listed_at + WATCH_PACE.wait_s + 0.2
