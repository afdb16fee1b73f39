"""Counts the requests of one service by partition and for its hottest keys."""

import heapq
import random
from collections.abc import Iterable

SKETCH_KEYS = 64

# The hottest keys change within minutes. With a much shorter half-life, the random
# variation of small partitions would look like changes of load.
HALF_LIFE_S = 15.0

# On average, one in this many requests is added to the sketch. At low request rates the
# gap is smaller, since a single sample would look like a hot key. Gaps are random
# because a fixed one could always miss a key that callers request periodically.
MAX_SAMPLING_GAP = 16
MAX_SAMPLES_PER_S = 250.0


class SpaceSaving:
    """Finds the most frequent keys of a stream in bounded memory.

    Once ``capacity`` keys are stored, a new key replaces the one with the lowest count
    and inherits this count as its maximum error. For each stored key, ``counts`` is an
    upper bound of the true count and ``counts - errors`` is a lower bound.
    """

    __slots__ = ("capacity", "counts", "errors")

    def __init__(self, capacity: int = SKETCH_KEYS) -> None:
        if capacity < 1:
            raise ValueError(f"capacity must be 1 or more, not {capacity}")
        self.capacity = capacity
        self.counts: dict[int, float] = {}
        self.errors: dict[int, float] = {}

    def add(self, key_hash: int, weight: float) -> None:
        """Count ``weight`` requests for a key."""
        counts = self.counts
        if key_hash in counts:
            counts[key_hash] += weight
            return
        lowest_count = 0.0
        if len(counts) >= self.capacity:
            replaced = min(counts, key=counts.__getitem__)
            lowest_count = counts.pop(replaced)
            del self.errors[replaced]
        counts[key_hash] = lowest_count + weight
        self.errors[key_hash] = lowest_count

    def remove(self, key_hash: int) -> float:
        """Remove a key and return the lower bound of its count."""
        return self.counts.pop(key_hash, 0.0) - self.errors.pop(key_hash, 0.0)

    def decay(self, factor: float) -> None:
        """Multiply all counts by ``factor``."""
        for key_hash in self.counts:
            self.counts[key_hash] *= factor
            self.errors[key_hash] *= factor

    def busiest(self, number: int) -> list[tuple[int, float]]:
        """Return the keys with the highest lower bounds of their counts, in order.

        The upper bound is not suitable: in a uniform stream each stored key inherits
        about 1/64 of all requests and would look hot.
        """
        bounds = (
            (key_hash, count - self.errors[key_hash])
            for key_hash, count in self.counts.items()
        )
        return _highest(number, bounds)


class Rates:
    """Exponentially weighted rates of a few items.

    Each item has its own time window, which starts when the item is first counted.
    Otherwise the rate of an item that a node has just received would be underestimated.
    The window decays like the counts, which makes the estimate of a constant rate
    unbiased.
    """

    __slots__ = ("counts", "windows_s")

    def __init__(self) -> None:
        self.counts: dict[int, float] = {}
        self.windows_s: dict[int, float] = {}

    def add(self, item: int, count: float) -> None:
        """Count ``count`` requests for an item."""
        self.counts[item] = self.counts.get(item, 0.0) + count

    def advance(self, elapsed_s: float, factor: float) -> None:
        """Extend all windows by ``elapsed_s``, then decay them and the counts."""
        for item, count in self.counts.items():
            self.counts[item] = count * factor
            window_s = self.windows_s.get(item, 0.0)
            self.windows_s[item] = (window_s + elapsed_s) * factor

    def forget(self, item: int) -> None:
        """Remove an item."""
        self.counts.pop(item, None)
        self.windows_s.pop(item, None)

    def total(self) -> float:
        """Return the sum of the rates, in requests/s."""
        return sum(
            self.counts[item] / window_s for item, window_s in self.windows_s.items()
        )

    def busiest(self, number: int) -> list[tuple[int, float]]:
        """Return the items with the highest rates, the highest first."""
        return _highest(
            number,
            (
                (item, self.counts[item] / window_s)
                for item, window_s in self.windows_s.items()
            ),
        )


class LoadCounters:
    """Exponentially weighted request counters of one service on this daemon.

    ``record`` is called for each request and does not read the clock; ``advance`` is
    called about once a second with the time. Rates are in requests/s. Example::

        counters = LoadCounters(512, now)
        counters.record(hash_key("shop 17"))
        counters.advance(now + 1.0)
        counters.busiest_keys(8)
    """

    __slots__ = (
        "counts",
        "mask",
        "next_random",
        "now",
        "overrides",
        "partitions",
        "requests_until_sample",
        "sampling_gap",
        "sketch",
        "window_s",
    )

    def __init__(self, partitions: int, now: float, seed: int | None = None) -> None:
        self.mask = partitions - 1
        self.now = now
        self.window_s = 0.0
        self.counts = [0] * partitions
        self.partitions = Rates()
        self.overrides = Rates()
        self.sketch = SpaceSaving()
        self.next_random = random.Random(seed).random
        self.sampling_gap = MAX_SAMPLING_GAP
        self.requests_until_sample = 1

    def record(self, key_hash: int) -> None:
        """Count a request for a key without an override."""
        self.counts[key_hash & self.mask] += 1
        self.requests_until_sample -= 1
        if not self.requests_until_sample:
            self._sample(key_hash)

    def _sample(self, key_hash: int) -> None:
        # Uniform over 1 .. 2 x gap - 1, so the gap is the mean.
        self.requests_until_sample = 1 + int(
            self.next_random() * (2 * self.sampling_gap - 1)
        )
        self.sketch.add(key_hash, self.sampling_gap)

    def record_override(self, key_hash: int) -> None:
        """Count a request for a key with an override.

        It does not count towards any partition. It is counted exactly, since the
        decision to return the key depends on a low rate.
        """
        self.overrides.add(key_hash, 1.0)

    def forget_partition(self, partition: int) -> None:
        """Remove the load of a partition that was released.

        Otherwise the load would be reported both here and by the new owner for a while,
        and more partitions would be moved away than necessary.
        """
        self.partitions.forget(partition)
        self.counts[partition] = 0

    def forget_key(self, key_hash: int) -> None:
        """Remove the load of a released hot key, also from its partition."""
        self.overrides.forget(key_hash)
        count = self.sketch.remove(key_hash)
        counts = self.partitions.counts
        partition = key_hash & self.mask
        if partition in counts:
            counts[partition] = max(0.0, counts[partition] - count)

    def advance(self, now: float) -> None:
        """Add the requests since the last call to the rates and decay older ones."""
        elapsed_s = now - self.now
        if elapsed_s <= 0.0:
            return
        factor = 0.5 ** (elapsed_s / HALF_LIFE_S)
        self.now = now
        for partition, count in enumerate(self.counts):
            if count:
                self.partitions.add(partition, count)
                self.counts[partition] = 0
        self.partitions.advance(elapsed_s, factor)
        self.overrides.advance(elapsed_s, factor)
        self.sketch.decay(factor)
        self.window_s = (self.window_s + elapsed_s) * factor
        gap = int(self.partitions.total() / MAX_SAMPLES_PER_S)
        self.sampling_gap = min(MAX_SAMPLING_GAP, max(1, gap))

    def total_rate(self) -> float:
        """Return the rate of all requests, including keys with overrides."""
        return self.partitions.total() + self.overrides.total()

    def busiest_partitions(self, number: int) -> list[tuple[int, float]]:
        """Return the busiest partitions; their rates exclude keys with overrides."""
        return self.partitions.busiest(number)

    def busiest_keys(self, number: int) -> list[tuple[int, float]]:
        """Return the busiest keys and their rates, keys with overrides first."""
        busiest = self.overrides.busiest(number)
        for key_hash, count in self.sketch.busiest(SKETCH_KEYS):
            if len(busiest) >= number or count <= 0.0 or not self.window_s:
                break
            # A key that got its override recently may still be in the sketch.
            if key_hash not in self.overrides.counts:
                busiest.append((key_hash, count / self.window_s))
        return busiest


def _highest(
    number: int, items: Iterable[tuple[int, float]]
) -> list[tuple[int, float]]:
    return heapq.nsmallest(number, items, key=lambda item: (-item[1], item[0]))
