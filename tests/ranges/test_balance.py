"""The moves that are chosen for different load patterns."""

from sesamepost.internal.ranges.balance import (
    MAX_OWN_RANGES,
    KeyCounts,
    Move,
    OwnerLoad,
    choose_move,
    choose_relief,
    choose_target,
    relief_moves,
    split_hottest_range,
)
from sesamepost.internal.ranges.table import KEYS, KeyRange, Owner

A, B, C = (Owner(f"10.0.0.{i}", f"i-{i}", i) for i in (1, 2, 3))
RANGE = KeyRange(0, 9999, A, 1)


def counts_of(loads: dict[int, float]) -> KeyCounts:
    counts = KeyCounts()
    counts.counts = dict(loads)
    counts.halved_at = 0.0
    return counts


def moved_load(move: Move, loads: dict[int, float]) -> float:
    return sum(c for key, c in loads.items() if move.first <= key <= move.last)


def test_adjacent_hot_keys_are_split():
    # Sixty adjacent keys have most of the load, so half of them must move. The cold
    # keys around them need not.
    loads = {key: 10.0 for key in range(5000, 5060)} | {100: 1.0, 9000: 1.0}
    source, target = OwnerLoad(A, 2.0, 10_000), OwnerLoad(B, 0.2, 10_000)
    move = choose_move(source, target, [RANGE], counts_of(loads))
    assert 0.3 < moved_load(move, loads) / sum(loads.values()) < 0.6


def test_a_single_hot_key_with_all_of_the_load_is_not_moved():
    # Guards against a key that moves back and forth and is not served meanwhile.
    loads = {700: 100.0}
    source, target = OwnerLoad(A, 2.0, 10_000), OwnerLoad(B, 0.2, 10_000)
    assert choose_move(source, target, [RANGE], counts_of(loads)) is None


def test_an_endpoint_without_keys_gets_half_of_the_largest_range():
    source, new = OwnerLoad(A, 0.1, 10_000), OwnerLoad(B, 0.0, 0)
    assert choose_target(source, [new, OwnerLoad(C, 0.5, 9000)]) == new
    move = choose_move(source, new, [RANGE], KeyCounts())
    assert move == Move(5000, 9999, B)


def test_two_new_endpoints_get_keys_from_two_owners():
    new = [OwnerLoad(B, 0.0, 0), OwnerLoad(C, 0.0, 0)]
    first, second = OwnerLoad(A, 0.1, 9000), OwnerLoad(Owner("z", "i", 1), 0.1, 8000)
    assert choose_target(first, [*new, second]) == new[0]
    assert choose_target(second, [*new, first]) == new[1]


def test_small_differences_move_nothing():
    # Guards against keys that move because of noise in the load.
    source = OwnerLoad(A, 0.8, KEYS // 2)
    assert choose_target(source, [OwnerLoad(B, 0.7, KEYS // 2)]) is None
    idle = OwnerLoad(A, 0.4, KEYS // 2)
    assert choose_target(idle, [OwnerLoad(B, 0.0, KEYS // 2)]) is None


def test_counts_forget_old_hot_keys():
    counts = KeyCounts()
    for _ in range(64):
        counts.add(5, 0.0, 1.0)
    for second in range(3, 30, 3):
        counts.add(7, float(second), 1.0)
    assert counts.counts.get(5, 0.0) < counts.counts[7]


def test_a_slow_endpoint_gives_keys_to_a_fast_one_with_room():
    # Endpoints of one service differ in speed by a factor of three. Responses of a slow
    # one are late long before its slots are full.
    slow = OwnerLoad(A, 0.4, 10_000, 0.45)
    fast, busy_fast = OwnerLoad(B, 0.1, 10_000, 0.15), OwnerLoad(C, 0.7, 100, 0.14)
    assert choose_target(slow, [fast, busy_fast]) == fast
    loads = {key: 1.0 for key in range(0, 10_000, 100)}
    move = choose_move(slow, fast, [RANGE], counts_of(loads))
    assert 0.3 < moved_load(move, loads) / sum(loads.values()) <= 0.6
    assert choose_target(fast, [slow]) is None


def test_an_endpoint_of_similar_speed_gets_no_keys():
    source = OwnerLoad(A, 0.4, 10_000, 0.2)
    assert choose_target(source, [OwnerLoad(B, 0.1, 10_000, 0.18)]) is None


def plan_relief(source: OwnerLoad, others: list[OwnerLoad], loads: dict[int, float]):
    pieces = choose_relief(source, others)
    return pieces, split_hottest_range(pieces, [RANGE], counts_of(loads))


def test_a_hot_spot_goes_to_several_owners_in_one_step():
    # Guards against relief that comes too late: with one target at a time, a hot spot
    # of five seconds took three moves of a second each.
    owners = [Owner(f"10.0.1.{i}", f"j-{i}", i) for i in range(10)]
    others = [OwnerLoad(owner, 0.3, 1000) for owner in owners]
    hot = {key: 5.0 for key in range(5000, 5060)}
    source = OwnerLoad(A, 6.0, 10_000)
    pieces, moves = plan_relief(source, others, hot | {10: 1.0, 9900: 1.0})
    assert len(moves) == len(pieces) == 8
    assert moves[0].first >= 4990
    assert moves[-1].last <= 5070
    shares = [moved_load(move, hot) / sum(hot.values()) for move in moves]
    assert all(0.08 < share < 0.16 for share in shares)
    ends = [move.last + 1 for move in moves]
    assert ends[:-1] == [move.first for move in moves[1:]]


def test_the_least_busy_owner_gets_the_most_load():
    source, idle, half = (
        OwnerLoad(A, 1.2, 9),
        OwnerLoad(B, 0.1, 9),
        OwnerLoad(C, 0.6, 9),
    )
    pieces = {
        piece.target: piece.share for piece in choose_relief(source, [half, idle])
    }
    assert pieces[B] > pieces.get(C, 0.0)
    level = 1.2 * (1 - sum(pieces.values()))
    assert abs(level - (0.1 + 1.2 * pieces[B])) < 0.05


def test_a_slower_target_gets_less_load():
    source = OwnerLoad(A, 1.5, 9, 0.2)
    fast, slow = OwnerLoad(B, 0.2, 9, 0.2), OwnerLoad(C, 0.2, 9, 0.5)
    pieces = {
        piece.target: piece.share for piece in choose_relief(source, [fast, slow])
    }
    assert pieces[B] > 2 * pieces[C] > 0


def test_no_relief_for_small_differences():
    # Guards against keys that move because of noise in the load.
    assert choose_relief(OwnerLoad(A, 0.8, 9), [OwnerLoad(B, 0.7, 9)]) == []
    assert choose_relief(OwnerLoad(A, 0.5, 9), [OwnerLoad(B, 0.0, 9)]) == []


def test_a_single_hot_key_is_not_split_off():
    # Guards against a key that moves back and forth and is not served meanwhile.
    source, target = OwnerLoad(A, 2.0, 10_000), OwnerLoad(B, 0.2, 10_000)
    assert plan_relief(source, [target], {700: 100.0})[1] == []


def test_a_key_of_many_short_requests_is_not_hot():
    # Guards against counting requests instead of their time. Requests that check the
    # settings take a millisecond, and their two keys were moved back and forth as if
    # they had a quarter of the load.
    counts = KeyCounts()
    for _ in range(100):
        counts.add(5, 0.0, 0.001)
    for key in range(50):
        counts.add(1000 + key, 0.0, 0.2)
    pieces = choose_relief(OwnerLoad(A, 2.0, 10_000), [OwnerLoad(B, 0.2, 10_000)])
    (move,) = split_hottest_range(pieces, [RANGE], counts)
    assert not move.first <= 5 <= move.last


def test_an_owner_with_many_ranges_moves_whole_ranges():
    # Guards against a table that grows by 25 ranges a second until no hot spot can be
    # split any more.
    count = MAX_OWN_RANGES + 1
    ranges = [KeyRange(i * 100, i * 100 + 99, A, 1) for i in range(count)]
    counts = counts_of({r.first + 50: 1.0 for r in ranges})
    pieces = choose_relief(OwnerLoad(A, 1.0, 9), [OwnerLoad(B, 0.6, 9)])
    (move,) = relief_moves(pieces, ranges, counts, 500)
    assert (move.first, move.last) in {(r.first, r.last) for r in ranges}


def test_a_hot_spot_is_split_although_its_owner_has_many_ranges():
    ranges = [KeyRange(i * 100, i * 100 + 99, A, 1) for i in range(MAX_OWN_RANGES + 1)]
    counts = counts_of({key: 1.0 for key in range(300, 360)} | {900: 1.0})
    pieces = choose_relief(OwnerLoad(A, 2.0, 9), [OwnerLoad(B, 0.2, 9)])
    (move,) = relief_moves(pieces, ranges, counts, 500)
    assert move.first >= 300
    assert move.last < 360


def test_keys_that_were_moved_are_no_longer_counted():
    # Guards against a second move for load that has already moved.
    counts = counts_of({1: 3.0, 50: 1.0})
    assert counts.forget(0, 9) == 0.75
    assert counts.within(RANGE) == [(50, 1.0)]
