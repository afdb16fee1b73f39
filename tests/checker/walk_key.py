"""What tells the states of the walk apart."""

from sesamepost.internal.coordination.nodes import OWNER_LEASE_S
from sesamepost.internal.ranges.holds import HOLD_S, TAKEOVER_SLACK_S, HoldTracker
from tests.checker.walk_world import CLOCK_LAG, NODES, SentGrant, World
from tests.checker.worker_state import Hold

TAKEOVER_S = HOLD_S + TAKEOVER_SLACK_S


def state_key(world: World) -> tuple:
    """Return what tells states apart; times count from now, past ones are equal."""
    now = world.now
    return (
        world.table,
        tuple(_node_key(world, index) for index in NODES),
        tuple(
            (
                life.number,
                tuple(sorted(life.keys.seen)),
                tuple(sorted(_hold_key(h, now) for h in life.keys.holds)),
            )
            for life in world.lives
        ),
        tuple(_lease_key(world, world.records[index], index) for index in NODES),
        tuple(_grant_key(g, now) for g in world.late_grants),
        tuple((w.writer, w.table, w.lost) for w in world.late_writes),
        world.highest,
    )


def _lease_key(world: World, record: tuple[int, bool, int], index: int) -> tuple:
    """Return what matters of a lease: its numbers are only compared."""
    lease, has_ended, revision = record
    is_alive = lease in world.renewals
    return (
        has_ended,
        revision == world.records[index][2],
        is_alive and _rel(world.renewals[lease] + OWNER_LEASE_S, world.now),
        bool(world.entries[index]),
        world.entries[index] == lease,
    )


def _node_key(world: World, index: int) -> tuple:
    node, now, other = world.nodes[index], world.now, 1 - index
    seen, own = node.record_seen, (node.lease, False, node.lease_record)
    return (
        node.life,
        node.table,
        node.table_revision == world.table_revision,
        node.known_at >= node.lease_revision,
        bool(node.lease) and _lease_key(world, own, index),
        _rel(node.renewed_at + HOLD_S, now),
        _tracker_key(node.holds, now),
        tuple(sorted(node.fences.groups.items())),
        node.knows_entry or _rel(node.missing_since + TAKEOVER_S, now),
        _lease_key(world, node.other_record, other),
        seen and (seen[0] == node.other_record[2], _rel(seen[1] + TAKEOVER_S, now)),
        tuple((k, c.key_range, _rel(c.end, now)) for k, c in node.planned.items()),
        tuple((k, _grant_key(g, now)) for k, g in node.waiting.items()),
        tuple((k, _ready_key(at, now)) for k, at in sorted(node.moves.items())),
    )


def _rel(time: float, now: float) -> float:
    return round(max(0.0, time - now), 2)


def _hold_key(hold: Hold, now: float) -> tuple:
    return hold.first, hold.last, hold.fence, _rel(hold.until, now)


def _grant_key(grant: SentGrant, now: float) -> tuple:
    ends_at = grant.arrived_at + grant.hold_s / (1.0 - CLOCK_LAG)
    r = grant.command.key_range
    return grant.node, grant.life, r, _rel(ends_at, now)


def _tracker_key(holds: HoldTracker, now: float) -> tuple:
    return (
        _rel(holds.assumed_until, now),
        tuple(
            (
                h.key_range,
                _rel(h.certain_until, now),
                _rel(h.possible_until, now),
                _rel(h.unanswered_until, now),
                _rel(h.retry_at, now),
                h.is_refused,
                h.is_releasing,
                h.accepted_fence,
            )
            for h in holds.holds.values()
        ),
        tuple((h.key_range, _rel(h.possible_until, now)) for h in holds.past),
    )


def _ready_key(ready_at: float | None, now: float) -> float:
    return -1.0 if ready_at is None else _rel(ready_at, now)
