"""Controllers with an in-memory store and a pool that records sent messages."""

import asyncio
import time

from sesamepost.internal.balance.reports import (
    NodeLoad,
    ReleasedItem,
    ServiceLoad,
    build_report,
)
from sesamepost.internal.controller.controller import Controller
from sesamepost.internal.documents.replica import Replica
from sesamepost.internal.documents.views import Views
from sesamepost.internal.identity import NodeId
from sesamepost.internal.membership.fleet import Fleet, NodeRecord, NodeState
from sesamepost.internal.ownership.assignment import Assignment
from sesamepost.internal.ownership.messages import Release, Released
from sesamepost.internal.settings.claims import claim_services
from sesamepost.internal.store.envelope import decode_envelope, write_document
from sesamepost.internal.store.interface import (
    StoreConflictError,
    StoredValue,
    StoreUnavailableError,
)
from sesamepost.internal.store.reader import StoreReader
from sesamepost.internal.wire.pool import Address

SERVICE = "ledger"
ASSIGNMENT = f"assignment/{SERVICE}"
PARTITIONS = 8
# These tests examine planned changes of owner, so balancing is disabled.
BRANCH = (
    f"[team]\nweight_imbalance = 0\n[service:{SERVICE}]\npartitions = {PARTITIONS}\n"
)
NODES = [NodeId(f"vm-{number}", number + 1) for number in range(4)]
FENCED_AGO_S = 2 * 3600


class MemoryStore:
    """An in-memory store of versioned values.

    The next ``lose_replies`` writes take effect but raise an error, as if the reply
    had been lost.
    """

    def __init__(self):
        self.values = {}
        self.history = []
        self.lose_replies = 0

    async def get(self, key):
        await asyncio.sleep(0)
        return self.values.get(key)

    async def put(self, key, value, expected, lease=""):
        await asyncio.sleep(0)
        stored = self.values.get(key)
        version = 0 if stored is None else stored.version
        if version != expected:
            raise StoreConflictError(key, expected, version)
        self.values[key] = StoredValue(value, version + 1)
        self.history.append((key, version + 1))
        if self.lose_replies:
            self.lose_replies -= 1
            raise StoreUnavailableError("the reply is lost")
        return version + 1

    def body(self, key):
        return decode_envelope(self.values[key].value).body

    def version(self, key):
        return self.values[key].version

    def fleet(self):
        return Fleet.decode(self.version("fleet"), self.body("fleet"))

    def assignment(self):
        body = self.body(ASSIGNMENT)
        return Assignment.decode(SERVICE, self.version(ASSIGNMENT), body)


class RecordingStream:
    """An open stream to one node that records the sent messages."""

    is_open = True

    def __init__(self, node, sent):
        self.peer = node
        self.sent = sent

    def send(self, message):
        self.sent.append((self.peer, message))


class RecordingPool:
    """A pool with an open stream to every node."""

    def __init__(self):
        self.handlers = {}
        self.sent = []
        self.streams = {node: RecordingStream(node, self.sent) for node in NODES}

    def on(self, kind, handler):
        self.handlers[kind] = handler


class AlwaysLeader:
    """A leadership that is never lost."""

    is_leader = True


class Leader:
    """A controller with a replica of its own on a shared store."""

    def __init__(self, store, node=NODES[0]):
        self.store = store
        self.pool = RecordingPool()
        self.views = Views(Replica())
        self.reader = StoreReader(store, self.views.replica, lambda: True)
        self.controller = Controller(
            node, self.pool, self.views, store, self.reader, AlwaysLeader()
        )

    async def begin(self):
        await self.read(*self.store.values)
        await self.controller._begin_leading()

    async def read(self, *names):
        for name in names:
            await self.reader.read(name)

    async def decide(self):
        """Decide once, ignoring the interval between two rounds of planning."""
        self.controller.planned_at.clear()
        await self.controller._decide()

    def report(self, node, slots=6, released=()):
        service = ServiceLoad(SERVICE, 0.0, (), (), slots, 0, 0.0)
        items = tuple(ReleasedItem(SERVICE, *item) for item in released)
        load = NodeLoad(node, (service,), items, {})
        self.controller.receive(build_report(load))

    def releases(self):
        """Return the releases sent since the last call, with their recipients."""
        found = [pair for pair in self.pool.sent if isinstance(pair[1], Release)]
        self.pool.sent.clear()
        return found

    def answer_releases(self, releases, records_kept=True):
        for _, release in releases:
            self.controller.receive(
                Released(
                    release.service,
                    release.is_key,
                    release.item,
                    release.epoch,
                    release.target,
                    records_kept,
                )
            )


def record(node, state=NodeState.ACTIVE):
    fenced_at = int(time.time()) - FENCED_AGO_S if state is NodeState.FENCED else 0
    number = node.incarnation
    address = Address("127.0.0.1", number)
    return NodeRecord(
        node, address, f"fd-{number}", "r-0", state=state, fenced_at=fenced_at
    )


def assign_round_robin(nodes, version=1):
    """Return an assignment that gives the partitions to ``nodes`` in turn."""
    assignment = Assignment(SERVICE, PARTITIONS)
    for partition in range(PARTITIONS):
        owner = nodes[partition % len(nodes)]
        assignment.set_partition_owner(partition, owner, version, records_kept=True)
    return assignment


def owners(assignment):
    return [assignment.owner_of_partition(p) for p in range(len(assignment))]


async def store_with(records, nodes, branch=BRANCH):
    """Return a store with a fleet document and an assignment to ``nodes``."""
    store = MemoryStore()
    await claim_services(store, "team", [SERVICE], "test")
    await write_document(store, "settings/team", branch.encode(), "test", 0)
    fleet = Fleet(0, records)
    await write_document(store, "fleet", fleet.encode(), "test", 0)
    await write_document(
        store, ASSIGNMENT, assign_round_robin(nodes).encode(), "test", 0
    )
    store.history.clear()
    return store


def branch_with_drain(node):
    return f"{BRANCH}[vm:{node.vm}]\nstate = drained_for_deploy\n"


async def draining_leader(draining=NODES[2], nodes=NODES[:3]):
    """Return a leader that has asked ``draining`` to release its partitions."""
    records = [record(node) for node in nodes]
    store = await store_with(records, nodes, branch_with_drain(draining))
    leader = Leader(store)
    await leader.begin()
    for node in nodes:
        leader.report(node)
    await leader.decide()
    return leader
