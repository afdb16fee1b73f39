"""Tests load counting: wrong or stale hot keys and the cost for each request."""

import random
import time
from itertools import accumulate

import pytest

from sesamepost.internal.balance.sketch import LoadCounters, SpaceSaving

RATE_PER_S = 3550


def zipf_requests(rng, keys, weights):
    return rng.choices(keys, cum_weights=weights, k=RATE_PER_S)


def zipf_weights(count, exponent=1.1):
    return list(accumulate(1 / rank**exponent for rank in range(1, count + 1)))


def run(counters, rng, keys, weights, start_s, seconds):
    for second in range(start_s, start_s + seconds):
        for key in zipf_requests(rng, keys, weights):
            counters.record(key)
        counters.advance(float(second + 1))


def test_the_hottest_keys_of_a_zipf_stream_are_found_and_a_shift_is_followed():
    # Guards against missing hot keys and against keeping those of minutes ago.
    rng = random.Random(1)
    keys = [rng.getrandbits(64) for _ in range(20_000)]
    weights = zipf_weights(len(keys))
    counters = LoadCounters(512, 0.0, seed=1)
    run(counters, rng, keys, weights, 0, 30)
    busiest = counters.busiest_keys(8)
    assert {key for key, _ in busiest[:5]} == set(keys[:5])
    expected = RATE_PER_S / weights[-1]
    assert busiest[0][1] == pytest.approx(expected, rel=0.15)
    assert counters.total_rate() == pytest.approx(RATE_PER_S, rel=0.001)
    shifted = keys[11:] + keys[:11]
    run(counters, rng, shifted, weights, 30, 60)
    assert {key for key, _ in counters.busiest_keys(5)} == set(shifted[:5])


def test_an_even_stream_has_no_hot_keys():
    # Guards against treating inherited counts of the sketch as load: 1/64 of all
    # requests is more than one partition gets on a node that has 85 of them.
    rng = random.Random(2)
    counters = LoadCounters(512, 0.0, seed=2)
    for second in range(10):
        for _ in range(RATE_PER_S):
            counters.record(rng.getrandbits(64))
        counters.advance(second + 1.0)
    assert all(rate < RATE_PER_S / 512 for _, rate in counters.busiest_keys(8))


def test_random_samples_do_not_make_a_key_hot():
    # Guards against moving keys of a low-traffic service, where a partition has 0.6
    # requests/s and a single sample looks like a higher rate.
    rng = random.Random(7)
    counters = LoadCounters(512, 0.0, seed=7)
    for second in range(20):
        for _ in range(50):
            counters.record(rng.getrandbits(50) * 512 + rng.randrange(85))
        counters.record(3)
        counters.record(3)
        counters.advance(second + 1.0)
    busiest = counters.busiest_keys(8)
    assert busiest[0][0] == 3
    assert all(rate < 0.6 for _, rate in busiest[1:])


def test_a_periodic_key_is_sampled_at_its_rate():
    # Guards against a fixed sampling gap, which samples such a key always or never.
    counters = LoadCounters(512, 0.0, seed=3)
    for second in range(20):
        for request in range(1600):
            counters.record(7 if request % 16 == 0 else 1000 + request % 16)
        counters.advance(second + 1.0)
    assert dict(counters.busiest_keys(16))[7] == pytest.approx(100, rel=0.25)


def test_partition_rates_are_unbiased_and_halve_within_the_half_life():
    # Guards against rates that are too low at first and do not follow the load.
    counters = LoadCounters(8, 0.0)
    for second in range(3):
        for _ in range(200):
            counters.record(8 * second + 5)
        counters.advance(second + 1.0)
    assert counters.busiest_partitions(2) == [(5, pytest.approx(200.0))]
    for second in range(3, 120):
        for _ in range(200):
            counters.record(5)
        counters.advance(second + 1.0)
    for second in range(120, 135):
        counters.advance(second + 1.0)
    assert counters.busiest_partitions(1)[0][1] == pytest.approx(100, rel=0.05)


def test_keys_with_overrides_are_exact_and_belong_to_no_partition():
    # Guards against counting the load of a key both for its partition and on its own.
    counters = LoadCounters(8, 0.0)
    for _ in range(30):
        counters.record_override(5)
    counters.advance(10.0)
    assert counters.busiest_partitions(8) == []
    assert counters.busiest_keys(8) == [(5, pytest.approx(3.0))]
    assert counters.total_rate() == pytest.approx(3.0)


def test_a_move_shows_at_once_at_both_nodes():
    # Guards against unnecessary moves because the old owner looks loaded and the new
    # one idle for a half-life.
    old = LoadCounters(8, 0.0)
    new = LoadCounters(8, 0.0)
    for second in range(60):
        for _ in range(50):
            old.record(3)
            old.record_override(4)
        old.advance(second + 1.0)
        new.advance(second + 1.0)
    old.forget_partition(3)
    old.forget_key(4)
    for _ in range(50):
        new.record(3)
        new.record_override(4)
    new.advance(61.0)
    assert old.total_rate() == 0.0
    assert new.busiest_partitions(1) == [(3, pytest.approx(50.0))]
    assert new.busiest_keys(1) == [(4, pytest.approx(50.0))]


def test_the_sketch_is_bounded_and_its_bounds_hold():
    # Guards against memory that grows with the keys and against wrong error bounds.
    rng = random.Random(4)
    sketch = SpaceSaving()
    exact_counts = {}
    for _ in range(20_000):
        key = int(rng.paretovariate(0.8))
        exact_counts[key] = exact_counts.get(key, 0) + 1
        sketch.add(key, 1.0)
    assert len(sketch.counts) == len(sketch.errors) == 64
    for key, count in sketch.counts.items():
        assert count - sketch.errors[key] <= exact_counts[key] <= count


def test_counting_a_request_is_cheap():
    # Guards against a noticeable cost at 3,550 requests/s; the goal is 1 microsecond.
    rng = random.Random(5)
    # The keys of nine partitions, which is about the share of one of 480 nodes.
    keys = [rng.getrandbits(52) << 12 | i % 9 for i in range(200_000)]
    requests = rng.choices(keys, cum_weights=zipf_weights(len(keys)), k=200_000)
    counters = LoadCounters(4096, 0.0, seed=5)
    start = time.perf_counter()
    for key in requests:
        counters.record(key)
    each_us = (time.perf_counter() - start) / len(requests) * 1e6
    start = time.perf_counter()
    counters.advance(1.0)
    advance_us = (time.perf_counter() - start) * 1e6
    print(f"record: {each_us:.2f} us, advance: {advance_us:.0f} us")
    assert each_us < 4


def test_releasing_a_hot_key_removes_its_load_from_its_partition():
    # Guards against counting the load of a key twice after it got an override.
    counters = LoadCounters(8, 0.0, seed=6)
    for second in range(60):
        for request in range(300):
            counters.record(3 if request % 3 else 8 * request + 3)
        counters.advance(second + 1.0)
    counters.forget_key(3)
    assert counters.busiest_partitions(1) == [(3, pytest.approx(100.0, rel=0.25))]
    assert 3 not in dict(counters.busiest_keys(8))
