"""Relays store calls through a peer while this node cannot use the store directly."""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import TypeVar

import msgpack
import structlog

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination import store as store_module
from sesamepost.internal.coordination.messages import StoreCall, StoreReply
from sesamepost.internal.coordination.nodes import NodeEntry
from sesamepost.internal.coordination.store import (
    Batch,
    ConditionFailedError,
    CoordinationStore,
    Deletion,
    EraChangedError,
    HistoryGoneError,
    Item,
    LeaseEndedError,
    StoreError,
    StoreRejectedError,
    StoreSilentError,
    Transaction,
    WatchOverdueError,
    Write,
)
from sesamepost.internal.wire.pool import PeerPool
from sesamepost.internal.wire.stream import PeerStream, StreamClosedError

# After a direct call fails, calls go through peers for this long.
RETRY_DIRECT_S = 1.0
# Used instead while no peer can relay calls.
RETRY_WITHOUT_PEER_S = 0.25
RELAY_TIMEOUT_S = 0.8
# Kept short, so that a peer that is cut off during a watch delays settings only
# briefly.
RELAYED_WATCH_WAIT_S = 0.5
RELAYED_WATCH_TIMEOUT_S = 0.9
MAX_PEERS_TRIED = 3
# No further peer is tried after this time.
MAX_RELAY_S = 1.0
# A watch that is sent while the store may be silent must not wait in that silence.
PROBE_WAIT_S = 0.1
PROBE_TIMEOUT_S = 0.4

# The store was reached and answered with these, so no other peer is tried.
CONCLUSIVE_ERRORS = (
    ConditionFailedError,
    EraChangedError,
    HistoryGoneError,
    LeaseEndedError,
)

_Result = TypeVar("_Result")

log = structlog.get_logger()


def encode_event(event: Item | Deletion) -> list:
    """Return ``event`` as an array for msgpack."""
    match event:
        case Item():
            return [event.key, event.revision, event.value, event.lease]
        case Deletion():
            return [event.key, event.revision]


def decode_event(array: list) -> Item | Deletion:
    """Return the event that ``encode_event`` wrote as ``array``."""
    if len(array) == 2:
        return Deletion(*array)
    key, revision, value, lease = array
    return Item(key, value, revision, lease)


class RelayedStore:
    """A ``CoordinationStore`` that falls back to peers while direct calls fail.

    A transaction whose response was lost may be sent again; its conditions prevent it
    from taking effect twice. ``peers`` returns the nodes that may relay calls.
    """

    def __init__(
        self,
        direct: CoordinationStore,
        pool: PeerPool,
        peers: Callable[[], list[NodeEntry]],
    ) -> None:
        self.direct = direct
        self.eras = direct.eras
        self.pool = pool
        self.peers = peers
        self.direct_retry_at = 0.0
        self.is_lost = False
        # Set and replaced whenever a direct call fails.
        self.lost_event = asyncio.Event()
        self.replies: dict[int, tuple[PeerStream, asyncio.Future]] = {}
        self.next_id = 0
        self.preferred_peer = ""
        self.tasks: set[asyncio.Task] = set()
        # Operations for peers that need no call of the store, by name.
        self.operations: dict[str, Callable[..., Awaitable]] = {}
        self.counters: Counter[str] = Counter()
        pool.on(StoreCall, self._serve)
        pool.on(StoreReply, self._on_reply)
        pool.closed_listeners.append(self._on_closed)

    @property
    def is_direct(self) -> bool:
        """Whether the store served the last direct call."""
        return not self.is_lost

    async def get(self, key: str) -> tuple[Item | None, int]:
        """Return the item at ``key``, or None, and the revision of the store."""
        result = await self._call("get", [key])
        event, revision = result
        return (None if event is None else decode_event(event)), revision

    async def list(self, prefix: str) -> Batch:
        """Return all items whose key begins with ``prefix``."""
        return decode_batch(await self._call("list", [prefix]))

    async def watch(self, prefix: str, after: int, wait_s: float) -> Batch:
        """Return the changes after revision ``after``.

        Wait up to ``wait_s`` seconds for the first one.
        """
        return decode_batch(await self._call("watch", [prefix, after, wait_s]))

    async def commit(self, transaction: Transaction) -> int:
        """Apply a transaction and return the revision of the change."""
        writes = [[w.key, w.value, w.lease] for w in transaction.writes]
        arguments = [transaction.conditions, writes, list(transaction.deletes)]
        return await self._call("commit", arguments)

    async def open_lease(self, ttl_s: float) -> int:
        """Open a lease and return its id."""
        return await self._call("open_lease", [ttl_s])

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raise ``LeaseEndedError`` if it has ended."""
        await self._call("renew_lease", [lease])

    async def end_lease(self, lease: int) -> None:
        """End a lease and remove the keys bound to it."""
        await self._call("end_lease", [lease])

    async def _call(self, operation: str, arguments: list):
        if boottime() >= self.direct_retry_at:
            try:
                result = await self._call_direct(operation, arguments)
                self._record_direct_result(True, "")
                return result
            except CONCLUSIVE_ERRORS:
                self._record_direct_result(True, "")
                raise
            except WatchOverdueError:
                raise
            except StoreError as error:
                self._record_direct_result(False, str(error))
                failure = error
        else:
            failure = StoreRejectedError(
                "direct calls of the store are paused after a failure"
            )
        return await self._call_through_peers(operation, arguments, failure)

    async def _call_direct(self, operation: str, arguments: list):
        """Call the store directly; abandon a watch once another call fails."""
        self.counters[f"direct_{operation}"] += 1
        if operation != "watch":
            return await perform(self.direct, operation, arguments)
        if self.is_lost:
            return await self._probe(arguments)
        wait_s = arguments[-1]
        sent_at = boottime()
        try:
            return await self._watch_direct(arguments)
        except StoreSilentError as error:
            took_s = boottime() - sent_at
            if took_s > wait_s:
                log.info("watch_overdue", reason=str(error), took_s=round(took_s, 2))
                raise WatchOverdueError(str(error)) from None
            log.info("watch_cut", reason=str(error), took_s=round(took_s, 2))
            if self.is_lost:
                raise
            # A watch may be cut while the store is healthy, so try once more.
            return await self._watch_direct(arguments)

    async def _probe(self, arguments: list):
        """Watch briefly, to learn whether the store answers again."""
        prefix, after, wait_s = arguments
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                probe = [prefix, after, min(wait_s, PROBE_WAIT_S)]
                return await perform(self.direct, "watch", probe)
        except TimeoutError:
            raise StoreSilentError("the store is still silent") from None

    async def _watch_direct(self, arguments: list):
        watch = asyncio.ensure_future(perform(self.direct, "watch", arguments))
        lost_task = asyncio.ensure_future(self.lost_event.wait())
        try:
            await asyncio.wait((watch, lost_task), return_when=asyncio.FIRST_COMPLETED)
            if watch.done():
                return watch.result()
            raise StoreSilentError("another call found the store unreachable")
        finally:
            for task in (watch, lost_task):
                task.cancel()
            with suppress(asyncio.CancelledError, StoreError):
                await watch

    def _record_direct_result(self, succeeded: bool, reason: str) -> None:
        if succeeded:
            if self.is_lost:
                log.info("store_direct_regained")
            self.is_lost = False
            return
        self.direct_retry_at = boottime() + RETRY_DIRECT_S
        if not self.is_lost:
            log.info("store_direct_lost", reason=reason)
        self.is_lost = True
        lost, self.lost_event = self.lost_event, asyncio.Event()
        lost.set()

    async def _call_through_peers(
        self, operation: str, arguments: list, failure: StoreError
    ):
        """Call the store through a peer; ``failure`` is the error of the direct call.

        If an unanswered transaction may still be executed, that is what is raised, even
        if a later attempt is rejected.
        """
        peers = self.peers()
        random.shuffle(peers)
        # The peer that relayed the last call probably still has contact.
        peers.sort(key=lambda peer: peer.vm != self.preferred_peer)
        end = boottime() + MAX_RELAY_S
        for peer in peers[:MAX_PEERS_TRIED]:
            if boottime() >= end:
                break
            try:
                return await self._call_through(peer, operation, arguments)
            except CONCLUSIVE_ERRORS:
                raise
            except StoreError as error:
                if not _may_be_executed(operation, failure):
                    failure = error
                self.preferred_peer = ""
        # No peer can relay the call, so retry the store directly soon.
        self.direct_retry_at = min(
            self.direct_retry_at, boottime() + RETRY_WITHOUT_PEER_S
        )
        raise failure

    async def read_directly(
        self, key: str, timeout_s: float
    ) -> tuple[Item | None, int]:
        """Return the item at ``key``, or None, and the revision, without a relay.

        A failure within ``timeout_s`` seconds does not count as a loss of the store.
        """
        self.counters["direct_get"] += 1
        return await self._call_once(self.direct.get(key), key, timeout_s)

    async def list_directly(self, prefix: str, timeout_s: float) -> Batch:
        """Return the items whose key begins with ``prefix``, without a relay.

        A failure within ``timeout_s`` seconds does not count as a loss of the store.
        """
        self.counters["direct_list"] += 1
        return await self._call_once(self.direct.list(prefix), prefix, timeout_s)

    async def _call_once(
        self, call: Awaitable[_Result], key: str, timeout_s: float
    ) -> _Result:
        try:
            async with asyncio.timeout(timeout_s):
                result = await call
        except TimeoutError:
            raise StoreSilentError(f"{key}: no answer in {timeout_s} s") from None
        self._record_direct_result(True, "")
        return result

    async def _call_through(self, peer: NodeEntry, operation: str, arguments: list):
        timeout_s = RELAY_TIMEOUT_S
        if operation == "watch":
            prefix, after, wait_s = arguments
            arguments = [prefix, after, min(wait_s, RELAYED_WATCH_WAIT_S)]
            timeout_s = RELAYED_WATCH_TIMEOUT_S
        result = await self.call_peer(peer, operation, arguments, timeout_s)
        self.counters["relayed"] += 1
        self.preferred_peer = peer.vm
        return result

    async def call_peer(
        self, peer: NodeEntry, operation: str, arguments: list, timeout_s: float
    ):
        """Have ``peer`` perform an operation and return its result.

        Raise the ``StoreError`` that the peer reports, or ``StoreSilentError`` if it
        does not respond within ``timeout_s`` seconds.
        """
        self.next_id += 1
        call_id = self.next_id
        future = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(timeout_s):
                stream = await self.pool.stream_to(peer.address, peer.node_id)
                self.replies[call_id] = stream, future
                stream.send(StoreCall(call_id, operation, msgpack.packb(arguments)))
                reply = await future
        except (TimeoutError, StreamClosedError) as error:
            raise StoreSilentError(f"{peer.vm} did not answer: {error!r}") from None
        finally:
            self.replies.pop(call_id, None)
        self.eras.note(reply.era)
        if reply.error:
            raise _decode_error(reply)
        return msgpack.unpackb(reply.result, strict_map_key=False)

    def _on_reply(self, stream: PeerStream, reply: StoreReply) -> None:
        _, future = self.replies.get(reply.id, (None, None))
        if future is not None and not future.done():
            future.set_result(reply)

    def _on_closed(self, stream: PeerStream) -> None:
        for used_stream, future in list(self.replies.values()):
            if used_stream is stream and not future.done():
                future.set_exception(
                    StreamClosedError("the connection to the relaying peer was closed")
                )

    def _serve(self, stream: PeerStream, call: StoreCall) -> None:
        task = asyncio.ensure_future(self._answer(stream, call))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _answer(self, stream: PeerStream, call: StoreCall) -> None:
        error = detail = ""
        result = b""
        try:
            arguments = msgpack.unpackb(call.arguments, strict_map_key=False)
            result = msgpack.packb(await self._perform(call.operation, arguments))
            self.counters["served"] += 1
        except StoreError as failure:
            error, detail = type(failure).__name__, str(failure)
        with suppress(StreamClosedError):
            era = self.eras.newest
            stream.send(StoreReply(call.id, error, detail, result, era))

    async def _perform(self, operation: str, arguments: list):
        """Perform an operation for a peer."""
        handler = self.operations.get(operation)
        if handler is not None:
            return await handler(*arguments)
        if not self.is_direct:
            raise StoreRejectedError(
                "the relaying node has no contact with the store either"
            )
        result = await self._call_direct(operation, arguments)
        if operation == "watch":
            # Times of this node's clock mean nothing to the peer.
            return result[:2]
        return result


def _may_be_executed(operation: str, failure: StoreError) -> bool:
    """Return whether the store may execute a transaction after its failed call."""
    return operation == "commit" and isinstance(failure, StoreSilentError)


async def perform(store: CoordinationStore, operation: str, arguments: list):
    """Call ``store`` with arguments and a result that msgpack can encode."""
    match operation, arguments:
        case "get", [key]:
            item, revision = await store.get(key)
            return [None if item is None else encode_event(item), revision]
        case "list", [prefix]:
            return encode_batch(await store.list(prefix))
        case "watch", [prefix, after, wait_s]:
            batch = await store.watch(prefix, after, wait_s)
            return [*encode_batch(batch), batch.answered_at]
        case "commit", [conditions, writes, deletes]:
            values = tuple(Write(*write) for write in writes)
            return await store.commit(Transaction(conditions, values, tuple(deletes)))
        case "open_lease", [ttl_s]:
            return await store.open_lease(ttl_s)
        case "renew_lease", [lease]:
            return await store.renew_lease(lease)
        case "end_lease", [lease]:
            return await store.end_lease(lease)
        case _:
            raise StoreRejectedError(f"unknown store operation {operation!r}")


def encode_batch(batch: Batch) -> list:
    """Return ``batch`` as an array for msgpack."""
    return [batch.revision, [encode_event(event) for event in batch.events]]


def decode_batch(array: list) -> Batch:
    """Return the batch that ``encode_batch`` wrote as ``array``."""
    revision, events, *answered_at = array
    return Batch(revision, tuple(decode_event(e) for e in events), *answered_at)


def _decode_error(reply: StoreReply) -> StoreError:
    cls = getattr(store_module, reply.error, None)
    if not (isinstance(cls, type) and issubclass(cls, StoreError)):
        cls = StoreSilentError
    return cls(reply.detail)
