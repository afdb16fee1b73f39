"""Tests of the exported histogram of request durations."""

import pytest

from sesamepost.internal.telemetry.metrics import Metrics


def test_durations_are_exported_by_team_service_class_and_outcome():
    # Guards against missing labels and non-cumulative buckets.
    metrics = Metrics(lambda service: f"team of {service}")
    metrics.observe_request("s", "", "ran", 0.0004)
    metrics.observe_request("s", "default", "ran", 0.011)
    metrics.observe_request("s", "c", "unknown", 60.0)
    text = metrics.render().decode()
    metrics.close()
    name = "sesamepost_request_duration_seconds"
    lines = {line.rpartition(" ")[0]: line for line in text.splitlines()}

    def value(suffix, class_name, outcome, le=""):
        for key, line in lines.items():
            expected_labels = [
                f'class="{class_name}"',
                f'outcome="{outcome}"',
                'service="s"',
            ]
            expected_labels += ['team="team of s"', *([f'le="{le}"'] if le else [])]
            if key.startswith(f"{name}_{suffix}{{") and all(
                label in key for label in expected_labels
            ):
                return float(line.rpartition(" ")[2])
        raise AssertionError(
            f"{name}_{suffix} of class {class_name} is missing in {text}"
        )

    assert value("bucket", "default", "ran", "0.0005") == 1
    assert value("bucket", "default", "ran", "0.008") == 1
    assert value("bucket", "default", "ran", "0.011") == 2
    assert value("count", "default", "ran") == 2
    assert value("sum", "default", "ran") == pytest.approx(0.0114)
    assert value("bucket", "c", "unknown", "10.0") == 0
    assert value("bucket", "c", "unknown", "+Inf") == 1
