"""How many requests a cold endpoint gets, and how a cold service returns."""

import random

import pytest

from sesamepost.errors import ErrorKind
from sesamepost.internal.forwarding.cold import (
    CHECK_INTERVAL_S,
    MAX_QUEUE_S,
    WINDOW_S,
    ColdLimit,
    ColdShare,
)
from sesamepost.internal.forwarding.cold_check import decode_cold_ms
from sesamepost.internal.forwarding.gate import EndpointGate, QueuedRequest
from sesamepost.internal.forwarding.loads import LoadTracker
from tests.forwarding.test_gate import request

RATE = 6.5
COLD_S = 3.0
# What operators allow a cold endpoint in any one second.
ALLOWED_IN_A_SECOND = RATE * 1.5 + 8
STEP_S = 0.005


def limit(started_at: float = -100.0) -> ColdLimit:
    created = ColdLimit(started_at)
    created.set_service(RATE, COLD_S)
    return created


def start_all(cold: ColdLimit, since: float, until: float) -> list[float]:
    """Start requests as fast as allowed; return when they started."""
    starts = []
    for step in range(round((until - since) / STEP_S)):
        now = since + step * STEP_S
        if cold.may_start(now):
            cold.note_start(now)
            starts.append(now)
    return starts


def most_in_a_second(starts: list[float]) -> int:
    return max(
        (sum(first <= s < first + WINDOW_S for s in starts) for first in starts),
        default=0,
    )


def test_an_endpoint_without_a_tolerated_rate_is_not_limited():
    # Guards earlier deployments, whose settings have no such rate.
    cold = ColdLimit(0.0)
    cold.set_service(0.0, COLD_S)
    cold.note_incarnation(0.0)
    assert len(start_all(cold, 0.0, 1.0)) == 200
    assert not cold.needs_check(0.5)


@pytest.mark.parametrize("is_new", [False, True])
def test_an_endpoint_that_was_busy_while_warm_gets_its_rate_once_it_is_cold(is_new):
    # Guards against starts of the warm time that use up the rate of the cold time.
    cold = limit()
    for index in range(120):
        cold.note_start(index / (4 * RATE))
    now = 120 / (4 * RATE)
    if is_new:
        cold.note_incarnation(now)
    cold.note_cold(COLD_S, now)
    starts = start_all(cold, now, now + COLD_S)
    assert len(starts) >= 0.8 * RATE * (COLD_S - WINDOW_S)


def test_a_cold_endpoint_gets_its_rate_without_bursts():
    cold = limit()
    cold.note_incarnation(0.0)
    cold.note_cold(COLD_S, 0.0)
    starts = start_all(cold, 0.0, COLD_S)
    assert len(starts) >= 0.9 * RATE * COLD_S
    assert most_in_a_second(starts) <= RATE + 1
    assert sum(start < 0.1 for start in starts) <= 2


@pytest.mark.parametrize("cold_at", [10.0, 10.3, 10.55, 10.9])
def test_an_endpoint_that_turns_cold_unnoticed_gets_a_bounded_number(cold_at):
    # A heartbeat may come 1.5 s later; a check finds it cold within milliseconds.
    cold = limit()
    cold.note_cold(0.0, 0.0)
    starts = []
    for step in range(round(14 / STEP_S)):
        now = step * STEP_S
        if cold.needs_check(now):
            cold.checked_at = now
            is_cold = cold_at <= now < cold_at + COLD_S
            left_s = cold_at + COLD_S - now if is_cold else 0.0
            cold.note_checked(now, left_s, now)
        if cold.may_start(now):
            cold.note_start(now)
            starts.append(now)
    during = [start for start in starts if cold_at <= start < cold_at + COLD_S]
    assert most_in_a_second(during) <= ALLOWED_IN_A_SECOND
    # Checks keep a warm endpoint from being limited.
    assert sum(start < 10.0 for start in starts) > 1000


def test_checks_that_hang_leave_the_unproven_rate():
    cold = limit()
    starts = start_all(cold, 0.0, 5.0)
    assert most_in_a_second(starts) <= ALLOWED_IN_A_SECOND
    assert len(starts) >= 5 * RATE * 1.5


def test_checks_are_requested_only_under_load_and_not_in_a_row():
    cold = limit()
    assert not cold.needs_check(0.0)
    for _ in range(12):
        cold.note_start(0.0)
    assert cold.needs_check(0.0)
    cold.checked_at = 0.0
    assert not cold.needs_check(CHECK_INTERVAL_S / 2)


def test_a_new_process_counts_the_second_before_as_full():
    # The previous process of the node may have sent the endpoint what it tolerates.
    cold = limit(started_at=50.0)
    assert start_all(cold, 50.0, 50.9) == []
    assert cold.needs_check(50.0)
    cold.note_checked(50.1, 0.0, 50.11)
    assert cold.may_start(50.12)
    restarted = limit(started_at=50.0)
    restarted.note_checked(50.1, COLD_S, 50.11)
    assert start_all(restarted, 50.1, 51.0 - STEP_S) == []
    assert most_in_a_second(start_all(restarted, 51.0, 53.0)) <= RATE + 1


def test_a_proof_from_before_a_freeze_covers_nothing_after_it():
    cold = limit()
    cold.note_checked(10.0, 0.0, 10.0)
    start_all(cold, 10.0, 10.05)
    # The answer to a check was in the socket while the node stood still for 5 s.
    cold.note_checked(10.05, 0.0, 15.0)
    assert most_in_a_second(start_all(cold, 15.0, 16.0)) <= ALLOWED_IN_A_SECOND


def test_a_late_heartbeat_never_ends_a_cold_time():
    cold = limit()
    cold.note_checked(0.0, COLD_S, 0.0)
    cold.note_cold(0.0, 0.5)
    assert cold.is_cold(2.9)
    assert not cold.is_cold(3.1)
    # An endpoint may turn cold again before it was warm.
    cold.note_cold(COLD_S, 2.0)
    assert cold.is_cold(4.9)


def test_a_new_incarnation_counts_as_cold_until_it_says_otherwise():
    cold = limit()
    cold.note_checked(0.0, 0.0, 0.0)
    cold.note_incarnation(1.0)
    assert most_in_a_second(start_all(cold, 1.0, 2.0)) <= RATE + 1
    assert cold.needs_check(2.0)
    cold.note_cold(0.0, 2.0)
    assert not cold.is_cold(2.0)


def test_settings_that_come_after_the_endpoint_apply_to_it():
    cold = ColdLimit(-100.0)
    cold.note_incarnation(0.0)
    cold.set_service(RATE, COLD_S)
    assert cold.is_cold(2.9)


def test_the_queue_of_an_endpoint_that_turns_cold_is_refused_at_once():
    cold = limit()
    gate = EndpointGate(2, cold)
    cold.note_checked(0.0, 0.0, 0.0)
    gate.recent_mean_s = 0.01
    for i in range(20):
        assert gate.submit(request(i), 0.0) is None
    cold.note_cold(COLD_S, 0.1)
    assert len(gate.poll(0.1).expired) >= 15
    assert gate.submit(request("new"), 0.1) is ErrorKind.OVERLOADED


@pytest.mark.parametrize(
    ("text", "cold_s"),
    [
        ("0", 0.0),
        ("1500", 1.5),
        ("-1", None),
        ("1e3", None),
        ("", None),
        ("9" * 400, None),
        ("999999999", None),
        ("٣", None),
        ("12.5", None),
    ],
)
def test_only_valid_cold_times_are_decoded(text, cold_s):
    assert decode_cold_ms(text) == cold_s


def test_senders_together_choose_a_cold_endpoint_about_as_often_as_it_takes():
    # Each of them alone would see an idle endpoint and send its next request there.
    random.seed(7)
    senders = [ColdShare() for _ in range(80)]
    sent = 0
    for share in senders:
        share.note_cold(COLD_S, RATE, len(senders), 0.0)
    for step in range(round(COLD_S / STEP_S)):
        now = step * STEP_S
        for share in senders:
            if share.wait_s(now) == 0:
                share.note_sent(now)
                sent += 1
    assert RATE * COLD_S <= sent <= 3 * RATE * COLD_S
    assert senders[0].wait_s(COLD_S) == 0


class Endpoint:
    """An endpoint of the simulation; it crashes above the bound while it is cold."""

    def __init__(self, vm: str, cold_until: float) -> None:
        self.vm = vm
        self.cold_until = cold_until
        self.limit = limit(started_at=-100.0)
        self.limit.note_incarnation(0.0)
        self.limit.note_cold(cold_until, 0.0)
        self.gate = EndpointGate(SLOTS, self.limit)
        self.starts: list[float] = []
        self.ends: dict[int, float] = {}
        self.submitted: dict[int, float] = {}
        self.longest_queue_s = 0.0

    def start(self, ticket: int, now: float) -> None:
        waited_s = now - self.submitted.pop(ticket)
        if now < self.cold_until:
            self.longest_queue_s = max(self.longest_queue_s, waited_s)
        self.starts.append(now)
        self.ends[ticket] = now + WORK_S * (2 if now < self.cold_until else 1)

    def step(self, now: float) -> None:
        if self.limit.needs_check(now):
            self.limit.checked_at = now
            self.limit.note_checked(now, max(0.0, self.cold_until - now), now)
        dequeued = self.gate.poll(now)
        for ticket in [t for t, end in self.ends.items() if end <= now]:
            del self.ends[ticket]
            finished = self.gate.finish(ticket, now)
            dequeued.started += finished.started
            dequeued.expired += finished.expired
        for ticket in dequeued.started:
            self.start(ticket, now)
        for ticket in dequeued.expired:
            del self.submitted[ticket]

    def offer(self, ticket: int, now: float) -> bool:
        waiting = QueuedRequest(ticket, "r", 1, now + 0.5, now + 1.2)
        self.submitted[ticket] = now
        if self.gate.submit(waiting, now) is not None:
            del self.submitted[ticket]
            return False
        if ticket in self.gate.running:
            self.start(ticket, now)
        return True


SLOTS = 4
WORK_S = 0.1
ENDPOINTS = 8
# Callers who were refused and newcomers: 1.5 times what the warm service takes.
DEMAND_PER_S = 1.5 * ENDPOINTS * SLOTS / WORK_S


@pytest.mark.parametrize("seed", range(5))
def test_a_service_that_returns_cold_under_full_demand_ramps_up_without_a_crash(seed):
    # Guards against the pattern cold, overload, crash, cold: all endpoints come back at
    # once and get the queue and the returning callers in the same second.
    random.seed(seed)
    endpoints = [Endpoint(f"vm{i}", COLD_S) for i in range(ENDPOINTS)]
    arrivals_end = 1.5 * COLD_S + 2
    now, ticket = 0.0, 0
    next_arrival = 0.0
    while now < arrivals_end:
        for endpoint in endpoints:
            endpoint.step(now)
        while next_arrival <= now:
            next_arrival += random.expovariate(DEMAND_PER_S)
            ticket += 1
            any(e.offer(ticket, now) for e in random.sample(endpoints, 2))
        now += STEP_S
    for endpoint in endpoints:
        cold = [start for start in endpoint.starts if start < COLD_S]
        assert most_in_a_second(cold) <= ALLOWED_IN_A_SECOND
        assert len(cold) >= 0.8 * RATE * COLD_S
        assert endpoint.longest_queue_s <= MAX_QUEUE_S + 1 / RATE
    warm = sum(
        1.5 * COLD_S <= start < 1.5 * COLD_S + 1
        for e in endpoints
        for start in e.starts
    )
    assert warm >= 0.9 * ENDPOINTS * SLOTS / WORK_S


def test_the_expected_wait_at_a_cold_endpoint_is_known_until_it_is_warm():
    loads = LoadTracker("a1", "a")
    loads.senders = 40
    loads.note_cold("near", COLD_S, RATE, 0.0)
    loads.note_sent("near", 0.0)
    assert loads.is_cold("near", 1.0)
    assert loads.load_of("near").expected_wait_s(4, 1.0) > 0
    assert loads.load_of("near").expected_wait_s(4, COLD_S) == 0
