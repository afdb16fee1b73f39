"""One node: creates its components, handles their events and shuts them down."""

import asyncio
import secrets
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack, suppress
from dataclasses import fields, replace
from functools import partial

import structlog

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.feed import ReaderFeed
from sesamepost.internal.coordination.messages import EndpointEnded
from sesamepost.internal.coordination.mirror import Mirror
from sesamepost.internal.coordination.nodes import (
    EndpointInfo,
    NodeEntry,
    NodeTable,
    Registration,
    decode_node,
)
from sesamepost.internal.coordination.relay import RelayedStore
from sesamepost.internal.coordination.store import (
    ConditionFailedError,
    CoordinationStore,
    Item,
    StoreError,
    Transaction,
    Write,
)
from sesamepost.internal.forwarding.answer_budget import AnswerBudget
from sesamepost.internal.forwarding.connection_groups import DEFAULT_HEALTH_PATH
from sesamepost.internal.forwarding.endpoint import LocalEndpoint
from sesamepost.internal.forwarding.endpoint_pool import EndpointPool
from sesamepost.internal.forwarding.endpoint_watch import EndpointWatch
from sesamepost.internal.forwarding.forwarder import Forwarder
from sesamepost.internal.forwarding.ingress import Ingress
from sesamepost.internal.forwarding.load_exchange import LoadExchange
from sesamepost.internal.forwarding.loads import LoadTracker
from sesamepost.internal.forwarding.node_settings import NodeSettings
from sesamepost.internal.forwarding.protocol_names import HeaderNames
from sesamepost.internal.forwarding.routes import (
    RouteIndex,
    RoutingSettings,
    Service,
)
from sesamepost.internal.forwarding.serving import PeerService
from sesamepost.internal.identity import new_node_id
from sesamepost.internal.ranges.balancing import RangeBalancer
from sesamepost.internal.ranges.commands import EndpointCommands
from sesamepost.internal.ranges.heartbeat_holds import HoldOrder, HoldReport
from sesamepost.internal.ranges.keeper import RangeKeeper
from sesamepost.internal.ranges.messages import RangeUpdate, range_update
from sesamepost.internal.ranges.table import LAST_KEY, Owner
from sesamepost.internal.ranges.table_store import TableStore
from sesamepost.internal.ranges.takeover import Takeover
from sesamepost.internal.tasks import task_failures
from sesamepost.internal.telemetry.loop_lag import LoopLag
from sesamepost.internal.telemetry.metrics import Metrics
from sesamepost.internal.wire.pool import Address, PeerPool
from sesamepost.internal.wire.stream import PeerStream, StreamClosedError

PEER_KEY = "sesamepost/peer-key"
PEER_KEY_BYTES = 32
STORE_RETRY_INTERVAL_S = 0.15
# Settings that may change without a restart.
RELOADABLE_FIELDS = frozenset({"service", "stop_timeout_s"})
# Callers switch to another node after two failed readiness checks, a second apart.
UNREADY_DELAY_S = 2.3
# Time from the last answer until the process has ended.
STOP_MARGIN_S = 0.6
# Requests that arrive during a stop end this long before the last answer is due.
ANSWER_MARGIN_S = 0.1
# The part of the memory that unfinished answers of the endpoint may use together. The
# process needs about a quarter for itself, and each answer exceeds its share by up to
# one read of 256 KiB.
ANSWER_MEMORY_DIVISOR = 6
# An entry that is not removed in time expires with its lease.
WITHDRAW_TIMEOUT_S = 0.3

log = structlog.get_logger()


class Node:
    """The components of one process.

    ``settings_key`` is the key of the operator's settings in the store.
    ``decode_routing`` decodes their value into routing settings, or returns None if it
    is invalid.
    """

    def __init__(
        self,
        settings: NodeSettings,
        store: CoordinationStore,
        commands: EndpointCommands,
        names: HeaderNames,
        settings_key: str,
        decode_routing: Callable[[bytes], RoutingSettings | None],
    ) -> None:
        self.settings = settings
        self.direct_store = store
        self.commands = commands
        self.names = names
        self.settings_key = settings_key
        self.decode_routing = decode_routing
        self.id = new_node_id(settings.vm)
        self.index: RouteIndex | None = None
        self.is_stopping = False
        self.is_closing = False
        self.announced: EndpointInfo | None = None
        self.tables: dict[str, TableStore] = {}
        self.keepers: dict[str, RangeKeeper] = {}
        self.takeovers: list[Takeover] = []
        self.background_tasks: set[asyncio.Task] = set()
        self.stack = AsyncExitStack()
        self.metrics = Metrics(lambda service: service)
        self.started_at = boottime()

    async def __aenter__(self) -> "Node":
        settings = self.settings
        enter = self.stack.enter_async_context
        self.pool = await enter(PeerPool(self.id, b"", compressed=True))
        self.pool.on(EndpointEnded, self._on_endpoint_ended)
        self.pool.on(RangeUpdate, self._on_range_update)
        self.store = RelayedStore(self.direct_store, self.pool, self._other_nodes)
        self.loop_lag = await enter(LoopLag())
        self.mirror = Mirror(self.store)
        self.nodes = NodeTable(self.mirror)
        entry = NodeEntry(
            settings.vm,
            settings.name,
            self.id.incarnation,
            settings.peer_port,
            settings.failure_domain,
            settings.region,
            None,
        )
        self.registration = Registration(self.store, self.mirror, entry)
        self.feed = ReaderFeed(entry, self.nodes, self.mirror, self.store)
        self.mirror.feed = self.feed
        self.endpoint_pool = await enter(
            EndpointPool(
                settings.endpoint_address,
                self.names,
                AnswerBudget(settings.memory_bytes // ANSWER_MEMORY_DIVISOR),
            )
        )
        self.local = await enter(LocalEndpoint(self.endpoint_pool, self.names))
        self.watch = EndpointWatch(self.endpoint_pool, self.names, self._on_endpoint)
        self.local.on_suspicion = self.watch.suspect
        self.commands.may_begin = self.watch.has_heartbeat_since
        self.watch.count_open = self._count_open
        self.loads = LoadTracker(settings.failure_domain, settings.region)
        self.nodes.listeners.append(self._on_node)
        self.forwarder = Forwarder(
            settings.vm, self.pool, self.nodes, self.local, self.loads, self.table_of
        )
        self.peer_service = await enter(PeerService(self.pool, self.local, self.loads))
        self.peer_service.is_refusing = self._is_refusing
        self.peer_service.range_of = self._range_of
        self.exchange = await enter(
            LoadExchange(entry, self.pool, self.nodes, self.local, self._is_partitioned)
        )
        self.ingress = await enter(
            Ingress(
                self.forwarder,
                self.names,
                lambda: self.index,
                self._own_service,
                self.metrics.observe_request,
            )
        )
        self._export_counters()
        self.mirror.changes.subscribe(self._on_change)
        await enter(self.mirror)
        await enter(self.watch)
        self.stack.callback(asyncio.create_task(self._join_fleet()).cancel)
        await self.ingress.listen(settings.callers_address)
        log.info("started", node=str(self.id), name=settings.name)
        return self

    async def __aexit__(self, *error) -> None:
        await self.stack.aclose()
        log.info("stopped", node=str(self.id))

    @property
    def is_ready(self) -> bool:
        """Whether this node is ready for requests of callers."""
        return self.index is not None and not self.is_stopping

    def table_of(self, service: str) -> TableStore | None:
        """Return the range table of a service, or None if it is not partitioned."""
        if service not in self.tables and self._is_partitioned(service):
            self.tables[service] = TableStore(
                self.store, self.mirror, service, self.registration.last_lease_key
            )
        return self.tables.get(service)

    def _is_partitioned(self, service: str) -> bool:
        service_settings = self.index and self.index.settings.services.get(service)
        return service_settings is not None and service_settings.is_partitioned

    def reload(self, settings: NodeSettings) -> None:
        """Apply the changed settings that need no restart."""
        changed = [
            field.name
            for field in fields(NodeSettings)
            if getattr(settings, field.name) != getattr(self.settings, field.name)
        ]
        applied = {
            name: getattr(settings, name)
            for name in changed
            if name in RELOADABLE_FIELDS
        }
        self.settings = replace(self.settings, **applied)
        needs_restart = [name for name in changed if name not in RELOADABLE_FIELDS]
        log.info("reload", in_force=sorted(applied), needs_restart=needs_restart)

    def is_known_service(self, service: str) -> bool:
        """Return whether an endpoint of this service may run beside this node.

        Until the routing settings are known, only the service of the settings file is.
        """
        if service == self.settings.service:
            return True
        if self.index is None:
            return not self.settings.service
        return service in self.index.settings.services

    async def answer_heartbeat(
        self, info: EndpointInfo, sequence: int, report: HoldReport
    ) -> HoldOrder | None:
        """Process a heartbeat; return what the endpoint is to hold, if it asks for it.

        None renews no hold. An outdated heartbeat gets that answer as well.
        """
        if not self.watch.note_heartbeat(info, sequence):
            return None
        keeper = self.keepers.get(info.service)
        if keeper is None or keeper.heartbeat_holds is None:
            return None
        return await keeper.answer_heartbeat(report)

    async def stop(self) -> None:
        """Hand over all keys, let callers switch nodes and finish open requests."""
        self.is_stopping = True
        started = boottime()
        end = started + self.settings.stop_timeout_s - STOP_MARGIN_S
        log.info("stopping", in_flight=self.ingress.in_flight)
        self.ingress.latest_deadline = end - ANSWER_MARGIN_S
        self.local.latest_deadline = end - ANSWER_MARGIN_S
        self.registration.update(is_stopping=True)
        for keeper in self.keepers.values():
            # No grant may follow a report that the endpoint has ended.
            keeper.start_leaving()
        await self._announce_endpoint_end()
        moves = [keeper.hand_over_all() for keeper in self.keepers.values()]
        with suppress(TimeoutError):
            async with asyncio.timeout_at(_loop_time(started + UNREADY_DELAY_S + 0.5)):
                await asyncio.gather(*moves)
        await asyncio.sleep(max(0.0, started + UNREADY_DELAY_S - boottime()))
        self.is_closing = True
        await self.ingress.stop_accepting()
        with suppress(TimeoutError):
            async with asyncio.timeout_at(_loop_time(end)):
                await self.ingress.wait_until_idle()
                await self.peer_service.wait_until_idle()
        with suppress(TimeoutError):
            async with asyncio.timeout(WITHDRAW_TIMEOUT_S):
                await self.registration.withdraw()
        log.info("drained", in_flight=self.ingress.in_flight)

    def _is_refusing(self, service: str) -> bool:
        """Return whether requests from other nodes are refused.

        A stopping node finishes the requests that it has. It accepts new ones only
        while no other endpoint can take them, and none once it closes, since the end of
        the process could interrupt them.
        """
        if not self.is_stopping or self.is_closing:
            return self.is_closing
        others = self.nodes.endpoints_of(service)
        is_owner = self.local.keeper is not None
        return not is_owner and any(
            node.vm != self.settings.vm and not node.is_stopping for node in others
        )

    async def _join_fleet(self) -> None:
        """Open the port for peers and register this node.

        Callers and the endpoint are served before that, even while the store is down.
        """
        self.pool.key = await self._peer_key()
        await self.pool.listen(Address(self.settings.vm, self.settings.peer_port))
        await self.stack.enter_async_context(self.registration)

    async def _announce_endpoint_end(self) -> None:
        """Notify all nodes if the endpoint has ended.

        They can then reassign its keys without waiting, even if the store is down for a
        while.
        """
        info = self.watch.endpoint
        if info is None or info.service not in self.keepers:
            return
        if not await self.watch.check_ended():
            return
        message = EndpointEnded(self.settings.vm, info.id, info.born)
        await asyncio.gather(
            *(self._notify(peer, message) for peer in self._other_nodes())
        )

    async def _notify(
        self, peer: NodeEntry, message: EndpointEnded | RangeUpdate
    ) -> None:
        try:
            stream = await self.pool.stream_to(peer.address, peer.node_id)
            stream.send(message)
        except StreamClosedError as error:
            log.info("peer_not_notified", peer=peer.vm, error=str(error))

    def _notify_owners(self, service: str, first: int, last: int) -> None:
        """Send the owners of these keys their ranges ahead of their watch."""
        tables = self.tables[service]
        for key_range in tables.table.ranges:
            if (
                key_range.owner is None
                or key_range.last < first
                or last < key_range.first
            ):
                continue
            peer = self.nodes.nodes.get(key_range.owner.vm)
            if peer is not None and peer.vm != self.settings.vm:
                message = range_update(
                    service, tables.revision_of(key_range.first), key_range
                )
                self._spawn(self._notify(peer, message))

    def _range_of(self, service: str, key: int) -> RangeUpdate | None:
        """Return the range of a key, for a node that chose the wrong owner."""
        tables = self.tables.get(service)
        if tables is None or tables.table is None:
            return None
        return range_update(service, tables.revision_of(key), tables.table.find(key))

    def _spawn(self, work: Coroutine) -> None:
        task = asyncio.ensure_future(work)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    def _on_range_update(self, stream: PeerStream, message: RangeUpdate) -> None:
        tables = self.table_of(message.service)
        if tables is not None:
            tables.offer_range(message.revision, message.key_range)

    def _on_endpoint_ended(self, stream: PeerStream, message: EndpointEnded) -> None:
        owner = Owner(message.vm, message.endpoint_id, message.born)
        if stream.peer.vm != owner.vm:
            return
        for takeover in self.takeovers:
            takeover.note_ended(owner)

    def _own_service(self) -> str:
        info = self.watch.endpoint
        return info.service if info else self.settings.service

    def _other_nodes(self) -> list[NodeEntry]:
        return [n for n in self.nodes.nodes.values() if n.vm != self.settings.vm]

    async def _peer_key(self) -> bytes:
        """Return the key for peer handshakes; create it in the store if missing."""
        while True:
            try:
                item, _ = await self.direct_store.get(PEER_KEY)
                if item is not None:
                    return item.value
                value = secrets.token_bytes(PEER_KEY_BYTES)
                transaction = Transaction({PEER_KEY: 0}, (Write(PEER_KEY, value),))
                await self.direct_store.commit(transaction)
                return value
            except ConditionFailedError:
                continue
            except StoreError as error:
                log.info("peer_key_unknown", error=str(error))
                await asyncio.sleep(STORE_RETRY_INTERVAL_S)

    def _on_own_entry(self, event: Item) -> None:
        entry = decode_node(event)
        if entry is None or entry.incarnation == self.id.incarnation:
            return
        info = entry.endpoint
        if info is None:
            return
        self.watch.note_previous_endpoint(info)
        if not info.is_ready or self.watch.endpoint is not None:
            return
        path = self._health_path(info.service)
        self._spawn(self.watch.restore_endpoint(info, path))

    def _count_open(self) -> int:
        return self.endpoint_pool.count_open() + self.commands.count_open()

    def _health_path(self, name: str) -> str:
        service = self.index and self.index.settings.services.get(name)
        return service.health_path if service else DEFAULT_HEALTH_PATH

    def _on_change(self, event) -> None:
        if event.key == self.registration.key and isinstance(event, Item):
            self._on_own_entry(event)
        if event.key != self.settings_key or not isinstance(event, Item):
            return
        routing = self.decode_routing(event.value)
        if routing is None:
            log.error("routing_settings_unreadable", revision=event.revision)
            return
        current_version = self.index.settings.version if self.index else -1
        if routing.version <= current_version:
            return
        self.index = routing.index()
        log.info(
            "routing_settings_in_force",
            version=routing.version,
            previous=current_version,
            routes=len(routing.routes),
            revision=event.revision,
            bytes=len(event.value),
        )
        for service in routing.services.values():
            if service.is_partitioned and service.name not in self.keepers:
                self._start_keeper(service)

    def _start_keeper(self, settings: Service) -> None:
        service = settings.name
        tables = self.table_of(service)
        keeper = RangeKeeper(
            self.settings.vm,
            tables,
            self.nodes,
            self.registration,
            self.commands,
            self.settings.max_hold_s,
            settings.grants_by_heartbeat,
        )
        keeper.on_moved = partial(self._notify_owners, service)
        self.keepers[service] = keeper
        takeover = Takeover(self.settings.vm, tables, self.nodes, self.mirror)
        takeover.on_assigned = partial(self._notify_owners, service, 0, LAST_KEY)
        self.takeovers.append(takeover)
        balancer = RangeBalancer(
            keeper, self.local, self.loads, self.exchange.request_loads
        )
        for part in (keeper, takeover, balancer):
            self.stack.push_async_exit(part)
            part.start()
        self._update_keepers(is_gone=False)

    def _on_node(self, vm: str, node: NodeEntry | None) -> None:
        if node is None or node.endpoint is None:
            self.loads.forget(vm)

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
            self.local.set_info(info)
            self.registration.update(endpoint=info)
        self._update_keepers(is_gone)

    def _update_keepers(self, is_gone: bool) -> None:
        info = self.watch.endpoint
        self.local.keeper = self.keepers.get(info.service) if info else None
        self.registration.is_owner = self.local.keeper is not None
        if info is not None:
            self.commands.set_health_path(self._health_path(info.service))
        for service, keeper in self.keepers.items():
            is_own = info is not None and info.service == service
            keeper.set_endpoint(
                info if is_own else None, is_gone, self.watch.is_confirmed
            )

    def _export_counters(self) -> None:
        parts = {
            "peers": self.pool.counters,
            "callers": self.ingress.counters,
            "forwarding": self.forwarder.counters,
            "endpoint": self.local.counters,
            "endpoint_connections": self.endpoint_pool.counters,
            "mirror": self.mirror.counters,
            "registration": self.registration.counters,
            "relay": self.store.counters,
            "feed": self.feed.counters,
            "event_loop": self.loop_lag.counters,
            "task_failures": task_failures,
        }
        for name, counters in parts.items():
            self.metrics.add_counters(name, counters)


def _loop_time(at: float) -> float:
    return asyncio.get_running_loop().time() + at - boottime()
