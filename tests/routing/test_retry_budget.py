"""Tests that retries remain a small share of the traffic."""

from hypothesis import given, settings
from hypothesis import strategies as st

from sesamepost.internal.routing.retry_budget import RetryBudget


def count_retries(budget, rate, seconds, start=0.0):
    """Ask for three retries per request at a constant rate; return how many pass."""
    taken = 0
    for number in range(int(rate * seconds)):
        now = start + number / rate
        budget.note_request(now)
        for _ in range(3):
            taken += budget.take(now)
    return taken


def test_an_outage_adds_a_tenth_of_the_load():
    # Guards against retries that multiply the load of a failing service.
    assert 950 <= count_retries(RetryBudget(10), 1000, 10) <= 1010


def test_a_service_with_few_requests_may_retry_three_times_a_second():
    # Guards against a service that never earns a retry because it has few requests.
    assert 24 <= count_retries(RetryBudget(10), 2, 10) <= 33


def test_unused_retry_tokens_expire():
    # Guards against a burst of retries from old tokens at the start of an outage.
    budget = RetryBudget(10)
    for number in range(100_000):
        budget.note_request(number / 1000)
    # Half a second is within one window, which earns 100 tokens.
    assert count_retries(budget, 1000, 0.5, start=100.0) <= 100


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.lists(st.tuples(st.booleans(), st.sampled_from([0.0, 0.01, 0.3])), max_size=200)
)
def test_no_window_has_more_retries_than_its_share(steps):
    # Guards against counts that drift as old requests leave the window.
    budget, now, requests, retries = RetryBudget(10), 0.0, [], []
    for is_request, gap in steps:
        now += gap
        if is_request:
            budget.note_request(now)
            requests.append(now)
        elif budget.take(now):
            retries.append(now)
        recent_retries = sum(at > now - 0.89 for at in retries)
        earned = sum(at > now - 1.01 for at in requests) * 0.1
        assert recent_retries <= max(3, earned)
    assert (budget.requests, budget.retries) == (
        sum(bucket[1] for bucket in budget.buckets),
        sum(bucket[2] for bucket in budget.buckets),
    )
