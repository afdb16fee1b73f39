"""Decisions of the controller on documents that have other writers as well."""

import asyncio
import time
from dataclasses import replace

import pytest

from sesamepost.internal.balance.reports import ReleasedKind
from sesamepost.internal.controller import controller as controller_module
from sesamepost.internal.identity import NodeId
from sesamepost.internal.lease.messages import Promise, PromiseRefused, Suspect
from sesamepost.internal.membership.fleet import Fleet, NodeState
from sesamepost.internal.membership.messages import Join, Leave
from sesamepost.internal.ownership.assignment import Assignment
from sesamepost.internal.ownership.messages import Released
from sesamepost.internal.store.envelope import write_document
from tests.controller.kit import (
    ASSIGNMENT,
    BRANCH,
    NODES,
    SERVICE,
    Leader,
    branch_with_drain,
    draining_leader,
    owners,
    record,
    store_with,
)

FIRST, SECOND, THIRD, FOURTH = NODES
RELEASE_REPEAT_INTERVAL_S = 0.5


class Clock:
    """A replacement for ``boottime`` in the controller."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(controller_module, "boottime", clock)
    return clock


async def test_an_owner_missing_from_an_older_fleet_is_not_treated_as_lost():
    # Guards against two owners. The controller reads the assignment after the fleet, so
    # an owner that joined in between is missing from the fleet that it holds.
    store = await store_with([record(FIRST), record(SECOND)], [FIRST, SECOND, THIRD])
    leader = Leader(store)
    await leader.begin()
    newer = Fleet(1, [record(node) for node in (FIRST, SECOND, THIRD)])
    await write_document(store, "fleet", newer.encode(), "test", 1)
    for node in (FIRST, SECOND):
        leader.report(node)
    before = owners(store.assignment())
    for _ in range(3):
        await leader.decide()
    assert owners(store.assignment()) == before
    assert THIRD in before
    await leader.read("fleet")
    leader.report(THIRD)
    await leader.decide()
    assert owners(store.assignment()) == before


async def test_a_fenced_owner_loses_its_partitions():
    # Guards against the test above passing because nothing is ever reassigned.
    records = [record(FIRST), record(SECOND), record(THIRD, NodeState.FENCED)]
    store = await store_with(records, [FIRST, SECOND, THIRD])
    leader = Leader(store)
    await leader.begin()
    for node in (FIRST, SECOND):
        leader.report(node)
    await leader.decide()
    assert set(owners(store.assignment())) == {FIRST, SECOND}


async def two_leaders(store, *reported):
    """Return two leaders whose reports make them assign to different nodes."""
    leaders = [Leader(store, FIRST), Leader(store, SECOND)]
    for number, leader in enumerate(leaders):
        await leader.begin()
        for index, node in enumerate(reported):
            leader.report(node, slots=90 if index == number else 1)
    return leaders


def check_epochs(before, after):
    """Check that every change of owner raised the epoch."""
    for partition, (old, new) in enumerate(
        zip(owners(before), owners(after), strict=True)
    ):
        if old != new:
            assert after.epochs[partition] > before.epochs[partition]
        assert after.epochs[partition] <= after.version


async def test_only_one_of_two_controllers_assigns_lost_partitions():
    # Guards against overwriting an assignment that the writer has not read.
    records = [record(FIRST), record(SECOND), record(THIRD, NodeState.FENCED)]
    store = await store_with(records, [FIRST, SECOND, THIRD])
    # The tombstone is kept while the assignment names its node, so the fleet is not
    # written.
    leaders = await two_leaders(store, FIRST, SECOND)
    before = store.assignment()
    await asyncio.gather(*(leader.decide() for leader in leaders))
    assert [key for key, _ in store.history] == [ASSIGNMENT]
    counts = [leader.controller.counters["write_conflicts"] for leader in leaders]
    assert sorted(counts) == [0, 1]
    after = store.assignment()
    check_epochs(before, after)
    assert THIRD not in owners(after)
    for leader in leaders:
        assert owners(leader.views.assignments[SERVICE]) == owners(after)
        await leader.decide()
    assert owners(store.assignment()) == owners(after)


async def test_only_one_of_two_controllers_moves_released_partitions():
    # Guards against a release that both controllers use, which would give an item a
    # second new owner after the first one has started serving.
    records = [record(node) for node in (FIRST, SECOND, THIRD)]
    store = await store_with(records, [FIRST, SECOND, THIRD], branch_with_drain(THIRD))
    leaders = await two_leaders(store, FIRST, SECOND, THIRD)
    before = store.assignment()
    targets = []
    for leader in leaders:
        await leader.decide()
        releases = leader.releases()
        targets.append([release.target for _, release in releases])
        leader.answer_releases(releases)
    assert targets[0] != targets[1]
    await asyncio.gather(*(leader.decide() for leader in leaders))
    assert store.history == [(ASSIGNMENT, 2)]
    after = store.assignment()
    check_epochs(before, after)
    moved = [p for p, owner in enumerate(owners(before)) if owner == THIRD]
    assert [owners(after)[p] for p in moved] in targets
    counts = [leader.controller.counters["write_conflicts"] for leader in leaders]
    assert sorted(counts) == [0, 1]
    for leader in leaders:
        await leader.decide()
        # Further partitions may move to the larger node, but none of the drained ones.
        pending = {item.number for item in leader.controller.pending.moves}
        assert not pending & set(moved)
    assert store.history == [(ASSIGNMENT, 2)]


async def test_items_released_for_a_lost_controller_are_granted_again():
    # Guards against partitions that no node serves because they were released for a
    # controller that is lost.
    lost = await draining_leader()
    releases = lost.releases()
    assert {node for node, _ in releases} == {THIRD}
    lost.answer_releases(releases)
    before = lost.store.assignment()
    # The drain ends before the next controller starts.
    store = lost.store
    await write_document(store, "settings/team", BRANCH.encode(), "test", 1)
    leader = Leader(store, SECOND)
    await leader.begin()
    released = [(ReleasedKind.PARTITION, release.item, 1) for _, release in releases]
    for node in (FIRST, SECOND):
        leader.report(node)
    leader.report(THIRD, released=released)
    await leader.decide()
    after = store.assignment()
    assert owners(after) == owners(before)
    items = {release.item for _, release in releases}
    for partition in range(len(after)):
        raised = after.epochs[partition] > before.epochs[partition]
        assert raised == (partition in items)
    assert after.coverage_epochs == before.coverage_epochs, "the records were lost"
    await leader.decide()
    assert store.version(ASSIGNMENT) == 2, "an outdated report caused another grant"


async def test_the_next_controller_finishes_a_move_that_a_lost_one_began():
    # Guards against a drain that hangs because its items are already released.
    lost = await draining_leader()
    first = lost.releases()
    lost.answer_releases(first)
    leader = Leader(lost.store, SECOND)
    await leader.begin()
    released = [(ReleasedKind.PARTITION, release.item, 1) for _, release in first]
    for node in (FIRST, SECOND):
        leader.report(node)
    leader.report(THIRD, released=released)
    await leader.decide()
    again = leader.releases()
    assert [release.item for _, release in again] == [
        release.item for _, release in first
    ]
    leader.answer_releases(again)
    await leader.decide()
    assert THIRD not in owners(leader.store.assignment())


async def test_a_lost_reply_to_an_assignment_write_has_no_effect():
    # Guards against a move that is written twice or lost.
    leader = await draining_leader()
    leader.answer_releases(leader.releases())
    leader.store.lose_replies = 1
    await leader.decide()
    assert leader.store.lose_replies == 0
    assert leader.store.history == [(ASSIGNMENT, 2)]
    assert leader.views.assignments[SERVICE].version == 2
    assert leader.controller.counters["writes_failed"] == 0
    assert not leader.controller.pending.moves
    await leader.decide()
    assert leader.store.history == [(ASSIGNMENT, 2)]


async def test_a_lost_reply_to_a_fleet_write_has_no_effect():
    # Guards against a join that is written twice, or reported as failed.
    store = await store_with([record(FIRST), record(SECOND)], [FIRST, SECOND])
    leader = Leader(store)
    await leader.begin()
    store.lose_replies = 1
    new = record(THIRD)
    leader.controller.receive(
        Join(new.node, *new.address, new.failure_domain, new.region, (FIRST,), 1)
    )
    leader.controller.receive(Leave(SECOND))
    await leader.decide()
    assert store.lose_replies == 0
    assert [key for key, _ in store.history] == ["fleet"]
    assert leader.views.fleet.version == store.version("fleet") == 2
    assert store.fleet().get(THIRD).witnesses == (FIRST,)
    assert store.fleet().get(SECOND).state is NodeState.LEAVING
    await leader.decide()
    assert [key for key, _ in store.history] == ["fleet"]


async def test_a_release_is_repeated_until_it_is_answered(clock):
    # Guards against a drain that hangs after the loss of one message, and against
    # sending a release at every tick.
    leader = await draining_leader()
    first = leader.releases()
    assert first
    clock.now += RELEASE_REPEAT_INTERVAL_S / 2
    await leader.decide()
    assert leader.releases() == []
    clock.now += RELEASE_REPEAT_INTERVAL_S / 2
    await leader.decide()
    assert leader.releases() == first
    leader.answer_releases(first[:1])
    clock.now += RELEASE_REPEAT_INTERVAL_S
    await leader.decide()
    assert leader.releases() == first[1:]
    leader.answer_releases(first[1:])
    clock.now += RELEASE_REPEAT_INTERVAL_S
    await leader.decide()
    clock.now += RELEASE_REPEAT_INTERVAL_S
    await leader.decide()
    assert leader.releases() == []


async def test_a_release_is_dropped_when_the_epoch_has_changed(clock):
    # Guards against accepting a late answer for an epoch that another controller has
    # replaced.
    leader = await draining_leader()
    first = leader.releases()
    store = leader.store
    other = store.assignment()
    for _, release in first:
        other.set_partition_owner(release.item, FOURTH, 2, records_kept=True)
    await write_document(store, ASSIGNMENT, other.encode(), "other", 1)
    await leader.read(ASSIGNMENT)
    clock.now += RELEASE_REPEAT_INTERVAL_S
    await leader.decide()
    assert all(release.epoch == 2 for _, release in leader.releases())
    leader.answer_releases(first)
    await leader.decide()
    assert owners(store.assignment()) == owners(other)


async def test_an_answer_for_another_target_does_not_complete_a_move():
    # Guards against a new owner without the records, which went to another node.
    leader = await draining_leader()
    ((_, release), *_) = leader.releases()
    other = next(node for node in (FIRST, SECOND) if node != release.target)
    leader.controller.receive(
        Released(
            release.service, release.is_key, release.item, release.epoch, other, True
        )
    )
    await leader.decide()
    assert leader.store.version(ASSIGNMENT) == 1


@pytest.mark.parametrize("records_kept", [True, False])
async def test_a_move_without_its_records_starts_a_new_coverage_epoch(records_kept):
    # Guards against executing a resubmitted request again at an owner that lacks its
    # record.
    leader = await draining_leader()
    releases = leader.releases()
    before = leader.store.assignment()
    leader.answer_releases(releases, records_kept)
    await leader.decide()
    after = leader.store.assignment()
    items = {release.item for _, release in releases}
    for partition in range(len(after)):
        is_new = partition in items and not records_kept
        expected = 2 if is_new else before.coverage_epochs[partition]
        assert after.coverage_epochs[partition] == expected
        assert after.epochs[partition] == (2 if partition in items else 1)


async def test_the_tombstone_of_an_owner_is_kept_until_it_owns_nothing():
    # Guards against a fenced owner that is treated as unknown, and thus as alive, for
    # ever.
    fenced = [record(node, NodeState.FENCED) for node in (THIRD, FOURTH)]
    store = await store_with([record(FIRST), *fenced], [THIRD])
    leader = Leader(store)
    await leader.begin()
    await leader.decide()
    assert store.fleet().get(FOURTH) is None, (
        "an expired tombstone that owns nothing was kept"
    )
    assert store.fleet().get(THIRD) is not None
    assert owners(store.assignment())[0] == THIRD, (
        "assigned without an announced endpoint"
    )
    leader.report(FIRST)
    await leader.decide()
    assert THIRD not in owners(store.assignment())
    await leader.decide()
    assert store.fleet().get(THIRD) is None


async def test_a_refused_promise_ends_the_suspicion(clock):
    # Guards against a refusal that closes the stream between witness and controller,
    # and against asking about a node for ever.
    witnesses = (FIRST, SECOND, THIRD)
    suspected = replace(record(FOURTH), witnesses=witnesses)
    records = [record(node) for node in witnesses]
    store = await store_with([*records, suspected], [FIRST])
    leader = Leader(store)
    await leader.begin()
    for witness in witnesses[1:]:
        leader.controller.receive(Suspect(FOURTH, witness))
    await leader.decide()
    asked = [message for _, message in leader.pool.sent if isinstance(message, Promise)]
    assert {promise.witness for promise in asked} >= {SECOND, THIRD}
    leader.pool.sent.clear()
    for witness in witnesses[1:]:
        refusal = PromiseRefused(FOURTH, witness, asked[0].fleet_version)
        leader.controller.receive(refusal)
    clock.now += RELEASE_REPEAT_INTERVAL_S
    await leader.decide()
    assert not [
        message for _, message in leader.pool.sent if isinstance(message, Promise)
    ]
    assert store.fleet().get(FOURTH).state is NodeState.ACTIVE


async def test_fencing_replans_only_the_services_of_the_lost_node():
    # Guards against lost partitions that wait until all 24 services are planned.
    store = await store_with([record(FIRST), record(SECOND)], [FIRST, SECOND])
    leader = Leader(store)
    await leader.begin()
    await leader.decide()
    controller = leader.controller
    controller.planned_at = {SERVICE: 1.0, "other": 1.0}
    other = Assignment("other", 4)
    other.set_partition_owner(0, FIRST, 1, records_kept=False)
    controller.views.assignments["other"] = other
    fenced = Fleet(1, [record(FIRST), record(SECOND, NodeState.FENCED)])
    await write_document(store, "fleet", fenced.encode(), "test", 1)
    await leader.read("fleet")
    assert controller.planned_at == {"other": 1.0}


async def test_partitions_of_a_restarting_vm_wait_until_its_endpoint_has_slots():
    # Guards against moving the partitions to other VMs while the next incarnation has
    # announced its endpoint but has no grant for it yet.
    resigned = replace(
        record(SECOND, NodeState.FENCED), fenced_at=int(time.time()), resigned=True
    )
    returned = NodeId(SECOND.vm, 99)
    branch = BRANCH.replace("[team]", "[team]\nrestart = wait")
    store = await store_with(
        [record(FIRST), resigned, record(returned)], [FIRST, SECOND], branch
    )
    before = owners(store.assignment())
    leader = Leader(store)
    await leader.begin()
    leader.report(FIRST)
    leader.report(returned, slots=0)
    await leader.decide()
    assert owners(store.assignment()) == before
    leader.report(returned, slots=6)
    await leader.decide()
    after = [returned if owner == SECOND else owner for owner in before]
    assert owners(store.assignment()) == after
