"""Spreads the newest revision of one small and urgent key among the nodes.

All other keys come by one watch, whose responses may be large, late or lost. A change
of the urgent key does not wait for them. A node that learns a new revision sends it to
peers, and each of them fetches the item. A node whose knowledge of the key is no longer
recent asks peers for their revision, and if none confirms its own, it reads the key.
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
from sesamepost.internal.coordination.relay import RelayedStore, encode_event
from sesamepost.internal.coordination.store import Item, StoreError
from sesamepost.internal.tasks import PeriodicTask, cancel_all
from sesamepost.internal.wire.stream import PeerStream, StreamClosedError

FETCH_OPERATION = "gossip_item"
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

# As ``encode_event`` returns it.
EncodedItem = tuple[str, int, bytes, int]

log = structlog.get_logger()


class KeyGossip(PeriodicTask):
    """Keeps one key of a mirror recent by gossip.

    ``own`` is the entry of this node. A claim of a peer never takes effect by itself:
    the item must be fetched from the peer or read from the store, and an item older
    than the one held is ignored. If neither has a claimed revision, claims up to it are
    ignored from then on.
    """

    interval_s = STEP_S

    def __init__(
        self,
        key: str,
        own: NodeEntry,
        nodes: NodeTable,
        mirror: Mirror,
        store: RelayedStore,
    ) -> None:
        self.key = key
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
        """The revision of the item held, or 0."""
        return self.mirror.revision_of(self.key)

    @property
    def age_s(self) -> float:
        """The time since the held revision was known to be the newest."""
        return boottime() - max(self.known_at, self.mirror.confirmed_at)

    async def serve(self) -> list | None:
        """Return the item held, for a peer that is behind."""
        item = self.mirror.get(self.key)
        return None if item is None else encode_event(item)

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
        """Record what a peer has stated; fetch the item if it is newer."""
        self.revisions[vm] = revision
        if self.mirror.has_listed:
            self._start_catching_up()

    def _start_catching_up(self) -> None:
        if self.catching_up is None and self._claimants(set()):
            self.catching_up = self._spawn(self._catch_up())

    async def _catch_up(self) -> None:
        """Fetch the item from peers that have a newer one, and then from the store."""
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
            event = await self.store.call_peer(
                peer, FETCH_OPERATION, [], FETCH_TIMEOUT_S
            )
            key, revision, value, lease = msgspec.convert(event, EncodedItem)
        except (StoreError, msgspec.ValidationError) as error:
            log.info("gossip_fetch_failed", peer=peer.vm, error=str(error))
            return
        self._offer(Item(key, value, revision, lease), peer.vm, sent_at)

    async def _read(self, cause: str) -> bool:
        """Read the key from the store; return whether that succeeded."""
        self.counters["reads"] += 1
        sent_at = boottime()
        self.last_read_at = sent_at
        try:
            item, _ = await self.store.read_directly(self.key, READ_TIMEOUT_S)
        except StoreError as error:
            log.info("gossip_read_failed", cause=cause, error=str(error))
            self.read_interval_s = min(2 * self.read_interval_s, MAX_READ_INTERVAL_S)
            return False
        self.read_interval_s = MIN_READ_INTERVAL_S
        if item is not None:
            self._offer(item, "store", sent_at)
        self.known_at = max(self.known_at, sent_at)
        return True

    def _offer(self, item: Item, source: str, sent_at: float) -> None:
        if item.key != self.key or item.revision <= self.revision:
            return
        self.counters["learned"] += 1
        log.info(
            "gossip_learned",
            source=source,
            revision=item.revision,
            previous=self.revision,
            age_s=round(self.age_s, 2),
            took_s=round(boottime() - sent_at, 2),
        )
        self.mirror.offer(item)

    def _on_node(self, vm: str, node: NodeEntry | None) -> None:
        if node is None:
            self.revisions.pop(vm, None)

    def _on_change(self, event) -> None:
        """Announce a new revision to the peers that do not have it yet."""
        if event.key != self.key or not isinstance(event, Item):
            return
        if not self.mirror.has_listed:
            # All nodes list the store when they start.
            return
        local = _sample(self._peers(is_local=True), MAX_LOCAL_RECEIVERS)
        remote = _sample(self._peers(is_local=False), REMOTE_RECEIVERS)
        notice = RevisionNotice(event.revision, 0.0, 0.0)
        for peer in (*local, *remote):
            if self.revisions.get(peer.vm, 0) < event.revision:
                self._send(peer, notice)

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


def _sample(peers: list[NodeEntry], count: int) -> list[NodeEntry]:
    return random.sample(peers, min(count, len(peers)))
