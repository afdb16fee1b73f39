"""A late event loop is reported as such, not as an unresponsive peer or store."""

from structlog.testing import capture_logs

from sesamepost.internal.telemetry.loop_lag import LATE_THRESHOLD_S, LoopLag


def test_a_late_check_is_logged_and_counted():
    # Guards against timeouts that are attributed to the store although the process
    # lacked processor time.
    lag = LoopLag()
    with capture_logs() as logs:
        lag.record(LATE_THRESHOLD_S / 2)
        lag.record(LATE_THRESHOLD_S + 0.2)
    assert [(line["event"], line["late_s"]) for line in logs] == [
        ("event_loop_late", 0.5)
    ]
    assert lag.counters == {"checks": 2, "late": 1, "late_ms": 500}
