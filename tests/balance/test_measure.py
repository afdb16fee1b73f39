"""Tests that measurements are reproducible and their baseline is correct."""

import random

import pytest
from balance_fleets import fleet

from sesamepost.tools.measure import (
    EVENTS,
    SIZES,
    USERS,
    Result,
    Service,
    add_static_churn,
    measure_planner,
    measure_static,
    static_loads,
)

EVENT = {event.name: event for event in EVENTS}
TODAY = SIZES[0]
LAHORE, VALUATION = USERS


def run_planner(name, user, seed=1):
    return measure_planner(TODAY, EVENT[name], user, seed)


def test_a_seed_gives_reproducible_figures():
    # Guards against a source of randomness that the seed does not control.
    assert run_planner("hottest keys shift", LAHORE) == run_planner(
        "hottest keys shift", LAHORE
    )


def test_a_loss_churns_as_little_as_possible_and_static_hashing_far_more():
    # Guards against counting wrongly how many keys a loss moves.
    for name in ("VM lost", "failure domain lost"):
        result = run_planner(name, LAHORE)
        assert result.churn == result.minimum_churn
        assert measure_static(TODAY, EVENT[name], 1).churn > 3 * result.churn


def test_users_get_different_plans_for_a_restart_and_a_shift():
    # Guards against weights and policies that have no effect on the decisions.
    restarts = [run_planner("VM replaced", user) for user in USERS]
    assert restarts[0].churn > 0 == restarts[1].churn
    assert restarts[0].unavailable_key_s < restarts[1].unavailable_key_s
    shifts = [run_planner("hottest keys shift", user) for user in USERS]
    assert shifts[0].moves != shifts[1].moves


@pytest.mark.parametrize(("old", "new"), [(6, 5), (6, 7), (12, 8)])
def test_the_baseline_agrees_with_hashing_of_single_keys(old, new):
    # Guards against a baseline that performs worse than real static hashing.
    rng = random.Random(1)
    hashes = [rng.getrandbits(64) for _ in range(40_000)]
    before, after = fleet(old), fleet(new)
    rates = [0.0] * 16
    for item in hashes:
        rates[item % 16] += 1.0
    service = Service(after, rates, [round(rate) for rate in rates], {})
    result = Result()
    add_static_churn(service, before, after, result)
    moved = sum(item % old != item % new for item in hashes)
    assert result.churn == pytest.approx(moved, rel=0.03)
    expected = [sum(item % new == index for item in hashes) for index in range(new)]
    loads = static_loads(service, after)
    assert [loads[item.node] for item in after] == pytest.approx(expected, rel=0.05)
