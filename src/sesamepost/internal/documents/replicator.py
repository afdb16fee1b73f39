"""Replication of documents: pushes to neighbours and repair of lost pushes."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable

import structlog

from sesamepost.internal.documents.delta import (
    DeltaMismatchError,
    apply_push,
    delta_push,
    full_push,
)
from sesamepost.internal.documents.messages import Fetch, Push, Versions
from sesamepost.internal.documents.replica import DocumentChange, Replica
from sesamepost.internal.identity import NodeId
from sesamepost.internal.wire.pool import Address, PeerPool
from sesamepost.internal.wire.stream import PeerStream, StreamClosedError

EXCHANGE_TIMEOUT_S = 2.0
MIN_EXCHANGE_INTERVAL_S = 0.2

log = structlog.get_logger()


class DocumentReplicator:
    """Keeps the documents of this daemon and its neighbours in sync.

    A change is pushed to every neighbour at once. A lost push is repaired when the
    digest in a lease renewal differs: ``compare`` then starts an exchange of versions.
    ``neighbours`` returns the node ids and addresses to push to.
    """

    def __init__(
        self,
        replica: Replica,
        pool: PeerPool,
        neighbours: Callable[[], Iterable[tuple[NodeId, Address]]],
    ) -> None:
        self.replica = replica
        self.pool = pool
        self.neighbours = neighbours
        self.counters: Counter[str] = Counter()
        self.tasks: set[asyncio.Task] = set()
        self.last_exchange_at: dict[NodeId, float] = {}
        self.received_from: NodeId | None = None
        pool.on(Push, self._on_push)
        pool.on(Fetch, self._on_fetch)
        pool.on(Versions, self._on_versions)
        self.subscription = replica.changes.subscribe(self._on_change)

    async def __aenter__(self) -> "DocumentReplicator":
        return self

    async def __aexit__(self, *error) -> None:
        self.subscription.dispose()
        for task in self.tasks:
            task.cancel()

    def compare(self, stream: PeerStream, digest: bytes) -> None:
        """Exchange versions with a peer whose digest differs from this daemon's."""
        if digest != self.replica.digest:
            self.exchange(stream)

    def exchange(self, stream: PeerStream) -> None:
        """Exchange versions with a peer unless the last exchange is too recent."""
        now = asyncio.get_running_loop().time()
        last_at = self.last_exchange_at.get(stream.peer, -MIN_EXCHANGE_INTERVAL_S)
        if now - last_at < MIN_EXCHANGE_INTERVAL_S:
            return
        self.last_exchange_at[stream.peer] = now
        self.counters["exchanges"] += 1
        stream.send(Versions(self.replica.versions(), True))

    async def fetch_from(self, address: Address) -> bool:
        """Start an exchange with the daemon at ``address``.

        Returns False if the daemon is unreachable.
        """
        try:
            stream = await self.pool.stream_to(address)
            stream.send(Versions(self.replica.versions(), True))
        except StreamClosedError:
            return False
        return True

    def _on_change(self, change: DocumentChange) -> None:
        current, previous = change.current, change.previous
        if previous is None:
            push = full_push(current.name, current.version, current.body)
        else:
            push = delta_push(
                current.name,
                current.version,
                current.body,
                previous.version,
                previous.body,
            )
        for node, address in self.neighbours():
            if node in (self.pool.node, self.received_from):
                continue
            stream = self.pool.streams.get(node)
            if stream is not None and stream.is_open:
                self._send(stream, push)
                continue
            self._start_task(self._dial_and_send(node, address, push))

    async def _dial_and_send(self, node: NodeId, address: Address, push: Push) -> None:
        try:
            self._send(await self.pool.stream_to(address, node), push)
        except StreamClosedError:
            # The digest in a later renewal leads to the repair of this push.
            self.counters["pushes_failed"] += 1

    def _send(self, stream: PeerStream, push: Push) -> None:
        self.counters["pushes_sent"] += 1
        stream.send(push)

    def _on_push(self, stream: PeerStream, push: Push) -> None:
        held = self.replica.documents.get(push.name)
        held_version = 0 if held is None else held.version
        if push.version <= held_version:
            self.counters["pushes_known"] += 1
            return
        try:
            data = apply_push(push, held_version, b"" if held is None else held.body)
        except DeltaMismatchError:
            self.counters["deltas_without_base"] += 1
            stream.send(Fetch(push.name, held_version))
            return
        self.received_from = stream.peer
        try:
            self.replica.offer(push.name, push.version, data)
        finally:
            self.received_from = None

    def _on_fetch(self, stream: PeerStream, fetch: Fetch) -> None:
        document = self.replica.documents.get(fetch.name)
        if document is not None and document.version > fetch.held_version:
            self._send(
                stream, full_push(document.name, document.version, document.body)
            )

    def _on_versions(self, stream: PeerStream, message: Versions) -> None:
        peer_versions = {name: version for name, version in message.versions}
        for name, document in self.replica.documents.items():
            if document.version > peer_versions.get(name, 0):
                self._send(stream, full_push(name, document.version, document.body))
        holds_older = any(
            version > self.replica.version_of(name)
            for name, version in peer_versions.items()
        )
        if holds_older and message.wants_reply:
            stream.send(Versions(self.replica.versions(), False))

    def _start_task(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
