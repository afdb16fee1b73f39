"""The parts of a node that decide which keys its endpoint owns and holds.

They use no sockets between nodes. The store, the commands to the endpoint and the
messages to other nodes are passed in, so that a test can replace them.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from contextlib import AsyncExitStack, suppress
from functools import partial

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.era_record import EraRecorder
from sesamepost.internal.coordination.evacuations import Evacuations
from sesamepost.internal.coordination.messages import EndpointEnded
from sesamepost.internal.coordination.mirror import Mirror
from sesamepost.internal.coordination.nodes import (
    EndpointInfo,
    NodeEntry,
    NodeTable,
    Registration,
    decode_left,
    decode_node,
)
from sesamepost.internal.coordination.store import CoordinationStore, Item
from sesamepost.internal.forwarding.connection_groups import DEFAULT_HEALTH_PATH
from sesamepost.internal.forwarding.endpoint_pool import EndpointPool
from sesamepost.internal.forwarding.endpoint_watch import EndpointWatch
from sesamepost.internal.forwarding.protocol_names import HeaderNames
from sesamepost.internal.forwarding.routes import Service
from sesamepost.internal.identity import ANY_INCARNATION
from sesamepost.internal.ranges.commands import EndpointCommands
from sesamepost.internal.ranges.heartbeat_holds import HoldOrder, HoldReport
from sesamepost.internal.ranges.keeper import RangeKeeper
from sesamepost.internal.ranges.messages import RangeUpdate, range_update
from sesamepost.internal.ranges.placement import Placement
from sesamepost.internal.ranges.table import LAST_KEY, Owner
from sesamepost.internal.ranges.table_store import TableStore
from sesamepost.internal.ranges.takeover import Takeover

# An entry that is not removed in time expires with its lease.
WITHDRAW_TIMEOUT_S = 0.3

PeerMessage = EndpointEnded | RangeUpdate
SendToPeer = Callable[[NodeEntry, PeerMessage], Awaitable[None]]


class Ownership:
    """The components of one node that decide the ownership of keys.

    ``entry`` describes the node, ``max_hold_s`` bounds the holds of its endpoint, and
    keys under ``evacuation_prefix`` name evacuated failure domains. Enter the context,
    call ``set_services`` whenever the routing settings change, and ``register`` once
    peers can connect. Three callbacks may be replaced before that:

    - ``on_endpoint(info)`` is called after each change of the endpoint or of its
      keeper;
    - ``on_keeper(service, keeper)`` is called before a keeper starts;
    - ``send_to_peer(entry, message)`` sends a message to another node, which handles it
      with ``offer_range`` or ``note_endpoint_ended``. It raises nothing if that fails.
    """

    def __init__(
        self,
        entry: NodeEntry,
        store: CoordinationStore,
        endpoint_pool: EndpointPool,
        commands: EndpointCommands,
        names: HeaderNames,
        max_hold_s: float,
        evacuation_prefix: str = "",
    ) -> None:
        self.vm = entry.vm
        self.incarnation = entry.incarnation
        self.store = store
        self.endpoint_pool = endpoint_pool
        self.commands = commands
        self.max_hold_s = max_hold_s
        self.mirror = Mirror(store)
        self.evacuations = Evacuations(evacuation_prefix, self.mirror)
        self.evacuations.listeners.append(self._on_evacuation)
        self.placement = Placement(self.evacuations)
        self.nodes = NodeTable(self.mirror)
        self.registration = Registration(store, self.mirror, entry)
        self.watch = EndpointWatch(endpoint_pool, names, self._on_endpoint)
        self.watch.count_open = lambda: (
            endpoint_pool.count_open() + commands.count_open()
        )
        commands.may_begin = self.watch.has_heartbeat_since
        self.services: dict[str, Service] = {}
        self.tables: dict[str, TableStore] = {}
        self.keepers: dict[str, RangeKeeper] = {}
        self.takeovers: list[Takeover] = []
        self.announced: EndpointInfo | None = None
        self.background_tasks: set[asyncio.Task] = set()
        self.stack = AsyncExitStack()
        self.on_endpoint: Callable[[EndpointInfo | None], None] = lambda info: None
        self.on_keeper: Callable[[str, RangeKeeper], None] = lambda name, keeper: None
        self.send_to_peer: SendToPeer = _discard
        self.mirror.changes.subscribe(self._on_change)

    async def __aenter__(self) -> "Ownership":
        await self.stack.enter_async_context(self.mirror)
        recorder = EraRecorder(self.vm, self.nodes, self.mirror)
        await self.stack.enter_async_context(recorder)
        await self.stack.enter_async_context(self.watch)
        return self

    async def __aexit__(self, *error) -> None:
        for task in list(self.background_tasks):
            task.cancel()
        await self.stack.aclose()

    async def register(self) -> None:
        """Start to keep the entry of this node in the store."""
        await self.stack.enter_async_context(self.registration)

    def set_services(self, services: Iterable[Service]) -> None:
        """Apply the services in force; start the parts of new partitioned ones."""
        self.services = {service.name: service for service in services}
        for service in self.services.values():
            if service.is_partitioned and service.name not in self.keepers:
                self._start_keeper(service)

    def is_partitioned(self, service: str) -> bool:
        """Return whether the keys of a service have owners."""
        return service in self.services and self.services[service].is_partitioned

    def table_of(self, service: str) -> TableStore | None:
        """Return the range table of a service, or None if it is not partitioned."""
        if service not in self.tables and self.is_partitioned(service):
            self.tables[service] = TableStore(
                self.store, self.mirror, service, self.registration.last_lease_key
            )
        return self.tables.get(service)

    @property
    def endpoint(self) -> EndpointInfo | None:
        """The endpoint as far as its heartbeats and probes tell."""
        return self.watch.endpoint

    @property
    def keeper(self) -> RangeKeeper | None:
        """The keeper of the endpoint's service; None if that is not partitioned."""
        return self.keepers.get(self.endpoint.service) if self.endpoint else None

    def other_nodes(self) -> list[NodeEntry]:
        """Return the entries of the other nodes."""
        return [n for n in self.nodes.nodes.values() if n.vm != self.vm]

    def range_of(self, service: str, key: int) -> RangeUpdate | None:
        """Return the range of a key, for a node that chose the wrong owner."""
        tables = self.tables.get(service)
        if tables is None or tables.table is None:
            return None
        return range_update(service, tables.revision_of(key), tables.table.find(key))

    async def answer_heartbeat(
        self, info: EndpointInfo, sequence: int, report: HoldReport
    ) -> HoldOrder | None:
        """Process a heartbeat; return what the endpoint is to hold, if it asks for it.

        None renews no hold. An outdated heartbeat gets that answer as well.
        """
        if not self.watch.note_heartbeat(info, sequence):
            return None
        keeper = self.keepers.get(info.service)
        return None if keeper is None else await keeper.answer_heartbeat(report)

    def note_leave(self, endpoint_id: str, born: int) -> None:
        """Process the leave message of the incarnation that was started at ``born``."""
        self.watch.note_leave(endpoint_id, born)

    def offer_range(self, message: RangeUpdate) -> None:
        """Apply a range that another node has announced."""
        tables = self.table_of(message.service)
        if tables is not None:
            tables.offer_range(message.revision, message.key_range)

    def note_endpoint_ended(
        self, owner: Owner, incarnation: int = ANY_INCARNATION
    ) -> None:
        """Process the report of a process of another node that its endpoint has ended.

        ``incarnation`` is that of the process.
        """
        for takeover in self.takeovers:
            takeover.note_ended(owner, incarnation)

    async def leave(self, until: float) -> None:
        """Hand over all ranges before a planned stop, until ``until`` at the latest.

        ``until`` is a time of ``internal/clock``. If the endpoint has ended, the other
        nodes are notified first. They can then reassign its keys without waiting, even
        if the store is down for a while.
        """
        self.registration.update(is_stopping=True)
        for keeper in self.keepers.values():
            # No grant may follow a report that the endpoint has ended.
            keeper.start_leaving()
        await self._announce_endpoint_end()
        moves = [keeper.hand_over_all() for keeper in self.keepers.values()]
        with suppress(TimeoutError):
            async with asyncio.timeout(until - boottime()):
                await asyncio.gather(*moves)

    async def withdraw(self) -> None:
        """Remove the entry of this node when it stops."""
        with suppress(TimeoutError):
            async with asyncio.timeout(WITHDRAW_TIMEOUT_S):
                await self.registration.withdraw()

    async def _announce_endpoint_end(self) -> None:
        info = self.watch.endpoint
        if info is None or info.service not in self.keepers:
            return
        if not await self.watch.check_ended():
            return
        self.keepers[info.service].note_end_reported()
        message = EndpointEnded(self.vm, info.id, info.born)
        await asyncio.gather(
            *(self.send_to_peer(peer, message) for peer in self.other_nodes())
        )

    def _announce_ranges(self, service: str, first: int, last: int) -> None:
        """Send the owners of these keys their ranges ahead of their watch."""
        tables = self.tables[service]
        for key_range in tables.table.ranges:
            owner = key_range.owner
            if owner is None or key_range.last < first or last < key_range.first:
                continue
            peer = self.nodes.nodes.get(owner.vm)
            if peer is not None and peer.vm != self.vm:
                message = range_update(
                    service, tables.revision_of(key_range.first), key_range
                )
                self._spawn(self.send_to_peer(peer, message))

    def _on_evacuation(self, domain: str) -> None:
        for keeper in self.keepers.values():
            keeper.wake.set()

    def _spawn(self, work: Coroutine) -> None:
        task = asyncio.ensure_future(work)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    def _on_change(self, event) -> None:
        if not isinstance(event, Item):
            return
        if event.key == self.registration.key:
            self._restore_endpoint(event)
        elif event.key == self.registration.left_key:
            left = decode_left(event)
            if left is not None:
                self.watch.note_left(*left)

    def _restore_endpoint(self, own_entry: Item) -> None:
        """Use the endpoint in the entry of the previous process of this node."""
        entry = decode_node(own_entry)
        if entry is None or entry.incarnation == self.incarnation:
            return
        info = entry.endpoint
        if info is not None and info.is_ready and self.watch.endpoint is None:
            path = self._health_path(info.service)
            self._spawn(self.watch.restore_endpoint(info, path))

    def _health_path(self, name: str) -> str:
        service = self.services.get(name)
        return service.health_path if service else DEFAULT_HEALTH_PATH

    def _start_keeper(self, settings: Service) -> None:
        service = settings.name
        tables = self.table_of(service)
        keeper = RangeKeeper(
            self.vm,
            tables,
            self.nodes,
            self.registration,
            self.commands,
            self.max_hold_s,
            settings.grants_by_heartbeat,
            self.placement,
        )
        keeper.mover.on_moved = partial(self._announce_ranges, service)
        self.keepers[service] = keeper
        takeover = Takeover(self.vm, tables, self.nodes, self.mirror, self.placement)
        takeover.on_assigned = partial(self._announce_ranges, service, 0, LAST_KEY)
        self.takeovers.append(takeover)
        self.on_keeper(service, keeper)
        for part in (keeper, takeover):
            self.stack.push_async_exit(part)
            part.start()
        self._update_keepers(is_gone=False)

    def _on_endpoint(self, is_gone: bool) -> None:
        info = self.watch.endpoint
        if (
            info is None
            or self.announced is None
            or info.incarnation != self.announced.incarnation
        ):
            self.commands.end_group()
        if info != self.announced:
            self.announced = info
            self.registration.update(endpoint=info)
        self._update_keepers(is_gone)

    def _update_keepers(self, is_gone: bool) -> None:
        info = self.watch.endpoint
        self.registration.is_owner = self.keeper is not None
        self.on_endpoint(info)
        if info is not None:
            self.commands.set_health_path(self._health_path(info.service))
        for service, keeper in self.keepers.items():
            own = info if info is not None and info.service == service else None
            keeper.set_endpoint(own, is_gone, self.watch.is_confirmed)


async def _discard(peer: NodeEntry, message: PeerMessage) -> None:
    """Send nothing, for a node without peers."""
