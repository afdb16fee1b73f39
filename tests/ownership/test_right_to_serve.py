"""A daemon dispatches only for keys that no other node can own at that moment."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sesamepost.errors import ErrorKind
from sesamepost.internal.identity import NodeId
from sesamepost.internal.ownership.assignment import Assignment
from sesamepost.internal.ownership.items import Item, item_of, key_hash_filter
from sesamepost.internal.ownership.messages import Records, Release, Released
from sesamepost.internal.ownership.releases import ReleaseTable
from sesamepost.internal.ownership.right_to_serve import (
    dispatch_deadline,
    right_to_serve,
)
from sesamepost.internal.wire.messages import decode, encode
from sesamepost.standins.fence import Fence

A, B = NodeId("vm-a", 1), NodeId("vm-b", 1)
HOT = 16 + 3
COLD = 32 + 3
PARTITION = Item("s", False, 3)
HOT_KEY = Item("s", True, HOT)


def assignment(version=1, owner=A):
    result = Assignment("s", 16)
    for partition in range(16):
        result.set_partition_owner(partition, owner, version, records_kept=True)
    return result


def may_serve(document, key_hash=COLD, node=A, releases=None, expiry=10.0, now=9.0):
    releases = releases or ReleaseTable()
    result = right_to_serve(document, key_hash, node, releases, expiry, now)
    assert result.is_ok() or result.error is ErrorKind.NOT_OWNER
    return result.is_ok()


def test_serving_requires_ownership_a_lease_and_an_endpoint():
    # Guards against two nodes serving a key, one of which has a stale assignment, has
    # restarted or was paused past the end of its lease.
    document = assignment()
    assert may_serve(document)
    assert may_serve(document, expiry=math.inf)
    assert not may_serve(None)
    assert not may_serve(document, node=B)
    assert not may_serve(document, node=NodeId("vm-a", 2))
    assert not may_serve(document, now=10.0)
    assert right_to_serve(
        document, COLD, A, ReleaseTable(), 10.0, 9.0, endpoint_in_service=False
    ).is_error()


def test_a_released_partition_is_served_again_only_under_a_higher_epoch():
    # Guards against an old owner that still serves after the new one has been written.
    releases, document = ReleaseTable(), assignment(version=5)
    assert releases.begin(PARTITION, 5)
    assert not may_serve(document, releases=releases)
    releases.begin(PARTITION, 4)
    releases.discard_superseded(document)
    assert not may_serve(document, releases=releases)
    assert may_serve(document, key_hash=4, releases=releases)
    document.set_partition_owner(3, A, 6, records_kept=True)
    assert may_serve(document, releases=releases)
    assert releases.released() == [(PARTITION, 5)]
    releases.discard_superseded(document)
    assert releases.released() == []


def test_a_release_that_arrives_before_its_assignment_takes_effect():
    # Guards against ignoring a release that overtakes the assignment it refers to.
    releases = ReleaseTable()
    releases.begin(PARTITION, 9)
    assert not may_serve(assignment(version=9), releases=releases)


def test_a_hot_key_is_released_separately_from_its_partition():
    # Guards against the release of a key stopping its whole partition, or the reverse.
    releases, document = ReleaseTable(), assignment(version=5)
    releases.enter(PARTITION, HOT)
    releases.enter(PARTITION, COLD)
    assert not releases.begin(HOT_KEY, 5)
    assert not may_serve(document, HOT, releases=releases)
    assert may_serve(document, COLD, releases=releases)
    assert releases.leave(PARTITION, HOT) == [HOT_KEY]
    document.set_key_owner(HOT, A, 7, records_kept=True)
    releases.begin(PARTITION, 8)
    assert may_serve(document, HOT, releases=releases)
    assert not may_serve(document, COLD, releases=releases)
    assert item_of(document, HOT) == HOT_KEY
    assert [key_hash_filter(document, PARTITION)(h) for h in (HOT, COLD, 4)] == [
        False,
        True,
        False,
    ]
    assert [key_hash_filter(document, HOT_KEY)(h) for h in (HOT, COLD)] == [True, False]


def test_the_fence_accepts_a_partition_on_the_node_of_its_hot_key():
    # Guards against a fenced endpoint that refuses a hot key because its partition
    # moved to the same node later, or refuses the partition because the key did.
    document, fence = assignment(version=5), Fence()
    fence.grant(1, valid_until_ns=10)
    document.set_key_owner(HOT, A, 7, records_kept=True)
    for key_hash in (HOT, COLD, HOT):
        name = item_of(document, key_hash).fence_name
        assert (
            fence.refusal_reason(name, document.find(key_hash).epoch, now_ns=1) is None
        )


OPERATIONS = st.lists(
    st.tuples(st.sampled_from(["enter", "leave", "release"]), st.integers(0, 5)),
    max_size=60,
)


@settings(derandomize=True, deadline=None)
@given(operations=OPERATIONS)
def test_a_release_is_reported_once_and_only_when_nothing_is_in_flight(operations):
    # Guards against exporting records while a request is still in flight, and against
    # a release that is never reported as complete.
    releases, running, waiting = ReleaseTable(), [], set()
    for name, number in operations:
        item, key_hash = Item("s", False, number % 2), number
        target = item if number < 3 else Item("s", True, number)
        match name:
            case "enter":
                releases.enter(item, key_hash)
                running.append((item, key_hash))
            case "leave" if running:
                finished = running.pop(number % len(running))
                complete = releases.leave(*finished)
                idle = {i for i in waiting if not in_flight(running, i)}
                assert sorted(complete) == sorted(idle)
                waiting -= idle
            case "release":
                if releases.begin(target, 1):
                    assert not in_flight(running, target)
                else:
                    waiting.add(target)
    assert all(in_flight(running, item) for item in waiting)


def in_flight(running, item):
    if item.is_key:
        return any(key_hash == item.number for _, key_hash in running)
    return any(served_as == item for served_as, _ in running)


def test_leaving_without_entering_is_an_error():
    # Guards against a negative count, which would complete a release too early.
    with pytest.raises(ValueError, match="in flight"):
        ReleaseTable().leave(PARTITION, HOT)


def test_the_deadline_of_an_unfenced_endpoint_ends_with_the_lease():
    # Guards against work that continues after the next owner has started serving.
    assert dispatch_deadline(20.0, 10.0, fenced=False) == 10.0
    assert dispatch_deadline(5.0, 10.0, fenced=False) == 5.0
    assert dispatch_deadline(20.0, 10.0, fenced=True) == 20.0


@pytest.mark.parametrize(
    "item",
    [
        Release("s", True, 2**64 - 1, 5, B),
        Released("s", False, 3, 5, B, True),
        Records("s", False, 3, 5, 2, 17.5, 0, 1, [["k", "i", 9, 1, 0.5, 200, [], b""]]),
    ],
)
def test_messages_round_trip(item):
    # Guards against fields that msgpack decodes to another type.
    assert decode(encode(item)) == item
