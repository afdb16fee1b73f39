"""Stateful test: no random failures of a cluster give a fenced node a valid lease."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from lease_cluster import Cluster

FAILURE_DOMAINS = {"v1": "a1", "v2": "a1", "v3": "a2", "v4": "b1", "v5": "b1"}
VMS = st.sampled_from(sorted(FAILURE_DOMAINS))
CONTROLLERS = st.sampled_from(["k1", "k2"])
# Clock rates that differ by up to 5%; the protocol tolerates 6%.
RATES = st.lists(st.sampled_from([1.0, 1.025, 1.05]), min_size=5, max_size=5)
SEEDS = st.integers(0, 2**32)


class LeaseMachine(RuleBasedStateMachine):
    """Runs a cluster; each rule is one fault or one action of one process."""

    @initialize(rates=RATES)
    def start(self, rates):
        self.cluster = Cluster(FAILURE_DOMAINS)
        for node, rate in zip(self.cluster.nodes.values(), rates, strict=True):
            node.rate = rate
            self.cluster.read_fleet(node)
        self.cluster.run(0.5)

    @rule(seconds=st.sampled_from([0.1, 0.4, 0.8, 1.5, 1.6]))
    def time_passes(self, seconds):
        self.cluster.time += seconds

    @rule(seconds=st.sampled_from([0.3, 1.0, 2.0, 3.0]))
    def run_without_loss(self, seconds):
        self.cluster.run(seconds)

    @rule(vms=st.sets(VMS, min_size=1))
    def send(self, vms):
        for vm in sorted(vms):
            self.cluster.run_node(vm)

    @rule(seed=SEEDS, rounds=st.integers(1, 3))
    def deliver_with_loss(self, seed, rounds):
        for i in range(rounds):
            self.cluster.deliver_all(seed + i)

    @rule(vm=VMS)
    def pause(self, vm):
        self.cluster.nodes[vm].paused = True

    @rule(vm=VMS, seconds=st.sampled_from([1.0, 2.0, 3.0, 4.0]))
    def pause_for(self, vm, seconds):
        self.cluster.nodes[vm].paused = True
        self.cluster.run(seconds)
        self.cluster.wake(vm)

    @rule(vm=VMS)
    def wake(self, vm):
        self.cluster.wake(vm)

    @rule(vm=VMS)
    def restart(self, vm):
        self.cluster.restart(vm)

    @rule(vm=VMS)
    def read_fleet(self, vm):
        self.cluster.read_fleet(self.cluster.nodes[vm])

    @rule(vm=VMS, witnesses=st.permutations(sorted(FAILURE_DOMAINS)))
    def change_witnesses(self, vm, witnesses):
        others = [self.cluster.nodes[w].id for w in witnesses if w != vm]
        if not self.cluster.nodes[vm].paused:
            self.cluster.propose(vm, tuple(others[:3]))

    @rule(
        vm=VMS, others=st.sets(st.sampled_from([*sorted(FAILURE_DOMAINS), "k1", "k2"]))
    )
    def cut(self, vm, others):
        self.cluster.separate([vm], others)

    @rule(
        vm=VMS,
        witnesses=st.permutations(sorted(FAILURE_DOMAINS)),
        is_delivered=st.booleans(),
        reached=st.sets(VMS, max_size=3),
        seconds=st.sampled_from([2.0, 3.0]),
    )
    def change_witnesses_and_cut(self, vm, witnesses, is_delivered, reached, seconds):
        """Cut a node off from the controllers before it learns which set is recorded.

        ``is_delivered`` tells whether its proposal reaches them before the cut.
        """
        self.cluster.run(0.5)
        if is_delivered:
            self.change_witnesses(vm, witnesses)
            self.cluster.deliver_all()
        self.cluster.separate([vm], [*(set(FAILURE_DOMAINS) - reached), "k1", "k2"])
        if not is_delivered:
            self.change_witnesses(vm, witnesses)
        self.cluster.run(seconds)
        self.cluster.blocked_links.clear()

    @rule()
    def heal(self):
        self.cluster.blocked_links.clear()

    @rule(name=CONTROLLERS)
    def controller_reads(self, name):
        self.cluster.read_store(name)

    @rule(name=CONTROLLERS)
    def controller_asks(self, name):
        self.cluster.request_promises(name)

    @rule(name=CONTROLLERS, reply_lost=st.booleans())
    def controller_writes(self, name, reply_lost):
        self.cluster.write(name, reply_lost)

    @rule()
    def store_fails_or_returns(self):
        self.cluster.store_down = not self.cluster.store_down

    @invariant()
    @precondition(lambda self: hasattr(self, "cluster"))
    def no_fenced_node_is_valid(self):
        self.cluster.check()


TestLeases = LeaseMachine.TestCase
TestLeases.settings = settings(
    derandomize=True,
    max_examples=400,
    stateful_step_count=40,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
