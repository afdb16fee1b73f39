"""A limit on the number of retries of a service's requests."""

from collections import deque

MIN_RETRIES_PER_S = 3.0
# Short, so that tokens earned before an outage do not allow a burst during it.
WINDOW_S = 1.0
BUCKETS = 10
_BUCKET_S = WINDOW_S / BUCKETS


class RetryBudget:
    """A token budget for retries: a share of the requests, with a minimum per second.

    Without a limit, retries multiply the load of a service just when it has the least
    capacity. Each request earns ``percent`` hundredths of a token; tokens that are not
    used within ``WINDOW_S`` expire.
    """

    def __init__(
        self, percent: float, min_retries_per_s: float = MIN_RETRIES_PER_S
    ) -> None:
        if not 0 <= percent <= 100:
            raise ValueError(f"percent must be from 0 to 100, got {percent}")
        self.ratio = percent / 100
        self.min_retries = min_retries_per_s * WINDOW_S
        self.requests = 0
        self.retries = 0
        self.buckets: deque[list] = deque()

    def note_request(self, now: float) -> None:
        """Count a caller's request; must not be called for retries."""
        self._bucket(now)[1] += 1
        self.requests += 1

    def take(self, now: float) -> bool:
        """Take the token for one retry; return False if none is left."""
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
