"""Retries stay a small part of the traffic."""

from hypothesis import given, settings
from hypothesis import strategies as st

from sesamepost.internal.routing.retry_budget import RetryBudget


def retries_taken(budget, rate, seconds, start=0.0):
    """Let every request of a constant rate fail and ask for retries until refused."""
    taken = 0
    for number in range(int(rate * seconds)):
        now = start + number / rate
        budget.note_request(now)
        for _ in range(3):
            taken += budget.take(now)
    return taken


def test_an_outage_adds_a_tenth_of_the_load():
    # Guards against retries that multiply the load of a failing service.
    assert 950 <= retries_taken(RetryBudget(10), 1000, 10) <= 1010


def test_a_quiet_service_may_retry_three_times_a_second():
    # Guards against a service of few requests that is never allowed a retry.
    assert 24 <= retries_taken(RetryBudget(10), 2, 10) <= 33


def test_credit_of_quiet_hours_is_lost():
    # Guards against a burst of retries, at the start of an outage, from old credit.
    budget = RetryBudget(10)
    for number in range(100_000):
        budget.note_request(number / 1000)
    # Half a second is within one window, whose credit is 100 tokens.
    assert retries_taken(budget, 1000, 0.5, start=100.0) <= 100


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.lists(st.tuples(st.booleans(), st.sampled_from([0.0, 0.01, 0.3])), max_size=200)
)
def test_no_window_has_more_retries_than_its_share(steps):
    # Guards against counts that drift when old requests leave the window.
    budget, now, requests, retries = RetryBudget(10), 0.0, [], []
    for is_request, gap in steps:
        now += gap
        if is_request:
            budget.note_request(now)
            requests.append(now)
        elif budget.take(now):
            retries.append(now)
        recent = sum(at > now - 0.89 for at in retries)
        earned = sum(at > now - 1.01 for at in requests) * 0.1
        assert recent <= max(3, earned)
    assert (budget.requests, budget.retries) == (
        sum(bucket[1] for bucket in budget.buckets),
        sum(bucket[2] for bucket in budget.buckets),
    )
