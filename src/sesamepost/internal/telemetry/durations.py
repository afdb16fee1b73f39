"""Histograms of request durations."""

from bisect import bisect_left
from collections.abc import Callable, Iterator
from itertools import accumulate

# The limit for 99% of the requests is 11 ms, so the buckets are narrow around it.
LATENCY_BUCKETS_S = (
    0.0005,
    0.001,
    0.002,
    0.004,
    0.006,
    0.008,
    0.011,
    0.015,
    0.02,
    0.03,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)


class RequestDurations:
    """Counts request durations by team, service, class and outcome.

    OpenTelemetry has no observable histogram, and its synchronous histogram checks and
    copies the attributes of each measurement, which took more than 10 us per request.
    The buckets are therefore counted here and read when they are scraped.
    """

    def __init__(self, team_of: Callable[[str], str]) -> None:
        self.team_of = team_of
        self.series: dict[tuple[str, str, str], list] = {}

    def observe(
        self, service: str, class_name: str, outcome: str, seconds: float
    ) -> None:
        """Record one duration; an empty class name means ``default``."""
        key = (service, class_name or "default", outcome)
        series = self.series.get(key)
        if series is None:
            counts = [0] * (len(LATENCY_BUCKETS_S) + 1)
            series = self.series[key] = [self.team_of(service), counts, 0.0]
        series[1][bisect_left(LATENCY_BUCKETS_S, seconds)] += 1
        series[2] += seconds

    def rows(self) -> Iterator[tuple[tuple[str, ...], list[tuple[str, int]], float]]:
        """Yield labels, cumulative buckets by upper bound and the sum in seconds."""
        bounds = [*map(str, LATENCY_BUCKETS_S), "+Inf"]
        for labels, (team, counts, total) in self.series.items():
            buckets = list(zip(bounds, accumulate(counts), strict=True))
            yield (team, *labels), buckets, total
