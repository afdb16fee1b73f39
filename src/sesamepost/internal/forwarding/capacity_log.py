"""Logs what a node finds out about the capacity of its endpoint."""

import structlog

from sesamepost.internal.forwarding.capacity import CapacityEstimate, SpeedEstimate

# Smaller changes of the slowness are not logged.
MIN_CHANGE = 2.0
LOG_INTERVAL_S = 1.0

log = structlog.get_logger()


class CapacityLog:
    """Logs changes of the speed and of the limit, at most one of each a second."""

    def __init__(self, speed: SpeedEstimate, capacity: CapacityEstimate) -> None:
        self.speed = speed
        self.capacity = capacity
        self.slowness = 1.0
        self.slowness_at = float("-inf")
        self.limit = 0
        self.limit_at = float("-inf")

    def note(self, endpoint: str, now: float) -> None:
        """Log what has changed since the last line."""
        self._note_slowness(endpoint, now)
        self._note_limit(endpoint, now)

    def _note_slowness(self, endpoint: str, now: float) -> None:
        slowness = self.speed.slowness
        ratio = max(slowness, self.slowness) / min(slowness, self.slowness)
        if ratio < MIN_CHANGE or now - self.slowness_at < LOG_INTERVAL_S:
            return
        self.slowness = slowness
        self.slowness_at = now
        log.info(
            "endpoint_slowness_changed",
            endpoint=endpoint,
            slowness=round(slowness, 2),
            pace=round(self.speed.pace, 2),
        )

    def _note_limit(self, endpoint: str, now: float) -> None:
        capacity = self.capacity
        limit = capacity.settled_limit
        if limit == self.limit or now - self.limit_at < LOG_INTERVAL_S:
            return
        self.limit = limit
        self.limit_at = now
        log.info(
            "endpoint_limit_changed",
            endpoint=endpoint,
            limit=limit,
            slots=capacity.slots,
            reason=capacity.reason,
        )
