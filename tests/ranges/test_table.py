"""The range table stays complete, and its fences rise."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sesamepost.internal.ranges.table import (
    KEYS,
    LAST_KEY,
    SECTION_KEYS,
    SECTIONS,
    KeyRange,
    Owner,
    RangeTable,
    decode_section,
    distribute,
    join_sections,
    new_table,
    reassign,
)

OWNERS = [Owner(f"10.0.0.{i}", f"i-{i}", i) for i in range(1, 6)]


def keys():
    return st.integers(0, LAST_KEY)


@st.composite
def moves(draw):
    first, last = sorted((draw(keys()), draw(keys())))
    return (
        first,
        last,
        draw(st.sampled_from([*OWNERS, None])),
        draw(st.sampled_from(["", "t1", "t2"])),
    )


def is_complete(table: RangeTable) -> bool:
    ranges = table.ranges
    ends = [r.last + 1 for r in ranges]
    return ranges[0].first == 0 and ends == [*(r.first for r in ranges[1:]), KEYS]


@given(st.lists(moves(), max_size=12))
def test_any_moves_keep_every_key_in_one_range(drawn_moves):
    # Guards against a split that loses keys or gives one key to two owners.
    table = new_table(OWNERS[:3])
    for first, last, owner, token in drawn_moves:
        before = table
        table = reassign(table, first, last, owner, token)
        assert is_complete(table)
        for key in (first, last):
            assert table.find(key).owner == owner
            assert table.find(key).fence > before.fence
        for key in (first - 1, last + 1):
            if 0 <= key <= LAST_KEY:
                assert table.find(key).owner == before.find(key).owner
                assert table.find(key).fence == before.find(key).fence


@given(st.lists(moves(), max_size=8))
def test_a_table_is_unchanged_by_encoding_and_decoding(drawn_moves):
    table = new_table(OWNERS)
    for move in drawn_moves:
        table = reassign(table, *move)
    sections = [
        decode_section(table.section(index).encode(), index)
        for index in range(SECTIONS)
    ]
    assert sections == [table.section(index) for index in range(SECTIONS)]
    joined = join_sections(sections)
    assert is_complete(joined)
    assert joined.fence == table.fence
    for r in table.ranges:
        for key in (r.first, r.last):
            held = joined.find(key)
            assert held.owner == r.owner
            assert (held.fence, held.handover) == (r.fence, r.handover)


@given(st.integers(1, 5), st.integers(1, 4))
def test_orphans_are_distributed_evenly(count, live_count):
    # Guards against one endpoint that gets all keys of the lost ones.
    table = new_table(OWNERS[:count])
    owners = OWNERS[:live_count]
    lost = [r for r in table.ranges if r.owner not in owners]
    distributed = distribute(table, lost, owners)
    assert is_complete(distributed)
    sizes = [distributed.keys_by_owner().get(owner, 0) for owner in owners]
    assert sum(sizes) == KEYS
    if lost:
        assert max(sizes) <= -(-KEYS // live_count) + KEYS // 256 + KEYS // max(
            count, 1
        )


def test_ranges_that_are_not_distributed_keep_their_fence():
    # Guards against needless moves: a loss must not move the keys of live endpoints.
    table = new_table(OWNERS[:3])
    distributed = distribute(table, [table.ranges[1]], [OWNERS[0], OWNERS[2]])
    assert distributed.find(0) == table.find(0)
    assert distributed.find(LAST_KEY) == table.find(LAST_KEY)


@pytest.mark.parametrize("data", [b"", b"\x93\x01\x90\x90", b"\xc1", b"\x91\x01"])
def test_an_unreadable_section_is_refused(data):
    with pytest.raises(ValueError, match="table"):
        decode_section(data, 0)


def test_a_section_with_another_index_is_refused():
    # Guards against keys that belong to two sections or to none.
    data = new_table(OWNERS).section(2).encode()
    with pytest.raises(ValueError, match=f"begin at key {SECTION_KEYS}"):
        decode_section(data, 1)


def test_an_empty_fleet_owns_nothing():
    table = new_table([])
    assert table.ranges == (KeyRange(0, LAST_KEY, None, 0),)
    assert distribute(table, list(table.ranges), []) == table
