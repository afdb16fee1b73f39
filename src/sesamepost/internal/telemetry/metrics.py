"""Metrics by OpenTelemetry, exported for a scrape in Prometheus' text format."""

from collections import Counter
from collections.abc import Callable, Mapping

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import (
    ExplicitBucketHistogramAggregation,
    View,
)
from prometheus_client import CollectorRegistry, generate_latest

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


class Metrics:
    """All instruments of one daemon.

    ``observe_request`` feeds a histogram with the team, service, class and outcome as
    attributes. Counters of the parts are read when they are scraped, so counting
    costs a dictionary update only.
    """

    def __init__(self, team_of: Callable[[str], str]) -> None:
        self.team_of = team_of
        self.registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            disable_target_info=True, registry=self.registry
        )
        self.provider = MeterProvider(
            metric_readers=[reader],
            views=[
                View(
                    instrument_name="sesamepost.request.duration",
                    aggregation=ExplicitBucketHistogramAggregation(LATENCY_BUCKETS_S),
                )
            ],
            shutdown_on_exit=False,
        )
        self.meter = self.provider.get_meter("sesamepost")
        self.durations = self.meter.create_histogram(
            "sesamepost.request.duration", unit="s", description="Time to the answer"
        )
        self.attributes: dict[tuple[str, str, str], dict[str, str]] = {}

    def observe_request(
        self, service: str, class_name: str, outcome: str, seconds: float
    ) -> None:
        """Count one answer to a caller."""
        key = (service, class_name, outcome)
        attributes = self.attributes.get(key)
        if attributes is None:
            attributes = {
                "team": self.team_of(service),
                "service": service,
                "class": class_name or "default",
                "outcome": outcome,
            }
            self.attributes[key] = attributes
        self.durations.record(seconds, attributes)

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

    def add_gauges(self, name: str, read_values: Callable[[], Mapping[str, float]]):
        """Export present values by their label."""

        def read(options: CallbackOptions) -> list[Observation]:
            return [
                Observation(value, {"of": label})
                for label, value in read_values().items()
            ]

        self.meter.create_observable_gauge(f"sesamepost.{name}", callbacks=[read])

    def render(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(self.registry)

    def close(self) -> None:
        """Stop the provider."""
        self.provider.shutdown()
