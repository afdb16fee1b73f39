"""Tests health and ramp of endpoints that start cold, fail or report wrongly."""

from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sesamepost.internal.admission.health import EndpointHealth, HealthStatus, may_eject
from sesamepost.internal.admission.ramp import ColdStart


def evaluate_every_second(health, start, seconds, failed=None, load=0.0, requests=10):
    """Return the health status after each of ``seconds`` seconds.

    Each second has a report of ``load``, unless it is None. ``failed`` is the number of
    failed requests among ``requests`` in each second; None means no requests.
    """
    statuses = []
    for now in range(start, start + seconds):
        if load is not None:
            health.report(load, now)
        for number in range(requests if failed is not None else 0):
            health.observe(number < failed, now)
        statuses.append(health.evaluate(now))
    return statuses


def test_a_good_report_does_not_hide_failures():
    # Guards against trusting an endpoint that fails requests and reports to be idle.
    health = EndpointHealth(0)
    assert evaluate_every_second(health, 0, 5, failed=8)[-1] is HealthStatus.FAILING


def test_a_bad_report_alone_degrades_and_never_ejects():
    # Guards against a wrong report that takes a working endpoint out of service.
    health = EndpointHealth(0)
    statuses = evaluate_every_second(health, 0, 60, failed=0, load=9.0)
    assert set(statuses) == {HealthStatus.DEGRADED}


def test_a_report_counts_less_with_age_and_silence_counts_as_failure():
    # Guards against trusting an endpoint that froze right after a good report.
    health = EndpointHealth(0)
    health.report(0.0, 0)
    assert health.report_weight(0) == 1.0
    assert health.report_weight(2) == 0.5
    statuses = [health.evaluate(now) for now in range(7)]
    assert statuses == [HealthStatus.HEALTHY] * 5 + [HealthStatus.FAILING] * 2


def test_a_pause_of_this_daemon_is_not_taken_for_silence_of_the_endpoint():
    # Guards against ejecting every endpoint because the daemon itself was paused.
    health = EndpointHealth(0)
    evaluate_every_second(health, 0, 3)
    assert health.evaluate(40) is HealthStatus.HEALTHY
    assert [health.evaluate(now) for now in range(41, 46)][-1] is HealthStatus.FAILING


def test_the_load_to_plan_with_is_at_least_the_observed_one():
    # Guards against moving keys to a full endpoint that reports itself idle.
    health = EndpointHealth(0)
    health.report(0.0, 10)
    assert health.load(0.9, 10) == 0.9
    health.report(1.0, 10)
    assert health.load(0.5, 10) == 1.0
    assert health.load(0.5, 12) == 0.75
    assert health.load(0.5, 30) < 0.51


def test_an_endpoint_near_a_threshold_does_not_flap():
    # Guards against oscillation: each change of the status can move partitions.
    health = EndpointHealth(0)
    statuses = []
    for second in range(120):
        failed = 6 if (second // 10) % 2 else 4
        statuses += evaluate_every_second(health, second, 1, failed=failed)
    changes = sum(a is not b for a, b in pairwise(statuses))
    assert changes <= 2


def test_an_ejected_endpoint_stays_out_for_a_while_and_then_recovers():
    # Guards against a failing endpoint that returns to service as soon as its failures
    # have left the window, because an ejected endpoint gets no requests.
    health = EndpointHealth(0)
    evaluate_every_second(health, 0, 10, failed=10)
    statuses = evaluate_every_second(health, 10, 40)
    assert statuses[18] is HealthStatus.FAILING
    assert statuses[-1] is HealthStatus.HEALTHY


def test_one_failure_among_few_requests_is_not_enough():
    # Guards against ejecting an endpoint of a low-traffic service for one failure.
    health = EndpointHealth(0)
    evaluate_every_second(health, 0, 1, failed=1, requests=1)
    assert health.health_status is not HealthStatus.FAILING


@settings(derandomize=True)
@given(st.integers(1, 40))
def test_ejection_leaves_half_of_the_endpoints_and_at_least_one(in_service):
    # Guards against ejecting all endpoints because of a fault that they share.
    ejected = 0
    while may_eject(in_service, ejected):
        ejected += 1
    remaining = in_service - ejected
    assert remaining >= 1
    assert remaining >= in_service / 2
    assert remaining - 1 < max(1, in_service / 2)


def test_a_cold_endpoint_gets_its_slots_gradually():
    # Guards against full load on an endpoint with empty caches, and against a report
    # that declares it ready too early or cold forever.
    ramp = ColdStart()
    assert ramp.slots(10, 0.0) == 10
    ramp.observe("cold", 100.0)
    assert [ramp.slots(10, 100.0 + t) for t in (0, 15, 29.9, 30)] == [2, 6, 9, 10]
    assert ramp.slots(1, 100.0) == 1
    assert ramp.slots(0, 100.0) == 0
    ramp.observe("ready", 101.0)
    assert ramp.fraction(115.0) == pytest.approx(0.6)
    ramp.observe("cold", 200.0)
    ramp.observe("cold", 229.0)
    assert ramp.slots(10, 230.0) == 10
