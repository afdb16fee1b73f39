"""Which requests an endpoint starts, queues and refuses."""

from sesamepost.errors import ErrorKind
from sesamepost.internal.forwarding.gate import (
    BUSY_WINDOWS_S,
    EndpointGate,
    QueuedRequest,
)


def request(ticket, rank=1, target=9.0, latest=9.0, kind="") -> QueuedRequest:
    return QueuedRequest(ticket, kind or f"kind-{rank}", rank, target, latest)


def full_gate(slots: int = 1, mean_s: float = 0.1) -> EndpointGate:
    gate = EndpointGate(slots)
    gate.recent_mean_s = mean_s
    for i in range(slots):
        gate.submit(request(f"running-{i}"), 0.0)
    return gate


def test_requests_up_to_the_slots_start_at_once():
    gate = EndpointGate(2)
    for ticket in "abc":
        assert gate.submit(request(ticket), 0.0) is None
    assert set(gate.running) == {"a", "b"}
    assert set(gate.queued) == {"c"}


def test_the_more_urgent_request_starts_first_even_if_it_arrived_last():
    gate = full_gate()
    gate.submit(request("later", rank=2), 0.0)
    gate.submit(request("urgent", rank=0), 0.1)
    assert gate.finish("running-0", 0.2).started == ["urgent"]
    assert gate.finish("urgent", 0.3).started == ["later"]


def test_within_a_rank_the_request_with_less_time_starts_first():
    # A call made by an endpoint has a fifth of the time of a caller's request.
    gate = full_gate()
    gate.submit(request("patient", target=5.0), 0.0)
    gate.submit(request("short call", target=0.5), 0.1)
    assert gate.finish("running-0", 0.2).started == ["short call"]


def test_a_request_that_cannot_start_in_time_is_refused_at_once():
    # Guards against requests that stay queued until their deadline passes.
    gate = full_gate(mean_s=1.0)
    assert gate.submit(request("next", target=1.2, latest=1.2), 0.0) is None
    assert gate.submit(request("late", target=1.0, latest=2.0), 0.0) is None
    late = request("too late", target=1.3, latest=2.0)
    assert gate.submit(late, 0.0) is ErrorKind.OVERLOADED
    assert gate.submit(request("past", latest=-0.1), 0.0) is (
        ErrorKind.DEADLINE_NOT_RUN
    )


def test_under_overload_requests_in_time_start_before_late_ones():
    # In order of arrival, all of them would be late.
    gate = full_gate()
    gate.submit(request("will be late", target=0.15, latest=5.0), 0.0)
    gate.submit(request("in time", target=0.6, latest=5.0), 0.1)
    assert gate.finish("running-0", 0.2).started == ["in time"]
    assert gate.finish("in time", 0.3).started == ["will be late"]


def test_a_long_wait_for_a_late_answer_is_refused():
    gate = full_gate(mean_s=0.1)
    refused = 0
    for i in range(40):
        kind = gate.submit(request(i, target=0.05, latest=1.0), 0.0)
        refused += kind is ErrorKind.OVERLOADED
    assert 30 <= refused < 40


def test_an_urgent_request_does_not_wait_for_the_less_urgent_queue():
    gate = full_gate(mean_s=0.5)
    for i in range(20):
        gate.submit(request(i, rank=2), 0.0)
    assert gate.submit(request("urgent", 0, 0.3, 0.3), 0.0) is None
    assert gate.submit(request("patient", 2, 9.1, 9.1), 0.0) is ErrorKind.OVERLOADED


def test_a_request_past_its_latest_start_expires_and_leaves_the_queue():
    gate = full_gate()
    gate.submit(request("short", target=0.2, latest=0.2), 0.0)
    gate.submit(request("long"), 0.0)
    assert gate.poll(0.3).expired == ["short"]
    assert gate.finish("running-0", 0.4).started == ["long"]


def test_a_request_that_others_have_overtaken_is_given_up_before_its_deadline():
    # The load: urgent requests arrive for half a second behind a less urgent one.
    # Guards against callers that are told only at their deadline that it has not run.
    gate = full_gate(mean_s=0.1)
    gate.submit(request("overtaken", rank=2, target=0.5, latest=0.5), 0.0)
    for i in range(6):
        assert gate.submit(request(i, rank=0), 0.1) is None
    assert gate.poll(0.1).expired == ["overtaken"]


def test_a_cancelled_request_is_not_started():
    gate = full_gate()
    gate.submit(request("gone"), 0.0)
    gate.cancel("gone")
    assert gate.finish("running-0", 0.1).started == []
    assert not gate.running


def test_a_gate_without_slots_refuses_and_new_slots_start_queued_requests():
    gate = EndpointGate(0)
    assert gate.submit(request("a"), 0.0) is ErrorKind.OVERLOADED
    gate.set_slots(1, 0.0)
    gate.submit(request("a"), 0.0)
    gate.submit(request("b"), 0.0)
    assert gate.set_slots(2, 0.1).started == ["b"]


def test_slot_usage_reacts_fast_in_the_short_window_and_slowly_in_the_long_one():
    # Guards against keys that move back and forth due to the requests of one second.
    gate = EndpointGate(2)
    short, long = BUSY_WINDOWS_S
    for i in range(4):
        gate.submit(request(i), 0.0)
    assert gate.busy_share(short, 1.0) == 2.0
    assert 0.5 < gate.busy_share(long, 1.0) < 1.0


def test_very_short_requests_do_not_make_an_endpoint_look_fast():
    # Guards against keys moved to an owner for its short mean time, which came from
    # settings checks.
    gate = EndpointGate(2)
    now = 0.0
    for number in range(200):
        time_s = 0.2 if number % 4 == 0 else 0.001
        assert (
            gate.submit(QueuedRequest(number, f"k{time_s}", 0, now + 9, now + 9), now)
            is None
        )
        now += time_s
        gate.finish(number, now)
    assert gate.recent_mean_s > 0.15
