"""Queries to the controller about the document versions in force on every node."""

import asyncio
import itertools

from sesamepost.internal.controller.controller import Controller
from sesamepost.internal.controller.messages import FleetQuery, FleetVersions
from sesamepost.internal.documents.views import Views
from sesamepost.internal.identity import NodeId
from sesamepost.internal.wire.pool import PeerPool
from sesamepost.internal.wire.stream import PeerStream, StreamClosedError

QUERY_TIMEOUT_S = 1.0


class FleetQueries:
    """Answers operators at any daemon with the controller's view of the fleet.

    The controller knows the versions from the load reports of the nodes.
    """

    def __init__(
        self, node: NodeId, pool: PeerPool, views: Views, controller: Controller
    ) -> None:
        self.node = node
        self.pool = pool
        self.views = views
        self.controller = controller
        self.query_ids = itertools.count(1)
        self.pending: dict[int, asyncio.Future] = {}
        pool.on(FleetVersions, self._on_versions)

    async def ask(self) -> dict | None:
        """Return the documents and report age of each VM.

        Returns None if the controller is unreachable.
        """
        record = self.views.controller
        if record is None:
            return None
        if record.node == self.node:
            return _by_vm(self.controller.fleet_versions())
        query_id = next(self.query_ids)
        future = asyncio.get_running_loop().create_future()
        self.pending[query_id] = future
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_S):
                stream = await self.pool.stream_to(record.address, record.node)
                stream.send(FleetQuery(query_id))
                return _by_vm(await future)
        except (StreamClosedError, TimeoutError):
            return None
        finally:
            del self.pending[query_id]

    def _on_versions(self, stream: PeerStream, message: FleetVersions) -> None:
        future = self.pending.get(message.query)
        if future is not None and not future.done():
            future.set_result(message.nodes)


def _by_vm(nodes) -> dict:
    return {
        vm: {"documents": dict(versions), "age_s": round(age, 3)}
        for vm, age, versions in nodes
    }
