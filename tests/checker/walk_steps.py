"""The events that are possible in a state of the walk."""

from collections.abc import Callable, Iterator
from dataclasses import replace

from sesamepost.internal.coordination.nodes import OWNER_LEASE_S
from sesamepost.internal.ranges.table import RangeTable, reassign
from sesamepost.internal.ranges.takeover import lost_owners
from tests.checker import walk_effects as effects
from tests.checker.walk_world import (
    MAX_LATE,
    NODES,
    RANGES,
    VMS,
    Node,
    TableWrite,
    World,
)

Step = tuple[str, Callable[[World], None]]


def steps(world: World) -> Iterator[Step]:
    """Yield the events that are possible, by name."""
    yield "time passes", effects.pass_time
    for index in range(len(world.late_grants)):
        yield _event(f"late grant {index} is carried out", effects.execute_late, index)
    for index in range(len(world.late_writes)):
        yield _event(f"late write {index} is carried out", effects.write_late, index)
    for n in NODES:
        yield from _node_steps(world, n)


def _node_steps(world: World, n: int) -> Iterator[Step]:
    node, lease = world.nodes[n], world.entries[n]
    yield _event(f"process {n} is killed and restarts", effects.restart, n)
    yield _event(f"worker {n} is replaced", effects.replace_worker, n)
    if lease:
        yield _event(f"entry {n} is removed", effects.revoke, n)
        if world.now - world.renewals.get(lease, 0.0) >= OWNER_LEASE_S:
            yield _event(f"lease of {n} ends", effects.end_lease, n)
    yield _event(f"node {n} reads the store", effects.read_store, n)
    if node.lease:
        yield _event(f"node {n} renews its lease", effects.renew, n)
    else:
        yield _event(f"node {n} registers", effects.register, n)
    if world.lives[n].number != node.life:
        yield _event(f"node {n} hears of the new worker", effects.hear, n)
    yield from _grant_steps(world, n)
    yield from _move_steps(world, n)
    for name, write in _due_writes(world, n):
        yield _event(name, effects.write, n, write)
        if len(world.late_writes) < MAX_LATE:
            yield _event(f"{name}, unanswered", effects.leave_write, write)


def _grant_steps(world: World, n: int) -> Iterator[Step]:
    node = world.nodes[n]
    for command in node.holds.due_grants(node.right().until, world.now):
        r = command.key_range
        place = RANGES.index((r.first, r.last))
        if place in node.planned or place in node.waiting:
            continue
        if node.right().covers(r):
            yield _event(f"node {n} grants {place}", effects.grant, n, place, command)
            yield _event(
                f"node {n} plans a grant of {place}", effects.plan, n, place, command
            )
    for place in node.planned:
        yield _event(f"node {n} sends the grant of {place}", effects.send, n, place)
    for place in node.waiting:
        yield _event(f"grant of {place} by {n} is answered", effects.answer, n, place)
        yield _event(
            f"grant of {place} by {n}, answer lost", effects.lose_answer, n, place
        )
        if len(world.late_grants) < MAX_LATE:
            yield _event(f"grant of {place} by {n} is late", effects.delay, n, place)


def _move_steps(world: World, n: int) -> Iterator[Step]:
    node = world.nodes[n]
    for place, (first, _) in enumerate(RANGES):
        if node.table.find(first).owner != node.owner(n):
            continue
        if place not in node.moves:
            if node.knows_entry:
                yield _event(
                    f"node {n} decides to move {place}", effects.decide, n, place
                )
            continue
        ready_at = node.moves[place]
        if ready_at is None:
            if place not in node.planned and place not in node.waiting:
                name = f"node {n} releases {place}"
                yield _event(name, effects.release, n, place, True, True)
                yield _event(
                    f"{name}, answer lost", effects.release, n, place, True, False
                )
                yield _event(
                    f"{name}, call lost", effects.release, n, place, False, False
                )
        elif ready_at <= world.now:
            name = f"node {n} writes the move of {place}"
            yield _event(name, effects.commit_move, n, place, "now")
            if len(world.late_writes) < MAX_LATE:
                yield _event(
                    f"{name}, unanswered", effects.commit_move, n, place, "late"
                )
            yield _event(f"{name}, refused", effects.commit_move, n, place, "refused")


def _due_writes(world: World, n: int) -> Iterator[tuple[str, TableWrite]]:
    """Yield the writes of a node that hand no range over."""
    node, other = world.nodes[n], 1 - n
    if not node.lease:
        return
    base = TableWrite(n, node.table, node.table_revision, node.lease_record)
    adopted = [r for r in node.table.owned_by(VMS[n]) if r.owner != node.owner(n)]
    if adopted:
        table = _reassigned(node.table, adopted, n, node)
        yield f"node {n} adopts its ranges", replace(base, table=table)
    refused = node.holds.refused()
    if refused:
        table = _reassigned(node.table, refused, n, node)
        yield f"node {n} raises fences", replace(base, table=table)
    if node.knows_entry:
        return
    _, has_ended, revision = node.other_record
    if not has_ended:
        return
    since = node.absent(other, world.now).without_lease_since(VMS[other], world.now)
    lost = lost_owners(node.table, {VMS[other]: since}, world.now)
    if lost:
        ranges = [r for r in node.table.ranges if r.owner in lost]
        table = _reassigned(node.table, ranges, n, node)
        name = f"node {n} takes the ranges of {other}"
        yield name, replace(base, table=table, lost=other, lost_record=revision)


def _event(name: str, effect: Callable[..., None], *arguments) -> Step:
    return name, lambda world: effect(world, *arguments)


def _reassigned(table: RangeTable, ranges, n: int, node: Node) -> RangeTable:
    for r in ranges:
        table = reassign(table, r.first, r.last, node.owner(n))
    return table
