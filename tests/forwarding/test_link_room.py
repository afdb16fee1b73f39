"""Tests of the admission of requests by the bytes of their answers."""

from contextlib import suppress
from types import SimpleNamespace

import pytest

from sesamepost.errors import ErrorKind
from sesamepost.internal.forwarding.link_room import (
    MAX_ROUTES,
    LinkFullError,
    LinkRoom,
    admit_body,
)
from sesamepost.internal.forwarding.link_waits import MAX_WAIT_S, LinkWaits
from sesamepost.internal.forwarding.messages import NO_KEY, Forward
from sesamepost.internal.wire.link import LinkScheduler, class_of_rank

NARROW_BYTES_PER_S = 1e6
EXPORT_BYTES = 90_000
RUN_TIME_S = 0.1
DEADLINE_MS, TARGET_MS = 1800, 1200


def forward(route="export", rank=2, body=b"", timeout_ms=DEADLINE_MS) -> Forward:
    target_ms = min(timeout_ms, TARGET_MS)
    return Forward(
        0, "r", route, "s", NO_KEY, "GET", "/", (), body, timeout_ms, target_ms, rank, 0
    )


def new_room(rate=NARROW_BYTES_PER_S, memory_bytes=25e6) -> LinkRoom:
    scheduler = LinkScheduler(rate)
    link = SimpleNamespace(
        scheduler=scheduler, memory_bytes=memory_bytes, cancel=scheduler.cancel
    )
    room = LinkRoom(link)
    room.note_answer("export", EXPORT_BYTES)
    room.note_answer("lookup", 1000)
    return room


def admit(room: LinkRoom, request: Forward, now: float = 0.0):
    """Admit a request; return its reservation, which is open until it is left."""
    reservation = room.reserve(request, RUN_TIME_S, now)
    reservation.__enter__()
    return reservation


def count_admitted(room: LinkRoom, requests: int, request: Forward) -> list:
    reservations = []
    for _ in range(requests):
        with suppress(LinkFullError):
            reservations.append(admit(room, request))
    return reservations


@pytest.mark.parametrize("load", [1.2, 3.0])
def test_exports_that_run_are_in_time_and_fill_the_link(load):
    # Guards against slots and bytes for exports that miss their deadline: 1.2 and 3
    # times the link is offered for 20 s, and a lookup is admitted at any time.
    room = new_room()
    scheduler = room.link.scheduler
    interval_s = EXPORT_BYTES / NARROW_BYTES_PER_S / load
    running, times, waits, passed = [], {}, [], 0
    step_s = 0.001
    next_at = now = 0.0
    while (now := now + step_s) < 20:
        if now >= next_at:
            next_at += interval_s
            admit(room, forward("lookup", 1, timeout_ms=400), now).__exit__(*[None] * 3)
            try:
                running.append((now, admit(room, forward(), now)))
            except LinkFullError as error:
                waits.append(error.wait_s)
        while running and running[0][0] + RUN_TIME_S <= now:
            started, reservation = running.pop(0)
            reservation.__exit__(None, None, None)
            frames = [b"x" * 3000] * (EXPORT_BYTES // 3000)
            scheduler.add(started, class_of_rank(2), frames, now)
        while (entry := scheduler.pop(now, lambda sender: True)) is not None:
            scheduler.note_written(len(entry[1]), now, len(entry[1]))
            passed += len(entry[1])
            times[entry[0]] = now - entry[0]
    assert max(times.values()) < DEADLINE_MS / 1000
    assert sorted(times.values())[len(times) * 95 // 100] < TARGET_MS / 1000
    assert passed > 0.85 * 20 * NARROW_BYTES_PER_S
    assert 0 < min(waits) <= max(waits) < 1
    assert len(waits) > 20 * (load - 1.2) / interval_s / load


def test_a_burst_takes_no_more_than_the_link_carries_in_time():
    # Guards against a hundred requests in one read that all find an empty queue.
    assert len(count_admitted(new_room(), 100, forward())) == 7


def test_less_urgent_answers_take_no_room_from_urgent_ones():
    room = new_room()
    room.note_answer("report", EXPORT_BYTES)
    count_admitted(room, 100, forward())
    assert len(count_admitted(room, 100, forward("report", rank=0))) == 7
    assert len(count_admitted(room, 100, forward("lookup", 3))) == 100


def test_an_endpoint_gets_the_time_that_its_answer_leaves():
    room = new_room()
    with room.reserve(forward(), RUN_TIME_S, 0.0) as admitted:
        assert admitted.timeout_ms == DEADLINE_MS - 97
        assert room.expected_bytes() == EXPORT_BYTES
    assert room.expected_bytes() == 0


def test_an_answer_that_takes_most_of_its_time_is_admitted_on_an_idle_link():
    # Guards against large answers that are refused although nothing else waits.
    room = new_room()
    room.note_answer("huge", 1_400_000)
    assert len(count_admitted(room, 10, forward("huge"))) == 1


def test_wide_links_and_unknown_routes_refuse_nothing():
    assert len(count_admitted(new_room(rate=125e6), 200, forward())) == 200
    assert len(count_admitted(new_room(), 200, forward("new"))) == 200


def test_answers_that_wait_stay_within_the_memory_of_the_process():
    room = new_room(rate=125e6, memory_bytes=1e6)
    assert len(count_admitted(room, 200, forward())) == 11
    assert room.counters["refused_for_memory"] == 189


def test_the_sizes_of_many_routes_take_bounded_memory():
    room = new_room()
    for number in range(3 * MAX_ROUTES):
        room.note_answer(f"r{number}", 1)
    assert len(room.mean_bytes) <= MAX_ROUTES


def test_a_body_that_cannot_be_sent_in_time_is_refused():
    link = new_room().link
    admit_body(link, forward(body=bytes(1_000_000)), 0.0)
    admit_body(link, forward(body=bytes(1000), timeout_ms=1), 0.0)
    with pytest.raises(LinkFullError) as refusal:
        admit_body(link, forward(body=bytes(2_000_000)), 0.0)
    # The caller is told that the request has not run.
    assert refusal.value.kind is ErrorKind.OVERLOADED


def test_waits_of_links_are_bounded_and_end():
    waits = LinkWaits()
    waits.note("a", "r", 1e9, 0.0)
    waits.note("b", "r", -5, 0.0)
    assert waits.wait_s("a", "r", 0.0) == MAX_WAIT_S
    assert waits.shortest_s(["a", "b"], "r", 0.0) == 0
    assert waits.shortest_s(["a"], "r", 0.5) == MAX_WAIT_S - 0.5
    assert waits.wait_s("a", "other", 0.0) == 0
    for number in range(5000):
        waits.note(f"vm-{number}", "r", 1.0, 1.0)
    assert len(waits.full_until) <= 1000


def test_answers_that_nobody_waits_for_leave_the_link():
    room = new_room()
    scheduler = room.link.scheduler
    for call in range(1000):
        message = scheduler.add("a", 1, [b"x" * 3000] * 2, 0.0)
        room.note_queued(call, message)
        if call < 990:
            message.is_started = True
    assert len(room.queued) <= 150
    assert room.discard_answer(999)
    assert not room.discard_answer(999)
    assert not room.discard_answer(0)


@pytest.mark.parametrize("first_bytes", [2_000_000, 8 << 20])
def test_a_large_first_answer_does_not_exclude_its_route_for_ever(first_bytes):
    # Guards against a route that is refused on an idle link, since only requests that
    # run tell that its answers are small.
    room = new_room()
    room.note_answer("report", first_bytes)
    for second in range(60):
        reservation = admit(room, forward("report"), float(second))
        reservation.__exit__(None, None, None)
        room.note_answer("report", 10_000)
    assert len(count_admitted(room, 3, forward("report"))) == 3


def test_one_huge_answer_counts_as_a_bounded_one():
    room = new_room()
    room.note_answer("export", 100 * EXPORT_BYTES)
    assert room.mean_bytes["export"] < 1.5 * EXPORT_BYTES
