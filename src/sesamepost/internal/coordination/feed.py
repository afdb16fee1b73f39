"""Shares one node's watch of the store with the other nodes of its failure domain.

A watch costs one call to the store per change and node, and the store's rate limits
grow more slowly than the fleet. In a large failure domain, the followers therefore
poll a single reader instead. Each response of the reader states the age of its data.
If the reader has lost the store, its followers watch the store themselves for a while.
"""

import zlib
from collections import Counter

import msgpack
import structlog

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.eras import era_of
from sesamepost.internal.coordination.mirror import WATCH_PACE, Mirror, WatchPace
from sesamepost.internal.coordination.nodes import NodeEntry, NodeTable
from sesamepost.internal.coordination.relay import (
    RelayedStore,
    decode_batch,
    encode_batch,
)
from sesamepost.internal.coordination.store import (
    Batch,
    HistoryGoneError,
    StoreError,
    StoreRejectedError,
)

# In smaller failure domains the reader's polls cost more calls than they save.
MIN_GROUP_NODES = 6
# A reader polls often, since only a response of the store confirms its data.
READER_PACE = WatchPace(pause_s=0.5, wait_s=0.9)
# Exceeds both the pause and the wait of a reader's watch.
MAX_AGE_S = 1.5
# Shrinks settings and range tables to a third; links may be as slow as 5 Mbit/s.
COMPRESSION_LEVEL = 1
FOLLOW_WAIT_S = 0.5
FOLLOW_TIMEOUT_S = 0.9
# How long a follower watches the store itself after its reader has failed.
DIRECT_WATCH_S = 3.0
DIRECT_WATCH_PACE = WatchPace(pause_s=0.2, wait_s=1.0)

log = structlog.get_logger()


class ReaderFeed:
    """Feeds a mirror from the reader of the failure domain and serves followers.

    ``own`` is the entry of this node. The reader is the node of the failure domain
    whose VM name sorts first. If the reader silently loses the store, a settings change
    still reaches its followers within ``MAX_AGE_S + FOLLOW_WAIT_S`` plus one call.
    """

    def __init__(
        self, own: NodeEntry, nodes: NodeTable, mirror: Mirror, store: RelayedStore
    ) -> None:
        self.own = own
        self.nodes = nodes
        self.mirror = mirror
        self.store = store
        self.direct_watch_until = 0.0
        self.encoded_revisions = (-1, -1)
        self.encoded = b""
        self.counters: Counter[str] = Counter()
        store.operations["follow"] = self.serve

    def reader(self) -> NodeEntry | None:
        """Return the reader, or None if each node watches the store itself."""
        group = {
            node.vm: node
            for node in self.nodes.nodes.values()
            if node.failure_domain == self.own.failure_domain and not node.is_stopping
        }
        group.setdefault(self.own.vm, self.own)
        if len(group) < MIN_GROUP_NODES:
            return None
        return group[min(group)]

    def pace(self) -> WatchPace:
        """Return the pace at which this node watches the store."""
        if boottime() < self.direct_watch_until:
            return DIRECT_WATCH_PACE
        reader = self.reader()
        if reader is not None and reader.vm == self.own.vm:
            return READER_PACE
        return WATCH_PACE

    async def follow(self, revision: int) -> tuple[Batch, float] | None:
        """Return the reader's changes after ``revision`` and the age of its data.

        Return None if this node must watch the store itself. Raise ``HistoryGoneError``
        if the reader cannot list all changes after ``revision``.
        """
        reader = self.reader()
        if (
            reader is None
            or reader.vm == self.own.vm
            or boottime() < self.direct_watch_until
        ):
            return None
        try:
            changes, age_s = await self.store.call_peer(
                reader, "follow", [revision, FOLLOW_WAIT_S], FOLLOW_TIMEOUT_S
            )
        except HistoryGoneError:
            raise
        except StoreError as error:
            self.counters["reader_failures"] += 1
            self.direct_watch_until = boottime() + DIRECT_WATCH_S
            log.info("reader_lost", reader=reader.vm, reason=str(error))
            return None
        return decode_batch(msgpack.unpackb(zlib.decompress(changes))), age_s

    async def serve(self, revision: int, wait_s: float) -> list:
        """Return the changes after a follower's revision and the age of the data.

        Wait briefly for the first change. Raise ``StoreRejectedError`` if the data is
        older than ``MAX_AGE_S`` or of an earlier era than the follower's.
        """
        mirror = self.mirror
        if era_of(mirror.revision) < era_of(revision):
            raise StoreRejectedError("the reader has not listed the store in this era")
        if mirror.revision <= revision:
            await mirror.wait_for_change(min(wait_s, FOLLOW_WAIT_S))
        age_s = boottime() - mirror.confirmed_at
        if age_s > MAX_AGE_S:
            raise StoreRejectedError(
                f"the reader has had no contact with the store for {age_s:.1f} s"
            )
        self.counters["served"] += 1
        return [self._compressed(revision), age_s]

    def _compressed(self, revision: int) -> bytes:
        """Return the compressed changes after ``revision``.

        The last result is cached, since most followers ask for the same changes.
        """
        revisions = (revision, self.mirror.revision)
        if revisions != self.encoded_revisions:
            batch = self.mirror.changes_after(revision)
            packed = msgpack.packb(encode_batch(batch))
            self.encoded = zlib.compress(packed, COMPRESSION_LEVEL)
            self.encoded_revisions = revisions
        return self.encoded
