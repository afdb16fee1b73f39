"""What each event of the walk changes."""

from sesamepost.internal.ranges.holds import (
    MIN_HOLD_S,
    GrantCommand,
    HoldTracker,
    hold_end,
)
from sesamepost.internal.ranges.table import LAST_KEY, reassign
from tests.checker.walk_world import (
    CLOCK_LAG,
    MAX_LATE,
    RANGES,
    VMS,
    Life,
    SentGrant,
    TableWrite,
    World,
    look,
    new_process,
    owner_of,
)

# Two steps outlast each hold and each wait of a takeover.
STEP_S = 2.8


def pass_time(world: World) -> None:
    """Let time pass."""
    world.now += STEP_S
    for life in world.lives:
        life.keys.take_ended(world.now)


def restart(world: World, n: int) -> None:
    """Kill the process of a node and start the next one."""
    node = world.nodes[n]
    room = MAX_LATE - len(world.late_grants)
    world.late_grants += tuple(node.waiting.values())[:room]
    world.nodes[n] = new_process(world, n)


def replace_worker(world: World, n: int) -> None:
    """End the process of a worker and start the next one at its address."""
    world.lives[n] = Life(world.lives[n].number + 1)
    world.late_grants = tuple(g for g in world.late_grants if g.node != n)


def revoke(world: World, n: int) -> None:
    """Remove the entry of a node, but not its lease."""
    world.entries[n] = 0
    world.revision += 1


def end_lease(world: World, n: int) -> None:
    """End the lease of a node, and with it the entry."""
    world.renewals.pop(world.entries[n], None)
    revoke(world, n)


def read_store(world: World, n: int) -> None:
    """Let a node see the present state, and end the lease of an absent node."""
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
        revoke(world, other)
    if world.records[other][2] == revision and not world.entries[other]:
        world.revision += 1
        world.records[other] = lease, True, world.revision
        look(world, n, node)


def renew(world: World, n: int) -> None:
    """Renew the lease of a node, or learn that it has ended."""
    node = world.nodes[n]
    if node.lease in world.renewals:
        node.renewed_at = world.renewals[node.lease] = world.now
    else:
        node.lease = 0


def register(world: World, n: int) -> None:
    """Write the entry of a node under a new lease."""
    node = world.nodes[n]
    world.revision += 1
    node.lease = max(lease for lease, _, _ in world.records) + 1
    node.lease_revision = node.lease_record = world.revision
    world.renewals.pop(world.records[n][0], None)
    world.entries[n] = node.lease
    world.records[n] = node.lease, False, world.revision
    node.renewed_at = world.renewals[node.lease] = world.now


def hear(world: World, n: int) -> None:
    """Let a node hear of the next process of its worker."""
    node = world.nodes[n]
    until = node.holds.possible_until(0, LAST_KEY)
    node.life = world.lives[n].number
    node.holds = HoldTracker(assumed_until=until)
    node.planned, node.waiting, node.moves = {}, {}, {}
    current = [r for r in node.table.owned_by(VMS[n]) if r.owner == node.owner(n)]
    node.holds.set_ranges(current, world.now)


def grant(world: World, n: int, place: int, command: GrantCommand) -> None:
    """Plan, send, carry out and answer a grant without a pause."""
    plan(world, n, place, command)
    send(world, n, place)
    if place in world.nodes[n].waiting:
        answer(world, n, place)


def plan(world: World, n: int, place: int, command: GrantCommand) -> None:
    """Record a grant that is about to be sent."""
    node = world.nodes[n]
    node.holds.note_sent(command, world.now)
    node.planned[place] = command


def send(world: World, n: int, place: int) -> None:
    """Send a planned grant to the process that now listens, if it may be sent."""
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


def answer(world: World, n: int, place: int) -> None:
    """Carry out a grant and answer it."""
    node = world.nodes[n]
    grant = node.waiting.pop(place)
    if grant.life != world.lives[n].number:
        node.holds.note_unanswered(grant.command, latest_end(grant))
    elif execute(world, grant):
        node.holds.note_granted(grant.command, grant.arrived_at)
    else:
        node.holds.note_refused(grant.command)


def lose_answer(world: World, n: int, place: int) -> None:
    """Carry out a grant whose answer is lost."""
    node = world.nodes[n]
    grant = node.waiting.pop(place)
    execute(world, grant)
    node.holds.note_unanswered(grant.command, latest_end(grant))


def delay(world: World, n: int, place: int) -> None:
    """Leave a grant unanswered; it may be carried out later."""
    node = world.nodes[n]
    grant = node.waiting.pop(place)
    node.holds.note_unanswered(grant.command, latest_end(grant))
    world.late_grants += (grant,)


def latest_end(grant: SentGrant) -> float:
    """Return when the hold of a grant has certainly ended."""
    return hold_end(grant.hold_s, grant.arrived_at)


def execute_late(world: World, index: int) -> None:
    """Carry out a grant that was left unanswered."""
    grant = world.late_grants[index]
    rest = world.late_grants[:index] + world.late_grants[index + 1 :]
    world.late_grants = rest
    execute(world, grant)


def execute(world: World, grant: SentGrant) -> bool:
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


def decide(world: World, n: int, place: int) -> None:
    """Begin to move a range."""
    node = world.nodes[n]
    node.holds.start_release(*RANGES[place])
    node.moves[place] = None


def release(
    world: World, n: int, place: int, is_executed: bool, is_answered: bool
) -> None:
    """Release a range at the process that now listens."""
    node, span = world.nodes[n], RANGES[place]
    if is_executed:
        world.lives[n].keys.drop(*span)
    if is_answered:
        node.moves[place] = node.holds.unanswered_until(*span)
    else:
        node.moves[place] = node.holds.possible_until(*span)


def commit_move(world: World, n: int, place: int, outcome: str) -> None:
    """Write the move of a range, with an outcome."""
    node, span, other = world.nodes[n], RANGES[place], 1 - n
    del node.moves[place]
    target = owner_of(other, world.nodes[other].life)
    table = reassign(node.table, *span, target)
    write = TableWrite(n, table, node.table_revision, node.lease_record)
    if outcome == "now" and apply(world, write):
        look(world, n, node)
        return
    node.holds.stop_release(*span)
    if outcome == "late":
        world.late_writes += (write,)
        node.holds.require_higher_fence(*span)


def write(world: World, n: int, write: TableWrite) -> None:
    """Carry out a write and let its node see the result."""
    apply(world, write)
    look(world, n, world.nodes[n])


def leave_write(world: World, write: TableWrite) -> None:
    """Leave a write unanswered; it may be carried out later."""
    world.late_writes += (write,)


def write_late(world: World, index: int) -> None:
    """Carry out a write that was left unanswered."""
    write = world.late_writes[index]
    rest = world.late_writes[:index] + world.late_writes[index + 1 :]
    world.late_writes = rest
    apply(world, write)


def apply(world: World, write: TableWrite) -> bool:
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
