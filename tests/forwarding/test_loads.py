"""Selection among endpoints that are near, busy, failing or unreachable."""

from sesamepost.internal.coordination.nodes import EndpointInfo, NodeEntry
from sesamepost.internal.forwarding.loads import LoadTracker
from sesamepost.internal.forwarding.messages import LoadHint


def node(vm: str, domain: str, region: str) -> NodeEntry:
    endpoint = EndpointInfo("s", "i-" + vm, 1, 2, "v1", True)
    return NodeEntry(vm, vm, 1, 7600, domain, region, endpoint)


NEAR = node("near", "a1", "a")
BESIDE = node("beside", "a2", "a")
FAR = node("far", "b1", "b")
ALL = [FAR, BESIDE, NEAR]


def pick(
    loads: LoadTracker,
    now: float = 0.0,
    target_latency_s: float = 0.3,
    max_wait_s: float = 1.0,
):
    return loads.pick(ALL, "r", now, target_latency_s, max_wait_s)


def hint(running: int, queued: int = 0, mean_ms: int = 100) -> LoadHint:
    return LoadHint("s", running, queued, 2, mean_ms, 0, 0)


def test_requests_stay_in_their_failure_domain_while_it_has_capacity():
    loads = LoadTracker("a1", "a")
    assert pick(loads, 0.0) is NEAR


def test_a_full_endpoint_is_passed_over_for_the_next_one():
    loads = LoadTracker("a1", "a")
    loads.note_hint("near", hint(2, 4), 0.0)
    assert pick(loads, 0.1) is BESIDE


def test_requests_sent_since_the_last_hint_are_counted():
    # Guards against all requests going to the endpoint that was idle a moment ago.
    loads = LoadTracker("a1", "a")
    for vm in ("near", "beside", "far"):
        loads.note_hint(vm, hint(0, mean_ms=200), 0.0)
    for _ in range(4):
        loads.note_sent("near", 0.0)
    assert pick(loads, 0.1) is BESIDE


def test_a_failing_endpoint_is_avoided_and_tried_again_later():
    loads = LoadTracker("a1", "a")
    for _ in range(4):
        loads.note_sent("near", 0.0)
        loads.note_done("near", True, 0.0)
    assert pick(loads, 0.1) is BESIDE
    assert pick(loads, 20.0) is NEAR


def test_an_unreachable_node_is_avoided_for_a_moment():
    loads = LoadTracker("a1", "a")
    loads.note_unreachable("near", 0.0)
    assert pick(loads, 0.2) is BESIDE
    assert pick(loads, 2.0) is NEAR


def test_no_endpoint_is_picked_if_the_wait_would_be_too_long_at_each():
    # Guards against forwarding a request that can be refused at once.
    loads = LoadTracker("a1", "a")
    for vm in ("near", "beside", "far"):
        loads.note_hint(vm, hint(2, 20), 0.0)
    assert pick(loads, 0.1, max_wait_s=0.5) is None
    assert loads.shortest_wait_s(ALL, 0.1) > 0.5


def test_requests_stay_local_while_the_target_latency_is_met():
    # Traffic between failure domains is billed, so a request that leaves its domain
    # loses part of its value.
    loads = LoadTracker("a1", "a")
    loads.note_time("near", "r", 0.15, 0.0)
    loads.note_time("beside", "r", 0.05, 0.0)
    assert pick(loads, 0.1) is NEAR
    loads.note_time("near", "r", 2.0, 0.1)
    assert pick(loads, 0.2) is BESIDE


def test_times_are_kept_apart_by_route():
    loads = LoadTracker("a1", "a")
    loads.note_time("near", "long", 2.0, 0.0)
    assert pick(loads, 0.1) is NEAR


def test_the_fastest_endpoint_is_picked_if_none_meets_the_target():
    loads = LoadTracker("a1", "a")
    for vm, time_s in (("near", 0.9), ("beside", 0.8), ("far", 0.4)):
        loads.note_time(vm, "r", time_s, 0.0)
    assert pick(loads, 0.1) is FAR
