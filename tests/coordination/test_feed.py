"""Tests of ``ReaderFeed``: one node watches the store for its failure domain."""

import asyncio

from sesamepost.internal.coordination import feed as feed_module
from sesamepost.internal.coordination.feed import MIN_GROUP_NODES
from sesamepost.internal.coordination.store import (
    Item,
    StoreRejectedError,
    Transaction,
    Write,
)
from tests.coordination.failure_domain import failure_domain
from tests.coordination.memory_store import MemoryStore, put
from tests.waiting import until


class CountingStore(MemoryStore):
    """Counts the watches."""

    def __init__(self) -> None:
        super().__init__()
        self.watches = 0

    async def watch(self, prefix, after, wait_s):
        self.watches += 1
        return await super().watch(prefix, after, wait_s)


class StoreView(CountingStore):
    """One node's view of a shared store, which can be cut off."""

    def __init__(self, store: CountingStore) -> None:
        self.store = store
        self.eras = store.eras
        self.is_cut = asyncio.Event()

    async def list(self, prefix):
        return await self.store.list(prefix)

    async def watch(self, prefix, after, wait_s):
        call = asyncio.ensure_future(self.store.watch(prefix, after, wait_s))
        cut = asyncio.ensure_future(self.is_cut.wait())
        try:
            await asyncio.wait((call, cut), return_when=asyncio.FIRST_COMPLETED)
            if cut.done():
                await asyncio.sleep(30)
            return call.result()
        finally:
            call.cancel()
            cut.cancel()


def group(store: CountingStore, count: int):
    """Run the nodes of one failure domain, each with its own view of the store."""
    return failure_domain(store, count, lambda: StoreView(store))


def all_have(nodes, key: str, value: bytes) -> bool:
    held = [node.mirror.get(key) for node in nodes]
    return all(item is not None and item.value == value for item in held)


async def test_only_the_reader_watches_and_followers_receive_changes():
    # Guards against a watch by every node, which cost 83 store calls per change.
    store = CountingStore()
    async with group(store, MIN_GROUP_NODES) as nodes:
        await asyncio.sleep(0.3)
        before = store.watches
        for value in (b"1", b"2", b"3"):
            await put(store, "settings", value)
            await until(lambda value=value: all_have(nodes, "settings", value))
        assert nodes[1].mirror.counters["follows"] > 0
        assert store.watches - before <= 6


async def test_deletions_reach_the_followers():
    store = CountingStore()
    async with group(store, MIN_GROUP_NODES) as nodes:
        lease = await store.open_lease(5.0)
        await store.commit(Transaction({"x": 0}, (Write("x", b"1", lease),)))
        await until(lambda: all_have(nodes, "x", b"1"))
        await store.end_lease(lease)
        await until(lambda: all(node.mirror.get("x") is None for node in nodes))


async def test_a_reader_that_silently_loses_the_store_does_not_delay_followers():
    # Guards against followers that rely on a reader whose watch hangs: settings must be
    # in force within the operators' bound on all nodes in contact with the store.
    store = CountingStore()
    async with group(store, MIN_GROUP_NODES) as nodes:
        await until(lambda: nodes[1].mirror.counters["follows"] > 0)
        nodes[0].store.is_cut.set()
        await put(store, "settings", b"new")
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await until(lambda: all_have(nodes[1:], "settings", b"new"))
        assert loop.time() - started_at < 2.5


async def test_a_follower_lists_again_when_its_reader_misses_changes():
    # Guards against deleted keys that stay in a follower's mirror.
    store = CountingStore()
    async with group(store, MIN_GROUP_NODES) as nodes:
        reader, follower = nodes[0].mirror, nodes[1].mirror
        await until(lambda: follower.counters["follows"] > 0)
        follower.offer(Item("ghost", b"1", 1))
        reader.complete_since = store.revision + 1
        await put(store, "a", b"1")
        await until(lambda: all_have([nodes[1]], "a", b"1"))
        await until(lambda: follower.get("ghost") is None)


async def test_a_small_failure_domain_has_no_reader():
    store = CountingStore()
    async with group(store, MIN_GROUP_NODES - 1) as nodes:
        assert all(node.feed.reader() is None for node in nodes)


async def test_a_reader_with_stale_data_rejects_followers():
    store = CountingStore()
    async with group(store, MIN_GROUP_NODES) as nodes:
        nodes[0].mirror.confirmed_at -= feed_module.MAX_AGE_S + 5
        nodes[0].mirror.task.cancel()
        try:
            await nodes[0].feed.serve(nodes[0].mirror.revision, 0.01)
        except StoreRejectedError:
            return
        raise AssertionError("the reader served stale data")
