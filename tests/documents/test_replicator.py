"""Replication of documents between daemons over real streams."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager
from itertools import pairwise

from sesamepost.internal.documents.delta import BLOCK_BYTES
from sesamepost.internal.documents.replica import Replica
from sesamepost.internal.documents.replicator import DocumentReplicator
from sesamepost.internal.identity import new_node_id
from sesamepost.internal.wire.pool import Address, PeerPool

PEER_KEY = b"shared key of the peers"


class Daemon:
    """A pool, a replica and a replicator, as in a real daemon."""

    def __init__(self, name):
        self.node = new_node_id(name)
        self.pool = PeerPool(self.node, PEER_KEY)
        self.replica = Replica()
        self.neighbours = []
        self.replicator = DocumentReplicator(
            self.replica, self.pool, lambda: self.neighbours
        )
        self.address = None

    async def holds(self, name, version):
        changed = asyncio.Event()
        with self.replica.changes.subscribe(lambda change: changed.set()):
            async with asyncio.timeout(5):
                while self.replica.version_of(name) < version:
                    changed.clear()
                    await changed.wait()


@asynccontextmanager
async def chain(length):
    """Yield daemons each of which pushes only to the next one."""
    daemons = [Daemon(f"vm-{index}") for index in range(length)]
    async with AsyncExitStack() as stack:
        for daemon in daemons:
            await stack.enter_async_context(daemon.pool)
            await stack.enter_async_context(daemon.replicator)
            daemon.address = await daemon.pool.listen(Address("127.0.0.1", 0))
        for daemon, following in pairwise(daemons):
            daemon.neighbours.append((following.node, following.address))
        yield daemons


async def test_a_change_reaches_daemons_that_are_not_neighbours():
    # Guards against changes that are not forwarded beyond one hop.
    async with chain(4) as daemons:
        daemons[0].replica.offer("fleet", 7, b"body")
        await daemons[-1].holds("fleet", 7)
        assert daemons[-1].replica.documents["fleet"].body == b"body"


async def test_a_lost_push_is_repaired_by_comparing_digests():
    # Guards against a daemon that stays outdated after one lost message.
    async with chain(2) as (first, second):
        neighbours, first.neighbours = first.neighbours, []
        first.replica.offer("settings/a", 3, b"lost")
        first.neighbours = neighbours
        stream = await first.pool.stream_to(second.address, second.node)
        first.replicator.compare(stream, second.replica.digest)
        await second.holds("settings/a", 3)


async def test_a_delta_without_its_base_causes_a_fetch_of_the_document():
    # Guards against a daemon that ignores a delta because it missed the base version.
    body = bytes(40 * BLOCK_BYTES)
    async with chain(2) as (first, second):
        neighbours, first.neighbours = first.neighbours, []
        first.replica.offer("assignment/s", 1, body)
        first.neighbours = neighbours
        first.replica.offer("assignment/s", 2, b"\1" + body[1:])
        await second.holds("assignment/s", 2)
        assert second.replica.documents["assignment/s"].body == b"\1" + body[1:]
        assert second.replicator.counters["deltas_without_base"] == 1
