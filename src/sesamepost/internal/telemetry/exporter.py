"""Exports counters and durations in the Prometheus text format."""

from collections import Counter
from collections.abc import Callable, Iterator

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import HistogramMetricFamily
from prometheus_client.registry import Collector

from sesamepost.internal.telemetry.durations import RequestDurations


class DurationsCollector(Collector):
    """Collects the request durations as a histogram at each scrape."""

    def __init__(self, durations: RequestDurations) -> None:
        self.durations = durations

    def collect(self) -> Iterator[HistogramMetricFamily]:
        """Yield the histogram of the request durations."""
        family = HistogramMetricFamily(
            "sesamepost_request_duration_seconds",
            "Time to the answer",
            labels=("team", "service", "class", "outcome"),
        )
        for labels, buckets, total in self.durations.rows():
            family.add_metric(labels, buckets, total)
        yield family


class Exporter:
    """Exports the metrics of one daemon through OpenTelemetry."""

    def __init__(self, durations: RequestDurations) -> None:
        self.registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            disable_target_info=True, registry=self.registry
        )
        self.provider = MeterProvider(metric_readers=[reader], shutdown_on_exit=False)
        self.meter = self.provider.get_meter("sesamepost")
        self.registry.register(DurationsCollector(durations))

    def add_counters(self, part: str, counters: Counter[str]) -> None:
        """Export the counters of one component of the daemon."""

        def read(options: CallbackOptions) -> list[Observation]:
            return [
                Observation(count, {"part": part, "event": str(event)})
                for event, count in list(counters.items())
            ]

        self.meter.create_observable_counter(
            f"sesamepost.{part}.events", callbacks=[read]
        )

    def add_gauge(self, name: str, value: Callable[[], float]) -> None:
        """Export a value that rises and falls, such as a used amount."""
        self.meter.create_observable_gauge(
            f"sesamepost.{name}",
            callbacks=[lambda options: [Observation(value())]],
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def close(self) -> None:
        """Shut down the meter provider."""
        self.provider.shutdown()
