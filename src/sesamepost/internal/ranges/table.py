"""The range table of a partitioned service, which assigns key ranges to endpoints.

All functions are pure: they return a new table and leave the old one unchanged.
"""

from bisect import bisect_right
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

import msgpack
import msgspec

from sesamepost.internal.limits import Count, Name

KEYS = 1 << 16
LAST_KEY = KEYS - 1
TABLE_PREFIX = "sesamepost/ranges/"
# Each section of a table has its own key in the store. Changes in different sections do
# not conflict, and the store announces a change without sending the whole table.
# A transaction needs two entries for each section and may have at most 32.
SECTIONS = 8
SECTION_KEYS = KEYS // SECTIONS
MAX_RANGES = 4096


@dataclass(frozen=True, slots=True)
class Owner:
    """An incarnation of an endpoint and the VM that it runs on."""

    vm: str
    endpoint_id: str
    born: int

    @property
    def incarnation(self) -> tuple[str, int]:
        """The id of the endpoint and its start time."""
        return self.endpoint_id, self.born


@dataclass(frozen=True, slots=True)
class KeyRange:
    """The keys from ``first`` to ``last`` inclusive, and their owner.

    ``fence`` rises with every change of the owner. ``handover`` is the token of the
    previous owner, or empty if it gave none.
    """

    first: int
    last: int
    owner: Owner | None
    fence: int
    handover: str = ""

    @property
    def size(self) -> int:
        """The number of keys."""
        return self.last - self.first + 1


@dataclass(frozen=True, slots=True)
class RangeTable:
    """All ranges of one service in ascending order, without gaps.

    ``fence`` is the highest fence ever assigned.
    """

    ranges: tuple[KeyRange, ...]
    fence: int

    def find(self, key: int) -> KeyRange:
        """Return the range with ``key``."""
        if not 0 <= key < KEYS:
            raise ValueError(f"a key must be from 0 to {LAST_KEY}, not {key}")
        index = bisect_right(self.ranges, key, key=lambda r: r.first) - 1
        return self.ranges[index]

    def owned_by(self, vm: str) -> list[KeyRange]:
        """Return the ranges whose owner runs on ``vm``."""
        return [r for r in self.ranges if r.owner is not None and r.owner.vm == vm]

    def keys_by_owner(self) -> dict[Owner | None, int]:
        """Return the number of keys by owner, with None for keys without an owner."""
        sizes: dict[Owner | None, int] = {}
        for r in self.ranges:
            sizes[r.owner] = sizes.get(r.owner, 0) + r.size
        return sizes

    def section(self, index: int) -> "RangeTable":
        """Return the part in one section, with ranges truncated at its bounds."""
        begin = index * SECTION_KEYS
        end = begin + SECTION_KEYS - 1
        ranges = tuple(
            replace(r, first=max(r.first, begin), last=min(r.last, end))
            for r in self.ranges
            if r.first <= end and begin <= r.last
        )
        return RangeTable(ranges, self.fence)

    def encode(self) -> bytes:
        """Encode a section for the store."""
        owners = sorted(
            {r.owner for r in self.ranges if r.owner is not None},
            key=lambda o: (o.vm, o.endpoint_id, o.born),
        )
        index = {owner: i for i, owner in enumerate(owners)}
        return msgpack.packb(
            [
                self.fence,
                [[o.vm, o.endpoint_id, o.born] for o in owners],
                [
                    [r.first, index.get(r.owner, -1), r.fence, r.handover]
                    for r in self.ranges
                ],
            ]
        )


# The highest fence, the owners, and of each range the first key, the index of its owner
# or -1, the fence and the handover token.
_SECTION_DECODER = msgspec.msgpack.Decoder(
    tuple[
        Count,
        list[tuple[Name, Name, Count]],
        list[tuple[Count, int, Count, str]],
    ]
)


def section_of(key: int) -> int:
    """Return the index of the section with ``key``."""
    return key // SECTION_KEYS


def decode_section(data: bytes, index: int) -> RangeTable:
    """Return a section that was encoded by ``RangeTable.encode``.

    Raise ``ValueError`` if ``data`` is not a valid section with that index.
    """
    begin = index * SECTION_KEYS
    try:
        fence, owner_rows, rows = _SECTION_DECODER.decode(data)
        owners = [Owner(*row) for row in owner_rows]
        bounds = [row[0] for row in rows] + [begin + SECTION_KEYS]
        ranges = tuple(
            KeyRange(
                first,
                bounds[i + 1] - 1,
                owners[owner_index] if owner_index >= 0 else None,
                range_fence,
                handover,
            )
            for i, (first, owner_index, range_fence, handover) in enumerate(rows)
        )
    except (msgspec.MsgspecError, RecursionError, IndexError) as error:
        raise ValueError(f"not a section of a range table: {error!r}") from None
    _validate_section(ranges, begin)
    return RangeTable(ranges, fence)


def join_sections(sections: Sequence[RangeTable]) -> RangeTable:
    """Return the table made of all its sections in ascending order."""
    ranges = tuple(r for section in sections for r in section.ranges)
    return RangeTable(ranges, max(section.fence for section in sections))


def new_table(owners: list[Owner], fence: int = 0) -> RangeTable:
    """Return a table that distributes all keys evenly, with fences above ``fence``.

    >>> len(new_table([Owner("a", "i", 1), Owner("b", "j", 1)]).ranges)
    2
    """
    if not owners:
        return RangeTable((KeyRange(0, LAST_KEY, None, fence),), fence)
    bounds = [i * KEYS // len(owners) for i in range(len(owners) + 1)]
    ranges = tuple(
        KeyRange(bounds[i], bounds[i + 1] - 1, owner, fence + i + 1)
        for i, owner in enumerate(owners)
    )
    return RangeTable(ranges, fence + len(owners))


def reassign(
    table: RangeTable,
    first: int,
    last: int,
    owner: Owner | None,
    handover: str = "",
) -> RangeTable:
    """Return the table with a key range assigned to ``owner`` under a new fence."""
    if not 0 <= first <= last <= LAST_KEY:
        raise ValueError(f"{first} to {last} is not a valid key range")
    key_range = KeyRange(first, last, owner, table.fence + 1, handover)
    return with_range(table, key_range)


def with_range(table: RangeTable, key_range: KeyRange) -> RangeTable:
    """Return the table with a newer range that replaces the keys it covers."""
    ranges = []
    for r in table.ranges:
        if r.last < key_range.first or r.first > key_range.last:
            ranges.append(r)
            continue
        if r.first < key_range.first:
            ranges.append(replace(r, last=key_range.first - 1))
        if r.first <= key_range.first:
            ranges.append(key_range)
        if r.last > key_range.last:
            ranges.append(replace(r, first=key_range.last + 1))
    return RangeTable(tuple(ranges), max(table.fence, key_range.fence))


def distribute(
    table: RangeTable, orphans: list[KeyRange], owners: list[Owner]
) -> RangeTable:
    """Assign ``orphans`` to the owners with the fewest keys, split to balance them.

    Adjacent ranges that go to the same owner are not merged, as each has its own fence.
    """
    if not owners:
        return table
    sizes = {owner: 0 for owner in owners}
    for owner, size in table.keys_by_owner().items():
        if owner in sizes:
            sizes[owner] = size
    fair_share = -(-(sum(sizes.values()) + sum(r.size for r in orphans)) // len(owners))
    for orphan in orphans:
        first = orphan.first
        while first <= orphan.last:
            owner = min(owners, key=lambda o: (sizes[o], o.vm))
            max_keys = max(fair_share - sizes[owner], KEYS // 256)
            last = min(orphan.last, first + max_keys - 1)
            table = reassign(table, first, last, owner, orphan.handover)
            sizes[owner] += last - first + 1
            first = last + 1
    return table


def uncovered(
    first: int, last: int, spans: Iterable[tuple[int, int]]
) -> list[tuple[int, int]]:
    """Return the parts of the keys from ``first`` to ``last`` that no span covers.

    >>> uncovered(0, 9, [(3, 5)])
    [(0, 2), (6, 9)]
    """
    parts = [(first, last)]
    for begin, end in spans:
        parts = [
            piece
            for part_first, part_last in parts
            for piece in (
                (part_first, min(part_last, begin - 1)),
                (max(part_first, end + 1), part_last),
            )
            if piece[0] <= piece[1]
        ]
    return parts


def _validate_section(ranges: tuple[KeyRange, ...], begin: int) -> None:
    if not ranges or len(ranges) > MAX_RANGES or ranges[0].first != begin:
        raise ValueError(
            f"a section of a range table must begin at key {begin} with 1 to "
            f"{MAX_RANGES} ranges"
        )
    for r in ranges:
        if r.first > r.last:
            raise ValueError(f"the range from {r.first} to {r.last} is empty")
