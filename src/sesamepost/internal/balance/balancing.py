"""Balance moves, which trade imbalance against churn and unavailable time."""

import heapq
from collections.abc import Iterable, Iterator

from sesamepost.internal.balance.plan import Loads, Move, Plan, Reason
from sesamepost.internal.balance.planning_state import (
    ABSENT,
    MAX_SHARE_FACTOR,
    PlanningState,
)
from sesamepost.internal.ownership.assignment import MAX_KEY_OVERRIDES
from sesamepost.internal.settings.model import Weights

# One unit of gain is the load of a mean node, moved between two nodes whose loads
# differ by the moved load plus this share of the mean.
IMBALANCE_UNIT = 0.1

# To start a series of moves, a move must be worthwhile with the load of the source
# divided by this factor and the cost multiplied by it. Noise of 5% on each partition
# changes a load relative to the mean, or to another load, by up to 1.05 / 0.95 = 1.105.
START_MARGIN = 1.11

# A key below this share of the mean load of a partition is cold. The gap between this
# threshold and the one of hot keys prevents a key from moving back and forth.
COLD_KEY_SHARE = 0.5

# A node in service gets this many partitions regardless of the weights, unless its even
# share is smaller. This proves that it can own partitions before it has to take over
# many of them.
MIN_PARTITIONS_PER_NODE = 4

# One node gets at most this share of a round's moves, because its report may be wrong
# and the effect of the moves is visible only in its next report.
MAX_MOVES_SHARE_PER_DESTINATION = 0.25
MIN_MOVES_PER_DESTINATION = 2


class Balancer:
    """Decides the balance moves of one round."""

    __slots__ = (
        "affected_partitions",
        "eligible_nodes",
        "hottest_keys",
        "inbound_limit",
        "inbound_limited",
        "inbound_moves",
        "keys_unit",
        "load_unit",
        "max_moves",
        "mean_load_per_slot",
        "mean_partition_rate",
        "mean_slots",
        "moves",
        "partitions_limit",
        "partitions_minimum",
        "planning_state",
        "targets",
        "unavailable_s",
        "unreported",
        "weights",
    )

    def __init__(
        self,
        planning_state: PlanningState,
        loads: Loads,
        weights: Weights,
        max_moves: int,
    ) -> None:
        self.planning_state = planning_state
        self.weights = weights
        self.unavailable_s = loads.unavailable_s
        self.unreported = loads.unreported
        # Nodes whose reported load is good enough for balance moves.
        self.eligible_nodes = frozenset(
            target
            for target in planning_state.targets
            if planning_state.node_id(target) not in loads.unreported
        )
        self.max_moves = max_moves
        self.inbound_limit = max(
            MIN_MOVES_PER_DESTINATION, int(max_moves * MAX_MOVES_SHARE_PER_DESTINATION)
        )
        self.moves: list[Move] = []
        self.inbound_moves = [0] * len(planning_state.nodes)
        self.inbound_limited = False
        # Partitions that a move of this round affects. A second move would raise the
        # partition's epoch and thereby invalidate the release of the first.
        self.affected_partitions: set[int] = set()
        self.targets = frozenset(planning_state.targets)
        self.hottest_keys = sorted(
            planning_state.key_rate.items(), key=lambda item: (-item[1], item[0])
        )

    def cold_keys(self, keys: Iterable[int]) -> list[int]:
        """Return the keys known to be cold among ``keys``, which all have overrides."""
        limit = COLD_KEY_SHARE * self.planning_state.mean_partition_rate()
        cold = []
        for key in keys:
            owner = self.planning_state.key_owner[key]
            if (
                owner != ABSENT
                and self.planning_state.node_id(owner) in self.unreported
            ):
                continue
            if self.planning_state.key_rate.get(key, 0.0) < limit:
                cold.append(key)
        return cold

    def run(self, continuing: bool) -> Plan:
        """Return the plan of a round without items to assign or evacuate."""
        self._compute_units()
        self._seed_new_nodes()
        self._return_cold_keys()
        if continuing or self._is_start_justified():
            count = -1
            while count < len(self.moves) < self.max_moves:
                count = len(self.moves)
                self._move_hot_keys()
                self._move_partitions()
        return Plan((), tuple(self.moves), self._is_full() or self.inbound_limited)

    def _is_full(self) -> bool:
        return len(self.moves) >= self.max_moves

    def _compute_units(self) -> None:
        """Compute the units and limits, which are constant within a round."""
        planning_state = self.planning_state
        slots = sum(
            planning_state.full_slots[target] for target in planning_state.targets
        )
        load = sum(planning_state.load[target] for target in planning_state.targets)
        self.mean_slots = slots / len(planning_state.targets)
        # Avoid a division by 0 if no partition has an owner and nothing can be moved.
        self.mean_load_per_slot = load / slots or 1.0
        self.load_unit = self.mean_load_per_slot * self.mean_slots
        self.keys_unit = len(planning_state.owner) * planning_state.keys_per_partition
        self.keys_unit /= len(planning_state.targets)
        self.mean_partition_rate = planning_state.mean_partition_rate()
        even_shares = [
            len(planning_state.owner) * node_slots / slots
            for node_slots in planning_state.slots
        ]
        self.partitions_limit = [
            max(MIN_PARTITIONS_PER_NODE, MAX_SHARE_FACTOR * share)
            for share in even_shares
        ]
        self.partitions_minimum = [
            min(MIN_PARTITIONS_PER_NODE, int(share)) for share in even_shares
        ]

    def _relative_load(self, node: int) -> float:
        """Return the load per slot of a possible source, relative to the mean.

        This uses the full capacity. Otherwise a VM that restarted under the policy
        ``wait`` would lose partitions during its short ramp and get them back after it.
        """
        slots = self.planning_state.full_slots[node]
        return self.planning_state.load[node] / (slots * self.mean_load_per_slot)

    def _value_coefficients(
        self, source: int, destination: int, starting: bool
    ) -> tuple[float, float, float]:
        """Return the coefficients of the net value of a move, in the units of ``plan``.

        The net value is ``a x load - b x load^2 - c x keys``, with the load of the item
        in requests/s. The result is the tuple of a, b and c.
        """
        slots = self.planning_state.slots
        source_load = self._relative_load(source)
        destination_load = self.planning_state.load[destination] / slots[destination]
        destination_load /= self.mean_load_per_slot
        # The relative load of each node changes by the load divided by its slots.
        change = 1 / self.planning_state.full_slots[source] + 1 / slots[destination]
        change *= self.mean_slots / 2
        cost = 1.0
        if starting:
            source_load /= START_MARGIN
            change *= START_MARGIN
            cost = START_MARGIN
        gain = self.weights.imbalance / IMBALANCE_UNIT
        unavailable = self.unavailable_s * self.weights.unavailable * cost
        return (
            ((source_load - destination_load) * gain - unavailable) / self.load_unit,
            change * gain / self.load_unit**2,
            self.weights.churn * cost / self.keys_unit,
        )

    def _destinations(self) -> list[tuple[float, int]]:
        """Return a heap of the nodes that may still receive items in this round.

        Nodes are ordered by their load plus half a mean partition, so that the larger
        of two empty nodes comes first.
        """
        heap = []
        for target in self.eligible_nodes:
            if len(self.planning_state.held[target]) >= self.partitions_limit[target]:
                continue
            if self.inbound_moves[target] < self.inbound_limit:
                heap.append((self._load_to_receive(target), target))
        heapq.heapify(heap)
        return heap

    def _load_to_receive(self, node: int) -> float:
        load = self.planning_state.load[node] + self.mean_partition_rate / 2
        return load / (self.planning_state.slots[node] * self.mean_load_per_slot)

    def _record_inbound_move(self, heap: list[tuple[float, int]]) -> None:
        """Count an item for the first node of ``heap`` and update the heap."""
        node = heap[0][1]
        self.inbound_moves[node] += 1
        at_limit = len(self.planning_state.held[node]) >= self.partitions_limit[node]
        if self.inbound_moves[node] >= self.inbound_limit or at_limit:
            self.inbound_limited = self.inbound_limited or not at_limit
            heapq.heappop(heap)
            return
        heapq.heapreplace(heap, (self._load_to_receive(node), node))

    def _seed_new_nodes(self) -> None:
        """Move a few partitions with low rates to nodes that have hardly any.

        They come from the most loaded nodes. Partitions with high rates may contain hot
        keys, which are moved by overrides instead.
        """
        planning_state = self.planning_state
        sources = None
        for target in planning_state.targets:
            missing = self.partitions_minimum[target] - len(planning_state.held[target])
            for _ in range(min(missing, self.max_moves - len(self.moves))):
                if sources is None:
                    sources = self._sources()
                partition = None
                while sources and partition is None:
                    source = heapq.heappop(sources)[1]
                    if source != target:
                        partition = self._lightest_partition(source)
                if partition is None:
                    return
                move = planning_state.move_partition(partition, target, Reason.NEW_NODE)
                self.moves.append(move)
                self.affected_partitions.add(partition)
                self.inbound_moves[target] += 1
                heapq.heappush(sources, (-self._relative_load(source), source))

    def _return_cold_keys(self) -> None:
        planning_state = self.planning_state
        for key in self.cold_keys(list(planning_state.key_owner)):
            partition = planning_state.assignment.partition_of(key)
            if self._is_full() or partition in self.affected_partitions:
                continue
            # A node that is waiting for its restart may no longer answer.
            if (
                not {planning_state.key_owner[key], planning_state.owner[partition]}
                <= self.targets
            ):
                continue
            self.moves.append(planning_state.return_key(key, Reason.KEY_COLD))
            self.affected_partitions.add(partition)

    def _sources(self) -> list[tuple[float, int]]:
        """Return a heap of the possible sources of moves, the most loaded first."""
        heap = [
            (-self._relative_load(target), target)
            for target in self.planning_state.targets
            if self.planning_state.load[target] > 0.0
        ]
        heapq.heapify(heap)
        return heap

    def _is_start_justified(self) -> bool:
        """Return whether any move would be worthwhile despite noise in the loads."""
        destinations = self._destinations()
        if not destinations:
            return False
        destination = destinations[0][1]
        for key, rate in self._hot_keys(starting=True):
            if self._is_key_worth_moving(key, rate, destination, starting=True):
                return True
        for _, source in sorted(self._sources()):
            if source == destination or source not in self.eligible_nodes:
                continue
            if self._best_partition(source, destination, starting=True)[1] > 0.0:
                return True
        return False

    def _hot_keys(self, starting: bool) -> Iterator[tuple[int, float]]:
        """Yield the hot keys and their rates, the hottest first."""
        limit = self.mean_partition_rate * (START_MARGIN if starting else 1.0)
        for key, rate in self.hottest_keys:
            if rate <= limit:
                return
            yield key, rate

    def _is_key_worth_moving(
        self, key: int, rate: float, destination: int, starting: bool
    ) -> bool:
        planning_state = self.planning_state
        source = planning_state.owner_of_key(key)
        if source == destination or source not in self.eligible_nodes:
            return False
        if planning_state.assignment.partition_of(key) in self.affected_partitions:
            return False
        if (
            key not in planning_state.key_owner
            and len(planning_state.key_owner) >= MAX_KEY_OVERRIDES
        ):
            return False
        a, b, c = self._value_coefficients(source, destination, starting)
        return a * rate - b * rate * rate - c > 0.0

    def _move_hot_keys(self) -> None:
        """Move hot keys while that is worthwhile.

        One pass suffices, since the lowest load of a destination only increases.
        """
        planning_state = self.planning_state
        destinations = self._destinations()
        for key, rate in self._hot_keys(starting=False):
            if not destinations or self._is_full():
                return
            destination = destinations[0][1]
            if not self._is_key_worth_moving(key, rate, destination, starting=False):
                continue
            partition = planning_state.assignment.partition_of(key)
            self.affected_partitions.add(partition)
            if (
                key in planning_state.key_owner
                and planning_state.owner[partition] == destination
            ):
                self.moves.append(planning_state.return_key(key, Reason.KEY_HOT))
            else:
                self.moves.append(
                    planning_state.move_key(key, destination, Reason.KEY_HOT)
                )
            self._record_inbound_move(destinations)

    def _move_partitions(self) -> None:
        """Move partitions while that is worthwhile.

        A source without a worthwhile move is not tried again, since the load of the
        least loaded destination only increases during a pass.
        """
        sources = self._sources()
        destinations = self._destinations()
        while sources and destinations and not self._is_full():
            source = sources[0][1]
            destination = destinations[0][1]
            partition = None
            if source != destination and source in self.eligible_nodes:
                partition, value = self._best_partition(source, destination, False)
            if partition is None or value <= 0.0:
                heapq.heappop(sources)
                continue
            move = self.planning_state.move_partition(
                partition, destination, Reason.IMBALANCE
            )
            self.moves.append(move)
            self.affected_partitions.add(partition)
            self._record_inbound_move(destinations)
            heapq.heapreplace(sources, (-self._relative_load(source), source))

    def _lightest_partition(self, source: int) -> int | None:
        held = self.planning_state.held[source]
        if len(held) <= self.partitions_minimum[source]:
            return None
        free = held - self.affected_partitions
        return min(
            free, key=lambda item: (self.planning_state.rate[item], item), default=None
        )

    def _best_partition(
        self, source: int, destination: int, starting: bool
    ) -> tuple[int | None, float]:
        """Return the partition that is most worth moving and its net value."""
        planning_state = self.planning_state
        if len(planning_state.held[source]) <= self.partitions_minimum[source]:
            return None, 0.0
        a, b, c = self._value_coefficients(source, destination, starting)
        best = None
        best_value = float("-inf")
        for partition in sorted(planning_state.held[source]):
            if partition in self.affected_partitions:
                continue
            rate = planning_state.rate[partition]
            keys = planning_state.partition_keys.get(
                partition, planning_state.keys_per_partition
            )
            value = a * rate - b * rate * rate - c * keys
            if value > best_value:
                best = partition
                best_value = value
        return best, best_value
