"""Nodes in failure domains, each with a mirror and a ``ReaderFeed``."""

from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass

from sesamepost.internal.coordination.feed import ReaderFeed
from sesamepost.internal.coordination.gossip import KeyGossip
from sesamepost.internal.coordination.mirror import Mirror
from sesamepost.internal.coordination.nodes import NODE_PREFIX, NodeEntry, NodeTable
from sesamepost.internal.coordination.relay import RelayedStore
from sesamepost.internal.coordination.store import CoordinationStore
from sesamepost.internal.identity import new_node_id
from sesamepost.internal.wire.pool import Address, PeerPool
from tests.coordination.memory_store import MemoryStore, put
from tests.waiting import until

KEY = b"k" * 32
URGENT_KEY = "settings"
EVACUATION_PREFIX = "evacuate/"


@dataclass(slots=True)
class Member:
    """One node; ``store`` is its direct access to the store, without relays."""

    entry: NodeEntry
    pool: PeerPool
    mirror: Mirror
    feed: ReaderFeed
    relayed: RelayedStore
    gossip: KeyGossip
    store: CoordinationStore


@asynccontextmanager
async def failure_domain(
    store: MemoryStore, count: int, view_of_store: Callable[[], CoordinationStore]
) -> AsyncIterator[list[Member]]:
    """Run the nodes of one failure domain, which relay no calls; see ``fleet``."""
    async with fleet(store, [count], view_of_store, relays=False) as members:
        yield members


@asynccontextmanager
async def fleet(
    store: MemoryStore,
    sizes: Sequence[int],
    view_of_store: Callable[[], CoordinationStore],
    relays: bool = True,
) -> AsyncIterator[list[Member]]:
    """Run failure domains of these sizes; the first node of each is its reader.

    Each node has a loopback address of its own. With ``relays``, all nodes may relay
    calls of the store for each other.
    """
    domains = [str(number) for number, size in enumerate(sizes) for _ in range(size)]
    async with AsyncExitStack() as stack:
        pools, entries = [], []
        for index, domain in enumerate(domains):
            vm = f"127.0.0.{index + 1}"
            pool = await stack.enter_async_context(PeerPool(new_node_id(vm), KEY))
            address = await pool.listen(Address(vm, 0))
            pools.append(pool)
            entries.append(NodeEntry(vm, vm, 1, address.port, domain, "r", None))
        for entry in entries:
            await put(store, NODE_PREFIX + entry.vm, entry.encode())
        members = []
        for pool, entry in zip(pools, entries, strict=True):
            member = create_member(pool, entry, view_of_store(), relays)
            await stack.enter_async_context(member.mirror)
            await stack.enter_async_context(member.gossip)
            members.append(member)
        await until(lambda: all(member.mirror.in_contact for member in members))
        yield members


def create_member(
    pool: PeerPool, entry: NodeEntry, view: CoordinationStore, relays: bool
) -> Member:
    """Create the parts of one node that learn changes of the store."""
    others: Callable[[], list[NodeEntry]] = list
    relayed = RelayedStore(view, pool, lambda: others())
    mirror = Mirror(relayed)
    nodes = NodeTable(mirror)
    if relays:

        def others() -> list[NodeEntry]:
            return [node for node in nodes.nodes.values() if node.vm != entry.vm]

    mirror.feed = ReaderFeed(entry, nodes, mirror, relayed)
    gossip = KeyGossip(URGENT_KEY, entry, nodes, mirror, relayed, EVACUATION_PREFIX)
    return Member(entry, pool, mirror, mirror.feed, relayed, gossip, view)
