"""Estimates loads from the last report of each node, for the controller."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace

from sesamepost.internal.balance.plan import Loads
from sesamepost.internal.balance.reports import (
    BUSIEST_ITEMS,
    NodeLoad,
    ReleasedItem,
    ServiceLoad,
)
from sesamepost.internal.balance.sketch import HALF_LIFE_S
from sesamepost.internal.identity import NodeId
from sesamepost.internal.ownership.assignment import NO_OWNER, Assignment

# A report has full weight for two intervals, so that a single late or lost report has
# no effect. After that its weight halves with each further interval.
FRESH_INTERVALS = 2.0
# Below this weight, after about seven intervals, a node is treated as unreported.
MIN_REPORT_WEIGHT = 0.03

# Rates counted over a shorter time are mostly noise. A node takes part in balance moves
# once it has reported to this controller for this long.
MIN_REPORTED_S = 10.0

# The store answers within milliseconds when it is available.
STORE_WRITE_S = 0.005


@dataclass(slots=True)
class ReceivedReport:
    """The last report of a node and when reports were received.

    ``settled_versions`` are the document versions of the report before it. Only these
    were in force for a whole interval, so only they are reflected in the rates.
    """

    load: NodeLoad
    first_received: float
    received: float
    settled_versions: dict[str, int]


class LoadTable:
    """Last reports and load estimates of all nodes; owned by the controller's task.

    The estimate for a partition is kept until its new owner has counted it for a whole
    interval. Otherwise a node that has just received partitions would still look idle
    in the next round and receive too many.
    """

    __slots__ = ("key_rates", "partition_rates", "released_items", "reports")

    def __init__(self) -> None:
        self.reports: dict[NodeId, ReceivedReport] = {}
        # A separate index, because few nodes report released items and each round needs
        # those of all services.
        self.released_items: dict[NodeId, tuple[ReleasedItem, ...]] = {}
        self.partition_rates: dict[str, list[float | None]] = {}
        self.key_rates: dict[tuple[str, int], tuple[float, float]] = {}

    def receive(self, load: NodeLoad, now: float) -> None:
        """Store a report and merge its versions into those reported before."""
        before = self.reports.get(load.node)
        if before is not None:
            load = replace(load, versions={**before.load.versions, **load.versions})
        if load.released:
            self.released_items[load.node] = load.released
        else:
            self.released_items.pop(load.node, None)
        previous = self.reports.get(load.node)
        if previous is None:
            self.reports[load.node] = ReceivedReport(
                load, now, now, dict(load.versions)
            )
            return
        self.reports[load.node] = ReceivedReport(
            load, previous.first_received, now, dict(previous.load.versions)
        )

    def forget(self, node: NodeId) -> None:
        """Remove a node that is fenced or gone."""
        self.reports.pop(node, None)
        self.released_items.pop(node, None)

    def age_s(self, node: NodeId, now: float) -> float | None:
        """Return the age of a node's last report, or None if there is none."""
        report = self.reports.get(node)
        return None if report is None else now - report.received

    def weight(self, node: NodeId, now: float, interval_s: float) -> float:
        """Return the weight of the last report of a node, from 0 to 1."""
        age_s = self.age_s(node, now)
        if age_s is None:
            return 0.0
        excess = max(0.0, age_s / interval_s - FRESH_INTERVALS)
        weight = 0.5**excess
        return weight if weight >= MIN_REPORT_WEIGHT else 0.0

    def released(self) -> Iterator[tuple[NodeId, ReleasedItem]]:
        """Yield the items that nodes have released and do not serve."""
        for node, items in self.released_items.items():
            for item in items:
                yield node, item

    def service_load(self, node: NodeId, service: str) -> ServiceLoad | None:
        """Return the load of a service in the last report of a node."""
        report = self.reports.get(node)
        if report is None:
            return None
        return next(
            (load for load in report.load.services if load.service == service), None
        )

    def loads(
        self,
        assignment: Assignment,
        nodes: Sequence[NodeId],
        now: float,
        interval_s: float,
    ) -> Loads:
        """Return the planner's input for one service.

        The busiest partitions of a node have their reported rates; the rest of its
        total is distributed evenly over its other partitions. As the weight of the
        report decreases, the rates approach the mean of the service.
        """
        weights = {
            node: self.weight(node, now, interval_s)
            for node in nodes
            if self.service_load(node, assignment.service) is not None
        }
        usable = {node: weight for node, weight in weights.items() if weight > 0.0}
        if not usable:
            return Loads(unreported=frozenset(nodes))
        estimates = self._partition_estimates(assignment, usable)
        rates = self._blend(assignment, estimates, usable)
        keys = self._key_estimates(assignment, usable, now)
        self._subtract_moved_keys(assignment, rates, keys)
        return Loads(
            rates,
            keys,
            {},
            self._unavailable_s(assignment.service, usable),
            frozenset(
                node
                for node in nodes
                if node not in usable
                or now - self.reports[node].first_received < MIN_REPORTED_S
            ),
        )

    def _is_settled(self, node: NodeId, assignment: Assignment, epoch: int) -> bool:
        versions = self.reports[node].settled_versions
        return versions.get(f"assignment/{assignment.service}", 0) >= epoch

    def _partition_estimates(
        self, assignment: Assignment, usable: dict[NodeId, float]
    ) -> list[float | None]:
        """Update and return the rate of each partition, or None where none is known."""
        rates = self.partition_rates.setdefault(
            assignment.service, [None] * len(assignment)
        )
        counted: dict[NodeId, list[int]] = {node: [] for node in usable}
        for partition, index in enumerate(assignment.owners):
            if index == NO_OWNER:
                continue
            node = assignment.nodes[index]
            if node not in usable:
                continue
            if self._is_settled(node, assignment, assignment.epochs[partition]):
                counted[node].append(partition)
        for node, partitions in counted.items():
            load = self.service_load(node, assignment.service)
            listed = dict(load.partitions)
            others = [partition for partition in partitions if partition not in listed]
            rest = load.total_rate - sum(listed.values())
            rest -= sum(
                rate
                for key, rate in load.keys
                if key in assignment.key_overrides
                and assignment.find(key).owner == node
            )
            for partition in partitions:
                rates[partition] = listed.get(
                    partition, max(0.0, rest) / max(1, len(others))
                )
        return rates

    def _blend(
        self,
        assignment: Assignment,
        estimates: list[float | None],
        usable: dict[NodeId, float],
    ) -> list[float]:
        known = [rate for rate in estimates if rate is not None]
        mean = sum(known) / len(known) if known else 0.0
        weight_of_index = [usable.get(node, 0.0) for node in assignment.nodes]
        blended = []
        for index, rate in zip(assignment.owners, estimates, strict=True):
            weight = 0.0 if index == NO_OWNER else weight_of_index[index]
            rate = mean if rate is None else rate
            blended.append(weight * rate + (1.0 - weight) * mean)
        return blended

    def _subtract_moved_keys(
        self, assignment: Assignment, rates: list[float], keys: dict[int, float]
    ) -> None:
        """Subtract keys from partitions whose owner reported before the keys moved."""
        document = f"assignment/{assignment.service}"
        for key, entry in assignment.key_overrides.items():
            partition = assignment.partition_of(key)
            owner = assignment.owner_of_partition(partition)
            if owner not in self.reports:
                continue
            if self.reports[owner].load.versions.get(document, 0) < entry.epoch:
                rates[partition] = max(0.0, rates[partition] - keys[key])

    def _key_estimates(
        self, assignment: Assignment, usable: dict[NodeId, float], now: float
    ) -> dict[int, float]:
        """Return the rates of all keys that have an override or that owners report.

        The rate of a key with an override decreases by at most half per half-life,
        because its new owner needs some requests before it reports the key.
        """
        rates = {}
        for node, weight in usable.items():
            load = self.service_load(node, assignment.service)
            for key, rate in load.keys:
                if assignment.find(key).owner == node:
                    rates[key] = rate * weight
        for key, entry in assignment.key_overrides.items():
            owner = assignment.nodes[entry.owner]
            if key not in rates and owner in usable:
                # A full list omits keys that are no hotter than its last entry.
                keys = self.service_load(owner, assignment.service).keys
                rates[key] = keys[-1][1] if len(keys) == BUSIEST_ITEMS else 0.0
        for key in assignment.key_overrides:
            rate, updated = self.key_rates.get((assignment.service, key), (0.0, now))
            decayed = rate * 0.5 ** ((now - updated) / HALF_LIFE_S)
            rates[key] = max(rates.get(key, 0.0), decayed)
        for key, rate in rates.items():
            self.key_rates[assignment.service, key] = (rate, now)
        self._drop_old_keys(now)
        return rates

    def _drop_old_keys(self, now: float) -> None:
        # After ten half-lives a thousandth of the rate is left.
        old = [
            item
            for item, (_, updated) in self.key_rates.items()
            if now - updated > 10 * HALF_LIFE_S
        ]
        for item in old:
            del self.key_rates[item]

    def _unavailable_s(self, service: str, usable: dict[NodeId, float]) -> float:
        """Return the expected unavailable time of a planned move, in seconds."""
        waits = [
            self.service_load(node, service).longest_in_flight_s for node in usable
        ]
        return sum(waits) / len(waits) + STORE_WRITE_S
