"""One node: creates its components, handles their events and shuts them down."""

import asyncio
import secrets
import time
from collections.abc import Callable
from contextlib import AsyncExitStack, suppress
from dataclasses import fields, replace
from functools import partial

import structlog

from sesamepost.internal.clients.limits import client_limits
from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.feed import ReaderFeed
from sesamepost.internal.coordination.gossip import KeyGossip
from sesamepost.internal.coordination.messages import EndpointEnded
from sesamepost.internal.coordination.nodes import EndpointInfo, NodeEntry
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
from sesamepost.internal.forwarding.endpoint import LocalEndpoint
from sesamepost.internal.forwarding.endpoint_pool import EndpointPool
from sesamepost.internal.forwarding.forwarder import Forwarder
from sesamepost.internal.forwarding.ingress import Ingress
from sesamepost.internal.forwarding.load_exchange import LoadExchange
from sesamepost.internal.forwarding.loads import LoadTracker
from sesamepost.internal.forwarding.messages import LinkFull
from sesamepost.internal.forwarding.node_settings import NodeSettings
from sesamepost.internal.forwarding.ownership import Ownership, PeerMessage
from sesamepost.internal.forwarding.protocol_names import HeaderNames
from sesamepost.internal.forwarding.routes import (
    RouteIndex,
    RoutingSettings,
    regions_by_service,
)
from sesamepost.internal.forwarding.serving import PeerService
from sesamepost.internal.identity import new_node_id
from sesamepost.internal.ranges.balancing import RangeBalancer
from sesamepost.internal.ranges.commands import EndpointCommands
from sesamepost.internal.ranges.keeper import RangeKeeper
from sesamepost.internal.ranges.messages import RangeUpdate
from sesamepost.internal.ranges.table import Owner
from sesamepost.internal.tasks import task_failures
from sesamepost.internal.telemetry.loop_lag import LoopLag
from sesamepost.internal.telemetry.metrics import Metrics
from sesamepost.internal.wire.link_sender import LinkSender
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
# The part of the memory that messages waiting for the link may use together.
LINK_MEMORY_DIVISOR = 8

log = structlog.get_logger()


class Node:
    """The components of one process.

    ``settings_key`` is the key of the operator's settings in the store.
    ``decode_routing`` decodes their value into routing settings, or returns None if it
    is invalid. A key of the store that consists of ``evacuation_prefix`` and the name
    of a failure domain evacuates that domain; there are none if it is empty.
    """

    def __init__(
        self,
        settings: NodeSettings,
        store: CoordinationStore,
        commands: EndpointCommands,
        names: HeaderNames,
        settings_key: str,
        decode_routing: Callable[[bytes], RoutingSettings | None],
        evacuation_prefix: str = "",
    ) -> None:
        self.settings = settings
        self.direct_store = store
        self.commands = commands
        self.names = names
        self.settings_key = settings_key
        self.decode_routing = decode_routing
        self.evacuation_prefix = evacuation_prefix
        self.id = new_node_id(settings.vm)
        self.index: RouteIndex | None = None
        self.is_stopping = False
        self.is_closing = False
        self.stack = AsyncExitStack()
        self.metrics = Metrics(lambda service: service)
        self.started_at = boottime()

    async def __aenter__(self) -> "Node":
        settings = self.settings
        enter = self.stack.enter_async_context
        link = LinkSender(
            settings.link_bytes_per_s, settings.memory_bytes / LINK_MEMORY_DIVISOR
        )
        self.pool = await enter(PeerPool(self.id, b"", compressed=True, link=link))
        self.pool.on(EndpointEnded, self._on_endpoint_ended)
        self.pool.on(RangeUpdate, self._on_range_update)
        self.store = RelayedStore(
            self.direct_store, self.pool, lambda: self.ownership.other_nodes()
        )
        self.loop_lag = await enter(LoopLag())
        entry = NodeEntry(
            settings.vm,
            settings.name,
            self.id.incarnation,
            settings.peer_port,
            settings.failure_domain,
            settings.region,
            None,
        )
        self.endpoint_pool = await enter(
            EndpointPool(
                settings.endpoint_address,
                self.names,
                AnswerBudget(settings.memory_bytes // ANSWER_MEMORY_DIVISOR),
            )
        )
        self.local = await enter(LocalEndpoint(self.endpoint_pool, self.names))
        self.ownership = Ownership(
            entry,
            self.store,
            self.endpoint_pool,
            self.commands,
            self.names,
            settings.max_hold_s,
            self.evacuation_prefix,
        )
        self.ownership.watch.heartbeat_interval_s = settings.heartbeat_interval_s
        self.ownership.on_endpoint = self._on_endpoint
        self.ownership.on_keeper = self._on_keeper
        self.ownership.send_to_peer = self._send_to_peer
        nodes = self.ownership.nodes
        mirror = self.ownership.mirror
        self.feed = ReaderFeed(entry, nodes, mirror, self.store)
        mirror.feed = self.feed
        self.gossip = KeyGossip(
            self.settings_key, entry, nodes, mirror, self.store, self.evacuation_prefix
        )
        evacuations = self.ownership.evacuations
        evacuations.confirmed_at = lambda: self.gossip.confirmed_at
        self.local.may_serve = partial(evacuations.may_serve, settings.failure_domain)
        self.local.on_suspicion = self.ownership.watch.suspect
        self.ownership.watch.on_health = self.local.cold_checker.note_answer
        self.loads = LoadTracker(settings.failure_domain, settings.region)
        nodes.listeners.append(self._on_node)
        self.forwarder = Forwarder(
            settings.vm,
            self.pool,
            nodes,
            self.local,
            self.loads,
            self.ownership.table_of,
            self.ownership.placement,
        )
        self.pool.on(LinkFull, self.forwarder.note_link_full)
        self.peer_service = await enter(PeerService(self.pool, self.local, self.loads))
        self.peer_service.is_refusing = self._is_refusing
        self.peer_service.range_of = self.ownership.range_of
        self.exchange = await enter(
            LoadExchange(
                entry, self.pool, nodes, self.local, self.ownership.is_partitioned
            )
        )
        self.ingress = await enter(
            Ingress(
                self.forwarder,
                self.names,
                lambda: self.index,
                self._own_service,
                self.metrics.observe_request,
                client_limits(settings.memory_bytes, settings.file_descriptors),
            )
        )
        self._export_counters()
        mirror.changes.subscribe(self._on_change)
        await enter(self.ownership)
        await enter(self.gossip)
        self.stack.callback(asyncio.create_task(self._join_fleet()).cancel)
        await self.ingress.listen(settings.callers_address)
        self.metrics.add_gauge("client_bytes", self.ingress.used_bytes)
        self.metrics.add_gauge("client_connections", self.ingress.connection_count)
        log.info("started", node=str(self.id), name=settings.name)
        return self

    async def __aexit__(self, *error) -> None:
        await self.stack.aclose()
        log.info("stopped", node=str(self.id))

    @property
    def is_ready(self) -> bool:
        """Whether this node is ready for requests of callers."""
        return self.index is not None and not self.is_stopping

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

    async def stop(self) -> None:
        """Hand over all keys, let callers switch nodes and finish open requests."""
        self.is_stopping = True
        started = boottime()
        end = started + self.settings.stop_timeout_s - STOP_MARGIN_S
        log.info("stopping", in_flight=self.ingress.in_flight)
        self.ingress.latest_deadline = end - ANSWER_MARGIN_S
        self.local.latest_deadline = end - ANSWER_MARGIN_S
        await self.ownership.leave(started + UNREADY_DELAY_S + 0.5)
        await asyncio.sleep(max(0.0, started + UNREADY_DELAY_S - boottime()))
        self.is_closing = True
        await self.ingress.stop_accepting()
        with suppress(TimeoutError):
            async with asyncio.timeout_at(_loop_time(end)):
                await self.ingress.wait_until_idle()
                await self.peer_service.wait_until_idle()
        await self.ownership.withdraw()
        log.info("drained", in_flight=self.ingress.in_flight)

    def _is_refusing(self, service: str) -> bool:
        """Return whether requests from other nodes are refused.

        A stopping node finishes the requests that it has. It accepts new ones only
        while no other endpoint can take them, and none once it closes, since the end of
        the process could interrupt them.
        """
        if not self.is_stopping or self.is_closing:
            return self.is_closing
        others = self.ownership.placement.eligible(
            service, self.ownership.nodes.endpoints_of(service)
        )
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
        await self.ownership.register()

    async def _send_to_peer(self, peer: NodeEntry, message: PeerMessage) -> None:
        try:
            stream = await self.pool.stream_to(peer.address, peer.node_id)
            stream.send(message)
        except StreamClosedError as error:
            log.info("peer_not_notified", peer=peer.vm, error=str(error))

    def _on_range_update(self, stream: PeerStream, message: RangeUpdate) -> None:
        self.ownership.offer_range(message)

    def _on_endpoint_ended(self, stream: PeerStream, message: EndpointEnded) -> None:
        owner = Owner(message.vm, message.endpoint_id, message.born)
        if stream.peer.vm == owner.vm:
            self.ownership.note_endpoint_ended(owner, stream.peer.incarnation)

    def _own_service(self) -> str:
        info = self.ownership.endpoint
        return info.service if info else self.settings.service

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

    def _on_change(self, event) -> None:
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
        self.ownership.placement.regions = regions_by_service(routing)
        self.local.set_services(routing.services)
        self.ownership.set_services(routing.services.values())

    def _on_keeper(self, service: str, keeper: RangeKeeper) -> None:
        balancer = RangeBalancer(
            keeper, self.local, self.loads, self.exchange.request_loads
        )
        self.stack.push_async_exit(balancer)
        balancer.start()

    def _on_node(self, vm: str, node: NodeEntry | None) -> None:
        self.loads.senders = len(self.ownership.nodes.nodes)
        if node is None or node.endpoint is None:
            self.loads.forget(vm)
        elif node.vm != self.settings.vm:
            self._note_start(node.vm, node.endpoint)

    def _note_start(self, vm: str, endpoint: EndpointInfo) -> None:
        """Assume that an endpoint that started a moment ago is cold.

        Its first hint replaces the assumption. Clocks that differ only cost accuracy.
        """
        service = self.index and self.index.settings.services.get(endpoint.service)
        load = self.loads.load_of(vm)
        if not service or load.hint is not None:
            return
        age_s = time.time() - endpoint.born / 1000
        if 0 <= age_s < service.cold_start_s:
            self.loads.note_cold(
                vm,
                service.cold_start_s - age_s,
                service.cold_requests_per_s,
                boottime(),
            )

    def _on_endpoint(self, info: EndpointInfo | None) -> None:
        if info != self.local.info:
            self.local.set_info(info)
        self.local.keeper = self.ownership.keeper

    def _export_counters(self) -> None:
        parts = {
            "peers": self.pool.counters,
            "callers": self.ingress.counters,
            "client_refusals": self.ingress.refusals.counters,
            "forwarding": self.forwarder.counters,
            "endpoint": self.local.counters,
            "cold_checks": self.local.cold_checker.counters,
            "server_load": self.local.load_reader.counters,
            "capacity": self.local.gate.capacity.counters,
            "endpoint_connections": self.endpoint_pool.counters,
            "mirror": self.ownership.mirror.counters,
            "registration": self.ownership.registration.counters,
            "relay": self.store.counters,
            "store_eras": self.store.eras.counters,
            "feed": self.feed.counters,
            "gossip": self.gossip.counters,
            "evacuations": self.ownership.evacuations.counters,
            "link": self.peer_service.link_room.counters,
            "event_loop": self.loop_lag.counters,
            "task_failures": task_failures,
        }
        for name, counters in parts.items():
            self.metrics.add_counters(name, counters)
        room = self.peer_service.link_room
        self.metrics.add_gauge(
            "link.queued_bytes", lambda: self.pool.link.scheduler.total_bytes
        )
        self.metrics.add_gauge("link.expected_bytes", room.expected_bytes)


def _loop_time(at: float) -> float:
    return asyncio.get_running_loop().time() + at - boottime()
