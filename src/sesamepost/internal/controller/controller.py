"""The controller, which changes the fleet and the assignments while it leads."""

import asyncio
import time
from collections import Counter

import structlog

from sesamepost.internal.balance.load_table import LoadTable
from sesamepost.internal.balance.plan import Loads, NodeCapacity, Plan, apply
from sesamepost.internal.balance.planner import plan
from sesamepost.internal.balance.reports import (
    LoadReport,
    NodeLoad,
    ReleasedKind,
    read_report,
    report_interval_s,
)
from sesamepost.internal.clock import boottime
from sesamepost.internal.controller.capacity import capacities_of, owners_of
from sesamepost.internal.controller.leadership import Leadership
from sesamepost.internal.controller.messages import FleetQuery, FleetVersions
from sesamepost.internal.controller.releases import PendingMoves, epoch_of
from sesamepost.internal.documents.views import (
    ASSIGNMENT_PREFIX,
    FLEET_DOCUMENT,
    Views,
)
from sesamepost.internal.identity import NodeId
from sesamepost.internal.lease.fencing import Fencing
from sesamepost.internal.lease.messages import Promised, PromiseRefused, Suspect
from sesamepost.internal.membership.fleet import (
    Fleet,
    NodeFencedError,
    NodeRecord,
    NodeState,
)
from sesamepost.internal.membership.messages import (
    ChangeWitnesses,
    Join,
    Leave,
    Resign,
)
from sesamepost.internal.ownership.assignment import Assignment
from sesamepost.internal.ownership.items import Item
from sesamepost.internal.ownership.messages import Released
from sesamepost.internal.settings.model import VmState
from sesamepost.internal.store.envelope import write_document
from sesamepost.internal.store.interface import (
    Store,
    StoreConflictError,
    StoreUnavailableError,
)
from sesamepost.internal.store.reader import StoreReader
from sesamepost.internal.wire.messages import ProtocolError
from sesamepost.internal.wire.pool import Address, PeerPool
from sesamepost.internal.wire.stream import PeerStream, StreamClosedError

TICK_S = 0.1
# Requests that arrive together, as after the loss of a failure domain, share a write.
BATCH_DELAY_S = 0.005
BALANCE_INTERVAL_S = 2.0
FAILED_ROUND_PAUSE_S = 1.0
ABSENT_NODE_RETENTION_S = 60.0

log = structlog.get_logger()


class Controller:
    """Receives requests from nodes, decides on them and writes the documents.

    All state can be rebuilt from documents and messages, so it is dropped when the
    lease is lost. Every write is a compare-and-swap on the version on which its
    decision was based.
    """

    def __init__(
        self,
        node: NodeId,
        pool: PeerPool,
        views: Views,
        store: Store,
        reader: StoreReader,
        leadership: Leadership,
    ) -> None:
        self.node = node
        self.pool = pool
        self.views = views
        self.store = store
        self.reader = reader
        self.leadership = leadership
        self.counters: Counter[str] = Counter()
        self.work_available = asyncio.Event()
        self.tasks: set[asyncio.Task] = set()
        self.reset()
        for kind in (
            Join,
            ChangeWitnesses,
            Leave,
            Resign,
            Suspect,
            Promised,
            PromiseRefused,
            Released,
            LoadReport,
        ):
            pool.on(kind, self._on_message)
        pool.on(FleetQuery, self._on_query)
        self.subscription = views.changed.subscribe(self._on_document)

    def reset(self) -> None:
        """Drop all state that has to be rebuilt after the next election."""
        self.leading_since = None
        self.fencing = Fencing()
        self.loads = LoadTable()
        self.pending = PendingMoves()
        self.joins: dict[NodeId, Join] = {}
        self.witness_changes: dict[NodeId, ChangeWitnesses] = {}
        self.leaves: set[NodeId] = set()
        self.resigns: set[NodeId] = set()
        self.unfinished_plans: dict[str, bool] = {}
        self.planned_at: dict[str, float] = {}
        self.node_states: dict[NodeId, NodeState] = {}

    def receive(self, message) -> None:
        """Handle a message from this daemon or from a peer."""
        if not self.leadership.is_leader:
            self.counters["messages_while_not_leading"] += 1
            return
        now = boottime()
        match message:
            case Join():
                self.joins[message.node] = message
            case ChangeWitnesses():
                self.witness_changes[message.node] = message
            case Leave():
                self.leaves.add(message.node)
            case Resign():
                self.resigns.add(message.node)
            case Suspect():
                self.fencing.receive_suspect(message, now)
            case Promised():
                self.fencing.receive_promised(message)
            case PromiseRefused():
                self.fencing.receive_refused(message)
            case Released():
                self.pending.receive(message)
            case LoadReport():
                # Most reports require no decision. At 50 reports per second, a round of
                # decisions for each would use a fifth of a core, so the next tick
                # handles them.
                if not self._receive_report(message, now):
                    return
            case _:
                raise ProtocolError(
                    f"{type(message).__name__} is not a message for the controller"
                )
        self.work_available.set()

    def _receive_report(self, message: LoadReport, now: float) -> bool:
        """Store a load report; return whether the node's endpoints have changed."""
        previous = self.loads.reports.get(message.node)
        load = read_report(message)
        self.loads.receive(load, now)
        if previous is not None and _offers(previous.load) == _offers(load):
            return False
        # An endpoint was added, removed or changed: plan its service without waiting
        # for the next balancing interval.
        offers = [_offers(load), [] if previous is None else _offers(previous.load)]
        for service in {service for offer in offers for service, *_ in offer}:
            self.planned_at.pop(service, None)
        return True

    async def run(self) -> None:
        """Decide whenever a message arrives and at a fixed interval; never returns."""
        while True:
            await self._wait_for_work()
            if not self.leadership.is_leader:
                if self.leading_since is not None:
                    self.reset()
                continue
            if self.leading_since is None:
                await self._begin_leading()
            try:
                await self._decide()
            except Exception:
                # A failed decision must not stop the daemon from routing requests.
                self.counters["rounds_failed"] += 1
                log.exception("controller_round_failed")
                await asyncio.sleep(FAILED_ROUND_PAUSE_S)

    async def _wait_for_work(self) -> None:
        try:
            async with asyncio.timeout(TICK_S):
                await self.work_available.wait()
        except TimeoutError:
            return
        await asyncio.sleep(BATCH_DELAY_S)
        self.work_available.clear()

    async def _begin_leading(self) -> None:
        # Messages received since the election are kept, as the state was already reset
        # when this daemon last stopped leading.
        now = self.leading_since = boottime()
        self.fencing.observe(self.views.fleet, now)

    async def _decide(self) -> None:
        self._request_promises(boottime())
        try:
            await self._write_fleet(boottime())
            for service in list(self.views.services):
                await self._assign(service)
        except StoreConflictError as error:
            # Another writer was first. The senders repeat the dropped requests.
            self.counters["write_conflicts"] += 1
            self._drop_requests()
            await self._read_again(error.key)
        except StoreUnavailableError as error:
            self.counters["writes_failed"] += 1
            log.warning("controller_write_failed", error=str(error))
            self._drop_requests()

    async def _read_again(self, name: str) -> None:
        try:
            await self.reader.read(name)
        except StoreUnavailableError:
            self.counters["reads_failed"] += 1

    def _drop_requests(self) -> None:
        self.joins.clear()
        self.witness_changes.clear()
        self.leaves.clear()
        self.resigns.clear()

    def _request_promises(self, now: float) -> None:
        self.fencing.set_removed_vms(
            vm
            for branch in self.views.branches.values()
            for vm, state in branch.vms.items()
            if state is VmState.REMOVED
        )
        for promise in self.fencing.promises_due(now):
            self.counters["promises_asked"] += 1
            self._send_to(promise.witness, promise)

    async def _write_fleet(self, now: float) -> None:
        fleet = self.views.fleet
        changed = self._changed_fleet(fleet, now)
        if changed is fleet:
            return
        joins, witness_changes, leaves = self.joins, self.witness_changes, self.leaves
        self.joins, self.witness_changes, self.leaves, self.resigns = (
            {},
            {},
            set(),
            set(),
        )
        await self._write(FLEET_DOCUMENT, changed.encode(), fleet.version)
        self.counters["fleet_writes"] += 1
        log.info(
            "fleet_written",
            version=self.views.fleet.version,
            joined=sorted(map(str, joins)),
            witnesses_changed=sorted(map(str, witness_changes)),
            leaving=sorted(map(str, leaves)),
            fenced=sorted(
                str(record.node)
                for record in changed
                if fleet.live(record.node) and not changed.live(record.node)
            ),
        )

    def _changed_fleet(self, fleet: Fleet, now: float) -> Fleet:
        changed = fleet
        for join in self.joins.values():
            record = NodeRecord(
                join.node,
                Address(join.host, join.port),
                join.failure_domain,
                join.region,
                join.witnesses,
                join.witness_sequence,
            )
            try:
                changed = changed.join(record)
            except NodeFencedError:
                self.counters["joins_of_fenced_nodes"] += 1
        for change in self.witness_changes.values():
            changed = changed.change_witnesses(
                change.node, change.witness_sequence, change.witnesses
            )
        for node in self.leaves:
            changed = changed.mark_leaving(node)
        for node in self.resigns:
            changed = changed.fence(node, int(time.time()), resigned=True)
        for decision in self.fencing.decisions(now):
            if decision.version == fleet.version:
                changed = changed.fence(decision.node, int(time.time()))
        if not changed.has_expired_tombstones(time.time()):
            return changed
        owners = {
            owner
            for assignment in self.views.assignments.values()
            for owner in owners_of(assignment)
        }
        return changed.drop_expired_tombstones(time.time(), owners)

    async def _assign(self, service: str) -> None:
        now = boottime()
        assignment = self.views.assignments.get(service)
        if assignment is None:
            partitions = self.views.services[service].partitions
            assignment = Assignment(service, partitions)
        self.pending.drop_outdated(assignment, self.views.fleet)
        planned = self._plan(assignment, now)
        self.pending.add(assignment, planned.moves)
        for owner, release in self.pending.releases_due(now):
            self._send_to(owner, release)
        completed = self.pending.completed(service)
        regrants = self._items_to_regrant(assignment)
        if not (planned.assign or completed or regrants):
            return
        version = assignment.version + 1
        with_records = tuple(p.move for p in completed if p.records_kept)
        without_records = tuple(p.move for p in completed if not p.records_kept)
        changed = apply(
            Plan(planned.assign + without_records, with_records), assignment, version
        )
        for item in regrants:
            _regrant(changed, item, version)
        name = ASSIGNMENT_PREFIX + service
        await self._write(name, changed.encode(), assignment.version)
        self.pending.remove(completed)
        self.counters["assignment_writes"] += 1
        self.counters["items_assigned"] += len(planned.assign)
        self.counters["items_moved"] += len(completed)
        log.info(
            "assignment_written",
            service=service,
            version=version,
            assigned=len(planned.assign),
            moved=len(completed),
            granted_again=len(regrants),
        )

    def _plan(self, assignment: Assignment, now: float) -> Plan:
        service = assignment.service
        # Planning again before the nodes have reported new loads would change nothing,
        # and planning 24 services every 2 s would use a quarter of a core.
        nodes = len(self.views.fleet)
        interval_s = max(BALANCE_INTERVAL_S, report_interval_s(nodes))
        if now < self.planned_at.get(service, float("-inf")) + interval_s:
            return Plan()
        branch = self.views.branches_by_service[service]
        capacities = capacities_of(
            service,
            self.views,
            self.loads,
            assignment,
            now - self.leading_since,
            time.time(),
        )
        if not capacities:
            return Plan()
        self.planned_at[service] = now
        expected_assignment = self.pending.expected_assignment(assignment)
        # Only balancing waits for pending moves; losses and evacuations do not.
        has_pending_moves = expected_assignment is not assignment
        planned = plan(
            expected_assignment,
            capacities,
            self._loads(expected_assignment, capacities, now),
            branch.weights,
            branch.restart,
            0 if has_pending_moves else branch.max_moves_per_round,
            continuing=self.unfinished_plans.get(service, False),
        )
        if not has_pending_moves:
            self.unfinished_plans[service] = planned.unfinished
        return planned

    def _loads(
        self, assignment: Assignment, capacities: list[NodeCapacity], now: float
    ) -> Loads:
        interval_s = report_interval_s(len(self.views.fleet))
        nodes = [capacity.node for capacity in capacities]
        return self.loads.loads(assignment, nodes, now, interval_s)

    def _items_to_regrant(self, assignment: Assignment) -> list[Item]:
        """Return items that their owner released for a previous controller.

        No pending move covers them, so they are granted to the same owner again.
        """
        regrants = []
        for node, released in self.loads.released():
            is_key = released.kind is ReleasedKind.KEY
            item = Item(released.service, is_key, released.item)
            if released.service != assignment.service or item in self.pending.moves:
                continue
            if epoch_of(assignment, item) != released.epoch:
                continue
            if _owner_of(assignment, item) == node:
                regrants.append(item)
        return regrants

    async def _write(self, name: str, body: bytes, expected: int) -> None:
        version = await write_document(self.store, name, body, str(self.node), expected)
        self.reader.stored_versions[name] = version
        self.views.replica.offer(name, version, body)

    def _on_document(self, name: str) -> None:
        if name == FLEET_DOCUMENT and self.leading_since is not None:
            self.fencing.observe(self.views.fleet, boottime())
            self._forget_lost_nodes(boottime())
        if name == FLEET_DOCUMENT:
            self._replan_for_changed_nodes()
        elif not name.startswith(ASSIGNMENT_PREFIX):
            self.planned_at.clear()
        self.work_available.set()

    def _replan_for_changed_nodes(self) -> None:
        """Plan the services with an owner whose recorded state has changed, no others.

        Planning all 24 services takes 0.6 s at the design size, which would delay the
        reassignment of a lost node's partitions. A joining node triggers planning by
        the load report that offers its endpoints.
        """
        states = {record.node: record.state for record in self.views.fleet}
        known, self.node_states = self.node_states, states
        changed = {node for node, state in states.items() if known.get(node) != state}
        for service in list(self.planned_at):
            assignment = self.views.assignments.get(service)
            if assignment is None or not changed.isdisjoint(assignment.nodes):
                del self.planned_at[service]

    def _forget_lost_nodes(self, now: float) -> None:
        """Drop the reports of nodes that are fenced or have long been absent.

        A node sends reports before its record is written. Later reports contain only
        the versions that changed, so the first one must not be dropped.
        """
        for node, report in list(self.loads.reports.items()):
            record = self.views.fleet.get(node)
            is_absent = (
                record is None and now - report.received > ABSENT_NODE_RETENTION_S
            )
            if is_absent or (record is not None and not self.views.fleet.live(node)):
                self.loads.forget(node)

    def _on_message(self, stream: PeerStream, message) -> None:
        self.receive(message)

    def _on_query(self, stream: PeerStream, message: FleetQuery) -> None:
        if self.leadership.is_leader:
            stream.send(FleetVersions(message.query, self.fleet_versions()))

    def fleet_versions(self) -> list:
        """Return ``[vm, age in seconds, [[name, version], ...]]`` of each live node."""
        now = boottime()
        return [
            [node.vm, now - report.received, sorted(report.load.versions.items())]
            for node, report in self.loads.reports.items()
            if self.views.fleet.live(node) is not None
        ]

    def _send_to(self, node: NodeId, message) -> None:
        if node == self.node:
            handler = self.pool.handlers.get(type(message))
            if handler is not None:
                handler(_LocalStream(self), message)
            return
        stream = self.pool.streams.get(node)
        if stream is not None and stream.is_open:
            stream.send(message)
            return
        address = self.views.address_of(node)
        if address is None:
            return
        task = asyncio.ensure_future(self._dial_and_send(address, node, message))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _dial_and_send(self, address: Address, node: NodeId, message) -> None:
        try:
            stream = await self.pool.stream_to(address, node)
            stream.send(message)
        except StreamClosedError:
            self.counters["messages_not_sent"] += 1


class _LocalStream:
    """Replaces the peer stream when the controller sends to its own daemon."""

    def __init__(self, controller: Controller) -> None:
        self.peer = controller.node
        self.send = controller.receive


def _offers(load: NodeLoad) -> list[tuple[str, int, bool]]:
    return [(s.service, s.slots, s.is_draining) for s in load.services]


def _regrant(assignment: Assignment, item: Item, version: int) -> None:
    node = _owner_of(assignment, item)
    if item.is_key:
        assignment.set_key_owner(item.number, node, version, records_kept=True)
    else:
        assignment.set_partition_owner(item.number, node, version, records_kept=True)


def _owner_of(assignment: Assignment, item: Item) -> NodeId | None:
    if item.is_key:
        return assignment.find(item.number).owner
    return assignment.owner_of_partition(item.number)
