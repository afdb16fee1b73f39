"""Evaluates an endpoint by its own reports and by what its daemon observes.

Reports can be late or wrong. Therefore a good report never hides observed failures, a
bad report alone never makes an endpoint failing, and the weight of a report decreases
with its age.
"""

from collections import deque
from enum import Enum

OBSERVATION_WINDOW_S = 10.0
BUCKET_S = 1.0
# A single failure among few requests is not significant.
MIN_OBSERVATIONS = 5
# Announcements arrive every second. After several missed ones, the last report has
# almost no weight.
REPORT_HALF_LIFE_S = 2.0
# Missing reports are the only sign that an endpoint without requests has frozen.
MAX_SILENCE_S = 5.0
# ``evaluate`` is called about every second. A longer gap means that this daemon was
# paused, so that missing reports in the gap say nothing about the endpoint.
MAX_EVALUATION_GAP_S = 2.5
# Below ``FAILING_FROM``, so that a report alone cannot make an endpoint failing.
MAX_REPORT_INFLUENCE = 0.4
# An ejected endpoint gets no requests, so its observed failures leave the window.
# Without a minimum time it would return every 10 s and fail again.
MIN_FAILING_S = 30.0


class HealthStatus(Enum):
    """The health of an endpoint as its daemon evaluates it."""

    HEALTHY = "healthy"
    DEGRADED = "degraded"
    FAILING = "failing"


# The score at which a status is entered and the lower score at which it is left. This
# hysteresis keeps the status from flapping when the score is near a threshold.
DEGRADED_FROM, DEGRADED_UNTIL = 0.2, 0.1
FAILING_FROM, FAILING_UNTIL = 0.5, 0.3


class EndpointHealth:
    """Derives the health status of one endpoint from its last report and requests.

    ``now`` is in seconds. A load is relative to the number of slots; above 1 the
    endpoint has more work than slots.
    """

    def __init__(self, now: float) -> None:
        self.health_status = HealthStatus.HEALTHY
        self.failing_since = now
        self.reported_load = 0.0
        self.reported_at = now
        self.silent_since = now
        self.evaluated_at = now
        self.buckets: deque[list] = deque()

    def report(self, load: float, now: float) -> None:
        """Record the load of an announcement."""
        self.reported_load = load
        self.reported_at = now
        self.silent_since = now

    def observe(self, failed: bool, now: float) -> None:
        """Count a request that the endpoint answered or failed to answer.

        Failures are timeouts, refused or broken connections and truncated answers. A
        request that the endpoint did not run because of its load is not a failure.
        """
        if not self.buckets or now - self.buckets[-1][0] >= BUCKET_S:
            self.buckets.append([now, 0, 0])
        self.buckets[-1][1] += 1
        self.buckets[-1][2] += failed

    def report_weight(self, now: float) -> float:
        """Return the weight of the last report, from 1 down to 0."""
        return 0.5 ** (max(0.0, now - self.reported_at) / REPORT_HALF_LIFE_S)

    def load(self, observed_load: float, now: float) -> float:
        """Return the load to use for planning.

        It is never lower than the load that the daemon observes itself.
        """
        weight = self.report_weight(now)
        mixed = weight * self.reported_load + (1.0 - weight) * observed_load
        return max(observed_load, mixed)

    def failure_share(self, now: float) -> float:
        """Return the share of failed requests in the last 10 s.

        Fewer than ``MIN_OBSERVATIONS`` requests count as that many.
        """
        while self.buckets and now - self.buckets[0][0] >= OBSERVATION_WINDOW_S:
            self.buckets.popleft()
        requests = sum(bucket[1] for bucket in self.buckets)
        failures = sum(bucket[2] for bucket in self.buckets)
        return failures / max(requests, MIN_OBSERVATIONS)

    def score(self, now: float) -> float:
        """Return the failure score, from 0 (no sign of a problem) to 1."""
        if now - self.silent_since >= MAX_SILENCE_S:
            return 1.0
        observed = self.failure_share(now)
        overload = min(1.0, max(0.0, self.reported_load - 1.0))
        influence = MAX_REPORT_INFLUENCE * self.report_weight(now) * overload
        return observed + (1.0 - observed) * influence

    def evaluate(self, now: float) -> HealthStatus:
        """Update and return the health status.

        This must be called about every second.
        """
        if now - self.evaluated_at > MAX_EVALUATION_GAP_S:
            self.silent_since = now
        self.evaluated_at = now
        score = self.score(now)
        if score >= FAILING_FROM:
            if self.health_status is not HealthStatus.FAILING:
                self.failing_since = now
            self.health_status = HealthStatus.FAILING
        elif self.health_status is HealthStatus.FAILING and (
            score >= FAILING_UNTIL or now - self.failing_since < MIN_FAILING_S
        ):
            self.health_status = HealthStatus.FAILING
        elif score >= DEGRADED_FROM or (
            self.health_status is not HealthStatus.HEALTHY and score >= DEGRADED_UNTIL
        ):
            self.health_status = HealthStatus.DEGRADED
        else:
            self.health_status = HealthStatus.HEALTHY
        return self.health_status


def may_eject(in_service: int, ejected: int) -> bool:
    """Return whether one more endpoint of a service may be ejected.

    ``in_service`` counts the endpoints that operators want in service; ``ejected``
    counts those among them that are already ejected. At least half of the endpoints,
    and at least one, must remain.
    """
    if not 0 <= ejected <= in_service:
        raise ValueError(f"ejected must be from 0 to {in_service}, not {ejected}")
    remaining = in_service - ejected - 1
    return remaining >= 1 and 2 * remaining >= in_service
