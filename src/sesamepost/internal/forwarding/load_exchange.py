"""Sends and requests endpoint loads where answers carry too few hints.

Hints are sent along with answers. In a large fleet, a node sends an endpoint one
request in several seconds, so its hints are out of date. Hints within the failure
domain add no billed traffic and let its nodes share the endpoints of services that are
not partitioned. An owner that must hand over keys first requests the loads of a few
others.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

import structlog

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.nodes import NodeEntry, NodeTable
from sesamepost.internal.forwarding.endpoint import LocalEndpoint
from sesamepost.internal.forwarding.messages import LoadHint, LoadQuery
from sesamepost.internal.tasks import PeriodicTask
from sesamepost.internal.wire.pool import PeerPool
from sesamepost.internal.wire.stream import PeerStream, StreamClosedError

SEND_INTERVAL_S = 0.4
# Bounds the messages of a node in a large failure domain.
MAX_RECEIVERS = 12
MAX_QUERIED = 12
QUERY_INTERVAL_S = 1.0

log = structlog.get_logger()


class LoadExchange(PeriodicTask):
    """Sends hints within the failure domain, and requests the hints of other nodes.

    ``own`` is the entry of this node. ``is_partitioned`` returns whether a service is
    partitioned. No hints are sent for such a service, since its keys determine the
    endpoint of a request.
    """

    interval_s = SEND_INTERVAL_S

    def __init__(
        self,
        own: NodeEntry,
        pool: PeerPool,
        nodes: NodeTable,
        local: LocalEndpoint,
        is_partitioned: Callable[[str], bool],
    ) -> None:
        self.own = own
        self.pool = pool
        self.nodes = nodes
        self.local = local
        self.is_partitioned = is_partitioned
        self.last_sent: LoadHint | None = None
        self.next_receiver = 0
        self.queried_at = float("-inf")
        self.tasks: set[asyncio.Task] = set()
        pool.on(LoadQuery, self._on_query)

    async def step(self) -> None:
        """Send the load to some nodes of the failure domain if it has changed."""
        info = self.local.info
        if info is None or not info.is_ready or self.is_partitioned(info.service):
            return
        hint = self.local.hint()
        if hint == self.last_sent:
            return
        self.last_sent = hint
        for peer in self._receivers():
            self._send(peer, hint)

    def request_loads(self, vms: Iterable[str]) -> bool:
        """Request the loads of some endpoints on ``vms``, at a limited rate.

        Return whether requests were sent; the replies arrive within a few milliseconds.
        """
        now = boottime()
        if now - self.queried_at < QUERY_INTERVAL_S:
            return False
        peers = [self.nodes.nodes[vm] for vm in vms if vm in self.nodes.nodes]
        if not peers:
            return False
        self.queried_at = now
        for peer in random.sample(peers, min(MAX_QUERIED, len(peers))):
            self._send(peer, LoadQuery(0))
        return True

    def _receivers(self) -> list[NodeEntry]:
        peers = [
            node
            for vm, node in sorted(self.nodes.nodes.items())
            if node.failure_domain == self.own.failure_domain and vm != self.own.vm
        ]
        if len(peers) <= MAX_RECEIVERS:
            return peers
        first = self.next_receiver % len(peers)
        self.next_receiver = first + MAX_RECEIVERS
        return (peers + peers)[first : first + MAX_RECEIVERS]

    def _send(self, peer: NodeEntry, message: LoadHint | LoadQuery) -> None:
        task = asyncio.ensure_future(self._deliver(peer, message))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _deliver(self, peer: NodeEntry, message: LoadHint | LoadQuery) -> None:
        try:
            stream = await self.pool.stream_to(peer.address, peer.node_id)
            if stream.writable.is_set():
                stream.send(message)
        except StreamClosedError as error:
            # The next hint follows soon, and a node that has gone needs none.
            log.debug("load_not_sent", peer=peer.vm, error=str(error))

    def _on_query(self, stream: PeerStream, query: LoadQuery) -> None:
        if stream.is_open:
            stream.send(self.local.hint())
