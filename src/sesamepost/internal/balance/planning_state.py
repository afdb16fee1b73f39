"""The planner's mutable copy of owners and loads during one round."""

import heapq
from collections.abc import Sequence
from math import ceil

from sesamepost.internal.balance.plan import (
    CapacityState,
    ItemKind,
    Loads,
    Move,
    NodeCapacity,
    Reason,
)
from sesamepost.internal.identity import NodeId
from sesamepost.internal.ownership.assignment import Assignment

# The rate of a partition is taken as at least this share of the mean rate, so that a
# node that reports no load does not appear empty.
MIN_RATE_SHARE = 0.25

# A node gets at most this multiple of its even share by slots of the items spread in
# one round. Balance moves give no partitions to a node that owns this multiple of its
# even share of all partitions.
MAX_SHARE_FACTOR = 2.0

# Assumed if the number of keys is unknown for all partitions.
DEFAULT_KEYS_PER_PARTITION = 1000

ABSENT = -1


class PlanningState:
    """Owners, loads and capacities, updated as moves are decided.

    Nodes are sorted by id and referred to by their index in ``nodes``; ``targets`` are
    those that may receive items. ``owner`` holds the index of each partition's owner or
    ``ABSENT``, and ``key_owner`` the same for keys with an override. ``held`` holds
    the partitions of each node. ``rate`` is the load of each partition in requests/s,
    at least ``MIN_RATE_SHARE`` of the mean.
    """

    __slots__ = (
        "assignment",
        "full_slots",
        "held",
        "index",
        "key_owner",
        "key_rate",
        "keys_per_partition",
        "load",
        "nodes",
        "owner",
        "partition_keys",
        "rate",
        "slots",
        "targets",
    )

    def __init__(
        self, assignment: Assignment, nodes: Sequence[NodeCapacity], loads: Loads
    ) -> None:
        if loads.partitions and len(loads.partitions) != len(assignment):
            raise ValueError(
                f"loads have {len(loads.partitions)} partitions, "
                f"but service {assignment.service} has {len(assignment)}"
            )
        self.assignment = assignment
        self.nodes = sorted(nodes, key=lambda capacity: capacity.node)
        self.slots = [max(0.0, capacity.slots) for capacity in self.nodes]
        self.full_slots = [
            slots if capacity.full_slots is None else max(slots, capacity.full_slots)
            for slots, capacity in zip(self.slots, self.nodes, strict=True)
        ]
        self.index = {item.node: index for index, item in enumerate(self.nodes)}
        self.targets = self._choose_targets()
        self.rate = _floored_rates(loads.partitions, len(assignment))
        self.key_rate = {key: max(0.0, rate) for key, rate in loads.keys.items()}
        self.partition_keys = loads.partition_keys
        known = loads.partition_keys.values()
        self.keys_per_partition = (
            max(1.0, sum(known) / len(known)) if known else DEFAULT_KEYS_PER_PARTITION
        )
        self._index_owners(assignment)

    def _choose_targets(self) -> list[int]:
        """Return the nodes in service, or else the failing, or else the draining ones.

        An item without an owner is better served by such a node than not at all.
        """
        for state in (
            CapacityState.IN_SERVICE,
            CapacityState.FAILING,
            CapacityState.DRAINING,
        ):
            targets = [
                index
                for index, capacity in enumerate(self.nodes)
                if capacity.state is state and capacity.slots > 0
            ]
            if targets:
                return targets
        return []

    def _index_owners(self, assignment: Assignment) -> None:
        table = [self.index.get(node, ABSENT) for node in assignment.nodes]
        # The last entry stands for the owner of partitions that never had one.
        table.append(ABSENT)
        last = len(table) - 1
        self.owner = [table[min(index, last)] for index in assignment.owners]
        self.key_owner = {
            key: table[entry.owner]
            for key, entry in sorted(assignment.key_overrides.items())
        }
        self.load = [0.0] * len(self.nodes)
        self.held: list[set[int]] = [set() for _ in self.nodes]
        for partition, owner in enumerate(self.owner):
            if owner == ABSENT:
                continue
            self.load[owner] += self.rate[partition]
            self.held[owner].add(partition)
        for key, owner in self.key_owner.items():
            if owner != ABSENT:
                self.load[owner] += self.key_rate.get(key, 0.0)

    def owner_of_key(self, key: int) -> int:
        """Return the index of the node that serves ``key``."""
        if key in self.key_owner:
            return self.key_owner[key]
        return self.owner[self.assignment.partition_of(key)]

    def mean_partition_rate(self) -> float:
        """Return the mean load of a partition, in requests/s."""
        return sum(self.rate) / len(self.rate)

    def move_partition(self, partition: int, destination: int, reason: Reason) -> Move:
        """Move a partition to a node."""
        source = self.owner[partition]
        if source != ABSENT:
            self.load[source] -= self.rate[partition]
            self.held[source].discard(partition)
        self.owner[partition] = destination
        self.load[destination] += self.rate[partition]
        self.held[destination].add(partition)
        return self._move(ItemKind.PARTITION, partition, source, destination, reason)

    def move_key(self, key: int, destination: int, reason: Reason) -> Move:
        """Move a key to a node with an override."""
        source, rate = self._take_key(key)
        self.key_owner[key] = destination
        self.load[destination] += rate
        return self._move(ItemKind.KEY, key, source, destination, reason)

    def return_key(self, key: int, reason: Reason) -> Move:
        """Return a key to the owner of its partition."""
        source, rate = self._take_key(key)
        del self.key_owner[key]
        partition = self.assignment.partition_of(key)
        destination = self.owner[partition]
        self.rate[partition] += rate
        self.load[destination] += rate
        return self._move(ItemKind.KEY_RETURN, key, source, destination, reason)

    def _take_key(self, key: int) -> tuple[int, float]:
        rate = self.key_rate.get(key, 0.0)
        source = self.owner_of_key(key)
        if key not in self.key_owner:
            partition = self.assignment.partition_of(key)
            rate = min(rate, self.rate[partition])
            self.rate[partition] -= rate
        if source != ABSENT:
            self.load[source] -= rate
        return source, rate

    def _move(
        self, kind: ItemKind, item: int, source: int, destination: int, reason: Reason
    ) -> Move:
        return Move(
            kind,
            item,
            None if source == ABSENT else self.node_id(source),
            self.node_id(destination),
            reason,
        )

    def node_id(self, index: int) -> NodeId:
        """Return the id of the node with this index."""
        return self.nodes[index].node

    def spread(
        self, partitions: Sequence[int], keys: Sequence[int], reasons: dict[int, Reason]
    ) -> list[Move]:
        """Move each item to the target with the lowest load relative to its slots.

        ``reasons`` maps the index of the current owner to the reason for the move. The
        items with the highest rates go first, which gives the most even loads.
        """
        items = [(-self.rate[partition], False, partition) for partition in partitions]
        items += [(-self.key_rate.get(key, 0.0), True, key) for key in keys]
        if not items or not self.targets:
            return []
        items.sort()
        mean_rate = -sum(item[0] for item in items) / len(items)
        slots = sum(self.slots[target] for target in self.targets)
        remaining = {
            target: ceil(MAX_SHARE_FACTOR * len(items) * self.slots[target] / slots)
            for target in self.targets
        }

        def relative_load(target: int) -> float:
            return (self.load[target] + mean_rate) / self.slots[target]

        heap = [(relative_load(target), target) for target in self.targets]
        heapq.heapify(heap)
        moves = []
        for _, is_key, item in items:
            target = heap[0][1]
            source = self.key_owner[item] if is_key else self.owner[item]
            move_item = self.move_key if is_key else self.move_partition
            moves.append(move_item(item, target, reasons[source]))
            remaining[target] -= 1
            if remaining[target] > 0:
                heapq.heapreplace(heap, (relative_load(target), target))
            else:
                heapq.heappop(heap)
        return moves


def _floored_rates(rates: Sequence[float], partitions: int) -> list[float]:
    mean = sum(rates) / partitions
    if mean <= 0.0:
        return [1.0] * partitions
    return [max(rate, MIN_RATE_SHARE * mean) for rate in rates]
