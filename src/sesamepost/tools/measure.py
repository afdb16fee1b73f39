"""Measure imbalance, churn and moves of the planner for typical events.

This is a simulation of the planner with load vectors: no process is started and no time
passes. The planner gets exact loads, so the effect of reporting errors is not measured.
Unavailable time comes from a model (see ``MOVE_UNAVAILABLE_S``), as the output says.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from math import gcd, lcm

import defopt

from sesamepost.internal.balance.plan import (
    CapacityState,
    ItemKind,
    Loads,
    NodeCapacity,
    Plan,
)
from sesamepost.internal.balance.planner import apply, plan
from sesamepost.internal.identity import NodeId
from sesamepost.internal.ownership.assignment import Assignment
from sesamepost.internal.settings.model import RestartPolicy, TeamBranch, Weights

LONGEST_IN_FLIGHT_S = 0.2
STORE_WRITE_S = 0.005
MOVE_UNAVAILABLE_S = LONGEST_IN_FLIGHT_S + STORE_WRITE_S
LOSS_UNAVAILABLE_S = 2.0

HOT_KEYS = 11
# Load of the hottest key relative to the mean load of a node; the others follow 1/rank.
HOTTEST_KEY_SHARE = 0.4
# Sigma of the log-normal distribution of the loads of partitions.
PARTITION_SIGMA = 0.4

MAX_ROUNDS = 1000


@dataclass(frozen=True, slots=True)
class User:
    """A user's weights and policy for planned restarts."""

    name: str
    weights: Weights
    restart: RestartPolicy


USERS = (
    User("Lahore", Weights(1.0, 0.1, 5.0), RestartPolicy.MOVE),
    User("valuation host", Weights(1.0, 2.0, 0.1), RestartPolicy.WAIT),
)


@dataclass(frozen=True, slots=True)
class Size:
    """Size of a fleet; each VM runs one service, and services alternate over VMs."""

    name: str
    vms: int
    services: int
    failure_domains: int
    regions: int
    slots: float
    partitions: int
    keys: int
    rate: float


SIZES = (
    Size("Lahore today", 18, 3, 6, 3, 6.0, 512, 3_000_000, 1_800.0),
    Size("valuation host today", 18, 3, 6, 3, 12.0, 512, 30_000_000, 9_000.0),
    Size("480 nodes", 480, 1, 5, 2, 12.0, 4096, 450_000_000, 1_704_000.0),
)


@dataclass(slots=True)
class Service:
    """The actual load of one service and its nodes."""

    nodes: list[NodeCapacity]
    rates: list[float]
    partition_keys: list[int]
    hot_keys: dict[int, float]

    def loads(self, assignment: Assignment) -> Loads:
        """Return the planner's input.

        The load of a hot key counts in its partition unless the key has an owner of its
        own.
        """
        rates = list(self.rates)
        for key, rate in self.hot_keys.items():
            if key not in assignment.key_overrides:
                rates[assignment.partition_of(key)] += rate
        keys = dict(enumerate(self.partition_keys))
        return Loads(rates, self.hot_keys, keys, MOVE_UNAVAILABLE_S)


@dataclass(slots=True)
class Result:
    """Effects of one event, summed over the services."""

    imbalance_before: float = 1.0
    imbalance_after: float = 1.0
    churn: float = 0.0
    minimum_churn: float = 0.0
    moves: int = 0
    rounds: int = 0
    unavailable_key_s: float = 0.0
    unavailable_worst_s: float = 0.0

    def add_unavailable(self, keys: float, seconds: float) -> None:
        """Add the modelled outage of a number of keys."""
        self.unavailable_key_s += keys * seconds
        if keys:
            self.unavailable_worst_s = max(self.unavailable_worst_s, seconds)


def build_services(size: Size, rng: random.Random) -> list[Service]:
    """Return the services of a fleet with loads drawn from ``rng``."""
    services = []
    for number in range(size.services):
        nodes = [
            NodeCapacity(
                NodeId(f"vm-{vm:03}", rng.getrandbits(63)),
                f"domain-{vm // size.services % size.failure_domains}",
                f"region-{vm // size.services % size.regions}",
                size.slots,
            )
            for vm in range(number, size.vms, size.services)
        ]
        mean_keys = size.keys / size.services / size.partitions
        raw = [rng.lognormvariate(0.0, PARTITION_SIGMA) for _ in range(size.partitions)]
        hot_keys = draw_hot_keys(size, rng)
        rest = size.rate / size.services - sum(hot_keys.values())
        services.append(
            Service(
                nodes,
                [rate * rest / sum(raw) for rate in raw],
                [round(rng.gauss(mean_keys, mean_keys**0.5)) for _ in raw],
                hot_keys,
            )
        )
    return services


def draw_hot_keys(size: Size, rng: random.Random) -> dict[int, float]:
    """Return hot keys with their rates in requests/s."""
    hottest = HOTTEST_KEY_SHARE * size.rate / size.vms
    return {rng.getrandbits(64): hottest / rank for rank in range(1, HOT_KEYS + 1)}


@dataclass(frozen=True, slots=True)
class Event:
    """An event that affects one or all services.

    ``phases`` change a service one after the other; the planner finishes its rounds
    after each phase.
    """

    name: str
    phases: tuple[Callable[[Service, Size, random.Random], None], ...]
    first_service_only: bool


def remove_vm(service: Service, size: Size, rng: random.Random) -> None:
    """Remove the first VM."""
    del service.nodes[0]


def mark_leaving(service: Service, size: Size, rng: random.Random) -> None:
    """Mark the first VM as leaving for a planned restart."""
    service.nodes[0] = replace(service.nodes[0], state=CapacityState.LEAVING)


def restart_vm(service: Service, size: Size, rng: random.Random) -> None:
    """Bring the first VM back with a new incarnation."""
    vm = service.nodes[0].node.vm
    service.nodes[0] = replace(
        service.nodes[0],
        node=NodeId(vm, rng.getrandbits(63)),
        state=CapacityState.IN_SERVICE,
    )


def remove_domain(service: Service, size: Size, rng: random.Random) -> None:
    """Remove all VMs of the first failure domain."""
    lost = service.nodes[0].failure_domain
    service.nodes = [node for node in service.nodes if node.failure_domain != lost]


def shift_hot_keys(service: Service, size: Size, rng: random.Random) -> None:
    """Replace the hot keys by other keys."""
    service.hot_keys = draw_hot_keys(size, rng)


def double_load(service: Service, size: Size, rng: random.Random) -> None:
    """Double the load of all keys."""
    service.rates = [2 * rate for rate in service.rates]
    service.hot_keys = {key: 2 * rate for key, rate in service.hot_keys.items()}


def add_vm(service: Service, size: Size, rng: random.Random) -> None:
    """Add a VM in the first failure domain."""
    node = NodeId("vm-new", rng.getrandbits(63))
    service.nodes.append(replace(service.nodes[0], node=node))


def minimum_churn(service: Service, before: Assignment, user: User) -> float:
    """Return the number of keys that must move once because their owner is gone.

    With the policy ``wait``, a VM remains the owner across its restart.
    """
    nodes = {item.node for item in service.nodes}
    vms = {item.node.vm for item in service.nodes}
    keys = 0
    for partition, number in enumerate(service.partition_keys):
        owner = before.owner_of_partition(partition)
        stays = user.restart is RestartPolicy.WAIT and owner.vm in vms
        if owner not in nodes and not stays:
            keys += number
    return keys


EVENTS = (
    Event("VM lost", (remove_vm,), True),
    Event("VM replaced", (mark_leaving, restart_vm), True),
    Event("failure domain lost", (remove_domain,), False),
    Event("hottest keys shift", (shift_hot_keys,), False),
    Event("load doubles", (double_load,), True),
    Event("VM added", (add_vm,), True),
)


def imbalance(service: Service, load: dict[NodeId, float]) -> float:
    """Return the ratio of the maximum to the mean load per slot."""
    relative = [load.get(item.node, 0.0) / item.slots for item in service.nodes]
    mean = sum(relative) / len(relative)
    return max(relative) / mean


def load_by_node(service: Service, assignment: Assignment) -> dict[NodeId, float]:
    """Return the load of each owner in requests/s."""
    load: dict[NodeId, float] = {}
    for partition, rate in enumerate(service.rates):
        owner = assignment.owner_of_partition(partition)
        load[owner] = load.get(owner, 0.0) + rate
    for key, rate in service.hot_keys.items():
        owner = assignment.find(key).owner
        load[owner] = load.get(owner, 0.0) + rate
    return load


def run_rounds_until_stable(
    service: Service, assignment: Assignment, user: User, result: Result
) -> Assignment:
    """Plan and apply until nothing changes; add the effects to ``result``."""
    continuing = False
    for _ in range(MAX_ROUNDS):
        new_plan = plan(
            assignment,
            service.nodes,
            service.loads(assignment),
            user.weights,
            user.restart,
            TeamBranch("measure").max_moves_per_round,
            continuing=continuing,
        )
        if not new_plan.assign and not new_plan.moves:
            return assignment
        add_plan(service, assignment, new_plan, result)
        assignment = apply(new_plan, assignment, assignment.version + 1)
        continuing = new_plan.unfinished
    raise RuntimeError(f"the planner still moves items after {MAX_ROUNDS} rounds")


def add_plan(
    service: Service, assignment: Assignment, new_plan: Plan, result: Result
) -> None:
    """Add the effects of a plan to ``result``.

    A move to the next incarnation of the same VM does not count as churn.
    """
    result.rounds += 1
    result.moves += len(new_plan.assign) + len(new_plan.moves)
    for move in new_plan.assign + new_plan.moves:
        keys = 1
        previous = assignment.find(move.item).owner
        if move.kind is ItemKind.PARTITION:
            keys = service.partition_keys[move.item]
            previous = assignment.owner_of_partition(move.item)
        if previous is None or previous.vm != move.destination.vm:
            result.churn += keys
        result.add_unavailable(
            keys, LOSS_UNAVAILABLE_S if move.source is None else MOVE_UNAVAILABLE_S
        )


def measure_planner(size: Size, event: Event, user: User, seed: int) -> Result:
    """Return the effects of an event with the planner."""
    rng = random.Random(seed)
    result = Result()
    services = build_services(size, rng)
    for service in services[:1] if event.first_service_only else services:
        empty = Assignment("measured", size.partitions)
        settled = run_rounds_until_stable(service, empty, user, Result())
        before = imbalance(service, load_by_node(service, settled))
        result.imbalance_before = max(result.imbalance_before, before)
        assignment = settled
        for phase in event.phases:
            phase(service, size, rng)
            assignment = run_rounds_until_stable(service, assignment, user, result)
        result.minimum_churn += minimum_churn(service, settled, user)
        after = imbalance(service, load_by_node(service, assignment))
        result.imbalance_after = max(result.imbalance_after, after)
    return result


def measure_static(size: Size, event: Event, seed: int) -> Result:
    """Return the effects of an event with ``hash mod n`` over the current nodes."""
    rng = random.Random(seed)
    result = Result()
    services = build_services(size, rng)
    for service in services[:1] if event.first_service_only else services:
        nodes = list(service.nodes)
        before = imbalance(service, static_loads(service, nodes))
        result.imbalance_before = max(result.imbalance_before, before)
        for phase in event.phases:
            phase(service, size, rng)
            in_service = [
                item for item in service.nodes if item.state is CapacityState.IN_SERVICE
            ]
            add_static_churn(service, nodes, in_service, result)
            nodes = in_service
        after = imbalance(service, static_loads(service, nodes))
        result.imbalance_after = max(result.imbalance_after, after)
    return result


def static_loads(service: Service, nodes: list[NodeCapacity]) -> dict[NodeId, float]:
    """Return the load of each node if a key belongs to node ``hash mod n``."""
    load = dict.fromkeys((item.node for item in nodes), 0.0)
    # All hashes of a partition have the same remainder modulo the greatest common
    # divisor, and they are spread evenly over the nodes with that remainder.
    step = gcd(len(nodes), len(service.rates))
    for partition, rate in enumerate(service.rates):
        for index in range(partition % step, len(nodes), step):
            load[nodes[index].node] += rate * step / len(nodes)
    for key, rate in service.hot_keys.items():
        load[nodes[key % len(nodes)].node] += rate
    return load


def add_static_churn(
    service: Service,
    before: list[NodeCapacity],
    after: list[NodeCapacity],
    result: Result,
) -> None:
    """Add the effects for the keys whose node differs between two lists of nodes."""
    cycle = lcm(len(before), len(after))
    running = {item.node for item in service.nodes}
    moved = lost = 0
    for residue in range(cycle):
        old = before[residue % len(before)].node
        if old.vm == after[residue % len(after)].node.vm:
            continue
        if old in running:
            moved += 1
        else:
            lost += 1
    keys = sum(service.partition_keys)
    result.churn += keys * (moved + lost) / cycle
    result.add_unavailable(keys * moved / cycle, MOVE_UNAVAILABLE_S)
    result.add_unavailable(keys * lost / cycle, LOSS_UNAVAILABLE_S)


HEADER = (
    f"{'fleet':<21}{'event':<21}{'rule':<16}{'imbalance':>15}{'churn':>13}"
    f"{'smallest':>13}{'moves':>7}{'rounds':>7}{'key-s':>13}{'worst s':>9}"
)


def format_row(
    size: Size, event: Event, rule: str, result: Result, smallest: str
) -> str:
    """Format one row of the table."""
    change = f"{result.imbalance_before:.2f} -> {result.imbalance_after:.2f}"
    steps = f"{result.moves:>7}{result.rounds:>7}" if result.rounds else f"{'-':>7}" * 2
    return (
        f"{size.name:<21}{event.name:<21}{rule:<16}{change:>15}{result.churn:>13,.0f}"
        f"{smallest:>13}{steps}{result.unavailable_key_s:>13,.0f}"
        f"{result.unavailable_worst_s:>9.3f}"
    )


def measure(*, seed: int = 1) -> None:
    """Print imbalance, churn and moves of the planner and of static hashing.

    :param seed: Seed of the loads and hot keys.
    """
    print(f"seed {seed}; churn in keys; key-s and worst s (unavailable) are modelled:")
    print(
        f"move {MOVE_UNAVAILABLE_S:.3f} s = longest request in flight + store write, "
        f"loss or awaited restart {LOSS_UNAVAILABLE_S} s"
    )
    print(HEADER)
    for size in SIZES:
        for event in EVENTS:
            for user in USERS:
                result = measure_planner(size, event, user, seed)
                smallest = f"{result.minimum_churn:,.0f}"
                print(format_row(size, event, user.name, result, smallest))
            result = measure_static(size, event, seed)
            print(format_row(size, event, "hash mod n", result, ""))


def main() -> None:
    """Entry point of ``sesamepost-measure``."""
    defopt.run(measure)


if __name__ == "__main__":
    main()
