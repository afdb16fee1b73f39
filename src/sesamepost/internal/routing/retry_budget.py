"""Bounds how many requests of a service are sent again."""

from collections import deque

MIN_RETRIES_PER_S = 3.0
# Short, so that credit from before an outage does not allow a burst during it.
WINDOW_S = 1.0
BUCKETS = 10
_BUCKET_S = WINDOW_S / BUCKETS


class RetryBudget:
    """Tokens for sending again: a share of the requests, and at least a few a second.

    Without a bound, retries multiply the load of a service at the moment at which it
    has the least capacity. Each request earns ``percent`` hundredths of a token; tokens
    that are not used within ``WINDOW_S`` are lost.
    """

    def __init__(
        self, percent: float, min_retries_per_s: float = MIN_RETRIES_PER_S
    ) -> None:
        if not 0 <= percent <= 100:
            raise ValueError(f"percent must be from 0 to 100, not {percent}")
        self.ratio = percent / 100
        self.min_retries = min_retries_per_s * WINDOW_S
        self.requests = 0
        self.retries = 0
        self.buckets: deque[list] = deque()

    def note_request(self, now: float) -> None:
        """Count a caller's request; retries are not counted here."""
        self._bucket(now)[1] += 1
        self.requests += 1

    def take(self, now: float) -> bool:
        """Take a token for one retry, or return False if none is left."""
        bucket = self._bucket(now)
        if self.retries + 1 > max(self.min_retries, self.ratio * self.requests):
            return False
        bucket[2] += 1
        self.retries += 1
        return True

    def _bucket(self, now: float) -> list:
        while self.buckets and now - self.buckets[0][0] >= WINDOW_S:
            _, requests, retries = self.buckets.popleft()
            self.requests -= requests
            self.retries -= retries
        if not self.buckets or now - self.buckets[-1][0] >= _BUCKET_S:
            self.buckets.append([now, 0, 0])
        return self.buckets[-1]
