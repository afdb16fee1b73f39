"""Loads of endpoints as known to this node, and load-based endpoint selection."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

from sesamepost.internal.coordination.nodes import NodeEntry
from sesamepost.internal.forwarding.cold import ColdShare
from sesamepost.internal.forwarding.messages import LoadHint

# Expected times within this share of the target latency leave room for slow requests.
TARGET_LATENCY_SHARE = 0.7
# Ranks endpoints that miss the target latency behind all that meet it.
SLOW_PENALTY_S = 60.0
# Added to the expected time of an endpoint that failed all recent requests.
FAILURE_PENALTY_S = 2.0
FAILURE_WEIGHT = 0.2
FAILURE_HALF_LIFE_S = 2.5
# After this time a hint is ignored and the endpoint is assumed to have free slots.
MAX_HINT_AGE_S = 3.0
DEFAULT_MEAN_S = 0.1
# An endpoint that was not tried for this long is assumed to be fast.
MAX_RESPONSE_TIME_AGE_S = 6.0
DEFAULT_RESPONSE_TIME_S = 0.02
TIME_WEIGHT = 0.15
# Keeps small differences from directing all nodes to the same endpoint.
JITTER_S = 0.01
UNREACHABLE_BACKOFF_S = 0.4


class Distance(IntEnum):
    """The distance of an endpoint from this node."""

    SAME_DOMAIN = 0
    SAME_REGION = 1
    OTHER_REGION = 2


# Assumed one-way delays in seconds.
DELAY_S = {
    Distance.SAME_DOMAIN: 0.0005,
    Distance.SAME_REGION: 0.002,
    Distance.OTHER_REGION: 0.02,
}


@dataclass(slots=True)
class RouteTime:
    """The mean time of one route's requests at an endpoint, measured at this node."""

    mean_s: float
    updated_at: float


@dataclass(slots=True)
class EndpointLoad:
    """The newest hint of one endpoint and the requests of this node to it."""

    hint: LoadHint | None = None
    hint_at: float = 0.0
    sent_since: int = 0
    outstanding: int = 0
    last_failure_share: float = 0.0
    failures_updated_at: float = 0.0
    unreachable_until: float = 0.0
    times: dict[str, RouteTime] = field(default_factory=dict)
    cold: ColdShare = field(default_factory=ColdShare)

    def age_text(self, now: float) -> str:
        """Return the age of the hint for the log."""
        if self.hint is None:
            return "no hint"
        return f"{int((now - self.hint_at) * 1000)}ms"

    def failure_share(self, now: float) -> float:
        """Return the share of recent failures, which decays over time."""
        return self.last_failure_share * 0.5 ** (
            (now - self.failures_updated_at) / FAILURE_HALF_LIFE_S
        )

    def expected_wait_s(self, slots: int, now: float) -> float:
        """Return the expected queueing time of a request sent now."""
        if self.hint is None or now - self.hint_at > MAX_HINT_AGE_S:
            ahead, mean_s = self.outstanding, DEFAULT_MEAN_S
        else:
            ahead = self.hint.running + self.hint.queued + self.sent_since
            mean_s = self.hint.mean_ms / 1000
            slots = self.hint.slots
        if slots <= 0:
            return float("inf")
        wait_s = max(0, ahead + 1 - slots) * mean_s / slots
        return max(wait_s, self.cold.wait_s(now))

    def time_of(self, route: str, now: float) -> float:
        """Return the expected time of a request, without its time in the queue.

        Old measurements are ignored, so that a slow endpoint is tried again.
        """
        recorded = self.times.get(route)
        if recorded is None or now - recorded.updated_at > MAX_RESPONSE_TIME_AGE_S:
            return DEFAULT_RESPONSE_TIME_S
        return recorded.mean_s

    def note_time(self, route: str, time_s: float, now: float) -> None:
        """Record the time of an answered request."""
        recorded = self.times.get(route)
        if recorded is None or now - recorded.updated_at > MAX_RESPONSE_TIME_AGE_S:
            self.times[route] = RouteTime(time_s, now)
            return
        recorded.mean_s += TIME_WEIGHT * (time_s - recorded.mean_s)
        recorded.updated_at = now


class LoadTracker:
    """Tracks the loads of all endpoints by VM; callers pass in ``now``."""

    def __init__(self, failure_domain: str, region: str) -> None:
        self.failure_domain = failure_domain
        self.region = region
        self.loads: dict[str, EndpointLoad] = {}
        # How many nodes share the rate of a cold endpoint.
        self.senders = 1

    def load_of(self, vm: str) -> EndpointLoad:
        """Return the load of the endpoint on ``vm``."""
        load = self.loads.get(vm)
        if load is None:
            load = self.loads[vm] = EndpointLoad()
        return load

    def forget(self, vm: str) -> None:
        """Discard the load of a VM whose node or endpoint is gone."""
        self.loads.pop(vm, None)

    def note_hint(self, vm: str, hint: LoadHint, now: float) -> None:
        """Record a newer hint."""
        load = self.load_of(vm)
        load.hint = hint
        load.hint_at = now
        load.sent_since = 0
        self.note_cold(vm, hint.cold_ms / 1000, hint.cold_per_min / 60, now)

    def note_cold(
        self, vm: str, cold_s: float, tolerated_per_s: float, now: float
    ) -> None:
        """Record for how long an endpoint stays cold, and what it takes until then."""
        self.load_of(vm).cold.note_cold(cold_s, tolerated_per_s, self.senders, now)

    def is_cold(self, vm: str, now: float) -> bool:
        """Return whether an endpoint is known to be cold."""
        load = self.loads.get(vm)
        return load is not None and load.cold.is_cold(now)

    def note_sent(self, vm: str, now: float) -> None:
        """Count a request that is being sent."""
        load = self.load_of(vm)
        load.cold.note_sent(now)
        load.sent_since += 1
        load.outstanding += 1

    def note_time(self, vm: str, route: str, time_s: float, now: float) -> None:
        """Record the time of an answered request on ``route``."""
        self.load_of(vm).note_time(route, time_s, now)

    def note_done(self, vm: str, failed: bool, now: float) -> None:
        """Count the end of a request."""
        load = self.load_of(vm)
        load.outstanding -= 1
        share = load.failure_share(now)
        load.last_failure_share = share + FAILURE_WEIGHT * (float(failed) - share)
        load.failures_updated_at = now

    def note_unreachable(
        self, vm: str, now: float, backoff_s: float = UNREACHABLE_BACKOFF_S
    ) -> None:
        """Avoid an unreachable VM for ``backoff_s`` seconds."""
        self.load_of(vm).unreachable_until = now + backoff_s

    def busy_of(
        self, vm: str, now: float, max_age_s: float = MAX_HINT_AGE_S
    ) -> float | None:
        """Return the slot usage of an endpoint, or None without a recent hint."""
        load = self.loads.get(vm)
        if load is None or load.hint is None or now - load.hint_at > max_age_s:
            return None
        return load.hint.busy_percent / 100

    def mean_of(self, vm: str) -> float | None:
        """Return the mean time of a request at an endpoint, or None if unknown."""
        load = self.loads.get(vm)
        if load is None or load.hint is None or not load.hint.mean_ms:
            return None
        return load.hint.mean_ms / 1000

    def is_reachable(self, vm: str, now: float) -> bool:
        """Return whether the VM is not being avoided as unreachable."""
        return now >= self.load_of(vm).unreachable_until

    def pick(
        self,
        candidates: Iterable[NodeEntry],
        route: str,
        now: float,
        target_latency_s: float,
        max_wait_s: float,
    ) -> NodeEntry | None:
        """Return the endpoint for a request with a target of ``target_latency_s``.

        It is the fastest of the nearest endpoints that meet the target: traffic between
        failure domains is billed, and answers faster than the target have no higher
        value. If none meets the target, it is the one with the shortest expected time.
        Return None if the request would wait longer than ``max_wait_s`` at each.
        """
        best = None
        best_rank = (len(Distance), float("inf"))
        for node in candidates:
            load = self.load_of(node.vm)
            if now < load.unreachable_until:
                continue
            wait_s = load.expected_wait_s(node.endpoint.slots, now)
            if wait_s > max_wait_s:
                continue
            distance = self._distance(node)
            time_s = wait_s + load.time_of(route, now) + 2 * DELAY_S[distance]
            time_s += load.failure_share(now) * FAILURE_PENALTY_S
            meets_target = time_s <= target_latency_s * TARGET_LATENCY_SHARE
            rank = (
                distance if meets_target else len(Distance) - 1,
                time_s
                + random.random() * JITTER_S
                + (0.0 if meets_target else SLOW_PENALTY_S),
            )
            if rank < best_rank:
                best, best_rank = node, rank
        return best

    def shortest_wait_s(self, candidates: Iterable[NodeEntry], now: float) -> float:
        """Return the shortest expected wait, or 0 without candidates."""
        waits = [
            self.load_of(node.vm).expected_wait_s(node.endpoint.slots, now)
            for node in candidates
        ]
        return min(waits, default=0.0)

    def _distance(self, node: NodeEntry) -> Distance:
        if node.failure_domain == self.failure_domain:
            return Distance.SAME_DOMAIN
        if node.region == self.region:
            return Distance.SAME_REGION
        return Distance.OTHER_REGION
