"""Node entries in the store and the leases to which they are bound."""

import asyncio
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import asdict, dataclass, replace

import msgpack
import msgspec
import structlog

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.eras import era_of
from sesamepost.internal.coordination.mirror import Mirror
from sesamepost.internal.coordination.store import (
    ConditionFailedError,
    CoordinationStore,
    Item,
    LeaseEndedError,
    StoreError,
    Transaction,
    Write,
)
from sesamepost.internal.identity import ANY_INCARNATION, NodeId
from sesamepost.internal.limits import (
    Count,
    Incarnation,
    IpAddress,
    Name,
    Port,
    Slots,
)
from sesamepost.internal.tasks import TaskOwner
from sesamepost.internal.wire.pool import Address

NODE_PREFIX = "sesamepost/nodes/"
# The key under this prefix holds the id of a node's last lease and outlives the lease,
# so it changes with each new lease. A transaction that takes over ranges requires it to
# be unchanged, because the node's entry may have reappeared and vanished again
# unobserved. So do the node's own writes of ranges, which the store may carry out late.
LAST_LEASE_PREFIX = "sesamepost/leases/"
# The key under this prefix holds the incarnation of the last endpoint that left a node.
# It outlives the lease, so that no later process of the node uses that endpoint.
LEFT_PREFIX = "sesamepost/left/"
# Marks the record of a lease that another node has ended.
ENDED_SUFFIX = b" ended"
RETRY_DELAY_S = 0.2
FIRST_WRITE_DELAY_S = 2.0
# A lease runs from its last renewal. With a shorter one, a single late renewal would
# end it.
OWNER_LEASE_S = 3.0
OWNER_RENEWAL_INTERVAL_S = 0.9
LEASE_S = 6.0
RENEWAL_INTERVAL_S = 2.0

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class EndpointInfo:
    """The endpoint of a node: its service, its incarnation and its readiness.

    ``born`` is its start time as Unix time in milliseconds. Two incarnations may share
    an ``id``, so an incarnation is identified by ``id`` and ``born`` together. One that
    has left stays unready, whatever it says later.
    """

    service: Name
    id: Name
    born: Count
    slots: Slots
    version: Name
    is_ready: bool
    has_left: bool = False

    @property
    def incarnation(self) -> tuple[str, int]:
        """The ``id`` and start time that identify this run of the endpoint."""
        return self.id, self.born


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """The published description of a node; ``vm`` is its IP address."""

    vm: IpAddress
    name: Name
    incarnation: Incarnation
    peer_port: Port
    failure_domain: Name
    region: Name
    endpoint: EndpointInfo | None
    is_stopping: bool = False

    @property
    def node_id(self) -> NodeId:
        """The identity that the peer must prove when a stream opens.

        Any incarnation is accepted: a restarted process rejects what it cannot serve.
        """
        return NodeId(self.vm, ANY_INCARNATION)

    @property
    def address(self) -> Address:
        """The address that peers connect to."""
        return Address(self.vm, self.peer_port)

    def encode(self) -> bytes:
        """Return the entry as the msgpack map that the store holds."""
        return msgpack.packb(asdict(self))


_DECODER = msgspec.msgpack.Decoder(NodeEntry)


def decode_node(item: Item) -> NodeEntry | None:
    """Return the entry in ``item``, or None if it is not one of the VM in its key."""
    try:
        entry = _DECODER.decode(item.value)
    except (msgspec.MsgspecError, RecursionError) as error:
        log.warning("node_entry_unreadable", key=item.key, error=repr(error))
        return None
    if item.key != NODE_PREFIX + entry.vm:
        log.warning("node_entry_misplaced", key=item.key, vm=entry.vm)
        return None
    return entry


def encode_lease_record(lease: int, has_ended: bool = False) -> bytes:
    """Return the value of the record of a lease."""
    return str(lease).encode() + (ENDED_SUFFIX if has_ended else b"")


def decode_lease_record(item: Item) -> int | None:
    """Return the lease that a record names, or None if it has certainly ended.

    A record that cannot be read names lease 0, which does not exist.
    """
    if item.value.endswith(ENDED_SUFFIX):
        return None
    try:
        return int(item.value)
    except ValueError:
        log.warning("lease_record_unreadable", key=item.key)
        return 0


_LEFT_DECODER = msgspec.msgpack.Decoder(tuple[Name, Count])


def decode_left(item: Item) -> tuple[str, int] | None:
    """Return the incarnation that left a node, or None if the item is unreadable."""
    try:
        return _LEFT_DECODER.decode(item.value)
    except (msgspec.MsgspecError, RecursionError) as error:
        log.warning("left_endpoint_unreadable", key=item.key, error=repr(error))
        return None


class NodeTable:
    """The node entries in the mirror, decoded once per change."""

    def __init__(self, mirror: Mirror) -> None:
        self.mirror = mirror
        self.nodes: dict[str, NodeEntry] = {}
        self.listeners: list[Callable[[str, NodeEntry | None], None]] = []
        mirror.changes.subscribe(self._on_change)

    def node_key(self, vm: str) -> str:
        """Return the store key of the entry of ``vm``."""
        return NODE_PREFIX + vm

    def endpoints_of(self, service: str) -> list[NodeEntry]:
        """Return the nodes with a ready endpoint of ``service``, sorted by VM."""
        found = [
            node
            for node in self.nodes.values()
            if node.endpoint is not None
            and node.endpoint.service == service
            and node.endpoint.is_ready
        ]
        return sorted(found, key=lambda node: node.vm)

    def _on_change(self, event) -> None:
        if not event.key.startswith(NODE_PREFIX):
            return
        vm = event.key[len(NODE_PREFIX) :]
        node = decode_node(event) if isinstance(event, Item) else None
        if node is None:
            self.nodes.pop(vm, None)
        else:
            self.nodes[vm] = node
        log.info(
            "node_changed",
            node=vm,
            revision=event.revision,
            present=node is not None,
            endpoint=node.endpoint.id if node and node.endpoint else "",
            ready=bool(node and node.endpoint and node.endpoint.is_ready),
        )
        for listener in self.listeners:
            listener(vm, node)


class Registration(TaskOwner):
    """Keeps this node's entry in the store under a lease and records the lease.

    ``renewed_at`` is the time at which the last successful renewal was sent; the right
    to grant holds is derived from it. Any node that finds the entry missing can rely on
    ``renewed_at`` being earlier than the removal.
    """

    def __init__(
        self, store: CoordinationStore, mirror: Mirror, entry: NodeEntry
    ) -> None:
        self.store = store
        self.mirror = mirror
        self.entry = entry
        self.key = NODE_PREFIX + entry.vm
        self.last_lease_key = LAST_LEASE_PREFIX + entry.vm
        self.left_key = LEFT_PREFIX + entry.vm
        self.lease = 0
        self.recorded_lease = 0
        # Revision of the first write of the entry under the recorded lease.
        self.lease_revision = 0
        self.written_entry: NodeEntry | None = None
        # The value of a write under way, which the watch may show before its answer.
        self.pending_value: bytes | None = None
        self.renewed_at = float("-inf")
        # When the lease was last opened or renewed; a write of the entry does not.
        self.lease_renewed_at = float("-inf")
        self.is_owner = False
        self.wake = asyncio.Event()
        # Set and replaced after each write of the entry.
        self.written = asyncio.Event()
        self.counters: Counter[str] = Counter()
        self.on_renewed: Callable[[], None] = lambda: None
        mirror.changes.subscribe(self._on_change)
        # A lease of a former era has ended.
        store.eras.listeners.append(self.wake.set)

    def update(self, **changes) -> None:
        """Change fields of the entry and schedule its write."""
        self.entry = replace(self.entry, **changes)
        self.wake.set()

    async def wait_until_written(self, timeout_s: float) -> bool:
        """Wait until the store has the present entry; return False after the timeout.

        The next process on this VM then knows what this one has published.
        """
        end = boottime() + timeout_s
        while self.written_entry != self.entry:
            remaining_s = end - boottime()
            if remaining_s <= 0:
                return False
            written = self.written
            with suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await written.wait()
        return True

    async def withdraw(self) -> None:
        """Remove the entry when the process stops and no longer holds any range."""
        if self.task is not None:
            self.task.cancel()
        # The number of a lease of a former era may belong to another node by now.
        if self.lease and self.store.eras.is_current(self.lease):
            with suppress(StoreError):
                await self.store.end_lease(self.lease)

    def _on_change(self, event) -> None:
        if event.key != self.key or self.written_entry is None:
            return
        if isinstance(event, Item):
            if event.value not in (self.written_entry.encode(), self.pending_value):
                log.warning("own_entry_overwritten", revision=event.revision)
                self.written_entry = None
                # The record may name the lease of the process that wrote the entry.
                self.recorded_lease = 0
                self.wake.set()
        else:
            self._note_entry_lost(event.revision)

    def _note_entry_lost(self, revision: int) -> None:
        """Write the entry again under a new lease."""
        log.warning("own_entry_removed", revision=revision, lease=self.lease)
        self.lease = 0
        self.written_entry = None
        self.wake.set()

    async def run(self) -> None:
        """Write the entry after each update and renew its lease in between."""
        if self.entry.endpoint is None:
            # Wait for the first heartbeat, which usually comes soon, so that one write
            # includes the endpoint.
            with suppress(TimeoutError):
                async with asyncio.timeout(FIRST_WRITE_DELAY_S):
                    await self.wake.wait()
        while True:
            self.wake.clear()
            try:
                await self._renew_or_write()
            except StoreError as error:
                self.counters["failures"] += 1
                log.info("renewal_failed", lease=self.lease, error=str(error))
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            with suppress(TimeoutError):
                async with asyncio.timeout(self._renewal_interval_s()):
                    await self.wake.wait()

    async def _renew_or_write(self) -> None:
        sent_at = boottime()
        is_written = bool(self.lease) and self.written_entry == self.entry
        if not is_written:
            await self._write()
        if is_written or sent_at - self.lease_renewed_at >= self._renewal_interval_s():
            try:
                await self.store.renew_lease(self.lease)
            except LeaseEndedError:
                log.warning("lease_ended", lease=self.lease)
                self.lease = 0
                self.written_entry = None
                await self._renew_or_write()
                return
            self.lease_renewed_at = sent_at
        self.renewed_at = max(self.renewed_at, sent_at)
        self.on_renewed()

    def _renewal_interval_s(self) -> float:
        return OWNER_RENEWAL_INTERVAL_S if self.is_owner else RENEWAL_INTERVAL_S

    async def _write(self) -> None:
        if not self.lease:
            ttl_s = OWNER_LEASE_S if self.is_owner else LEASE_S
            self.lease_renewed_at = boottime()
            self.lease = await self.store.open_lease(ttl_s)
        entry, lease = self.entry, self.lease
        value = entry.encode()
        expected = self.mirror.revision_of(self.key)
        is_recorded = self.recorded_lease == lease
        writes = [Write(self.key, value, lease), *self._left_writes(entry)]
        if not is_recorded:
            writes.append(Write(self.last_lease_key, encode_lease_record(lease)))
        transaction = Transaction({self.key: expected}, tuple(writes))
        self.pending_value = value
        try:
            revision = await self.store.commit(transaction)
        except LeaseEndedError:
            self.lease = 0
            raise
        except ConditionFailedError:
            # The response to an earlier write was lost, or a previous process of this
            # VM wrote the entry.
            item, _ = await self.store.get(self.key)
            if item is None:
                self.mirror.items.pop(self.key, None)
            else:
                self.mirror.offer(item)
            raise
        finally:
            self.pending_value = None
        self.written_entry = entry
        if not is_recorded:
            self.lease_revision = revision
            self.recorded_lease = lease
        for write in writes:
            self.mirror.offer(Item(write.key, write.value, revision, write.lease))
        log.info("entry_written", revision=revision, lease=self.lease)
        written, self.written = self.written, asyncio.Event()
        written.set()
        if self.mirror.revision_of(self.key) != revision:
            # The watch has reported a later removal or write already.
            self._note_entry_lost(self.mirror.revision)

    def _left_writes(self, entry: NodeEntry) -> list[Write]:
        """Return the write that records that the endpoint has left, if it is needed."""
        if entry.endpoint is None or not entry.endpoint.has_left:
            return []
        value = msgpack.packb(entry.endpoint.incarnation)
        item = self.mirror.get(self.left_key)
        # One of a former era may be gone.
        is_known = item is not None and era_of(item.revision) == era_of(self.lease)
        if is_known and item.value == value:
            return []
        return [Write(self.left_key, value)]
