"""Tests of what may be granted after the store came back from an older copy."""

from collections import Counter

import pytest

from sesamepost.internal.coordination.era_record import SETTLE_S, era_key
from sesamepost.internal.coordination.eras import versioned
from sesamepost.internal.coordination.mirror import Mirror
from sesamepost.internal.coordination.store import Item
from sesamepost.internal.ranges.era_guard import EraGuard, fence_floor
from sesamepost.internal.ranges.hold_times import GrantCommand
from sesamepost.internal.ranges.holds import HoldTracker
from sesamepost.internal.ranges.table import KeyRange, Owner, RangeTable, new_table
from sesamepost.internal.ranges.table_store import TableChange, TableStore
from tests.coordination.memory_store import MemoryStore

OWN, OTHER = Owner("10.0.0.1", "i-1", 1), Owner("10.0.0.2", "i-2", 1)
RANGE = KeyRange(0, 99, OWN, 7)
ERA = 2


@pytest.fixture
def mirror() -> Mirror:
    """Return a mirror that has listed the store in an open era."""
    mirror = Mirror(MemoryStore())
    mirror.store.eras.note(ERA)
    mirror.revision = versioned(ERA, 10)
    mirror.offer(Item(era_key(ERA), b"", versioned(ERA, 10)))
    return mirror


def held(key_range: KeyRange, now: float) -> HoldTracker:
    """Return a tracker whose endpoint holds a range until ``now + 3``."""
    holds = HoldTracker()
    holds.set_ranges([key_range], now)
    holds.note_granted(GrantCommand(key_range, now + 3.3), now)
    return holds


def settle(mirror: Mirror) -> None:
    mirror.store.eras.learned_at -= SETTLE_S


def granted(holds: HoldTracker, now: float) -> list[int]:
    return [command.key_range.fence for command in holds.due_grants(now + 9.0, now)]


def test_a_hold_that_is_certain_is_renewed(mirror):
    # Guards against keys without service after each return of the store.
    holds = held(RANGE, 100.0)
    EraGuard(mirror, Counter()).review(holds, 102.0)
    assert granted(holds, 102.5) == [7]


@pytest.mark.parametrize("change", ["lapsed", "released", "refused", "leaving"])
def test_a_hold_in_doubt_waits_and_gets_a_higher_fence(mirror, change):
    # Guards against two holders: the lost seconds may have given the range away.
    holds, now = held(RANGE, 100.0), 102.0
    hold = holds.find(0)
    match change:
        case "lapsed":
            now = 104.0
        case "released":
            holds.note_released(0, 0)
        case "refused":
            hold.is_refused = True
        case "leaving":
            hold.is_releasing = True
    guard = EraGuard(mirror, Counter())
    guard.review(holds, now)
    assert granted(holds, now + 1.0) == []
    settle(mirror)
    guard.review(holds, now)
    assert [r.fence for r in holds.refused()] == [7]


def test_a_fence_of_the_era_is_granted_once_it_is_settled(mirror):
    # Guards against a new holder while one from before the rise may be left.
    new = KeyRange(0, 99, OWN, fence_floor(ERA) + 1)
    holds = HoldTracker()
    holds.set_ranges([new], 100.0)
    guard = EraGuard(mirror, Counter())
    guard.review(holds, 100.0)
    assert granted(holds, 100.0) == []
    assert not guard.is_settled
    settle(mirror)
    assert guard.is_settled
    guard.review(holds, 100.0)
    assert granted(holds, 100.0) == [new.fence]


def test_a_proof_holds_for_one_era(mirror):
    # Guards against a second return soon after the first one.
    holds = held(RANGE, 100.0)
    guard = EraGuard(mirror, Counter())
    guard.review(holds, 102.0)
    eras = mirror.store.eras
    eras.note(ERA + 1)
    mirror.revision = versioned(ERA + 1, 3)
    assert not guard.is_open
    mirror.offer(Item(era_key(ERA + 1), b"", versioned(ERA + 1, 3)))
    guard.review(holds, 104.0)
    assert granted(holds, 104.0) == []


def test_a_range_that_the_older_table_lacks_is_claimed_once(mirror):
    # Guards against the loss of a takeover whose new owner serves the keys.
    guard = EraGuard(mirror, Counter())
    guard.claimed_era = ERA - 1
    holds = held(RANGE, 100.0)
    older = RangeTable((KeyRange(0, 99, OTHER, 6), KeyRange(100, 199, OTHER, 5)), 6)
    assert guard.lost(holds, older, OWN, 101.0) == [RANGE]
    assert guard.lost(holds, older, OWN, 104.0) == []
    newer = RangeTable((KeyRange(0, 199, OTHER, fence_floor(ERA) + 1),), 6)
    assert guard.lost(holds, newer, OWN, 101.0) == []
    guard.note_claimed()
    assert guard.lost(holds, older, OWN, 101.0) == []


async def test_fences_of_an_era_are_above_all_of_former_ones(mirror):
    # Guards against a fence that the lost seconds have given out already.
    tables = TableStore(mirror.store, mirror, "s")
    mirror.store.revision = versioned(ERA, 10)
    mirror.store.items[era_key(ERA)] = mirror.get(era_key(ERA))
    former = new_table([OTHER], 40)
    assert await tables.change("test", lambda table: former)
    assert tables.table.find(0).fence == 41

    def transform(table):
        return RangeTable(table.ranges, table.fence)

    applied, _ = tables._apply_batch(TableChange("test", transform, {"x": 0}))
    assert applied.fence == fence_floor(ERA)


async def test_nothing_is_written_before_the_era_is_open(mirror):
    # Guards against a write on a table that the store may have lost.
    mirror.store.eras.note(ERA + 1)
    tables = TableStore(mirror.store, mirror, "s")
    assert not await tables.change("test", lambda table: new_table([OWN]))
    assert mirror.store.commits == []
