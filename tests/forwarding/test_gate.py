"""Who waits and who is refused at one endpoint."""

from sesamepost.errors import ErrorKind
from sesamepost.internal.forwarding.gate import EndpointGate


def test_requests_up_to_the_slots_start_at_once():
    gate = EndpointGate(2)
    assert gate.submit("a", "kind-1", 1, 1.0, 0.0) is None
    assert gate.submit("b", "kind-1", 1, 1.0, 0.0) is None
    assert gate.submit("c", "kind-1", 1, 1.0, 0.0) is None
    assert set(gate.running) == {"a", "b"}
    assert set(gate.queued) == {"c"}


def test_the_more_urgent_request_starts_first_though_it_came_last():
    gate = EndpointGate(1)
    gate.submit("running", "kind-2", 2, 9.0, 0.0)
    gate.submit("later", "kind-2", 2, 9.0, 0.0)
    gate.submit("urgent", "kind-0", 0, 9.0, 0.1)
    assert gate.finish("running", 0.2).started == ["urgent"]
    assert gate.finish("urgent", 0.3).started == ["later"]


def test_a_request_that_would_start_too_late_is_refused_at_once():
    # Guards against a queue in which requests wait until their deadline passes.
    gate = EndpointGate(1)
    gate.mean_s = {"kind-1": 1.0}
    gate.recent_mean_s = 1.0
    gate.submit("running", "kind-1", 1, 9.0, 0.0)
    assert gate.submit("next", "kind-1", 1, 1.2, 0.0) is None
    assert gate.submit("late", "kind-1", 1, 1.3, 0.0) is ErrorKind.OVERLOADED
    assert gate.submit("too late", "kind-1", 1, -0.1, 0.0) is ErrorKind.DEADLINE_NOT_RUN


def test_an_urgent_request_does_not_wait_for_the_less_urgent_queue():
    gate = EndpointGate(1)
    gate.mean_s = {"kind-0": 0.1, "kind-2": 0.5}
    gate.submit("running", "kind-2", 2, 9.0, 0.0)
    for i in range(20):
        gate.submit(i, "kind-2", 2, 9.0, 0.0)
    assert gate.submit("urgent", "kind-0", 0, 0.2, 0.0) is None
    assert gate.submit("patient", "kind-2", 2, 9.1, 0.0) is ErrorKind.OVERLOADED


def test_what_waited_too_long_expires_and_frees_its_place():
    gate = EndpointGate(1)
    gate.submit("running", "kind-1", 1, 9.0, 0.0)
    gate.submit("short", "kind-1", 1, 0.2, 0.0)
    gate.submit("long", "kind-1", 1, 9.0, 0.0)
    assert gate.poll(0.3).expired == ["short"]
    assert gate.finish("running", 0.4).started == ["long"]


def test_a_caller_that_left_the_queue_is_not_started():
    gate = EndpointGate(1)
    gate.submit("running", "kind-1", 1, 9.0, 0.0)
    gate.submit("gone", "kind-1", 1, 9.0, 0.0)
    gate.cancel("gone")
    assert gate.finish("running", 0.1).started == []
    assert not gate.running


def test_a_closed_gate_refuses_and_an_opened_one_starts_the_queue():
    gate = EndpointGate(0)
    assert gate.submit("a", "kind-1", 1, 9.0, 0.0) is ErrorKind.OVERLOADED
    gate.set_slots(1, 0.0)
    gate.submit("a", "kind-1", 1, 9.0, 0.0)
    gate.submit("b", "kind-1", 1, 9.0, 0.0)
    assert gate.set_slots(2, 0.1).started == ["b"]


def test_within_a_rank_the_request_with_less_time_starts_first():
    # A call of an endpoint has a fifth of the time of a caller's request.
    gate = EndpointGate(1)
    gate.submit("running", "kind-1", 1, 9.0, 0.0)
    gate.submit("patient", "kind-1", 1, 5.0, 0.0)
    gate.submit("short call", "kind-1", 1, 0.5, 0.1)
    assert gate.finish("running", 0.2).started == ["short call"]
