"""Spreads the latest changes of a few small and urgent keys among the nodes.

All other keys come by one watch, whose responses may be large, late or lost. A change
of an urgent key does not wait for them. A node that learns a new revision sends it to
peers, and each of them fetches the changes. A node whose knowledge of the keys is no
longer recent asks peers for their revision, and if none confirms its own, it reads the
keys.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Coroutine

import msgspec
import structlog

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.messages import RevisionNotice, RevisionQuery
from sesamepost.internal.coordination.mirror import Mirror
from sesamepost.internal.coordination.nodes import NodeEntry, NodeTable
from sesamepost.internal.coordination.relay import (
    RelayedStore,
    decode_event,
    encode_event,
)
from sesamepost.internal.coordination.store import Batch, Deletion, Item, StoreError
from sesamepost.internal.tasks import PeriodicTask, cancel_all
from sesamepost.internal.wire.stream import PeerStream, StreamClosedError

FETCH_OPERATION = "gossip_changes"
STEP_S = 0.25
# Knowledge older than this is confirmed by a peer of the failure domain.
QUERY_AGE_S = 1.0
# Then also by a peer elsewhere, which costs bytes between failure domains.
REMOTE_QUERY_AGE_S = 1.3
# Then by the store. Exceeds the pause and the wait of a watch that is answered.
READ_AGE_S = 2.1
READ_TIMEOUT_S = 0.4
MIN_READ_INTERVAL_S = 0.4
MAX_READ_INTERVAL_S = 3.2
FETCH_TIMEOUT_S = 0.4
# A peer of the failure domain often has the item this much later.
REMOTE_FETCH_DELAY_S = 0.05
MAX_LOCAL_RECEIVERS = 12
REMOTE_RECEIVERS = 3

# Bounds the response to a peer. Removed keys are remembered only within it.
MAX_CHANGES = 64

# As ``encode_event`` returns them.
EncodedItem = tuple[str, int, bytes, int]
EncodedDeletion = tuple[str, int]

log = structlog.get_logger()


class KeyGossip(PeriodicTask):
    """Keeps the urgent keys of a mirror recent by gossip.

    These are ``key``, which is never removed, and all keys under ``prefix`` unless it
    is empty. ``own`` is the entry of this node. A claim of a peer never takes effect by
    itself: the changes must be fetched from the peer or read from the store, and one
    older than that held is ignored. If neither has a claimed revision, claims up to it
    are ignored from then on.
    """

    interval_s = STEP_S

    def __init__(
        self,
        key: str,
        own: NodeEntry,
        nodes: NodeTable,
        mirror: Mirror,
        store: RelayedStore,
        prefix: str = "",
    ) -> None:
        self.key = key
        self.prefix = prefix
        # The latest change of each urgent key.
        self.latest: dict[str, Item | Deletion] = {}
        self.own = own
        self.nodes = nodes
        self.mirror = mirror
        self.store = store
        self.pool = store.pool
        # The held revision is known to have been the newest at this time.
        self.known_at = float("-inf")
        # Revisions that peers have stated, by VM.
        self.revisions: dict[str, int] = {}
        self.refuted_revision = 0
        self.catching_up: asyncio.Task | None = None
        self.last_read_at = float("-inf")
        self.read_interval_s = MIN_READ_INTERVAL_S
        self.tasks: set[asyncio.Task] = set()
        self.counters: Counter[str] = Counter()
        store.operations[FETCH_OPERATION] = self.serve
        self.pool.on(RevisionQuery, self._on_query)
        self.pool.on(RevisionNotice, self._on_notice)
        nodes.listeners.append(self._on_node)
        mirror.changes.subscribe(self._on_change)

    async def __aexit__(self, *error) -> None:
        await super().__aexit__(*error)
        await cancel_all(self.tasks)

    @property
    def revision(self) -> int:
        """The revision of the last known change of an urgent key, or 0."""
        return max((event.revision for event in self.latest.values()), default=0)

    @property
    def age_s(self) -> float:
        """The time since the held revision was known to be the newest."""
        return boottime() - self.confirmed_at

    @property
    def confirmed_at(self) -> float:
        """The time at which the held revision was known to be the newest."""
        return max(self.known_at, self.mirror.confirmed_at)

    async def serve(self) -> list[list]:
        """Return the latest changes, for a peer that is behind."""
        return [encode_event(event) for event in self.latest.values()]

    async def step(self) -> None:
        """Fetch what is missing; have the held revision confirmed if that is due."""
        if not self.mirror.has_listed:
            return
        self._start_catching_up()
        age_s = self.age_s
        if age_s < QUERY_AGE_S:
            return
        peers = _sample(self._peers(is_local=True), 1)
        if age_s >= REMOTE_QUERY_AGE_S or not peers:
            peers += _sample(self._peers(is_local=False), 1)
        for peer in peers:
            self.counters["queries"] += 1
            self._send(peer, RevisionQuery(self.revision, boottime()))
        next_read_at = self.last_read_at + self.read_interval_s
        if age_s >= READ_AGE_S and boottime() >= next_read_at:
            self._spawn(self._read("age"))

    def _on_query(self, stream: PeerStream, query: RevisionQuery) -> None:
        notice = RevisionNotice(self.revision, self.age_s, query.sent_at)
        stream.send(notice, expects_reply=False)
        self._note_revision(stream.peer.vm, query.revision)

    def _on_notice(self, stream: PeerStream, notice: RevisionNotice) -> None:
        if notice.asked_at and notice.revision == self.revision:
            as_of = min(notice.asked_at, boottime()) - max(notice.age_s, 0.0)
            self.known_at = max(self.known_at, as_of)
        self._note_revision(stream.peer.vm, notice.revision)

    def _note_revision(self, vm: str, revision: int) -> None:
        """Record what a peer has stated; fetch the changes if it has newer ones."""
        self.revisions[vm] = revision
        if self.mirror.has_listed:
            self._start_catching_up()

    def _start_catching_up(self) -> None:
        if self.catching_up is None and self._claimants(set()):
            self.catching_up = self._spawn(self._catch_up())

    async def _catch_up(self) -> None:
        """Fetch the changes from peers that have newer ones, or read the store."""
        tried = set()
        newest = 0
        try:
            while claimants := self._claimants(tried):
                if not any(self._is_local(peer) for peer in claimants):
                    await asyncio.sleep(REMOTE_FETCH_DELAY_S)
                    claimants = self._claimants(tried) or claimants
                peer = min(claimants, key=lambda peer: not self._is_local(peer))
                tried.add(peer.vm)
                newest = max(newest, self.revisions[peer.vm])
                await self._fetch(peer)
            if newest > self.revision:
                next_read_at = self.last_read_at + MIN_READ_INTERVAL_S
                await asyncio.sleep(max(0.0, next_read_at - boottime()))
                if await self._read("claim"):
                    self.refuted_revision = max(self.refuted_revision, newest)
        finally:
            self.catching_up = None

    def _claimants(self, tried: set[str]) -> list[NodeEntry]:
        """Return the peers that claim a newer revision and were not tried."""
        known = max(self.revision, self.refuted_revision)
        return [
            self.nodes.nodes[vm]
            for vm, revision in self.revisions.items()
            if revision > known and vm not in tried and vm in self.nodes.nodes
        ]

    async def _fetch(self, peer: NodeEntry) -> None:
        self.counters["fetches"] += 1
        sent_at = boottime()
        try:
            changes = _decode_changes(
                await self.store.call_peer(peer, FETCH_OPERATION, [], FETCH_TIMEOUT_S)
            )
        except (StoreError, msgspec.ValidationError) as error:
            log.info("gossip_fetch_failed", peer=peer.vm, error=str(error))
            return
        for event in changes:
            self._offer(event, peer.vm, sent_at)

    async def _read(self, cause: str) -> bool:
        """Read the keys from the store; return whether that succeeded."""
        self.counters["reads"] += 1
        sent_at = boottime()
        self.last_read_at = sent_at
        reads = [self._read_key(sent_at)]
        if self.prefix:
            reads.append(self._list_prefix(sent_at))
        failures = [
            error
            for error in await asyncio.gather(*reads, return_exceptions=True)
            if error is not None
        ]
        for error in failures:
            if not isinstance(error, StoreError):
                raise error
            log.info("gossip_read_failed", cause=cause, error=str(error))
        if failures:
            self.read_interval_s = min(2 * self.read_interval_s, MAX_READ_INTERVAL_S)
            return False
        self.read_interval_s = MIN_READ_INTERVAL_S
        self.known_at = max(self.known_at, sent_at)
        return True

    async def _read_key(self, sent_at: float) -> None:
        item, _ = await self.store.read_directly(self.key, READ_TIMEOUT_S)
        if item is not None:
            self._offer(item, "store", sent_at)

    async def _list_prefix(self, sent_at: float) -> None:
        batch = await self.store.list_directly(self.prefix, READ_TIMEOUT_S)
        for event in (*batch.events, *self._removed_from(batch)):
            self._offer(event, "store", sent_at)

    def _removed_from(self, batch: Batch) -> list[Deletion]:
        """Return the removals of the held keys that a listing lacks."""
        listed = {event.key for event in batch.events}
        return [
            Deletion(key, batch.revision)
            for key, event in self.latest.items()
            if isinstance(event, Item) and key != self.key and key not in listed
        ]

    def _is_urgent(self, event: Item | Deletion) -> bool:
        if event.key == self.key:
            return isinstance(event, Item)
        return bool(self.prefix) and event.key.startswith(self.prefix)

    def _offer(self, event: Item | Deletion, source: str, sent_at: float) -> None:
        held = self.latest.get(event.key)
        is_newer = held is None or event.revision > held.revision
        if not self._is_urgent(event) or not is_newer:
            return
        self.counters["learned"] += 1
        log.info(
            "gossip_learned",
            key=event.key,
            source=source,
            revision=event.revision,
            previous=held.revision if held else 0,
            age_s=round(self.age_s, 2),
            took_s=round(boottime() - sent_at, 2),
        )
        self.mirror.offer(event)

    def _on_node(self, vm: str, node: NodeEntry | None) -> None:
        if node is None:
            self.revisions.pop(vm, None)

    def _on_change(self, event) -> None:
        """Announce a new revision to the peers that do not have it yet."""
        if not self._is_urgent(event):
            return
        self._record(event)
        if not self.mirror.has_listed:
            # All nodes list the store when they start.
            return
        local = _sample(self._peers(is_local=True), MAX_LOCAL_RECEIVERS)
        remote = _sample(self._peers(is_local=False), REMOTE_RECEIVERS)
        notice = RevisionNotice(event.revision, 0.0, 0.0)
        for peer in (*local, *remote):
            if self.revisions.get(peer.vm, 0) < event.revision:
                self._send(peer, notice)

    def _record(self, event: Item | Deletion) -> None:
        self.latest.pop(event.key, None)
        self.latest[event.key] = event
        if len(self.latest) > MAX_CHANGES:
            self.latest.pop(next(key for key in self.latest if key != self.key))

    def _peers(self, is_local: bool) -> list[NodeEntry]:
        return [
            peer
            for vm, peer in self.nodes.nodes.items()
            if vm != self.own.vm and self._is_local(peer) == is_local
        ]

    def _is_local(self, peer: NodeEntry) -> bool:
        return peer.failure_domain == self.own.failure_domain

    def _send(self, peer: NodeEntry, message: RevisionNotice | RevisionQuery) -> None:
        self._spawn(self._deliver(peer, message))

    async def _deliver(
        self, peer: NodeEntry, message: RevisionNotice | RevisionQuery
    ) -> None:
        try:
            stream = await self.pool.stream_to(peer.address, peer.node_id)
            stream.send(message)
        except StreamClosedError as error:
            # Other peers have the revision as well.
            log.debug("gossip_not_sent", peer=peer.vm, error=str(error))

    def _spawn(self, work: Coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task


def _decode_changes(arrays: object) -> list[Item | Deletion]:
    """Return the changes that ``serve`` of a peer returned as ``arrays``.

    Raise ``msgspec.ValidationError`` if they are malformed.
    """
    changes = []
    for array in msgspec.convert(arrays, list[list]):
        array_type = EncodedDeletion if len(array) == 2 else EncodedItem
        changes.append(decode_event(msgspec.convert(array, array_type)))
    return changes


def _sample(peers: list[NodeEntry], count: int) -> list[NodeEntry]:
    return random.sample(peers, min(count, len(peers)))
