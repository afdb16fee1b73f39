"""A simulated cluster: real lease classes, virtual clocks and a faulty network."""

import random
from dataclasses import dataclass, field

from sesamepost.internal.identity import NodeId
from sesamepost.internal.lease.fencing import Fencing
from sesamepost.internal.lease.holder import LeaseHolder
from sesamepost.internal.lease.messages import (
    Promise,
    Promised,
    PromiseRefused,
    Renew,
    Renewed,
    RenewRefused,
    Suspect,
)
from sesamepost.internal.lease.witness import Witness
from sesamepost.internal.membership.fleet import Fleet, NodeRecord
from sesamepost.internal.membership.messages import ChangeWitnesses
from sesamepost.internal.membership.witness_choice import choose_witnesses
from sesamepost.internal.wire.pool import Address

STEP_S = 0.1
PROPOSE_INTERVAL_S = 1.0


@dataclass
class Node:
    """One VM; ``rate`` is the rate of its clock relative to the cluster's time."""

    id: NodeId
    domain: str
    region: str
    rate: float = 1.0
    paused: bool = False
    proposed_at: float = -9.0
    inbox: list = field(default_factory=list)

    def __post_init__(self):
        self.holder = LeaseHolder(self.id)
        self.witness = Witness(self.id)
        self.fleet = Fleet()


class Cluster:
    """Nodes, controllers and the store; ``failure_domains`` has the domain of each VM.

    The first letter of a failure domain is its region. ``blocked_links`` holds pairs of
    VMs, controllers or ``"store"`` that cannot reach each other.
    """

    def __init__(self, failure_domains, controllers=("k1", "k2")):
        self.time = 0.0
        self.nodes = {
            vm: Node(NodeId(vm, 1), domain, domain[0])
            for vm, domain in failure_domains.items()
        }
        self.fencings = {name: Fencing() for name in controllers}
        self.proposals = {name: [] for name in controllers}
        self.network = []
        self.blocked_links = set()
        self.store_down = False
        records = [self.record(node) for node in self.nodes.values()]
        self.stored = Fleet(1, records)
        for node in self.nodes.values():
            witnesses = choose_witnesses(self.stored, node.id, node.domain, node.region)
            proposal = node.holder.propose(witnesses)
            self.stored = self.stored.change_witnesses(
                node.id, proposal.sequence, proposal.witnesses
            )
        for node in self.nodes.values():
            self.read_fleet(node)

    def record(self, node):
        return NodeRecord(node.id, Address("h", 1), node.domain, node.region)

    def clock(self, node):
        return 100.0 + self.time * node.rate

    def is_valid(self, vm):
        node = self.nodes[vm]
        return node.holder.is_valid(self.clock(node))

    def is_fenced(self, vm):
        return self.stored.live(self.nodes[vm].id) is None

    def check(self):
        """Check that no fenced node has a valid lease."""
        for vm, node in self.nodes.items():
            record = self.stored.get(node.id)
            recorded = record is not None
            if recorded and self.is_fenced(vm):
                assert not self.is_valid(vm), f"{node.id} is fenced and valid"

    def separate(self, left, right):
        self.blocked_links |= {frozenset((a, b)) for a in left for b in right if a != b}

    def send(self, source, target, message):
        if frozenset((source, target)) not in self.blocked_links:
            self.network.append((source, target, message))

    def read_fleet(self, node):
        if not node.paused:
            node.fleet = self.stored
            node.holder.observe(self.stored)
            node.witness.observe(self.stored, self.clock(node))

    def run_node(self, vm):
        """Send the messages of a node that are due."""
        node = self.nodes[vm]
        if node.paused:
            return
        now = self.clock(node)
        for renew in node.holder.renewals_due(now, b"12345678"):
            self.send(vm, renew.witness.vm, renew)
        for suspect in node.witness.suspects_due(now):
            for name in self.fencings:
                self.send(vm, name, suspect)
        lost = node.holder.witnesses_to_replace(now)
        if lost and now - node.proposed_at >= PROPOSE_INTERVAL_S:
            keep = set(node.holder.wanted_set().witnesses) - set(lost)
            self.propose(
                vm,
                choose_witnesses(
                    node.fleet, node.id, node.domain, node.region, lost, keep
                ),
            )

    def propose(self, vm, witnesses):
        node = self.nodes[vm]
        node.proposed_at = self.clock(node)
        proposal = node.holder.propose(witnesses)
        message = ChangeWitnesses(node.id, proposal.witnesses, proposal.sequence)
        for name in self.fencings:
            self.send(vm, name, message)

    def deliver(self, source, target, message):
        if target in self.fencings:
            self.deliver_to_controller(target, message)
            return
        node = self.nodes[target]
        if node.paused:
            node.inbox.append((source, target, message))
            return
        now = self.clock(node)
        match message:
            case Renew():
                answer = node.witness.receive_renew(message, b"12345678", now)
                self.send(target, source, answer)
            case Renewed():
                node.holder.receive_renewed(message)
            case RenewRefused():
                node.holder.receive_refused(message)
            case Promise():
                self.send(target, source, node.witness.receive_promise(message, now))

    def deliver_to_controller(self, name, message):
        match message:
            case Suspect():
                self.fencings[name].receive_suspect(message, self.time)
            case Promised():
                self.fencings[name].receive_promised(message)
            case PromiseRefused():
                self.fencings[name].receive_refused(message)
            case ChangeWitnesses():
                self.proposals[name].append(message)

    def can_reach_store(self, name):
        return (
            not self.store_down and frozenset((name, "store")) not in self.blocked_links
        )

    def read_store(self, name):
        if self.can_reach_store(name):
            self.fencings[name].observe(self.stored, self.time)

    def request_promises(self, name):
        for promise in self.fencings[name].promises_due(self.time):
            self.send(name, promise.witness.vm, promise)

    def write(self, name, reply_lost=False):
        """Write fencings and witness proposals in one compare-and-swap."""
        if not self.can_reach_store(name):
            return
        fencing = self.fencings[name]
        fleet = fencing.fleet
        for decision in fencing.decisions(self.time):
            fleet = fleet.fence(decision.node, 1)
        for message in self.proposals[name]:
            fleet = fleet.change_witnesses(
                message.node, message.witness_sequence, message.witnesses
            )
        if self.compare_and_swap(fencing.fleet.version, fleet) and not reply_lost:
            self.proposals[name].clear()

    def compare_and_swap(self, expected, fleet):
        if expected != self.stored.version:
            return False
        if list(fleet) != list(self.stored):
            self.stored = Fleet(expected + 1, fleet)
        return True

    def restart(self, vm):
        old = self.nodes[vm]
        new = Node(NodeId(vm, old.id.incarnation + 1), old.domain, old.region, old.rate)
        self.nodes[vm] = new
        if self.store_down:
            return
        joined = self.stored.join(self.record(new))
        witnesses = choose_witnesses(joined, new.id, new.domain, new.region)
        proposal = new.holder.propose(witnesses)
        self.stored = Fleet(
            joined.version + 1,
            joined.change_witnesses(new.id, proposal.sequence, witnesses),
        )
        self.read_fleet(new)

    def wake(self, vm):
        node = self.nodes[vm]
        node.paused = False
        waiting, node.inbox = node.inbox, []
        self.network.extend(waiting)

    def deliver_all(self, seed=None):
        """Deliver the messages in flight.

        With a seed, some are lost, delayed, duplicated or reordered.
        """
        in_flight, self.network = self.network, []
        rng = random.Random(seed)
        if seed is not None:
            rng.shuffle(in_flight)
        for item in in_flight:
            roll = 9 if seed is None else rng.randrange(10)
            if roll == 0:
                continue
            if roll in (1, 2):
                self.network.append(item)
            if roll != 1:
                self.deliver(*item)
                self.check()

    def run(self, seconds, step=STEP_S):
        """Run without message loss other than by blocked links, pauses and outages."""
        for _ in range(round(seconds / step)):
            self.time += step
            for vm in self.nodes:
                self.run_node(vm)
            for _ in range(3):
                self.deliver_all()
            for name in self.fencings:
                self.read_store(name)
                self.request_promises(name)
                self.write(name)
            for vm, node in self.nodes.items():
                if self.can_reach_a_reader(vm):
                    self.read_fleet(node)
            self.check()

    def can_reach_a_reader(self, vm):
        return any(
            frozenset((vm, name)) not in self.blocked_links
            and self.can_reach_store(name)
            for name in self.fencings
        )
