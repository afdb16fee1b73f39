"""The nodes of one failure domain, each with a mirror and a ``ReaderFeed``."""

from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass

from sesamepost.internal.coordination.feed import ReaderFeed
from sesamepost.internal.coordination.mirror import Mirror
from sesamepost.internal.coordination.nodes import NODE_PREFIX, NodeEntry, NodeTable
from sesamepost.internal.coordination.relay import RelayedStore
from sesamepost.internal.coordination.store import CoordinationStore
from sesamepost.internal.identity import new_node_id
from sesamepost.internal.wire.pool import Address, PeerPool
from tests.coordination.memory_store import MemoryStore, put
from tests.waiting import until

KEY = b"k" * 32


@dataclass(slots=True)
class Member:
    """One node; ``store`` is its direct access to the store, without relays."""

    mirror: Mirror
    feed: ReaderFeed
    relayed: RelayedStore
    store: CoordinationStore


@asynccontextmanager
async def failure_domain(
    store: MemoryStore, count: int, view_of_store: Callable[[], CoordinationStore]
) -> AsyncIterator[list[Member]]:
    """Run ``count`` nodes on separate loopback addresses; the first is the reader."""
    async with AsyncExitStack() as stack:
        pools, entries = [], []
        for index in range(count):
            vm = f"127.0.0.{index + 1}"
            pool = await stack.enter_async_context(PeerPool(new_node_id(vm), KEY))
            address = await pool.listen(Address(vm, 0))
            pools.append(pool)
            entries.append(NodeEntry(vm, vm, 1, address.port, "a", "r", None))
        for entry in entries:
            await put(store, NODE_PREFIX + entry.vm, entry.encode())
        members = []
        for pool, entry in zip(pools, entries, strict=True):
            view = view_of_store()
            relayed = RelayedStore(view, pool, list)
            mirror = Mirror(relayed)
            mirror.feed = ReaderFeed(entry, NodeTable(mirror), mirror, relayed)
            await stack.enter_async_context(mirror)
            members.append(Member(mirror, mirror.feed, relayed, view))
        await until(lambda: all(member.mirror.in_contact for member in members))
        yield members
