"""A node's process: the product's parts that learn changes of the store."""

from contextlib import AsyncExitStack
from dataclasses import replace
from typing import TYPE_CHECKING

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.feed import ReaderFeed
from sesamepost.internal.coordination.gossip import KeyGossip
from sesamepost.internal.coordination.mirror import Mirror
from sesamepost.internal.coordination.nodes import NodeEntry, NodeTable
from sesamepost.internal.coordination.relay import RelayedStore
from sesamepost.internal.identity import NodeId
from sesamepost.internal.wire.pool import Address, PeerPool
from tests.checker.loop import Process
from tests.checker.node_process import ProcessStore

if TYPE_CHECKING:
    from tests.news_checker.fleet import NewsFleet

SETTINGS = "settings"
PEER_PORT = 7600
PEER_KEY = b"k" * 32


class NewsStore(ProcessStore):
    """The store as one process calls it; answers count from when it reads them."""

    async def watch(self, prefix: str, after: int, wait_s: float):
        batch = await super().watch(prefix, after, wait_s)
        return replace(batch, answered_at=boottime())


class NewsNode:
    """One run of a node's process. ``versions`` are those that it has had, in order."""

    def __init__(self, fleet: "NewsFleet", entry: NodeEntry, offset_s: float) -> None:
        self.fleet = fleet
        self.entry = entry
        self.versions: list[int] = []
        self.process = Process(fleet.loop, f"node {entry.vm}", offset_s)
        self.process.spawn(self._run())

    async def _run(self) -> None:
        entry = self.entry
        vm = entry.vm
        store = NewsStore(self.fleet.loop, self.fleet.store.client(vm))
        # A killed process leaves no context, so this one is never left.
        enter = AsyncExitStack().enter_async_context
        pool = await enter(PeerPool(NodeId(vm, entry.incarnation), PEER_KEY))
        await pool.listen(Address(vm, PEER_PORT))
        relayed = RelayedStore(store, pool, lambda: self._others(nodes))
        mirror = Mirror(relayed)
        nodes = NodeTable(mirror)
        mirror.feed = ReaderFeed(entry, nodes, mirror, relayed)
        gossip = KeyGossip(SETTINGS, entry, nodes, mirror, relayed)
        mirror.changes.subscribe(self._on_change)
        await enter(mirror)
        await enter(gossip)

    def _others(self, nodes: NodeTable) -> list[NodeEntry]:
        return [n for n in nodes.nodes.values() if n.vm != self.entry.vm]

    def _on_change(self, event) -> None:
        if event.key == SETTINGS:
            self.versions.append(int(event.value))

    @property
    def newest(self) -> int:
        """The newest version that this process has, 0 if none."""
        return self.versions[-1] if self.versions else 0
