"""Takeover of the ranges of endpoints and nodes that are gone."""

import json

import pytest
from structlog.testing import capture_logs

from sesamepost.internal.clock import boottime
from sesamepost.internal.coordination.mirror import Mirror
from sesamepost.internal.coordination.nodes import (
    LAST_LEASE_PREFIX,
    EndpointInfo,
    NodeEntry,
    NodeTable,
)
from sesamepost.internal.coordination.store import Deletion, Item, StoreSilentError
from sesamepost.internal.ranges.holds import HOLD_S, TAKEOVER_SLACK_S
from sesamepost.internal.ranges.table import Owner, new_table
from sesamepost.internal.ranges.table_store import TableStore
from sesamepost.internal.ranges.takeover import Takeover, lost_owners
from tests.clocks import StoppableClock
from tests.coordination.memory_store import MemoryStore, put

A, B = Owner("10.0.0.1", "i-1", 1), Owner("10.0.0.2", "i-2", 2)
WAIT_S = HOLD_S + TAKEOVER_SLACK_S


def entry(owner: Owner, ready: bool = True) -> NodeEntry:
    endpoint = EndpointInfo("desk", owner.endpoint_id, owner.born, 6, "v1", ready)
    return NodeEntry(owner.vm, owner.vm, 1, 7600, "a", "r", endpoint)


def test_a_missing_owner_is_lost_only_after_its_longest_hold():
    # Guards against two holders of a key after a lease that ended early.
    table = new_table([A, B])
    absent = {A.vm: 10.0}
    assert lost_owners(table, absent, 10.0 + WAIT_S - 0.01) == set()
    assert lost_owners(table, absent, 10.0 + WAIT_S) == {A}
    assert lost_owners(table, {}, 100.0) == set()


@pytest.fixture
def parts():
    store = MemoryStore()
    mirror = Mirror(store)
    nodes = NodeTable(mirror)
    tables = TableStore(store, mirror, "desk")
    return store, mirror, nodes, tables


async def put_and_mirror(
    store: MemoryStore, mirror: Mirror, key: str, value: bytes
) -> None:
    await put(store, key, value)
    mirror.offer(store.items[key])


async def prepare_takeover(store, mirror, nodes, tables, owners=(A, B)) -> Takeover:
    for owner in owners:
        await put_and_mirror(
            store, mirror, nodes.node_key(owner.vm), entry(owner).encode()
        )
        await put_and_mirror(store, mirror, LAST_LEASE_PREFIX + owner.vm, b"1")
    await tables.change("test", lambda table: new_table(list(owners)))
    mirror.in_contact = True
    return Takeover(B.vm, tables, nodes, mirror)


@pytest.fixture
def clock(monkeypatch):
    return StoppableClock(monkeypatch)


def delete_entry(store: MemoryStore, mirror: Mirror, key: str) -> None:
    store.revision += 1
    del store.items[key]
    mirror._apply(Deletion(key, store.revision), boottime())


async def step(takeover: Takeover) -> None:
    """Step until the leases of absent nodes have been ended and that is known."""
    await takeover.step()
    if takeover.ending is not None:
        await takeover.ending
        await takeover.step()


async def step_for(takeover: Takeover, clock: StoppableClock, duration_s: float):
    """Step now and after ``duration_s`` seconds."""
    await step(takeover)
    clock.stop(duration_s)
    await step(takeover)


async def test_ranges_of_a_lost_node_go_to_live_endpoints(parts, clock):
    store, mirror, nodes, tables = parts
    takeover = await prepare_takeover(*parts)
    delete_entry(store, mirror, nodes.node_key(A.vm))
    await step_for(takeover, clock, WAIT_S - 0.1)
    assert set(tables.table.keys_by_owner()) == {A, B}
    await step_for(takeover, clock, 0.2)
    assert set(tables.table.keys_by_owner()) == {B}


async def test_the_wait_for_a_lost_node_begins_with_the_end_of_its_lease(parts, clock):
    # Guards against two holders of a key: the entry was removed long ago, but the node
    # may have renewed its lease until now.
    store, mirror, nodes, tables = parts
    takeover = await prepare_takeover(*parts)
    delete_entry(store, mirror, nodes.node_key(A.vm))
    clock.stop(10 * WAIT_S)
    await step_for(takeover, clock, WAIT_S - 0.1)
    assert set(tables.table.keys_by_owner()) == {A, B}
    assert 1 not in store.leases
    await step_for(takeover, clock, 0.2)
    assert set(tables.table.keys_by_owner()) == {B}


async def test_a_node_whose_lease_cannot_be_ended_keeps_its_ranges(parts, clock):
    # Guards against a takeover while the lease of the owner may still be renewed.
    store, mirror, nodes, tables = parts
    takeover = await prepare_takeover(*parts)
    delete_entry(store, mirror, nodes.node_key(A.vm))

    async def end_lease(lease: int) -> None:
        raise StoreSilentError("no answer")

    store.end_lease = end_lease
    for _ in range(3):
        await step_for(takeover, clock, WAIT_S)
    assert set(tables.table.keys_by_owner()) == {A, B}


async def test_a_node_that_returned_unseen_keeps_its_ranges(parts, clock):
    # Guards against two holders of a key. If a node returns and is lost again while
    # this node hears nothing, its holds may be newer than the missing entry suggests.
    store, mirror, nodes, tables = parts
    takeover = await prepare_takeover(*parts)
    delete_entry(store, mirror, nodes.node_key(A.vm))
    await step(takeover)
    clock.stop(WAIT_S + 0.1)
    last_lease_key = LAST_LEASE_PREFIX + A.vm
    store.revision += 1
    store.items[last_lease_key] = Item(last_lease_key, b"2", store.revision)
    await takeover.step()
    assert set(tables.table.keys_by_owner()) == {A, B}


async def test_a_new_lease_that_a_refusal_shows_restarts_the_wait(parts, clock):
    # Guards against two holders of a key. The refusal of a takeover shows that the node
    # has had another lease, but not when it was lost again.
    store, mirror, nodes, tables = parts
    takeover = await prepare_takeover(*parts)
    delete_entry(store, mirror, nodes.node_key(A.vm))
    await step(takeover)
    clock.stop(WAIT_S + 0.1)
    last_lease_key = LAST_LEASE_PREFIX + A.vm
    store.revision += 1
    store.items[last_lease_key] = Item(last_lease_key, b"2", store.revision)
    await takeover.step()
    mirror.offer(store.items[last_lease_key])
    await step_for(takeover, clock, WAIT_S - 0.1)
    assert set(tables.table.keys_by_owner()) == {A, B}


async def test_nothing_is_taken_over_without_store_contact(parts, clock):
    store, mirror, nodes, tables = parts
    takeover = await prepare_takeover(*parts)
    delete_entry(store, mirror, nodes.node_key(A.vm))
    await step(takeover)
    clock.stop(WAIT_S + 0.1)
    mirror.in_contact = False
    await takeover.step()
    assert set(tables.table.keys_by_owner()) == {A, B}


async def test_a_listing_after_lost_history_restarts_the_wait(parts):
    # Guards against a takeover although the lost history hid the return of the node.
    store, mirror, nodes, _ = parts
    await prepare_takeover(*parts)
    key = nodes.node_key(A.vm)
    delete_entry(store, mirror, key)
    before = mirror.missing[key]
    mirror._replace(await store.list(""))
    assert mirror.missing[key] > before


async def test_an_endpoint_that_its_node_reported_ended_is_replaced_at_once(parts):
    # Guards against a needless wait: a node that stops during an outage of the store
    # cannot write, so its peers must remember its report.
    _, _, _, tables = parts
    takeover = await prepare_takeover(*parts)
    takeover.note_ended(A)
    takeover.due_since = 0.0
    await takeover.step()
    assert set(tables.table.keys_by_owner()) == {B}


async def test_many_lost_vms_are_replaced_in_several_transactions(parts, clock):
    # Guards against a takeover that the store rejects on every try: a transaction has
    # at most 32 entries, which the loss of 16 VMs at once exceeded.
    store, mirror, nodes, tables = parts
    lost = [Owner(f"10.0.1.{i}", f"j-{i}", i) for i in range(20)]
    takeover = await prepare_takeover(*parts, owners=(B, *lost))
    for owner in lost:
        delete_entry(store, mirror, nodes.node_key(owner.vm))
    await step_for(takeover, clock, WAIT_S)
    for _ in range(2):
        await takeover.step()
    assert set(tables.table.keys_by_owner()) == {B}


async def test_each_lost_owner_is_logged_with_the_reason_and_its_entry(parts, clock):
    # Guards against logs that do not tell a report that an endpoint ended from a node
    # that was missing long enough.
    store, mirror, nodes, _ = parts
    third = Owner("10.0.0.3", "i-3", 3)
    takeover = await prepare_takeover(*parts, owners=(A, B, third))
    delete_entry(store, mirror, nodes.node_key(third.vm))
    with capture_logs() as logs:
        takeover.note_ended(A)
        takeover.due_since = 0.0
        # It is this node's turn to end a lease after half a second.
        for _ in range(3):
            await step_for(takeover, clock, WAIT_S)
    lost = {line["endpoint"]: line for line in logs if line["event"] == "owner_lost"}
    assert sum(line["event"] == "owner_lost" for line in logs) == 2
    assert lost["i-1"]["is_reported_ended"]
    assert lost["i-1"]["is_entry_present"]
    assert (lost["i-1"]["entry_born"], lost["i-1"]["missing_s"]) == (1, None)
    assert not lost["i-3"]["is_reported_ended"]
    assert not lost["i-3"]["is_entry_present"]
    assert lost["i-3"]["missing_s"] >= WAIT_S


async def test_an_endpoint_that_was_reported_as_ended_and_lives_on_is_an_owner(parts):
    # Guards against OWNER: the ranges of an endpoint whose end was reported by mistake
    # were given to others at every step without a wait.
    store, mirror, nodes, tables = parts
    takeover = await prepare_takeover(store, mirror, nodes, tables)
    takeover.note_ended(A)
    key = nodes.node_key(A.vm)
    await put_and_mirror(store, mirror, key, entry(A, ready=False).encode())
    takeover._forget_wrong_reports(takeover._available_owners())
    assert A in takeover._lost_owners(0.0)
    await put_and_mirror(store, mirror, key, entry(A).encode())
    takeover._forget_wrong_reports(takeover._available_owners())
    assert takeover._lost_owners(0.0) == set()


async def test_ranges_of_a_reported_endpoint_that_was_published_again_do_not_move(
    parts,
):
    # Guards against OWNER: a node publishes its endpoint again while another one, whose
    # watch does not show that yet, acts on the report of its end.
    store, _, nodes, tables = parts
    takeover = await prepare_takeover(*parts)
    takeover.note_ended(A)
    takeover.due_since = 0.0
    await put(store, nodes.node_key(A.vm), entry(A).encode())
    await takeover.step()
    assert set(tables.table.keys_by_owner()) == {A, B}


async def test_a_table_with_a_section_that_cannot_be_read_is_not_made_anew(
    parts, clock
):
    # Guards against OWNER: a node that has just started and finds one section that
    # another writer wrote distributed all keys again, with fences that begin at 1.
    store, mirror, nodes, tables = parts
    await prepare_takeover(*parts)
    await put(store, tables.keys[3], b"odd")
    started_mirror = Mirror(store)
    started_nodes = NodeTable(started_mirror)
    started_tables = TableStore(store, started_mirror, "desk")
    started_mirror._replace(await store.list(""))
    started_mirror.in_contact = True
    takeover = Takeover(B.vm, started_tables, started_nodes, started_mirror)
    before, table = dict(store.items), tables.table
    for _ in range(4):
        await step_for(takeover, clock, 2.0)
    assert store.items == before
    mirror.offer(store.items[tables.keys[3]])
    takeover = Takeover(B.vm, tables, nodes, mirror)
    for _ in range(2):
        await step_for(takeover, clock, 2.0)
    started_mirror.offer(store.items[tables.keys[3]])
    assert started_tables.table == tables.table == table


async def test_a_reported_owner_whose_lease_may_be_renewed_is_logged_as_valid_json(
    parts,
):
    # Guards against a line of the log that cannot be read: the time is infinite.
    store, mirror, nodes, _ = parts
    takeover = await prepare_takeover(*parts)
    delete_entry(store, mirror, nodes.node_key(A.vm))
    takeover.note_ended(A)
    takeover.due_since = 0.0
    with capture_logs() as logs:
        await takeover.step()
    (lost,) = [line for line in logs if line["event"] == "owner_lost"]
    assert json.loads(json.dumps(lost, allow_nan=False))["missing_s"] is None
