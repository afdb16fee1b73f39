"""The choice among endpoints that are near, busy, failing or out of reach."""

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


def test_requests_stay_in_their_failure_domain_while_it_has_room():
    loads = LoadTracker("a1", "a")
    assert pick(loads, 0.0) is NEAR


def test_a_full_endpoint_gives_way_to_the_next_one():
    loads = LoadTracker("a1", "a")
    loads.note_hint("near", hint(2, 4), 0.0)
    assert pick(loads, 0.1) is BESIDE


def test_requests_on_their_way_count_before_the_next_hint():
    # Guards against herding onto the endpoint that was idle a moment ago.
    loads = LoadTracker("a1", "a")
    for vm in ("near", "beside", "far"):
        loads.note_hint(vm, hint(0, mean_ms=200), 0.0)
    for _ in range(4):
        loads.note_sent("near")
    assert pick(loads, 0.1) is BESIDE


def test_an_endpoint_that_fails_gets_less_and_is_tried_again():
    loads = LoadTracker("a1", "a")
    for _ in range(4):
        loads.note_sent("near")
        loads.note_done("near", True, 0.0)
    assert pick(loads, 0.1) is BESIDE
    assert pick(loads, 20.0) is NEAR


def test_a_node_out_of_reach_is_left_alone_for_a_moment():
    loads = LoadTracker("a1", "a")
    loads.note_unreachable("near", 0.0)
    assert pick(loads, 0.2) is BESIDE
    assert pick(loads, 2.0) is NEAR


def test_nothing_is_picked_if_all_would_let_the_request_wait_too_long():
    # Guards against sending what can be refused at once.
    loads = LoadTracker("a1", "a")
    for vm in ("near", "beside", "far"):
        loads.note_hint(vm, hint(2, 20), 0.0)
    assert pick(loads, 0.1, max_wait_s=0.5) is None
    assert loads.shortest_wait_s(ALL, 0.1) > 0.5


def test_a_faster_endpoint_elsewhere_is_not_worth_its_bytes_while_answers_are_in_time():
    # Each request that leaves its failure domain costs a part of its worth.
    loads = LoadTracker("a1", "a")
    loads.note_time("near", "r", 0.15, 0.0)
    loads.note_time("beside", "r", 0.05, 0.0)
    assert pick(loads, 0.1) is NEAR
    loads.note_time("near", "r", 2.0, 0.1)
    assert pick(loads, 0.2) is BESIDE


def test_times_of_one_route_say_nothing_about_another():
    loads = LoadTracker("a1", "a")
    loads.note_time("near", "long", 2.0, 0.0)
    assert pick(loads, 0.1) is NEAR


def test_where_none_is_in_time_the_fastest_is_chosen():
    loads = LoadTracker("a1", "a")
    for vm, time_s in (("near", 0.9), ("beside", 0.8), ("far", 0.4)):
        loads.note_time(vm, "r", time_s, 0.0)
    assert pick(loads, 0.1) is FAR
