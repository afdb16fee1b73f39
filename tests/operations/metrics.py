"""Reads the request histogram from what ``/metrics`` answered."""

from prometheus_client.parser import text_string_to_metric_families

HISTOGRAM = "sesamepost_request_duration_seconds"
LABELS = ("team", "service", "class", "outcome")


def read_requests(text, suffix="_count", **labels):
    """Return the values with ``labels`` by team, service, class and outcome."""
    found = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name != HISTOGRAM + suffix:
                continue
            if labels.items() <= sample.labels.items():
                found[tuple(sample.labels[name] for name in LABELS)] = sample.value
    return found
