"""Walks a small case whole: all orders of events up to a depth, each state once.

Run as ``python -m tests.checker.walk [SECONDS]`` it prints the states of each depth.
"""

import random
import sys
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace

from sesamepost.internal.coordination.nodes import OWNER_LEASE_S
from sesamepost.internal.ranges.holds import (
    MIN_HOLD_S,
    GrantCommand,
    HoldTracker,
    hold_end,
)
from sesamepost.internal.ranges.table import LAST_KEY, RangeTable, reassign
from sesamepost.internal.ranges.takeover import lost_owners
from tests.checker.walk_world import (
    CLOCK_LAG,
    MAX_LATE,
    NODES,
    RANGES,
    VMS,
    Life,
    Node,
    SentGrant,
    TableWrite,
    World,
    initial_world,
    look,
    new_process,
    owner_of,
)

# Two steps outlast each hold and each wait of a takeover.
STEP_S = 2.8
WEIGHTS = (0.05, 0.3, 1.0, 3.0)
WITHOUT_DIGITS = str.maketrans("", "", "0123456789")

Step = tuple[str, Callable[[World], None]]


@dataclass(slots=True)
class Walk:
    """What a walk has seen; ``trace`` leads to ``problem``, if there is one."""

    states: int = 0
    orders: int = 0
    steps: int = 0
    # The depth to which all orders were walked, and the states first seen at each.
    depth: int = 0
    by_depth: tuple[int, ...] = ()
    problem: str = ""
    trace: tuple[str, ...] = ()


def walk(seconds: float, max_depth: int = 100) -> Walk:
    """Walk all orders, breadth first, for at most ``seconds`` of real time."""
    end = time.monotonic() + seconds
    world = initial_world()
    seen = {world.key()}
    level: list[tuple[World, tuple]] = [(world, ())]
    found = Walk(states=1, by_depth=(1,))
    while level and found.depth < max_depth:
        following: list[tuple[World, tuple]] = []
        for state, trace in level:
            if time.monotonic() > end:
                return found
            for name, step in steps(state):
                found.steps += 1
                successor = state.clone()
                step(successor)
                if successor.problem:
                    found.problem = successor.problem
                    found.trace = _names((trace, name))
                    return found
                key = successor.key()
                if key in seen:
                    continue
                seen.add(key)
                found.states += 1
                following.append((successor, (trace, name)))
        found.depth += 1
        found.by_depth += (len(following),)
        level = following
    return found


def stroll(seed: int, orders: int, length: int) -> Walk:
    """Walk ``orders`` random orders of ``length`` events each, to a greater depth.

    Each order draws how often each kind of event happens, so that some orders have
    many of one kind.
    """
    rng = random.Random(seed)
    found = Walk()
    for _ in range(orders):
        found.orders += 1
        weights: dict[str, float] = {}
        world, trace = initial_world(), []
        for _ in range(length):
            possible = list(steps(world))
            shares = [_weight(rng, weights, name) for name, _ in possible]
            ((name, step),) = rng.choices(possible, shares)
            step(world)
            trace.append(name)
            found.steps += 1
            if world.problem:
                found.problem, found.trace = world.problem, tuple(trace)
                return found
    return found


def _weight(rng: random.Random, weights: dict[str, float], name: str) -> float:
    """Return the weight of the kind of an event, which its numbers don't tell."""
    kind = name.translate(WITHOUT_DIGITS)
    if kind not in weights:
        weights[kind] = rng.choice(WEIGHTS)
    return weights[kind]


def play(names: Iterable[str]) -> World:
    """Return the world after these events, or before one that is not possible."""
    world = initial_world()
    for name in names:
        step = dict(steps(world)).get(name)
        if step is None:
            break
        step(world)
    return world


def _names(trace: tuple) -> tuple[str, ...]:
    names = []
    while trace:
        trace, name = trace
        names.append(name)
    return tuple(reversed(names))


def steps(world: World) -> Iterator[Step]:
    """Yield the events that are possible, by name."""
    yield "time passes", _pass_time
    for index in range(len(world.late_grants)):
        yield f"late grant {index} is carried out", _bind(_execute_late, index)
    for index in range(len(world.late_writes)):
        yield f"late write {index} is carried out", _bind(_write_late, index)
    for n in NODES:
        yield from _node_steps(world, n)


def _node_steps(world: World, n: int) -> Iterator[Step]:
    node, lease = world.nodes[n], world.entries[n]
    yield f"process {n} is killed and restarts", _bind(_restart, n)
    yield f"worker {n} is replaced", _bind(_replace_worker, n)
    if lease:
        yield f"entry {n} is removed", _bind(_revoke, n)
        if world.now - world.renewals.get(lease, 0.0) >= OWNER_LEASE_S:
            yield f"lease of {n} ends", _bind(_end_lease, n)
    yield f"node {n} reads the store", _bind(_look, n)
    if node.lease:
        yield f"node {n} renews its lease", _bind(_renew, n)
    else:
        yield f"node {n} registers", _bind(_register, n)
    if world.lives[n].number != node.life:
        yield f"node {n} hears of the new worker", _bind(_hear, n)
    yield from _grant_steps(world, n)
    yield from _move_steps(world, n)
    for name, write in _due_writes(world, n):
        yield name, _bind(_write, n, write)
        if len(world.late_writes) < MAX_LATE:
            yield f"{name}, unanswered", _bind(_leave_write, write)


def _grant_steps(world: World, n: int) -> Iterator[Step]:
    node = world.nodes[n]
    for command in node.holds.due_grants(node.right().until, world.now):
        r = command.key_range
        place = RANGES.index((r.first, r.last))
        if place in node.planned or place in node.waiting:
            continue
        if node.right().covers(r):
            yield f"node {n} grants {place}", _bind(_grant, n, place, command)
            yield f"node {n} plans a grant of {place}", _bind(_plan, n, place, command)
    for place in node.planned:
        yield f"node {n} sends the grant of {place}", _bind(_send, n, place)
    for place in node.waiting:
        yield f"grant of {place} by {n} is answered", _bind(_answer, n, place)
        yield f"grant of {place} by {n}, answer lost", _bind(_lose_answer, n, place)
        if len(world.late_grants) < MAX_LATE:
            yield f"grant of {place} by {n} is late", _bind(_delay, n, place)


def _move_steps(world: World, n: int) -> Iterator[Step]:
    node = world.nodes[n]
    for place, (first, _) in enumerate(RANGES):
        if node.table.find(first).owner != node.owner(n):
            continue
        if place not in node.moves:
            if node.knows_entry:
                yield f"node {n} decides to move {place}", _bind(_decide, n, place)
            continue
        ready_at = node.moves[place]
        if ready_at is None:
            if place not in node.planned and place not in node.waiting:
                name = f"node {n} releases {place}"
                yield name, _bind(_release, n, place, True, True)
                yield f"{name}, answer lost", _bind(_release, n, place, True, False)
                yield f"{name}, call lost", _bind(_release, n, place, False, False)
        elif ready_at <= world.now:
            name = f"node {n} writes the move of {place}"
            yield name, _bind(_commit_move, n, place, "now")
            if len(world.late_writes) < MAX_LATE:
                yield f"{name}, unanswered", _bind(_commit_move, n, place, "late")
            yield f"{name}, refused", _bind(_commit_move, n, place, "refused")


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
    lost = lost_owners(node.table, {VMS[n]}, {VMS[other]: since}, world.now)
    if lost:
        ranges = [r for r in node.table.ranges if r.owner in lost]
        table = _reassigned(node.table, ranges, n, node)
        name = f"node {n} takes the ranges of {other}"
        yield name, replace(base, table=table, lost=other, lost_record=revision)


def _bind(step, *arguments) -> Callable[[World], None]:
    return lambda world: step(world, *arguments)


def _reassigned(table: RangeTable, ranges, n: int, node: Node) -> RangeTable:
    for r in ranges:
        table = reassign(table, r.first, r.last, node.owner(n))
    return table


def _pass_time(world: World) -> None:
    world.now += STEP_S
    for life in world.lives:
        life.keys.take_ended(world.now)


def _restart(world: World, n: int) -> None:
    node = world.nodes[n]
    room = MAX_LATE - len(world.late_grants)
    world.late_grants += tuple(node.waiting.values())[:room]
    world.nodes[n] = new_process(world, n)


def _replace_worker(world: World, n: int) -> None:
    world.lives[n] = Life(world.lives[n].number + 1)
    world.late_grants = tuple(g for g in world.late_grants if g.node != n)


def _revoke(world: World, n: int) -> None:
    world.entries[n] = 0
    world.revision += 1


def _end_lease(world: World, n: int) -> None:
    world.renewals.pop(world.entries[n], None)
    _revoke(world, n)


def _look(world: World, n: int) -> None:
    node = world.nodes[n]
    look(world, n, node)
    if node.lease and world.entries[n] != node.lease:
        node.lease = 0
    lease, has_ended, revision = node.other_record
    if node.knows_entry or has_ended:
        return
    # AbsentNodes ends the lease and marks the record, while the entry is missing.
    other = 1 - n
    world.renewals.pop(lease, None)
    if world.entries[other] == lease:
        _revoke(world, other)
    if world.records[other][2] == revision and not world.entries[other]:
        world.revision += 1
        world.records[other] = lease, True, world.revision
        look(world, n, node)


def _renew(world: World, n: int) -> None:
    node = world.nodes[n]
    if node.lease in world.renewals:
        node.renewed_at = world.renewals[node.lease] = world.now
    else:
        node.lease = 0


def _register(world: World, n: int) -> None:
    node = world.nodes[n]
    world.revision += 1
    node.lease = max(lease for lease, _, _ in world.records) + 1
    node.lease_revision = node.lease_record = world.revision
    world.renewals.pop(world.records[n][0], None)
    world.entries[n] = node.lease
    world.records[n] = node.lease, False, world.revision
    node.renewed_at = world.renewals[node.lease] = world.now


def _hear(world: World, n: int) -> None:
    node = world.nodes[n]
    until = node.holds.possible_until(0, LAST_KEY)
    node.life = world.lives[n].number
    node.holds = HoldTracker(assumed_until=until)
    node.planned, node.waiting, node.moves, node.tokens = {}, {}, {}, set()
    current = [r for r in node.table.owned_by(VMS[n]) if r.owner == node.owner(n)]
    node.holds.set_ranges(current, world.now)


def _grant(world: World, n: int, place: int, command: GrantCommand) -> None:
    """Plan, send, carry out and answer a grant without a pause."""
    _plan(world, n, place, command)
    _send(world, n, place)
    if place in world.nodes[n].waiting:
        _answer(world, n, place)


def _plan(world: World, n: int, place: int, command: GrantCommand) -> None:
    node = world.nodes[n]
    node.holds.note_sent(command, world.now)
    node.planned[place] = command


def _send(world: World, n: int, place: int) -> None:
    node, life = world.nodes[n], world.lives[n]
    command = node.planned.pop(place)
    r = command.key_range
    hold = node.holds.find(r.first)
    if hold is None or hold.key_range.fence != r.fence:
        return
    if not node.fences.claim(r.fence, life.number):
        hold.is_refused = True
        return
    hold_s = command.hold_s_at(world.now)
    if hold_s < MIN_HOLD_S:
        return
    node.waiting[place] = SentGrant(
        n, node.process, life.number, command, hold_s, world.now
    )


def _answer(world: World, n: int, place: int) -> None:
    node = world.nodes[n]
    grant = node.waiting.pop(place)
    if grant.life != world.lives[n].number:
        node.holds.note_unanswered(grant.command, _latest_end(grant))
    elif _execute(world, grant):
        node.holds.note_granted(grant.command, grant.arrived_at)
    else:
        node.holds.note_refused(grant.command)


def _lose_answer(world: World, n: int, place: int) -> None:
    node = world.nodes[n]
    grant = node.waiting.pop(place)
    _execute(world, grant)
    node.holds.note_unanswered(grant.command, _latest_end(grant))


def _delay(world: World, n: int, place: int) -> None:
    node = world.nodes[n]
    grant = node.waiting.pop(place)
    node.holds.note_unanswered(grant.command, _latest_end(grant))
    world.late_grants += (grant,)


def _latest_end(grant: SentGrant) -> float:
    return hold_end(grant.hold_s, grant.arrived_at)


def _execute_late(world: World, index: int) -> None:
    grant = world.late_grants[index]
    rest = world.late_grants[:index] + world.late_grants[index + 1 :]
    world.late_grants = rest
    _execute(world, grant)


def _execute(world: World, grant: SentGrant) -> bool:
    """Carry out a grant at the worker, and check what it takes."""
    life, r = world.lives[grant.node], grant.command.key_range
    if life.number != grant.life:
        return False
    if not life.keys.accept(r.first, r.last, r.fence):
        return False
    until = grant.arrived_at + grant.hold_s / (1.0 - CLOCK_LAG)
    if until <= world.now:
        return True
    life.keys.add(r.first, r.last, r.fence, until)
    if world.lives[1 - grant.node].keys.until(r.first) > world.now:
        world.problem = f"both workers hold {r.first}, fence {r.fence}"
    place = RANGES.index((r.first, r.last))
    fence, *holder = world.highest[place]
    taker = (grant.node, grant.life)
    if tuple(holder) != taker and r.fence <= fence:
        world.problem = f"{taker} takes {r.first} with fence {r.fence}, not above"
    if r.fence >= fence:
        highest = list(world.highest)
        highest[place] = (r.fence, *taker)
        world.highest = tuple(highest)
    return True


def _decide(world: World, n: int, place: int) -> None:
    node = world.nodes[n]
    node.holds.start_release(*RANGES[place])
    node.moves[place] = None


def _release(
    world: World, n: int, place: int, is_executed: bool, is_answered: bool
) -> None:
    node, span = world.nodes[n], RANGES[place]
    if is_executed:
        world.lives[n].keys.drop(*span)
    if is_answered:
        node.tokens.add(place)
        node.moves[place] = node.holds.unanswered_until(*span)
    else:
        node.moves[place] = node.holds.possible_until(*span)


def _commit_move(world: World, n: int, place: int, outcome: str) -> None:
    node, span, other = world.nodes[n], RANGES[place], 1 - n
    del node.moves[place]
    node.tokens.discard(place)
    target = owner_of(other, world.nodes[other].life)
    table = reassign(node.table, *span, target)
    write = TableWrite(n, table, node.table_revision, node.lease_record)
    if outcome == "now" and _apply(world, write):
        look(world, n, node)
        return
    node.holds.stop_release(*span)
    if outcome == "late":
        world.late_writes += (write,)
        node.holds.require_higher_fence(*span)


def _write(world: World, n: int, write: TableWrite) -> None:
    _apply(world, write)
    look(world, n, world.nodes[n])


def _leave_write(world: World, write: TableWrite) -> None:
    world.late_writes += (write,)


def _write_late(world: World, index: int) -> None:
    write = world.late_writes[index]
    rest = world.late_writes[:index] + world.late_writes[index + 1 :]
    world.late_writes = rest
    _apply(world, write)


def _apply(world: World, write: TableWrite) -> bool:
    """Carry out a write if its conditions hold."""
    if world.table_revision != write.based_on:
        return False
    if world.records[write.writer][2] != write.lease_record:
        return False
    if write.lost is not None:
        has_entry = bool(world.entries[write.lost])
        if has_entry or world.records[write.lost][2] != write.lost_record:
            return False
    world.revision += 1
    world.table, world.table_revision = write.table, world.revision
    return True


def main() -> None:
    """Walk for some seconds and print what was seen."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 20.0
    found = walk(seconds)
    print(f"states {found.states}, steps {found.steps}, whole depth {found.depth}")
    print("first seen at each depth:", *found.by_depth)
    if found.problem:
        print(found.problem, *found.trace, sep="\n  ")
        raise SystemExit(1)


if __name__ == "__main__":
    main()
