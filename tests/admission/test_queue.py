"""Tests that the limits of an endpoint hold and classes share it by weight."""

import heapq
import math
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from sesamepost.errors import ErrorKind
from sesamepost.internal.admission.queue import EndpointAdmission
from sesamepost.internal.settings.model import ClassSettings

CLASSES = (ClassSettings("lookup", 1), ClassSettings("closing", 1))


def make_admission(slots=2, connections=110, queue_length=100, classes=CLASSES):
    return EndpointAdmission(slots, connections, queue_length, classes)


def simulate(queue, arrivals, end_s):
    """Run ``arrivals`` of (time, class, service time, deadline) on a virtual clock.

    Returns, by class, the waits of the started requests and the number of refused and
    expired ones.
    """
    waits = {c.name: [] for c in queue.classes}
    unserved = dict.fromkeys(waits, 0)
    events = [(at, n, "arrive") for n, (at, *_) in enumerate(arrivals)]
    heapq.heapify(events)

    def start(number, now):
        at, name, service_s, _ = arrivals[number]
        waits[name].append(now - at)
        heapq.heappush(events, (now + service_s, number, "finish"))

    def apply(changes, now):
        for expired in changes.expired:
            unserved[arrivals[expired][1]] += 1
        for started in changes.started:
            assert now < arrivals[started][3]
            start(started, now)

    now = 0.0
    while events and events[0][0] <= end_s:
        poll_at = queue.next_poll(now)
        if poll_at is not None and poll_at < events[0][0]:
            now = poll_at
            apply(queue.poll(now), now)
            # Guards against a timer that is always due again immediately.
            assert (queue.next_poll(now) or math.inf) > now
            continue
        now, number, kind = heapq.heappop(events)
        _, name, _, deadline = arrivals[number]
        if kind == "arrive":
            result = queue.submit(number, name, deadline, now)
            if result.is_error():
                unserved[name] += 1
            elif result.ok:
                start(number, now)
            continue
        apply(queue.finish(number, now), now)
        assert len(queue.running) <= queue.limit
    return waits, unserved


def month_end_arrivals(seed, lookup_rate):
    """Return a minute of closings (1 s each, 20 per second) and lookups (20 ms)."""
    rng = random.Random(seed)
    arrivals = []
    for name, rate, service_s in (
        ("closing", 20.0, 1.0),
        ("lookup", lookup_rate, 0.02),
    ):
        at = 0.0
        while at < 60.0:
            at += rng.expovariate(rate)
            jitter = rng.uniform(0.5, 1.5)
            arrivals.append((at, name, service_s * jitter, at + 30.0))
    return arrivals


def test_a_flood_of_closings_does_not_make_lookups_wait():
    # Guards against long requests that occupy all slots and the queue, as closings do
    # at the end of a month.
    queue = make_admission(slots=12, queue_length=256)
    waits, unserved = simulate(queue, month_end_arrivals(1, lookup_rate=100.0), 60.0)
    lookups = sorted(waits["lookup"])
    assert unserved["lookup"] == 0
    # Half of the slots belong to lookups, so their load is a third of that share.
    assert lookups[int(len(lookups) * 0.99)] < 0.02
    assert lookups[-1] < 1.5
    # The closings keep the other slots busy and are not starved either.
    assert len(waits["closing"]) > 6 * 60 * 0.9


def test_a_rare_lookup_waits_for_one_closing_at_most():
    # Guards against lending the complete share of a class while it is idle.
    queue = make_admission(slots=12, queue_length=256)
    waits, unserved = simulate(queue, month_end_arrivals(2, lookup_rate=0.5), 60.0)
    assert unserved["lookup"] == 0
    assert max(waits["lookup"]) < 1.5
    # A class with little work does not keep slots from the others.
    assert len(waits["closing"]) > 12 * 60 * 0.9


def test_slots_are_divided_by_weight_and_not_by_number_of_requests():
    # Guards against a class of long requests that gets more than its weight. One slot
    # cannot be reserved for a class, so only the round robin divides it.
    classes = (ClassSettings("short", 1), ClassSettings("long", 2))
    queue = make_admission(slots=1, queue_length=10**6, classes=classes)
    arrivals = [(0.0, "short", 0.01, 1e9)] * 6000 + [(0.0, "long", 0.1, 1e9)] * 600
    waits, _ = simulate(queue, arrivals, 30.0)
    short_s, long_s = len(waits["short"]) * 0.01, len(waits["long"]) * 0.1
    assert 1.8 < long_s / short_s < 2.2


def test_requests_that_cannot_be_served_are_refused_at_once():
    # Guards against requests that wait until their deadline only to fail.
    queue = make_admission(slots=1, queue_length=3, classes=CLASSES[:1])
    assert queue.submit("a", "", 10.0, 0.0).ok is True
    queue.finish("a", 1.0)
    assert queue.submit("b", "", 10.0, 1.0).ok is True
    assert queue.submit("c", "", 3.0, 1.0).ok is False
    assert queue.submit("d", "", 1.5, 1.0).error is ErrorKind.OVERLOADED
    assert queue.submit("d", "", 1.0, 1.0).error is ErrorKind.DEADLINE_NOT_RUN
    assert queue.submit("d", "x", 9.0, 1.0).error is ErrorKind.UNKNOWN_CLASS
    assert queue.submit("d", "", 9.0, 1.0).ok is False
    assert queue.submit("e", "", 9.0, 1.0).ok is False
    assert queue.submit("f", "", 9.0, 1.0).error is ErrorKind.OVERLOADED
    assert queue.next_poll(1.0) == 3.0
    assert queue.poll(3.0).expired == ["c"]
    assert queue.finish("b", 3.5).started == ["d"]


def test_a_flood_in_another_class_does_not_get_a_request_refused():
    # Guards against an expected wait that counts the whole queue of the other class.
    queue = make_admission(slots=2, queue_length=100)
    queue.submit("first", "closing", 1e9, 0.0)
    queue.finish("first", 1.0)
    for number in range(50):
        queue.submit(number, "closing", 1e9, 1.0)
    queue.submit("l1", "lookup", 5.0, 1.0)
    assert queue.submit("l2", "lookup", 5.0, 1.0).is_ok()
    assert queue.submit("c", "closing", 5.0, 1.0).error is ErrorKind.OVERLOADED


def test_an_idle_class_keeps_only_the_slots_it_needed_and_only_briefly():
    # Guards against reserving unused slots for a class that hardly uses its share.
    queue = make_admission(slots=4)
    assert queue.submit("l", "lookup", 99.0, 0.0).ok is True
    results = [queue.submit(n, "closing", 99.0, 0.0).ok for n in range(4)]
    assert results == [True, True, False, False]
    assert queue.finish("l", 1.0).started == [2]
    assert queue.next_poll(1.0) == 1.5
    assert queue.poll(1.4).started == []
    assert queue.poll(1.5).started == [3]


def test_deadlines_of_started_requests_do_not_accumulate():
    # Guards against memory growth by entries of requests that have left the queue.
    queue = make_admission(slots=1)
    queue.submit(0, "lookup", 600.0, 0.0)
    for number in range(1000):
        queue.submit(number + 1, "lookup", 600.0, 0.0)
        queue.finish(number, 0.0)
    assert len(queue.deadlines) <= 70


SUBMIT = st.tuples(
    st.just("submit"),
    st.sampled_from(["lookup", "closing"]),
    st.sampled_from([0.5, 2.0, 50.0]),
)
OPERATIONS = st.lists(
    st.one_of(
        SUBMIT,
        SUBMIT,
        SUBMIT,
        st.tuples(st.just("finish"), st.integers(0, 50)),
        st.tuples(st.just("cancel"), st.integers(0, 50)),
        st.tuples(st.just("limits"), st.integers(0, 6), st.integers(0, 6)),
        st.tuples(st.just("wait"), st.sampled_from([0.1, 1.0])),
    ),
    min_size=10,
    max_size=60,
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(operations=OPERATIONS)
def test_slots_are_never_exceeded_and_no_request_is_lost(operations):
    # Guards against more requests than slots, a lost or repeated start, a start after
    # the deadline, reordering within a class, an expired request that stays in the
    # queue, and unused slots while requests wait.
    queue = make_admission(slots=3, queue_length=8)
    now, limit, deadlines = 0.0, 3, {}
    queued = {"lookup": [], "closing": []}
    running = []

    def apply(changes):
        for ticket in changes.expired:
            assert deadlines[ticket] <= now
            queued[ticket[0]].remove(ticket)
        for ticket in changes.started:
            assert deadlines[ticket] > now
            assert queued[ticket[0]].pop(0) == ticket
            running.append(ticket)
            assert len(running) <= limit

    for number, operation in enumerate(operations):
        match operation:
            case ["submit", name, timeout_s]:
                ticket = (name, number)
                deadlines[ticket] = now + timeout_s
                result = queue.submit(ticket, name, now + timeout_s, now)
                if result.is_ok() and result.ok:
                    running.append(ticket)
                    assert len(running) <= limit
                    assert not queued[name]
                elif result.is_ok():
                    queued[name].append(ticket)
            case ["finish", index] if running:
                apply(queue.finish(running.pop(index % len(running)), now))
            case ["cancel", index] if queued["lookup"] + queued["closing"]:
                waiting = queued["lookup"] + queued["closing"]
                ticket = waiting[index % len(waiting)]
                queued[ticket[0]].remove(ticket)
                apply(queue.cancel(ticket, now))
            case ["limits", slots, connections]:
                limit = min(slots, connections)
                apply(queue.set_limits(slots, connections, now))
            case ["wait", seconds]:
                now += seconds
                apply(queue.poll(now))
                assert all(deadlines[ticket] > now for ticket in queue.queued)
        assert set(running) == set(queue.running)
        assert all(list(c.queue) == queued[c.name] for c in queue.classes)
        if limit and not running:
            assert not queue.queued
