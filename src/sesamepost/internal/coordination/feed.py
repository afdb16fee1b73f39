"""Lets one node of a large failure domain watch the store for the others.

A watch is one call of the store for each change and node, and the store's rates grow
more slowly than the fleet. Followers ask the reader of their failure domain instead.
Its answer tells how old its knowledge is, so that a reader which lost the store holds
nobody up for long: a follower then watches the store itself for a while.
"""

import zlib
from collections import Counter

import msgpack
import structlog

from sesamepost.internal.clock import boottime
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

# In smaller failure domains the polls of a reader cost more calls than they save.
MIN_GROUP_NODES = 6
# A reader asks often, as only an answer of the store shows that it is in contact.
READER_PACE = WatchPace(pause_s=0.5, wait_s=0.9)
# Somewhat more than a reader's pause or wait.
MAX_AGE_S = 1.5
# Settings and tables shrink to a third; links may have no more than 5 Mbit/s.
COMPRESSION_LEVEL = 1
FOLLOW_WAIT_S = 0.5
FOLLOW_TIMEOUT_S = 0.9
# How long a follower watches the store itself after its reader failed.
DIRECT_WATCH_S = 3.0
DIRECT_WATCH_PACE = WatchPace(pause_s=0.2, wait_s=1.0)

log = structlog.get_logger()


class ReaderFeed:
    """The changes that the reader of this node's failure domain has seen.

    ``own`` is the entry of this node; the reader is the first VM of the failure domain
    by name. A settings change reaches a follower of a reader that loses the store
    without a word within ``MAX_AGE_S + FOLLOW_WAIT_S`` and one call.
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
        """Return the node that watches the store, None if each does so for itself."""
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
        """Return how this node watches the store."""
        if boottime() < self.direct_watch_until:
            return DIRECT_WATCH_PACE
        reader = self.reader()
        if reader is not None and reader.vm == self.own.vm:
            return READER_PACE
        return WATCH_PACE

    async def follow(self, revision: int) -> tuple[Batch, float] | None:
        """Return what the reader knows and its age, None if the store is to be asked.

        Raises ``HistoryGoneError`` if the reader does not know all changes.
        """
        reader = self.reader()
        if (
            reader is None
            or reader.vm == self.own.vm
            or boottime() < self.direct_watch_until
        ):
            return None
        try:
            changes, age_s = await self.store.ask(
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
        """Answer a follower: the changes after its revision, or none after a wait."""
        mirror = self.mirror
        if mirror.revision <= revision:
            await mirror.wait_for_change(min(wait_s, FOLLOW_WAIT_S))
        age_s = boottime() - mirror.confirmed_at
        if age_s > MAX_AGE_S:
            raise StoreRejectedError(f"no contact with the store for {age_s:.1f} s")
        self.counters["served"] += 1
        return [self._compressed(revision), age_s]

    def _compressed(self, revision: int) -> bytes:
        """Return the changes after a revision; most followers ask for the same ones."""
        revisions = (revision, self.mirror.revision)
        if revisions != self.encoded_revisions:
            batch = self.mirror.changes_after(revision)
            packed = msgpack.packb(encode_batch(batch))
            self.encoded = zlib.compress(packed, COMPRESSION_LEVEL)
            self.encoded_revisions = revisions
        return self.encoded
