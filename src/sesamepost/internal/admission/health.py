"""Judges an endpoint by its own reports and by what its daemon observes.

Reports can be late or wrong. A good report therefore never hides observed failures, a
bad one alone never makes an endpoint count as failing, and its weight falls with age.
"""

from collections import deque
from enum import Enum

OBSERVATION_WINDOW_S = 10.0
BUCKET_S = 1.0
# A single failure among few requests says little.
MIN_OBSERVATIONS = 5
# Announcements come every second; after some missed ones the report is nearly void.
REPORT_HALF_LIFE_S = 2.0
# An endpoint without requests shows that it is frozen only by its silence.
MAX_SILENCE_S = 5.0
# ``evaluate`` is called about every second. After a longer gap this daemon itself was
# paused, and the silence during the gap says nothing about the endpoint.
MAX_EVALUATION_GAP_S = 2.5
# Below the limit for failing, so that a report alone cannot reach it.
MAX_REPORT_INFLUENCE = 0.4
# An ejected endpoint gets no requests, so its observed failures end with the window.
# Without this time it would come back every 10 s and fail again.
MIN_FAILING_S = 30.0


class HealthStatus(Enum):
    """How far an endpoint can be relied on."""

    HEALTHY = "healthy"
    DEGRADED = "degraded"
    FAILING = "failing"


# The score at which a status is reached and the lower one at which it is left. The
# gap keeps a score near a limit from changing the status again and again.
DEGRADED_FROM, DEGRADED_UNTIL = 0.2, 0.1
FAILING_FROM, FAILING_UNTIL = 0.5, 0.3


class EndpointHealth:
    """The newest report and the observations of one endpoint.

    ``now`` is in seconds. A load is a share of the slots in use; above 1 the endpoint
    has more work than slots.
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
        """Take the load of an announcement."""
        self.reported_load = load
        self.reported_at = now
        self.silent_since = now

    def observe(self, failed: bool, now: float) -> None:
        """Count a request that the endpoint answered or failed to answer.

        Failures are timeouts, refused or broken connections and answers that were cut
        off. A refusal as not run because of load is none.
        """
        if not self.buckets or now - self.buckets[-1][0] >= BUCKET_S:
            self.buckets.append([now, 0, 0])
        self.buckets[-1][1] += 1
        self.buckets[-1][2] += failed

    def report_weight(self, now: float) -> float:
        """Return how much the newest report still counts, from 1 down to 0."""
        return 0.5 ** (max(0.0, now - self.reported_at) / REPORT_HALF_LIFE_S)

    def load(self, observed_load: float, now: float) -> float:
        """Return the load to plan with.

        The daemon counts the slots in use itself, and no report can make that less.
        """
        weight = self.report_weight(now)
        mixed = weight * self.reported_load + (1.0 - weight) * observed_load
        return max(observed_load, mixed)

    def failure_share(self, now: float) -> float:
        """Return the share of the requests of the last 10 s that failed."""
        while self.buckets and now - self.buckets[0][0] >= OBSERVATION_WINDOW_S:
            self.buckets.popleft()
        requests = sum(bucket[1] for bucket in self.buckets)
        failures = sum(bucket[2] for bucket in self.buckets)
        return failures / max(requests, MIN_OBSERVATIONS)

    def score(self, now: float) -> float:
        """Return a number from 0 (no sign of trouble) to 1."""
        if now - self.silent_since >= MAX_SILENCE_S:
            return 1.0
        observed = self.failure_share(now)
        overload = min(1.0, max(0.0, self.reported_load - 1.0))
        influence = MAX_REPORT_INFLUENCE * self.report_weight(now) * overload
        return observed + (1.0 - observed) * influence

    def evaluate(self, now: float) -> HealthStatus:
        """Return the health status at this time and remember it for the next one.

        Call it about every second.
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
    """Tell whether one more endpoint of a service may be ejected.

    ``in_service`` counts all endpoints that operators want in service, ``ejected``
    those of them that are ejected already. At least half, and at least one, remain.
    """
    if not 0 <= ejected <= in_service:
        raise ValueError(f"ejected must be from 0 to {in_service}, not {ejected}")
    remaining = in_service - ejected - 1
    return remaining >= 1 and 2 * remaining >= in_service
