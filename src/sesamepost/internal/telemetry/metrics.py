"""Metrics by OpenTelemetry, exported for a scrape in Prometheus' text format."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterator
from itertools import accumulate

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import HistogramMetricFamily
from prometheus_client.registry import Collector

# 11 ms is the limit for 99% of the requests, so buckets are dense around it.
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


class RequestDurations(Collector):
    """Durations of requests by team, service, class and outcome.

    OpenTelemetry has no observable histogram, and its synchronous one checks and copies
    the attributes of each measurement, which cost more than 10 us of each request. The
    buckets are counted here and read when they are scraped.
    """

    def __init__(self, team_of: Callable[[str], str]) -> None:
        self.team_of = team_of
        self.series: dict[tuple[str, str, str], list] = {}

    def observe(
        self, service: str, class_name: str, outcome: str, seconds: float
    ) -> None:
        """Count one duration; an empty class is the first one, ``default``."""
        key = (service, class_name or "default", outcome)
        series = self.series.get(key)
        if series is None:
            counts = [0] * (len(LATENCY_BUCKETS_S) + 1)
            series = self.series[key] = [self.team_of(service), counts, 0.0]
        series[1][bisect_left(LATENCY_BUCKETS_S, seconds)] += 1
        series[2] += seconds

    def collect(self) -> Iterator[HistogramMetricFamily]:
        """Return the histogram in the form in which it is scraped."""
        family = HistogramMetricFamily(
            "sesamepost_request_duration_seconds",
            "Time to the answer",
            labels=("team", "service", "class", "outcome"),
        )
        bounds = [*map(str, LATENCY_BUCKETS_S), "+Inf"]
        for labels, (team, counts, total) in self.series.items():
            buckets = list(zip(bounds, accumulate(counts), strict=True))
            family.add_metric((team, *labels), buckets, total)
        yield family


class Metrics:
    """All instruments of one daemon.

    Counters of the parts are read when they are scraped, so counting costs a
    dictionary update only.
    """

    def __init__(self, team_of: Callable[[str], str]) -> None:
        self.registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            disable_target_info=True, registry=self.registry
        )
        self.provider = MeterProvider(metric_readers=[reader], shutdown_on_exit=False)
        self.meter = self.provider.get_meter("sesamepost")
        self.durations = RequestDurations(team_of)
        self.registry.register(self.durations)
        self.observe_request = self.durations.observe

    def add_counters(self, part: str, counters: Counter[str]) -> None:
        """Export the counters of one part of the daemon."""

        def read(options: CallbackOptions) -> list[Observation]:
            return [
                Observation(count, {"part": part, "event": str(event)})
                for event, count in list(counters.items())
            ]

        self.meter.create_observable_counter(
            f"sesamepost.{part}.events", callbacks=[read]
        )

    def render(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(self.registry)

    def close(self) -> None:
        """Stop the provider."""
        self.provider.shutdown()
