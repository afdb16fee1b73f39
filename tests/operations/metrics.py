"""Read the request histogram from a response of ``/metrics``."""

from prometheus_client.parser import text_string_to_metric_families

HISTOGRAM = "sesamepost_request_duration_seconds"
LABELS = ("team", "service", "class", "outcome")


def read_requests(text, suffix="_count", **labels):
    """Map team, service, class and outcome to the value of each matching sample.

    A sample matches if it has all ``labels``.
    """
    found = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name != HISTOGRAM + suffix:
                continue
            if labels.items() <= sample.labels.items():
                found[tuple(sample.labels[name] for name in LABELS)] = sample.value
    return found
