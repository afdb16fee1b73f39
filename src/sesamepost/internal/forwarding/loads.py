"""What this node knows of the load of other endpoints, and the choice among them."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from sesamepost.internal.coordination.nodes import NodeEntry
from sesamepost.internal.forwarding.messages import LoadHint

# Costs in seconds that make a nearer endpoint the better one until it has to queue.
SAME_REGION_COST_S = 0.04
OTHER_REGION_COST_S = 0.25
# An endpoint that failed all recent requests costs this much more.
FAILURE_COST_S = 2.0
FAILURE_WEIGHT = 0.2
FAILURE_HALF_LIFE_S = 2.5
# A hint is believed for this long; then the endpoint counts as having room.
HINT_LIFE_S = 3.0
DEFAULT_MEAN_S = 0.1
# Small differences must not send all nodes to the same endpoint.
JITTER_S = 0.01
UNREACHABLE_S = 0.4


@dataclass(slots=True)
class EndpointLoad:
    """The newest hint of one endpoint and what this node did since."""

    hint: LoadHint | None = None
    hint_at: float = 0.0
    sent_since: int = 0
    outstanding: int = 0
    failures: float = 0.0
    failed_at: float = 0.0
    unreachable_until: float = 0.0

    def failure_share(self, now: float) -> float:
        """Return the share of recent failures, which fades with time."""
        return self.failures * 0.5 ** ((now - self.failed_at) / FAILURE_HALF_LIFE_S)

    def expected_wait_s(self, slots: int, now: float) -> float:
        """Return how long a request sent now would probably be queued."""
        if self.hint is None or now - self.hint_at > HINT_LIFE_S:
            ahead, mean_s = self.outstanding, DEFAULT_MEAN_S
        else:
            ahead = self.hint.running + self.hint.queued + self.sent_since
            mean_s = self.hint.mean_ms / 1000
            slots = self.hint.slots
        if slots <= 0:
            return float("inf")
        return max(0, ahead + 1 - slots) * mean_s / slots

    def mean_s(self) -> float:
        """Return the mean time of a request at the endpoint."""
        return DEFAULT_MEAN_S if self.hint is None else self.hint.mean_ms / 1000


class LoadBook:
    """The loads of all endpoints by VM. ``now`` is passed in."""

    def __init__(self, failure_domain: str, region: str) -> None:
        self.failure_domain = failure_domain
        self.region = region
        self.loads: dict[str, EndpointLoad] = {}

    def of(self, vm: str) -> EndpointLoad:
        """Return the load of the endpoint on ``vm``."""
        load = self.loads.get(vm)
        if load is None:
            load = self.loads[vm] = EndpointLoad()
        return load

    def forget(self, vm: str) -> None:
        """Drop what was known, as another endpoint runs on the VM."""
        self.loads.pop(vm, None)

    def note_hint(self, vm: str, hint: LoadHint, now: float) -> None:
        """Take a newer hint."""
        load = self.of(vm)
        load.hint = hint
        load.hint_at = now
        load.sent_since = 0

    def note_sent(self, vm: str) -> None:
        """Count a request on its way."""
        load = self.of(vm)
        load.sent_since += 1
        load.outstanding += 1

    def note_done(self, vm: str, failed: bool, now: float) -> None:
        """Count the end of a request."""
        load = self.of(vm)
        load.outstanding -= 1
        share = load.failure_share(now)
        load.failures = share + FAILURE_WEIGHT * (float(failed) - share)
        load.failed_at = now

    def note_unreachable(
        self, vm: str, now: float, for_s: float = UNREACHABLE_S
    ) -> None:
        """Leave a VM alone for ``for_s`` seconds, as it could not be reached."""
        self.of(vm).unreachable_until = now + for_s

    def busy_of(self, vm: str, now: float) -> float | None:
        """Return the use of an endpoint's slots, None if it is not known."""
        load = self.loads.get(vm)
        if load is None or load.hint is None or now - load.hint_at > HINT_LIFE_S:
            return None
        return load.hint.busy_percent / 100

    def mean_of(self, vm: str) -> float | None:
        """Return the mean time of a request at an endpoint, None if not known."""
        load = self.loads.get(vm)
        if load is None or load.hint is None or not load.hint.mean_ms:
            return None
        return load.hint.mean_ms / 1000

    def is_reachable(self, vm: str, now: float) -> bool:
        """Return whether the last attempt to open a stream did not just fail."""
        return now >= self.of(vm).unreachable_until

    def pick(
        self, candidates: Iterable[NodeEntry], now: float, max_wait_s: float
    ) -> NodeEntry | None:
        """Return the endpoint at which a request will probably end first.

        None if each one would let it wait longer than ``max_wait_s``.
        """
        best = None
        best_cost = float("inf")
        for node in candidates:
            load = self.of(node.vm)
            if now < load.unreachable_until:
                continue
            wait_s = load.expected_wait_s(node.endpoint.slots, now)
            if wait_s > max_wait_s:
                continue
            cost = (
                wait_s
                + load.mean_s()
                + self._distance_s(node)
                + load.failure_share(now) * FAILURE_COST_S
                + random.random() * JITTER_S
            )
            if cost < best_cost:
                best, best_cost = node, cost
        return best

    def shortest_wait_s(self, candidates: Iterable[NodeEntry], now: float) -> float:
        """Return the shortest expected wait, 0 if nothing is known."""
        waits = [
            self.of(node.vm).expected_wait_s(node.endpoint.slots, now)
            for node in candidates
        ]
        return min(waits, default=0.0)

    def _distance_s(self, node: NodeEntry) -> float:
        if node.failure_domain == self.failure_domain:
            return 0.0
        if node.region == self.region:
            return SAME_REGION_COST_S
        return OTHER_REGION_COST_S
