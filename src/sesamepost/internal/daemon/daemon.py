"""The running daemon: its components, their tasks and its start and stop."""

import asyncio
import os
import resource
import time
from collections.abc import Callable
from contextlib import AsyncExitStack
from itertools import islice

import structlog

from sesamepost.internal.clock import boottime
from sesamepost.internal.controller.capacity import owners_of
from sesamepost.internal.controller.controller import Controller
from sesamepost.internal.controller.leadership import Leadership
from sesamepost.internal.controller.link import ControllerLink
from sesamepost.internal.controller.queries import FleetQueries
from sesamepost.internal.daemon.reporting import Reporter
from sesamepost.internal.dispatch.dispatcher import Dispatcher
from sesamepost.internal.dispatch.endpoints import EndpointServer
from sesamepost.internal.dispatch.handover import Handover
from sesamepost.internal.documents.replica import Replica
from sesamepost.internal.documents.replicator import DocumentReplicator
from sesamepost.internal.documents.views import ControllerRecord, Views
from sesamepost.internal.identity import NodeId, new_node_id
from sesamepost.internal.membership.fleet import (
    NodeRecord,
    controller_candidates,
    neighbours,
)
from sesamepost.internal.membership.task import Membership
from sesamepost.internal.operations.server import FleetSource, OperatorServer
from sesamepost.internal.routing.router import Router
from sesamepost.internal.routing.server import CallerServer
from sesamepost.internal.settings.model import ProcessSettings, RestartPolicy
from sesamepost.internal.store.http import HttpStore
from sesamepost.internal.store.reader import StoreReader
from sesamepost.internal.telemetry.metrics import Metrics
from sesamepost.internal.wire.pool import Address, PeerPool

MIN_CANDIDATES = 3
MAX_SEEDS_USED = 3
SEED_INTERVAL_S = 0.5
STOP_POLL_INTERVAL_S = 0.05
# Peers may send requests by the previous assignment for a moment after the last
# partition has moved away.
QUIET_PERIOD_S = 0.5
RESIGN_WAIT_S = 2.0

log = structlog.get_logger()


class Daemon:
    """All components that run under one node id, as an async context manager."""

    def __init__(self, settings: ProcessSettings) -> None:
        self.settings = settings
        self.node: NodeId = new_node_id(settings.vm)
        self.stack = AsyncExitStack()
        self.tasks: list[asyncio.Task] = []
        self.stopping = False

    async def __aenter__(self) -> "Daemon":
        settings = self.settings
        enter = self.stack.enter_async_context
        self.store = await enter(HttpStore(settings.store_url))
        self.pool = await enter(PeerPool(self.node, settings.peers_key))
        address = await self.pool.listen(settings.peers)
        self.replica = Replica()
        self.views = Views(self.replica)
        self.spreader = await enter(
            DocumentReplicator(self.replica, self.pool, self._push_targets)
        )
        self.link = ControllerLink(
            self.node, self.pool, self.views, lambda item: self.controller.receive(item)
        )
        own = NodeRecord(self.node, address, settings.failure_domain, settings.region)
        self.membership = Membership(
            own, self.pool, self.views, self.link, self.spreader
        )
        self.dispatcher = await enter(
            Dispatcher(
                self.node, self.pool, self.views, self.membership.holder.valid_until
            )
        )
        self.handover = Handover(
            self.node, self.pool, self.views, self.dispatcher, self.link
        )
        self._build_controller(address)
        self.reporter = Reporter(self.node, self.views, self.dispatcher, self.link)
        self.handover.on_released = self.reporter.forget
        self.router = Router(self.node, self.pool, self.views, self.dispatcher)
        self._build_metrics()
        await self._listen()
        self._start_tasks()
        log.info("daemon_started", node=str(self.node), callers=settings.callers)
        return self

    async def __aexit__(self, *error) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.leadership.resign()
        await self.stack.aclose()
        log.info("daemon_stopped", node=str(self.node))

    async def run(self, stop: asyncio.Event) -> None:
        """Run until ``stop`` is set and the planned stop is done, or until fenced.

        Raises the exception of a failed task, since a daemon without one of its tasks
        would look healthy but not work.
        """
        wait_tasks = {
            asyncio.ensure_future(stop.wait()),
            asyncio.ensure_future(self.membership.fenced.wait()),
        }
        try:
            done, _ = await asyncio.wait(
                [*wait_tasks, *self.tasks], return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
            if stop.is_set():
                await self._stop()
        finally:
            for wait_task in wait_tasks:
                wait_task.cancel()

    async def _stop(self) -> None:
        """Hand over the partitions, finish the requests in flight and resign.

        Partitions of teams with the restart policy ``wait`` are kept for the VM's next
        incarnation. A node with no requests in flight resigns, so that it can be fenced
        before its lease expires.
        """
        self.stopping = True
        log.info("daemon_stopping", node=str(self.node))
        self.membership.leave()
        deadline = boottime() + self.settings.stop_timeout_s
        is_done = await self._wait_while(self._must_hand_over, deadline)
        self.dispatcher.close()
        await self.callers.stop_accepting()
        is_done &= await self._wait_while(self._is_busy, deadline, QUIET_PERIOD_S)
        if not is_done:
            # Endpoints may still be working on requests. Only the end of the lease
            # bounds that work, so the node must not be fenced earlier.
            log.warning("stop_timed_out", node=str(self.node))
            return
        self.membership.resign()
        is_alone = len(self.views.fleet.active_records()) == 0
        if not is_alone:
            await self._wait_while(
                lambda: not self.membership.fenced.is_set(), boottime() + RESIGN_WAIT_S
            )

    async def _wait_while(
        self, condition: Callable[[], bool], deadline: float, quiet_s: float = 0.0
    ) -> bool:
        """Wait until ``condition()`` has been false for ``quiet_s``.

        Returns False if the deadline passed first, and True if the node was fenced.
        """
        quiet_since = None
        while boottime() < deadline and not self.membership.fenced.is_set():
            now = boottime()
            if condition():
                quiet_since = None
            elif quiet_since is None:
                quiet_since = now
            if quiet_since is not None and now - quiet_since >= quiet_s:
                return True
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        return self.membership.fenced.is_set()

    def _must_hand_over(self) -> bool:
        """Return whether this node still owns partitions that must be handed over."""
        for service, assignment in self.views.assignments.items():
            branch = self.views.branches_by_service.get(service)
            if branch is not None and branch.restart is RestartPolicy.WAIT:
                continue
            if self.node in owners_of(assignment):
                return True
        return False

    def _is_busy(self) -> bool:
        return self.callers.in_flight > 0 or not self.dispatcher.is_idle

    def _build_controller(self, address: Address) -> None:
        self.reader = StoreReader(
            self.store, self.replica, lambda: self.leadership.should_follow_store()
        )
        self.leadership = Leadership(
            self.store,
            self.reader,
            ControllerRecord(self.node, address),
            self._is_candidate,
        )
        self.controller = Controller(
            self.node,
            self.pool,
            self.views,
            self.store,
            self.reader,
            self.leadership,
        )
        self.queries = FleetQueries(self.node, self.pool, self.views, self.controller)

    def _build_metrics(self) -> None:
        self.metrics = Metrics(self._team_of)
        self.stack.callback(self.metrics.close)
        for part in ("router", "dispatcher", "pool", "spreader", "membership"):
            self.metrics.add_counters(part, getattr(self, part).counters)
        self.metrics.add_counters("controller", self.controller.counters)
        self.metrics.add_counters("handover", self.handover.counters)

    async def _listen(self) -> None:
        settings = self.settings
        enter = self.stack.enter_async_context
        self.endpoint_server = await enter(
            EndpointServer(self.dispatcher.announce, self.dispatcher.withdraw)
        )
        self.endpoints_address = await self.endpoint_server.listen(settings.endpoints)
        self.operators = await enter(OperatorServer(self._fleet_source()))
        self.operators_address = await self.operators.listen(settings.operators)
        self.callers = await enter(
            CallerServer(self.router, self.metrics.observe_request)
        )
        self.callers_address = await self.callers.listen(settings.callers)
        self.metrics.add_counters("callers", self.callers.counters)
        self.metrics.add_counters("client_refusals", self.callers.refusals.counters)
        self.metrics.add_counters("endpoint_server", self.endpoint_server.counters)

    def _start_tasks(self) -> None:
        task_functions = (
            self.membership.run,
            self.dispatcher.run,
            self.reader.run,
            self.leadership.run,
            self.controller.run,
            self.reporter.run,
            self._fetch_from_seeds,
        )
        self.tasks = [
            asyncio.create_task(run(), name=run.__qualname__) for run in task_functions
        ]

    async def _fetch_from_seeds(self) -> None:
        """Fetch documents from the seeds until this node has joined the fleet."""
        while True:
            if not self.membership.joined.is_set():
                for seed in self.settings.seeds[:MAX_SEEDS_USED]:
                    await self.spreader.fetch_from(seed)
            if self.views.controller is not None and self.link.reached_controller:
                self.leadership.record_controller_contact()
            await asyncio.sleep(SEED_INTERVAL_S)

    def _is_candidate(self) -> bool:
        fleet = self.views.fleet
        candidates = list(controller_candidates(fleet))
        if len(candidates) < MIN_CANDIDATES:
            names = sorted(record.node for record in fleet.active_records())
            others = (node for node in names if node not in candidates)
            candidates += islice(others, MIN_CANDIDATES - len(candidates))
        return self.node in candidates

    def _push_targets(self) -> list[tuple[NodeId, Address]]:
        fleet = self.views.fleet
        targets = {
            node: fleet.get(node).address for node in neighbours(fleet, self.node)
        }
        seeds = set(self.settings.seeds[:MAX_SEEDS_USED])
        for record in fleet.live_records():
            if record.address in seeds and record.node != self.node:
                targets[record.node] = record.address
        if self.leadership.is_leader:
            # Nodes that have just joined have no neighbours that know them yet, and
            # nodes that have resigned have no neighbours any more.
            for node, stream in self.pool.streams.items():
                if node not in targets and fleet.live(node) is None and stream.is_open:
                    targets[node] = Address("", 0)
        return list(targets.items())

    def _team_of(self, service: str) -> str:
        branch = self.views.branches_by_service.get(service)
        return "" if branch is None else branch.team

    def _fleet_source(self) -> FleetSource:
        return FleetSource(
            self.node,
            self.views,
            self._not_ready_reason,
            self.queries.ask,
            self._services,
            self.metrics.render,
            self._process_usage,
        )

    def _process_usage(self) -> dict:
        return {
            **_process_usage(),
            "peer_bytes_sent": self.pool.bytes_sent,
            "peer_bytes_received": self.pool.bytes_received,
        }

    def _not_ready_reason(self) -> str:
        if self.stopping:
            return "the daemon is stopping"
        if not self.membership.joined.is_set():
            return "the node is not in the fleet yet"
        if not self.membership.has_all_witnesses:
            return "the node does not have all its witnesses yet"
        if not self.views.services:
            return "this daemon has not received the settings of any team yet"
        for service in self.views.services:
            assignment = self.views.assignments.get(service)
            if assignment is None or not owners_of(assignment):
                return f"no partition of service {service} has an owner yet"
        return ""

    def _services(self) -> dict[str, list[str]]:
        return {
            service: sorted(node.vm for node in owners_of(assignment))
            for service, assignment in self.views.assignments.items()
        }


def _process_usage() -> dict:
    times = os.times()
    with open("/proc/self/statm") as statm:
        resident_pages = int(statm.read().split()[1])
    return {
        "pid": os.getpid(),
        "cpu_s": times.user + times.system,
        "rss_bytes": resident_pages * resource.getpagesize(),
        "unix_s": time.time(),
    }
