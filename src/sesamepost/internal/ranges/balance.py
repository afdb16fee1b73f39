"""Chooses the keys that a busy endpoint hands over to other endpoints.

Each owner decides about its own ranges, based on its own counts and on the loads
reported by the other owners. All functions are pure; ``now`` is passed in.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from sesamepost.internal.ranges.table import MAX_RANGES, KeyRange, Owner

# The counts of all keys are halved at this interval, so that old hot keys fade out.
HALF_LIFE_S = 2.0
MAX_COUNTED_KEYS = 4096
# Keys with less slot time than this are dropped at the next halving.
MIN_COUNTED_S = 0.005
# The first requests after a move are slow, so a smaller difference is not worth one.
MIN_BUSY_GAP = 0.25
MIN_BUSY = 0.6
MIN_MOVE_INTERVAL_S = 0.5
# An endpoint whose mean time is below this share of another one's gets keys from it
# while it has spare slots: its responses are faster, even if the slower one is not
# full.
FASTER_TIME_RATIO = 0.7
MIN_SLOW_BUSY = 0.12
MAX_FAST_BUSY = 0.45
FAST_BUSY_TARGET = 0.55
MAX_MOVED_SHARE = 0.5
# A move takes a second, so several targets take the load of a hot range at once.
MAX_TARGETS = 8
# A piece with less than this share of the source's load is not worth a move.
MIN_PIECE_SHARE = 0.04
# A piece with more than this multiple of its wanted load would only shift the overload.
MAX_PIECE_EXCESS = 1.6
# Bounds of the assumed ratio between the mean times of two endpoints.
MIN_TIME_RATIO = 0.33
MAX_TIME_RATIO = 3.0
BISECTION_STEPS = 30
# Each split adds ranges to the table permanently, so an owner with this many ranges
# hands over whole ones. Hot spots are still split until the table is half full.
MAX_OWN_RANGES = 16
MAX_RANGES_TO_SPLIT = MAX_RANGES // 2
HOT_RANGE_SHARE = 0.5


class KeyCounts:
    """The recent slot time of each key, in bounded memory."""

    def __init__(self) -> None:
        self.counts: dict[int, float] = {}
        self.halved_at = 0.0

    def add(self, key: int, now: float, time_s: float) -> None:
        """Count a request that is expected to take ``time_s`` seconds."""
        if now - self.halved_at >= HALF_LIFE_S:
            self.halved_at = now
            self.counts = {
                k: c / 2 for k, c in self.counts.items() if c >= MIN_COUNTED_S
            }
        if key in self.counts or len(self.counts) < MAX_COUNTED_KEYS:
            self.counts[key] = self.counts.get(key, 0.0) + time_s

    def forget(self, first: int, last: int) -> float:
        """Drop the keys of a move and return their share of all slot time."""
        total = sum(self.counts.values())
        kept = {k: c for k, c in self.counts.items() if not first <= k <= last}
        self.counts = kept
        return 1.0 - sum(kept.values()) / total if total > 0 else 0.0

    def within(self, key_range: KeyRange) -> list[tuple[int, float]]:
        """Return the counted keys of a range with their counts, in ascending order."""
        found = [
            (key, count)
            for key, count in self.counts.items()
            if key_range.first <= key <= key_range.last
        ]
        return sorted(found)


@dataclass(frozen=True, slots=True)
class OwnerLoad:
    """The share of an owner's slots in use (1 for all) and the number of its keys.

    ``mean_s`` is the mean time of a request there, or 0 if it is unknown. That of a
    cold endpoint is longer, in the ratio of what it can take.
    """

    owner: Owner
    busy: float
    keys: int
    mean_s: float = 0.0
    is_cold: bool = False


@dataclass(frozen=True, slots=True)
class Move:
    """A handover of the keys from ``first`` to ``last`` to ``target``."""

    first: int
    last: int
    target: Owner


@dataclass(frozen=True, slots=True)
class Piece:
    """A target and the share (at most 1) of the source's load that it should take."""

    target: Owner
    share: float


def choose_relief(source: OwnerLoad, others: Sequence[OwnerLoad]) -> list[Piece]:
    """Return the shares of a busy owner's load that other owners should take.

    They bring all these owners to the same share of slots in use. The list is empty if
    the difference to the least busy owner is small.
    """
    # A cold endpoint without keys gets only as many as it can serve.
    known = sorted(
        (o for o in others if o.keys or o.is_cold),
        key=lambda o: (o.busy, o.owner.vm),
    )
    if (
        not known
        or source.busy < MIN_BUSY
        or source.busy - known[0].busy < MIN_BUSY_GAP
    ):
        return []
    targets = known[:MAX_TARGETS]
    low, high = targets[0].busy, source.busy
    for _ in range(BISECTION_STEPS):
        level = (low + high) / 2
        if sum(_load_up_to(source, t, level) for t in targets) < source.busy - level:
            low = level
        else:
            high = level
    pieces = [
        Piece(t.owner, _load_up_to(source, t, low) / source.busy) for t in targets
    ]
    return [piece for piece in pieces if piece.share >= MIN_PIECE_SHARE]


def _load_up_to(source: OwnerLoad, target: OwnerLoad, level: float) -> float:
    """Return how much of the source's load would raise a target to ``level``."""
    ratio = 1.0
    if source.mean_s > 0 and target.mean_s > 0:
        ratio = target.mean_s / source.mean_s
    if not target.is_cold:
        ratio = min(MAX_TIME_RATIO, max(MIN_TIME_RATIO, ratio))
    return max(0.0, level - target.busy) / ratio


def relief_moves(
    pieces: Sequence[Piece],
    ranges: Sequence[KeyRange],
    counts: KeyCounts,
    table_ranges: int,
) -> list[Move]:
    """Return the moves for pieces, splitting ranges unless there are too many.

    ``table_ranges`` is the number of ranges of all owners.
    """
    loads = {r: sum(c for _, c in counts.within(r)) for r in ranges}
    total = sum(loads.values())
    if total <= 0 or not pieces:
        return []
    is_hot = max(loads.values()) >= total * HOT_RANGE_SHARE
    may_split = table_ranges < MAX_RANGES_TO_SPLIT
    if may_split and (is_hot or len(ranges) < MAX_OWN_RANGES):
        return split_hottest_range(pieces, ranges, counts)
    wanted = pieces[0].share * total
    nearest = min(ranges, key=lambda r: abs(loads[r] - wanted))
    if not 0 < loads[nearest] <= wanted * MAX_PIECE_EXCESS:
        return []
    return [Move(nearest.first, nearest.last, pieces[0].target)]


def split_hottest_range(
    pieces: Sequence[Piece], ranges: Sequence[KeyRange], counts: KeyCounts
) -> list[Move]:
    """Return moves of adjacent key ranges, at most one for each piece.

    They cover the narrowest part of the hottest range with the load of all pieces, so
    that cold keys around a hot spot stay where they are.
    """
    counted = [(r, counts.within(r)) for r in ranges]
    total = sum(count for _, keys in counted for _, count in keys)
    if total <= 0 or not pieces:
        return []
    keys = max((keys for _, keys in counted), key=lambda k: sum(c for _, c in k))
    wanted = sum(piece.share for piece in pieces) * total
    first, last = _narrowest_span(keys, wanted)
    moves = []
    start = keys[first][0]
    position = first
    for piece in pieces:
        if position > last:
            break
        end = _piece_end(keys, position, last, piece.share * total)
        load = sum(count for _, count in keys[position : end + 1])
        final = keys[end][0] if end == last else (keys[end][0] + keys[end + 1][0]) // 2
        if load <= piece.share * total * MAX_PIECE_EXCESS:
            moves.append(Move(start, final, piece.target))
        start, position = final + 1, end + 1
    return moves


def _narrowest_span(keys: list[tuple[int, float]], wanted: float) -> tuple[int, int]:
    """Return the first and last index of the narrowest span with the wanted load."""
    best, best_span = (0, len(keys) - 1), float("inf")
    first, load = 0, 0.0
    for last, (key, count) in enumerate(keys):
        load += count
        while load - keys[first][1] >= wanted:
            load -= keys[first][1]
            first += 1
        span = key - keys[first][0]
        if load >= wanted and span < best_span:
            best, best_span = (first, last), span
    return best


def _piece_end(
    keys: list[tuple[int, float]], first: int, last: int, wanted: float
) -> int:
    """Return the last index of the piece from ``first`` closest to the wanted load."""
    load = keys[first][1]
    for index in range(first + 1, last + 1):
        count = keys[index][1]
        if load + count / 2 > wanted:
            return index - 1
        load += count
    return last


def choose_target(source: OwnerLoad, others: Sequence[OwnerLoad]) -> OwnerLoad | None:
    """Return an owner that should get keys although the source is not overloaded.

    An endpoint without keys gets some from the owner with the most keys, however low
    that owner's load is. Several new endpoints get keys from several owners at once.
    """
    empty = sorted(
        (o for o in others if o.keys == 0 and not o.is_cold),
        key=lambda o: o.owner.vm,
    )
    if empty and source.keys > 1:
        donors = sorted(
            [source, *(o for o in others if o.keys > 0)],
            key=lambda o: (-o.keys, o.owner.vm),
        )
        rank = donors.index(source)
        return empty[rank] if rank < len(empty) else None
    if source.busy < MIN_SLOW_BUSY:
        return None
    faster = [
        o
        for o in others
        if _is_faster(o, source) and o.busy < MAX_FAST_BUSY and not o.is_cold
    ]
    return min(faster, key=lambda o: (o.mean_s, o.owner.vm), default=None)


def _is_faster(other: OwnerLoad, source: OwnerLoad) -> bool:
    return 0 < other.mean_s < source.mean_s * FASTER_TIME_RATIO


def _wanted_share(source: OwnerLoad, target: OwnerLoad) -> float:
    """Return the share of the source's load that should move to ``target``."""
    gap = source.busy - target.busy
    if not _is_faster(target, source):
        return min(MAX_MOVED_SHARE, max(0.0, gap) / 2 / max(source.busy, 0.01))
    headroom = FAST_BUSY_TARGET - target.busy
    added = source.busy * target.mean_s / source.mean_s
    return min(MAX_MOVED_SHARE, max(0.0, headroom) / max(added, 0.01))


def choose_move(
    source: OwnerLoad,
    target: OwnerLoad,
    ranges: Sequence[KeyRange],
    counts: KeyCounts,
) -> Move | None:
    """Return the move that brings both owners closest to the wanted loads.

    Only the beginning or the end of a range is moved, or all of it, so that a move
    adds at most one range to the table.
    """
    if target.keys == 0 and source.busy < MIN_BUSY:
        return _half_of_largest_range(target.owner, ranges)
    counted = [(r, counts.within(r)) for r in ranges]
    total = sum(count for _, keys in counted for _, count in keys)
    if total <= 0:
        if target.keys == 0:
            return _half_of_largest_range(target.owner, ranges)
        return None
    wanted = _wanted_share(source, target) * total
    best: tuple[float, Move] | None = None
    for r, keys in counted:
        for moved, move in _split_candidates(r, keys, target.owner):
            if moved > total * MAX_MOVED_SHARE * 1.2 or moved <= 0:
                continue
            distance = abs(moved - wanted)
            if best is None or distance < best[0]:
                best = (distance, move)
    if best is None or best[0] > wanted:
        return None
    return best[1]


def _split_candidates(r: KeyRange, keys: list[tuple[int, float]], target: Owner):
    """Yield the load and the move of each prefix and each suffix of a range."""
    moved = 0.0
    for index, (key, count) in enumerate(keys):
        moved += count
        is_last = index == len(keys) - 1
        last = r.last if is_last else (key + keys[index + 1][0]) // 2
        yield moved, Move(r.first, last, target)
    moved = 0.0
    for index in range(len(keys) - 1, 0, -1):
        key, count = keys[index]
        moved += count
        yield moved, Move((keys[index - 1][0] + key) // 2 + 1, r.last, target)


def _half_of_largest_range(target: Owner, ranges: Sequence[KeyRange]) -> Move | None:
    if not ranges:
        return None
    largest = max(ranges, key=lambda r: r.size)
    if largest.size < 2:
        return None
    return Move(largest.first + largest.size // 2, largest.last, target)
