"""Metrics of one daemon: the counters of its components and request durations.

The exporter is imported at the first scrape. Importing it at the start would take a
seventh of the startup time, during which the keys of a restarting node are not served.
"""

from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

from sesamepost.internal.telemetry.durations import RequestDurations

if TYPE_CHECKING:
    from sesamepost.internal.telemetry.exporter import Exporter


class Metrics:
    """All metrics of one daemon.

    Counters are read when they are scraped, so counting an event costs only a
    dictionary update.
    """

    def __init__(self, team_of: Callable[[str], str]) -> None:
        self.durations = RequestDurations(team_of)
        self.observe_request = self.durations.observe
        self.counters: dict[str, Counter[str]] = {}
        self.gauges: dict[str, Callable[[], float]] = {}
        self.exporter: Exporter | None = None

    def add_counters(self, part: str, counters: Counter[str]) -> None:
        """Export the counters of one component of the daemon."""
        self.counters[part] = counters
        if self.exporter is not None:
            self.exporter.add_counters(part, counters)

    def add_gauge(self, name: str, value: Callable[[], float]) -> None:
        """Export a value that is read at each scrape."""
        self.gauges[name] = value
        if self.exporter is not None:
            self.exporter.add_gauge(name, value)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        if self.exporter is None:
            self.exporter = self._new_exporter()
        return self.exporter.render()

    def close(self) -> None:
        """Shut down the exporter, if there is one."""
        if self.exporter is not None:
            self.exporter.close()

    def _new_exporter(self) -> "Exporter":
        from sesamepost.internal.telemetry.exporter import Exporter

        exporter = Exporter(self.durations)
        for part, counters in self.counters.items():
            exporter.add_counters(part, counters)
        for name, value in self.gauges.items():
            exporter.add_gauge(name, value)
        return exporter
